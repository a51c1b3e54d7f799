//! Processes of the system, started as the deploy file says.

use std::{
    fs::{self, File},
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    os::unix::process::CommandExt as _,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::store::{Store, is_ready, wait_until};

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// First of the ports for the traffic between nodes. The ports of the listeners follow after the range.
const FIRST_PORT: u16 = 20_000;
const LAST_PORT: u16 = 20_015;
/// Port whose listener reserves a loopback address for this process.
const RESERVATION_PORT: u16 = 19_998;

/// What distinguishes a node from the others of its deployment.
#[derive(Clone, Copy)]
pub struct NodeOptions {
    pub name: &'static str,
    pub zone: &'static str,
    /// Time from the start of the node before to that of this one.
    pub delay: Duration,
}

impl NodeOptions {
    pub fn new(name: &'static str, zone: &'static str) -> Self {
        Self { name, zone, delay: Duration::ZERO }
    }
}

/// A node and its process, which is killed when this is dropped.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
    settings_path: PathBuf,
    settings: String,
    log_path: PathBuf,
    _reservation: TcpListener,
}

/// Folder for settings and logs, removed when this is dropped.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn create() -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("lentilhitch-review-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Reserves a loopback address that no other process uses with these ports.
fn reserve_ip(idx: u8) -> io::Result<(IpAddr, TcpListener)> {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    for turn in 0..200 {
        let second = 64 + (high ^ turn) % 128;
        let ip = IpAddr::V4(Ipv4Addr::new(127, second, low, 1 + idx));
        let ports = [FIRST_PORT + 1, FIRST_PORT + 2, LAST_PORT + 1, LAST_PORT + 2, LAST_PORT + 3];
        let Ok(reservation) = TcpListener::bind((ip, RESERVATION_PORT)) else { continue };
        if ports.iter().all(|it| TcpListener::bind((ip, *it)).is_ok()) {
            return Ok((ip, reservation));
        }
    }
    Err(io::Error::other("no free loopback address"))
}

/// Starts nodes and waits until the balancer would send clients to each of them.
pub fn start_nodes(folder: &Path, store: &Store, all: &[NodeOptions]) -> io::Result<Vec<Node>> {
    let duties = store.listen_for_duties()?;
    let mut reserved = Vec::new();
    for idx in 0..all.len() {
        reserved.push(reserve_ip(idx as u8)?);
    }
    let control = |ip: &IpAddr| SocketAddr::new(*ip, LAST_PORT + 3).to_string();
    let seeds: Vec<_> =
        reserved.iter().take(3).map(|it| format!("\"{}\"", control(&it.0))).collect();
    let zones: Vec<_> = all.iter().map(|it| format!("\"{}\":\"region-a\"", it.zone)).collect();
    let mut nodes = Vec::new();
    for (options, (ip, reservation)) in all.iter().zip(reserved) {
        let front = SocketAddr::new(ip, LAST_PORT + 1);
        let ready = SocketAddr::new(ip, LAST_PORT + 2);
        let settings = format!(
            r#"{{"nodeName":"{name}","role":"edge","machineClass":"edge","serves":["edge","control"],
"ip":"{ip}","zone":"{zone}","region":"region-a","zones":{{{zones}}},
"listen":{{"frontend":"{front}","ready":"{ready}","controlPlane":"{control}"}},
"portRange":[{FIRST_PORT},{LAST_PORT}],"seeds":[{seeds}],"bootstrap":true,"faultCounted":false,
"limits":{{"cpuShare":0.25,"cores":1,"memoryMb":{MEMORY_MB},"maxFds":4100,"linkMbps":1000.0,"diskMb":0}},
"dataDir":null,"discovery":"platform","entry":"vip","heartbeatMs":1200,
"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","leader","platform"],
"faultTolerance":{{"machines":2,"zones":1,"regions":0}},
"bounds":{{"seedLagS":3,"reuseAfterS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":8,
"lossSlackMs":200,"configApplyMs":2000,"revertSlackMs":250,"partitionMaxMs":5000,"revokeFailClosed":false,
"revokeMs":5000,"retryRatio":0.2,"retryWindowS":10,"retrySlack":56,"quotaWindowS":8,"quotaOverrun":0.1,
"quotaSlack":140000,"enforceFencing":true,"leaseMs":3000,"thawMs":300,"usageWindowS":5,"usageOff":0.05,
"usageDelayS":10,"recoveryS":12,"iterationMs":120,"retryAfterS":10}},
"platform":{{"address":"{store}","form":"log","writesPerS":400,"readsPerS":2000,"parts":24,"appendMs":1.0,
"partMbPerS":20.0,"readMbPerS":80.0,"recordBytes":262144,"callBytes":2097152,"keep_s":300,"partMb":200,"ttlMinMs":1000}},
"cloud":{{"address":"{duties}","ratePerS":50.0,"duties":["usage_report","autoscale"],"dutiesPerS":50.0}}}}"#,
            name = options.name,
            zone = options.zone,
            zones = zones.join(","),
            control = control(&ip),
            seeds = seeds.join(","),
            store = store.listen(options.name)?,
        );
        let settings_path = folder.join(format!("{}.json", options.name));
        let log_path = folder.join(format!("{}.log", options.name));
        fs::write(&settings_path, &settings)?;
        thread::sleep(options.delay);
        let child = start_process(&settings_path, &log_path)?;
        nodes.push(Node {
            name: options.name.to_owned(),
            front,
            ready,
            child,
            settings_path,
            settings,
            log_path,
            _reservation: reservation,
        });
    }
    let is_started =
        wait_until(Duration::from_secs(20), || nodes.iter().all(|it| is_ready(it.ready)));
    if is_started { Ok(nodes) } else { Err(io::Error::other("a node is not ready in time")) }
}

/// Memory above which the platform kills a process, as the settings state it.
pub const MEMORY_MB: u64 = 260;

/// Starts a process with the command of the deploy file.
fn start_process(settings: &Path, log: &Path) -> io::Result<Child> {
    let output = File::options().create(true).append(true).open(log)?;
    let mut command = Command::new("target/release/lentilhitch");
    command.arg("edge").env_clear().env("LENTILHITCH_BOOT", settings);
    command.stdin(Stdio::null()).stdout(output.try_clone()?).stderr(output);
    // The process ends with the stand-ins, however these end.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
            Ok(())
        });
    }
    command.spawn()
}

impl Node {
    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Waits until the process has ended. Returns whether it has in time.
    pub fn wait_for_end(&mut self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.has_ended() {
                return true;
            }
            thread::sleep(Duration::from_millis(5));
        }
        self.has_ended()
    }

    /// Starts the process again, as the platform does after it has ended. The system as a whole was started before.
    pub fn restart(&mut self) -> io::Result<()> {
        self.child.wait()?;
        let settings = self.settings.replace("\"bootstrap\":true", "\"bootstrap\":false");
        fs::write(&self.settings_path, settings)?;
        self.child = start_process(&self.settings_path, &self.log_path)?;
        Ok(())
    }

    /// Returns the memory of the process in KiB.
    pub fn resident_kib(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"));
        line.and_then(|it| it.split_whitespace().next()?.parse().ok()).unwrap_or_default()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
