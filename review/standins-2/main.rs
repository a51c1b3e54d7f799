//! Cases of the second review. Each starts the project's own program on loopback addresses, with stand-ins of the store,
//! the replicas and the requesters. Built by `review/build-2.sh`, with the standard library only.
//!
//! `cases NAME RECORD` plays a case and writes its record. The exit code is 1 if the rule was broken, 0 if it held, and 2
//! if the case couldn't run. The variable `TROUBLE` set to 0 leaves out the disruption.

mod all_restarted;
mod client;
mod http;
mod part_stopped;
mod popular_stopped;
mod process;
mod record;
mod replica;
mod store;
mod stream_preempted;
mod timeout_lowered;

use std::{
    path::{Path, PathBuf},
    process::exit,
    sync::Arc,
    time::Duration,
};

use process::{Machines, Network, Rotation, ZONES};
use record::Record;
use replica::{Replica, Settings};
use store::{Store, start_cloud};

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

/// What a case plays with.
pub struct World {
    pub network: Network,
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub machines: Machines,
    pub rotation: Arc<Rotation>,
    /// Value of the variable `TROUBLE`.
    pub trouble: String,
    directory: PathBuf,
}

/// Name of the service of all cases.
pub const SERVICE: &str = "model-pool";

impl World {
    /// Starts a deployment with a configuration and replicas, and waits until it is ready.
    fn start(
        record_path: &Path,
        n_machines: u8,
        replicas: &[Settings],
    ) -> Option<(Self, Vec<Arc<Replica>>)> {
        let network = Network::choose();
        let record = Arc::new(Record::create(record_path));
        let directory =
            std::env::temp_dir().join(format!("lentilhitch-case-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("the temporary folder can be created");
        let store = Store::start(network.store());
        start_cloud(network.cloud(), record.clone());
        store.write("keyed.op", "config", &config(1, 15_000));
        let replicas = replicas.iter().map(|it| {
            Replica::start(Settings { ip: network.replica(), ..it.clone() }, &store, &record)
        });
        let replicas = replicas.collect();
        let mut machines = Machines::new(network, n_machines, &directory, &record);
        machines.start_all(true);
        let is_ready = machines.wait_until_ready(Duration::from_secs(10));
        let rotation = Rotation::start(&machines);
        let trouble = std::env::var("TROUBLE").unwrap_or("1".to_owned());
        let world = Self { network, record, store, machines, rotation, trouble, directory };
        is_ready.then_some((world, replicas))
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.machines.kill_all();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Returns the configuration with a timeout of the stream route.
pub fn config(version: u64, timeout_ms: u64) -> String {
    let route = format!(
        r#"{{"name":"r-stream","host":"{}","pathPrefix":"/stream/","routeKind":"streaming","timeoutMs":{timeout_ms},"ttftTargetMs":1200,"priority":1,"service":"{SERVICE}","attempts":2,"anonymous":false,"sticky":true,"resumable":true,"itlTargetMs":600}}"#,
        client::HOST
    );
    let engine = r#","engine":{"slots":64,"kvCapacity":465135,"kvTokenBytes":18432,"linkMbps":740000.0,"models":[{"name":"m"}]}"#;
    config_of(version, &[route], engine)
}

/// Returns a configuration with some routes to the service. `engine` describes the engine of the service, if it has one.
pub fn config_of(version: u64, routes: &[String], engine: &str) -> String {
    let (routes, key) = (routes.join(","), client::KEY);
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"{SERVICE}","healthPath":"/health","maxConns":370,"protocol":"h1","tls":false{engine}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"team-1","apiKeys":["{key}"],"priority":1}}]}}"#
    )
}

/// Returns the settings of replicas of one version, in turn in all zones.
pub fn replicas(n: usize, version: &str, event_interval_ms: u64) -> Vec<Settings> {
    let settings = |number: usize| Settings {
        service: SERVICE.to_owned(),
        zone: ZONES[number % ZONES.len()].to_owned(),
        version: version.to_owned(),
        ip: std::net::Ipv4Addr::LOCALHOST,
        event_interval: Duration::from_millis(event_interval_ms),
        is_framed: true,
        deadly_part: None,
    };
    (0..n).map(settings).collect()
}

fn main() {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, name, record_path] = arguments.as_slice() else {
        eprintln!("usage: cases NAME RECORD");
        exit(2);
    };
    let record_path = Path::new(record_path);
    let verdict = match name.as_str() {
        "all-restarted" => all_restarted::play(record_path),
        "timeout-lowered" => timeout_lowered::play(record_path),
        "part-stopped" => part_stopped::play(record_path),
        "stream-preempted" => stream_preempted::play(record_path),
        "popular-stopped" => popular_stopped::play(record_path),
        _ => Verdict::CouldNotRun,
    };
    exit(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::CouldNotRun => 2,
    });
}
