//! A small deployment: the platform, replicas, and nodes as processes of the project's own program.

use std::{
    fs::{self, File},
    io::{self, Write as _},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Answer, Call},
    replica::{Options, Replica, Run},
    store::Store,
};

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";
const ZONES: [&str; 4] = ["trapani", "agrigento", "ragusa", "enna"];

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &Path) -> io::Result<Self> {
        Ok(Self { start: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    pub fn write_at(&self, at: Instant, text: &str) {
        let ms = at.saturating_duration_since(self.start).as_millis();
        let _ = writeln!(self.file.lock().unwrap(), "{:8.3} {text}", ms as f64 / 1000.0);
    }

    pub fn write(&self, text: &str) {
        self.write_at(Instant::now(), text);
    }
}

/// Path of the clients of a node through the platform. While it is dark, nothing passes and nothing is closed, as when
/// the machine has lost its power.
pub struct ClientPath {
    pub address: SocketAddr,
    is_dark: Arc<AtomicBool>,
}

impl ClientPath {
    fn start(ip: IpAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let is_dark = Arc::new(AtomicBool::new(false));
        let dark = is_dark.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let dark = dark.clone();
                thread::spawn(move || {
                    let Ok(node) = TcpStream::connect(target) else {
                        hold(&dark);
                        return;
                    };
                    let pairs = [(&client, &node), (&node, &client)];
                    thread::scope(|scope| {
                        for (from, to) in pairs {
                            let dark = &dark;
                            scope.spawn(move || forward(from, to, dark));
                        }
                    });
                });
            }
        });
        Ok(Self { address, is_dark })
    }

    pub fn become_dark(&self) {
        self.is_dark.store(true, Ordering::SeqCst);
    }
}

fn hold(dark: &AtomicBool) {
    while dark.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(20));
    }
}

