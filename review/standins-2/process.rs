//! Processes of the system, and calls of the operating system that the standard library lacks.

use std::{
    ffi::{c_int, c_void},
    fs::File,
    io::{BufReader, Write as _},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket},
    os::{fd::AsRawFd as _, unix::process::CommandExt as _},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{http::read_response_head, record::Record};

unsafe extern "C" {
    fn setsockopt(fd: c_int, level: c_int, name: c_int, value: *const c_void, n: u32) -> c_int;
    fn kill(process: c_int, signal: c_int) -> c_int;
    fn prctl(option: c_int, argument: usize, a: usize, b: usize, c: usize) -> c_int;
}

#[repr(C)]
struct Linger {
    is_on: c_int,
    seconds: c_int,
}

/// Lets the connection be reset when it is closed.
pub fn reset_on_close(stream: &TcpStream) {
    const SOL_SOCKET: c_int = 1;
    const SO_LINGER: c_int = 13;
    let linger = Linger { is_on: 1, seconds: 0 };
    let n_bytes = std::mem::size_of::<Linger>() as u32;
    // SAFETY: the descriptor is open, and the value is a `struct linger` of the given size.
    unsafe {
        setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, (&raw const linger).cast(), n_bytes);
    }
}

/// Loopback addresses of a run.
#[derive(Clone, Copy)]
pub struct Network {
    octet: u8,
}

const FRONTEND: u16 = 8_221;
const READY: u16 = 8_224;
const CONTROL: u16 = 8_229;
const FIRST_PORT: u16 = 7_600;

impl Network {
    /// Chooses a range of loopback addresses that no other process uses.
    pub fn choose() -> Self {
        let start = std::process::id() as u8;
        let octets = (0..=255_u8).map(|it| it.wrapping_add(start)).filter(|it| *it != 0);
        let is_free = |octet: &u8| {
            (1..=8).all(|host| {
                let ip = Ipv4Addr::new(127, 91, *octet, host);
                let ports = [FRONTEND, READY, CONTROL, FIRST_PORT, FIRST_PORT + 1, FIRST_PORT + 2];
                ports.iter().all(|it| TcpListener::bind((ip, *it)).is_ok())
                    && UdpSocket::bind((ip, FIRST_PORT)).is_ok()
            })
        };
        Self { octet: octets.into_iter().find(is_free).expect("loopback addresses are free") }
    }

    pub fn ip(self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, 91, self.octet, host)
    }

    pub fn store(self) -> SocketAddr {
        (self.ip(201), 8_225).into()
    }

    pub fn cloud(self) -> SocketAddr {
        (self.ip(202), 8_225).into()
    }

    pub fn replica(self) -> Ipv4Addr {
        self.ip(210)
    }
}

/// One machine with its process of the system.
pub struct Machine {
    pub name: String,
    pub frontend: SocketAddr,
    ready: SocketAddr,
    directory: PathBuf,
    settings: String,
    n_starts: usize,
    process: Option<Child>,
}

impl Machine {
    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self, is_first_start: bool, record: &Record) {
        self.n_starts += 1;
        let path = self.directory.join(format!("{}.json", self.name));
        let settings = self.settings.replace("\"BOOTSTRAP\"", &is_first_start.to_string());
        std::fs::write(&path, settings).expect("the settings can be written");
        let log = self.directory.join(format!("{}.{}.log", self.name, self.n_starts));
        let log = File::create(log).expect("the log can be written");
        let mut command = Command::new("target/release/lentilhitch");
        command.arg("edge").env_clear().env("LENTILHITCH_BOOT", &path);
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command.stdin(Stdio::null()).stdout(log.try_clone().unwrap()).stderr(log);
        // SAFETY: the call between fork and exec is async-signal-safe. It lets the process end with this one.
        unsafe {
            command.pre_exec(|| {
                const PR_SET_PDEATHSIG: c_int = 1;
                const SIGKILL: usize = 9;
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        self.process = Some(command.spawn().expect("target/release/lentilhitch can be started"));
        record.line(&format!("machine {}: the process starts", self.name));
    }

    /// Sends SIGTERM to the process, as before a planned stop.
    pub fn terminate(&self, record: &Record) {
        if let Some(process) = &self.process {
            const SIGTERM: c_int = 15;
            // SAFETY: the process was started by this one and has not been waited for.
            unsafe { kill(process.id() as c_int, SIGTERM) };
            record.line(&format!("machine {}: SIGTERM", self.name));
        }
    }

    /// Kills the process.
    pub fn kill(&mut self, record: &Record) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
            record.line(&format!("machine {}: the process is killed", self.name));
        }
    }

    /// Returns whether the process says that it is ready.
    pub fn is_ready(&self) -> bool {
        let timeout = Duration::from_millis(300);
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, timeout) else { return false };
        let _ = stream.set_read_timeout(Some(timeout));
        let text =
            "GET /lentilhitch/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        stream.write_all(text.as_bytes()).is_ok()
            && read_response_head(&mut BufReader::new(stream)).is_ok_and(|it| it.status == 200)
    }
}

/// All machines, one after the other in the zones.
pub struct Machines {
    pub all: Vec<Machine>,
    pub record: Arc<Record>,
}

/// Names of the zones.
pub const ZONES: [&str; 2] = ["zone-a", "zone-b"];