fn forward(from: &TcpStream, to: &TcpStream, dark: &AtomicBool) {
    use std::io::{Read as _, Write as _};
    let mut buffer = [0; 16 * 1024];
    loop {
        let read = (&mut &*from).read(&mut buffer);
        hold(dark);
        match read {
            Ok(n) if 0 < n => {
                if (&mut &*to).write_all(&buffer[..n]).is_err() {
                    break;
                }
            }
            _ => break,
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}

/// A node.
pub struct Node {
    pub name: String,
    pub ready: SocketAddr,
    /// Address at which clients reach the node.
    pub path: ClientPath,
    settings: PathBuf,
    process: Option<Child>,
}

pub struct Site {
    pub store: Store,
    pub nodes: Vec<Node>,
    replicas: Vec<Arc<Replica>>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub record: Record,
    program: PathBuf,
    folder: PathBuf,
    network: u8,
    next_host: u8,
    /// Keeps other runs from using the same addresses.
    _reservation: TcpListener,
}

impl Site {
    /// Starts the platform. `program` is the project's program.
    pub fn start(program: &Path, folder: &Path, record: Record) -> io::Result<Self> {
        // Loopback addresses that no other run uses.
        let mut network = (std::process::id() % 200) as u8 + 20;
        let reservation = loop {
            match TcpListener::bind((Ipv4Addr::new(127, 77, network, 1), 7_600)) {
                Ok(it) => break it,
                Err(_) => network = network.wrapping_add(1).max(20),
            }
        };
        let store = Store::start(IpAddr::V4(Ipv4Addr::new(127, 77, network, 1)))?;
        fs::create_dir_all(folder)?;
        let (nodes, replicas, runs) = (Vec::new(), Vec::new(), Arc::default());
        Ok(Self {
            store,
            nodes,
            replicas,
            runs,
            record,
            program: program.to_owned(),
            folder: folder.to_owned(),
            network,
            next_host: 2,
            _reservation: reservation,
        })
    }

    fn next_ip(&mut self) -> IpAddr {
        self.next_host += 1;
        IpAddr::V4(Ipv4Addr::new(127, 77, self.network, self.next_host))
    }

    /// Starts a replica at an address of its own.
    pub fn add_replica(&mut self, options: &Options) -> io::Result<Arc<Replica>> {
        let address = SocketAddr::new(self.next_ip(), 8_301);
        let replica = Replica::start(&self.store, address, options, &self.runs)?;
        self.record.write(&format!(
            "replica {} of {} version {} starts at {address}",
            options.id, options.service, options.version
        ));
        self.replicas.push(replica.clone());
        Ok(replica)
    }

    /// Writes the configuration.
    pub fn put_config(&self, version: u32, text: &str) {
        self.store.put("keyed.op", "config", text);
        self.record.write(&format!("config {version} written"));
    }

    /// Starts a node in the zone of this index, and its path. `rollouts` says whether operators order versions.
    pub fn add_node(&mut self, zone: usize, rollouts: bool) -> io::Result<()> {
        let ip = self.next_ip();
        let zone = ZONES[zone];
        let name = format!("edge-{zone}-{}", self.nodes.len() + 1);
        let front = SocketAddr::new(ip, 8_221);
        let ready = SocketAddr::new(ip, 8_224);
        let (contract, bounds, contact_ms, retry_slack) = if rollouts {
            let bounds = "\"exposureShare\":0.1,\"exposureSlack\":50,\"rollbackMs\":5000,";
            (",\"rollout\"", bounds, 4_000, 190)
        } else {
            ("", "", 3_000, 54)
        };
        let zones: Vec<_> = ZONES.iter().map(|it| format!("\"{it}\":\"isola\"")).collect();
        let text = format!(
            "{{\"nodeName\":\"{name}\",\"role\":\"edge\",\"machineClass\":\"edge\",\
             \"serves\":[\"edge\",\"control\"],\"ip\":\"{ip}\",\"zone\":\"{zone}\",\"region\":\"isola\",\
             \"zones\":{{{zones}}},\
             \"listen\":{{\"frontend\":\"{front}\",\"ready\":\"{ready}\",\"controlPlane\":\"{ip}:8229\"}},\
             \"portRange\":[7600,7615],\"seeds\":[],\"bootstrap\":true,\"faultCounted\":false,\
             \"limits\":{{\"cpuShare\":0.25,\"cores\":1,\"memoryMb\":260,\"maxFds\":4100,\"linkMbps\":1000.0,\"diskMb\":0}},\
             \"dataDir\":null,\"discovery\":\"platform\",\"entry\":\"vip\",\"heartbeatMs\":1200,\
             \"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"quota\",\"leader\"{contract},\"platform\"],\
             \"bounds\":{{{bounds}\"seedLagS\":3,\"reuseAfterS\":2,\"contactMs\":{contact_ms},\"ackMs\":4000,\"catchUpS\":4,\
             \"drainMs\":2000,\"graceS\":8,\"lossSlackMs\":200,\"configApplyMs\":2000,\"revertSlackMs\":250,\
             \"partitionMaxMs\":5000,\"revokeFailClosed\":false,\"revokeMs\":5000,\"retryRatio\":0.2,\
             \"retryWindowS\":10,\"retrySlack\":{retry_slack},\"quotaWindowS\":8,\"quotaOverrun\":0.1,\"quotaSlack\":140000,\
             \"enforceFencing\":true,\"leaseMs\":3000,\"thawMs\":300,\"usageWindowS\":5,\"usageOff\":0.05,\
             \"usageDelayS\":10,\"recoveryS\":12,\"iterationMs\":120,\"retryAfterS\":10}},\
             \"platform\":{{\"address\":\"{store}\",\"form\":\"log\",\"writesPerS\":400,\"readsPerS\":2000}},\
             \"cloud\":{{\"address\":\"{cloud}\",\"ratePerS\":50.0,\"duties\":[\"usage_report\",\"autoscale\"],\"dutiesPerS\":50.0}}}}",
            zones = zones.join(","),
            store = self.store.address,
            cloud = self.store.cloud_address,
        );
        let settings = self.folder.join(format!("{name}.json"));
        fs::write(&settings, text)?;
        let path = ClientPath::start(self.next_ip(), front)?;
        let mut node = Node { name, ready, path, settings, process: None };
        self.start_process(&mut node)?;
        self.nodes.push(node);
        Ok(())
    }

    /// Starts the process of a node as the deploy file says.
    fn start_process(&self, node: &mut Node) -> io::Result<()> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", node.name)))?;
        let child = Command::new(&self.program)
            .arg("edge")
            .env_clear()
            .env("LENTILHITCH_BOOT", &node.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.write(&format!("node {} starts, process {}", node.name, child.id()));
        node.process = Some(child);
        Ok(())
    }

    /// Takes the power from a node: its process is killed, and its path falls silent.
    pub fn power_off(&mut self, idx: usize) {
        let node = &mut self.nodes[idx];
        node.path.become_dark();
        if let Some(process) = &mut node.process {
            let _ = process.kill();
            let _ = process.wait();
        }
        self.record.write(&format!("node {} loses power", self.nodes[idx].name));
    }

    /// Starts the process of a node again, as the platform does.
    pub fn restart(&mut self, idx: usize) -> io::Result<()> {
        let settings = self.nodes[idx].settings.clone();
        let text = fs::read_to_string(&settings)?;
        fs::write(&settings, text.replace("\"bootstrap\":true", "\"bootstrap\":false"))?;
        let mut node = self.nodes.remove(idx);
        let result = self.start_process(&mut node);
        self.nodes.insert(idx, node);
        result
    }

    /// Kills the process of a node (SIGKILL). Its channels break.
    pub fn kill(&mut self, idx: usize) {
        let node = &mut self.nodes[idx];
        if let Some(process) = &mut node.process {
            let _ = process.kill();
            let _ = process.wait();
        }
        self.record.write(&format!("node {} is killed", self.nodes[idx].name));
    }

    /// Waits until all nodes are ready. Returns whether they are.
    pub fn until_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        let is_ready = |node: &Node| {
            let call = Call {
                method: "GET",
                path: "/lentilhitch/readiness".to_owned(),
                headers: vec![("Host", node.ready.to_string())],
                body: Vec::new(),
                deadline: Instant::now() + Duration::from_secs(1),
                gap: Duration::from_secs(1),
                leave_at: None,
            };
            http::call(node.ready, &call).status == 200
        };
        while Instant::now() < end {
            if self.nodes.iter().all(is_ready) {
                self.record.write("all nodes are ready");
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.replicas.iter().for_each(|it| it.kill());
        for process in self.nodes.iter_mut().filter_map(|it| it.process.as_mut()) {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

/// Returns a description of an answer for the record.
pub fn describe(answer: &Answer) -> String {
    let ids = answer.event_ids();
    let events = match (ids.first(), ids.last()) {
        (Some(first), Some(last)) => format!(", events {first} to {last}"),
        _ => String::new(),
    };
    let wait =
        answer.header("retry-after").map_or(String::new(), |it| format!(", come back in {it} s"));
    format!("status {}{events}{wait}, {:?}", answer.status, answer.end)
}