impl Machines {
    pub fn new(network: Network, n: u8, directory: &Path, record: &Arc<Record>) -> Self {
        let seeds: Vec<_> =
            (1..=n.min(3)).map(|it| format!("\"{}:{CONTROL}\"", network.ip(it))).collect();
        let machine = |number: u8| {
            let zone = ZONES[usize::from(number) % ZONES.len()];
            let ip = network.ip(number + 1);
            let name = format!("edge-{zone}-{}", usize::from(number) / ZONES.len() + 1);
            let settings = SETTINGS
                .replace("NAME", &name)
                .replace("IP", &ip.to_string())
                .replace("HOME_ZONE", zone)
                .replace("SEEDS", &seeds.join(","))
                .replace("STORE", &network.store().to_string())
                .replace("CLOUD", &network.cloud().to_string());
            Machine {
                name,
                frontend: (ip, FRONTEND).into(),
                ready: (ip, READY).into(),
                directory: directory.to_owned(),
                settings,
                n_starts: 0,
                process: None,
            }
        };
        Self { all: (0..n).map(machine).collect(), record: record.clone() }
    }

    pub fn start_all(&mut self, is_first_start: bool) {
        for it in &mut self.all {
            it.start(is_first_start, &self.record);
        }
    }

    pub fn kill_all(&mut self) {
        for it in &mut self.all {
            it.kill(&self.record);
        }
    }

    /// Waits until all machines are ready. Returns whether they are in time.
    pub fn wait_until_ready(&self, time_limit: Duration) -> bool {
        let end = Instant::now() + time_limit;
        while Instant::now() < end {
            if self.all.iter().all(Machine::is_ready) {
                self.record.line("all machines are ready");
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Machines {
    fn drop(&mut self) {
        self.kill_all();
    }
}

/// The platform's checks of readiness: the machines that get new channels.
pub struct Rotation {
    in_rotation: Mutex<Vec<(SocketAddr, u32)>>,
}

impl Rotation {
    pub fn start(machines: &Machines) -> Arc<Self> {
        let addresses: Vec<_> = machines.all.iter().map(|it| (it.frontend, it.ready)).collect();
        let rotation = Arc::new(Self {
            in_rotation: Mutex::new(addresses.iter().map(|it| (it.0, 0)).collect()),
        });
        let watched = rotation.clone();
        thread::spawn(move || {
            loop {
                for (position, (_, ready)) in addresses.iter().enumerate() {
                    let is_ready = check_ready(*ready);
                    let n_missed = &mut watched.in_rotation.lock().unwrap()[position].1;
                    *n_missed = if is_ready { 0 } else { *n_missed + 1 };
                }
                thread::sleep(Duration::from_secs(1));
            }
        });
        rotation
    }

    /// Returns the machine for a new channel: that of the number among those in rotation, or among all if there are
    /// none.
    pub fn machine(&self, number: usize) -> SocketAddr {
        let all = self.in_rotation.lock().unwrap();
        let ready: Vec<_> = all.iter().filter(|it| it.1 < 2).map(|it| it.0).collect();
        if ready.is_empty() { all[number % all.len()].0 } else { ready[number % ready.len()] }
    }
}

fn check_ready(address: SocketAddr) -> bool {
    let timeout = Duration::from_millis(300);
    let Ok(mut stream) = TcpStream::connect_timeout(&address, timeout) else { return false };
    let _ = stream.set_read_timeout(Some(timeout));
    let text = "GET /lentilhitch/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    stream.write_all(text.as_bytes()).is_ok()
        && read_response_head(&mut BufReader::new(stream)).is_ok_and(|it| it.status == 200)
}

/// Settings of a machine, those of a small deployment.
const SETTINGS: &str = r#"{
  "nodeName": "NAME", "role": "edge", "machineClass": "edge", "serves": ["edge", "control"],
  "ip": "IP", "zone": "HOME_ZONE", "region": "region", "zones": {"zone-a": "region", "zone-b": "region"},
  "listen": {"frontend": "IP:8221", "ready": "IP:8224", "controlPlane": "IP:8229"},
  "portRange": [7600, 7615],
  "seeds": [SEEDS],
  "bootstrap": "BOOTSTRAP", "faultCounted": false,
  "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
  "dataDir": null, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
  "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "leader", "platform"],
  "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
  "bounds": {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
    "lossSlackMs": 200, "configApplyMs": 2000, "revertSlackMs": 250, "partitionMaxMs": 5000, "revokeFailClosed": false,
    "revokeMs": 5000, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 56, "quotaWindowS": 8, "quotaOverrun": 0.1,
    "quotaSlack": 140000, "enforceFencing": true, "leaseMs": 3000, "thawMs": 300, "usageWindowS": 5, "usageOff": 0.05,
    "usageDelayS": 10, "recoveryS": 12, "iterationMs": 120, "retryAfterS": 10},
  "platform": {"address": "STORE", "form": "log", "writesPerS": 400, "readsPerS": 2000, "parts": 24, "appendMs": 1.0,
    "partMbPerS": 20.0, "readMbPerS": 80.0, "recordBytes": 262144, "callBytes": 2097152, "keep_s": 20, "partMb": 200,
    "ttlMinMs": 1000},
  "cloud": {"address": "CLOUD", "ratePerS": 50.0, "duties": ["usage_report"], "dutiesPerS": 50.0}
}
"#;
