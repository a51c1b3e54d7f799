//! Starts the system and its stand-ins as processes, and disturbs them. For tests, the demo and the load command.

use std::{
    fs::{self, File},
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU8, Ordering},
    thread,
    time::{Duration, Instant},
};

use anyhow::{Context as _, bail};
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::{Value, json};
use tempfile::TempDir;

use lentilhitch_config::token_digest;

use crate::{application::Run, engine::Report, relay::Relay};

/// Longest wait for a condition.
pub const PATIENCE: Duration = Duration::from_secs(30);
const LOOK: Duration = Duration::from_millis(20);
/// Not that of any process, so that a relay can't take the port that was found free for one.
const RELAY_IP: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const LOG_TAIL_LINES: usize = 25;

/// The bearer token of the team of the harness.
pub const TOKEN: &str = "the-token-of-ausonia";
/// The model of the language services: durable, and interactive.
pub const DURABLE_MODEL: &str = "proofread";
pub const INTERACTIVE_MODEL: &str = "register";

static N_ADDRESSES: AtomicU8 = AtomicU8::new(1);

/// A process that was started here and is killed when dropped.
#[derive(Debug)]
pub struct Process {
    pub name: String,
    child: Child,
    log: PathBuf,
    is_frozen: bool,
}

impl Process {
    fn start(name: &str, folder: &Path, binary: &str, args: &[String]) -> anyhow::Result<Self> {
        let log = folder.join(format!("{name}.log"));
        let output = File::options().create(true).append(true).open(&log)?;
        let path = binary_path(binary)?;
        let child = Command::new(&path)
            .args(args)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()
            .with_context(|| {
                format!("{} can't be started; `cargo build --workspace` makes it", path.display())
            })?;
        Ok(Self { name: name.to_owned(), child, log, is_frozen: false })
    }

    fn signal(&self, signal: Signal) {
        // The process may have ended already.
        let _ = kill(Pid::from_raw(self.child.id().cast_signed()), signal);
    }

    /// Ends the process at once (SIGKILL) and waits for it.
    pub fn kill(&mut self) {
        self.signal(Signal::SIGKILL);
        // An error means that it was waited for already.
        let _ = self.child.wait();
    }

    /// Tells the process to stop (SIGTERM).
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Stops the process from running (SIGSTOP).
    pub fn freeze(&mut self) {
        self.is_frozen = true;
        self.signal(Signal::SIGSTOP);
    }

    /// Lets it run again (SIGCONT).
    pub fn thaw(&mut self) {
        self.is_frozen = false;
        self.signal(Signal::SIGCONT);
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the process has ended; returns its exit code.
    pub fn wait(&mut self) -> anyhow::Result<Option<i32>> {
        let deadline = Instant::now() + PATIENCE;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status.code());
            }
            thread::sleep(LOOK);
        }
        bail!("{} did not end in time", self.name)
    }

    /// Processor time used so far, in milliseconds.
    pub fn cpu_ms(&self) -> u64 {
        let stat =
            fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let fields: Vec<_> =
            stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks =
            |idx: usize| fields.get(idx).and_then(|it| it.parse::<u64>().ok()).unwrap_or_default();
        (ticks(11) + ticks(12)) * 10
    }

    /// Memory in use, in KiB.
    pub fn resident_kib(&self) -> u64 {
        resident_kib(&format!("/proc/{}/status", self.child.id()))
    }

    /// What the process has logged.
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if thread::panicking() {
            let text = self.log_text();
            let lines: Vec<_> = text.lines().collect();
            let tail = &lines[lines.len().saturating_sub(LOG_TAIL_LINES)..];
            eprintln!("--- log of {}\n{}", self.name, tail.join("\n"));
        }
        self.kill();
    }
}

/// A stand-in that requests are routed to.
#[derive(Debug)]
pub struct Upstream {
    pub name: String,
    pub zone: String,
    /// The stand-in itself.
    pub address: SocketAddr,
    /// Between the entry processes and the stand-in.
    pub link: Relay,
    pub process: Process,
    args: Vec<String>,
}

/// An entry process.
#[derive(Debug)]
pub struct Entry {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    pub admin: SocketAddr,
    pub peer: SocketAddr,
    pub platform_link: Relay,
    /// From this process to each other one, in the order of the entries without itself.
    pub peer_links: Vec<Relay>,
    pub process: Process,
}

/// What to start.
#[derive(Clone, Debug)]
pub struct Options {
    pub n_engines: usize,
    pub n_applications: usize,
    pub n_entries: usize,
    pub decode_ms: u64,
    pub prefill_tokens_per_s: f64,
    /// Merged into `timing` of each entry process.
    pub timing: Value,
    /// Merged into `bounds` of each entry process.
    pub bounds: Value,
    /// Requests a second of the team.
    pub requests_per_s: f64,
    /// Upstreams are declared under their own addresses, not those of their links.
    pub is_direct: bool,
    /// Zones that processes and upstreams are spread over, in turns.
    pub n_zones: usize,
    /// The model version of the durable service.
    pub version: Option<&'static str>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            n_engines: 2,
            n_applications: 1,
            n_entries: 2,
            decode_ms: 5,
            prefill_tokens_per_s: 20_000.0,
            timing: json!({}),
            bounds: json!({}),
            requests_per_s: 10_000.0,
            is_direct: false,
            n_zones: usize::MAX,
            version: None,
        }
    }
}

/// The whole system on one machine.
#[derive(Debug)]
pub struct Cluster {
    pub platform_address: SocketAddr,
    pub platform: Process,
    pub engines: Vec<Upstream>,
    pub applications: Vec<Upstream>,
    pub entries: Vec<Entry>,
    pub http: reqwest::Client,
    options: Options,
    /// Settings, declarations and logs; dropped after the processes that write there.
    pub folder: TempDir,
}

impl Cluster {
    /// Starts everything; returns when each stand-in answers. Nothing is published yet.
    pub async fn start(options: Options) -> anyhow::Result<Self> {
        let folder = tempfile::tempdir()?;
        let platform_address = free_address()?;
        let args = ["platform".to_owned(), "--address".to_owned(), platform_address.to_string()];
        let platform = Process::start("platform", folder.path(), "lentilhitch_standin", &args)?;
        let http = reqwest::Client::builder().no_proxy().build()?;
        let (engines, applications, entries) = (Vec::new(), Vec::new(), Vec::new());
        let mut cluster = Self {
            folder,
            platform_address,
            platform,
            engines,
            applications,
            entries,
            http,
            options: options.clone(),
        };
        for idx in 0..options.n_engines {
            let upstream = cluster.start_upstream("engine", idx)?;
            cluster.engines.push(upstream);
        }
        for idx in 0..options.n_applications {
            let upstream = cluster.start_upstream("application", idx)?;
            cluster.applications.push(upstream);
        }
        cluster.start_entries()?;
        let upstreams = cluster.engines.iter().chain(&cluster.applications);
        let mut urls: Vec<_> =
            upstreams.map(|it| format!("http://{}/v1/load", it.address)).collect();
        urls.push(format!("http://{platform_address}/counts"));
        for url in urls {
            cluster.until_ok(&url).await?;
        }
        Ok(cluster)
    }

    /// Starts everything, publishes the default declarations and waits until every entry process is ready.
    pub async fn start_ready(options: Options) -> anyhow::Result<Self> {
        let cluster = Self::start(options).await?;
        let output = cluster.publish(&cluster.declarations()?)?;
        if !output.0 {
            bail!("publish failed: {}", output.1);
        }
        cluster.until_ready().await?;
        Ok(cluster)
    }

    /// Waits until every entry process is ready, all links are open and every upstream is known to be there.
    pub async fn until_ready(&self) -> anyhow::Result<()> {
        for entry in &self.entries {
            self.until_ok(&format!("http://{}/ready", entry.admin)).await?;
            let what = format!("{} sees peers and upstreams", entry.name);
            let n_upstreams = self.engines.len() + self.applications.len();
            until(&what, || async {
                let dump = self.dump(entry).await.unwrap_or_default();
                let all = |list: &Value, wanted: &str| {
                    list.as_array().is_some_and(|it| it.iter().all(|it| it["state"] == wanted))
                };
                let is_linked = dump["peers"]
                    .as_array()
                    .is_some_and(|it| it.iter().all(|it| it["is_linked"] == true));
                let n_known = dump["upstreams"].as_array().map_or(0, Vec::len);
                is_linked
                    && all(&dump["peers"], "alive")
                    && all(&dump["upstreams"], "available")
                    && n_known == n_upstreams
            })
            .await?;
        }
        Ok(())
    }

    /// Writes the default declarations to a folder and returns it.
    pub fn declarations(&self) -> anyhow::Result<PathBuf> {
        let folder = self.folder.path().join("declarations");
        fs::create_dir_all(&folder)?;
        let upstreams = |of: &[Upstream]| -> Vec<Value> {
            let declare = |it: &Upstream| {
                let address = if self.options.is_direct { it.address } else { it.link.address() };
                json!({ "upstream": it.name, "address": address.to_string(), "zone": it.zone })
            };
            of.iter().map(declare).collect()
        };
        let language = |service: &str, model: &str, is_durable: bool| {
            json!({
                "service": service,
                "teams": ["ausonia"],
                "language": { "models": [model], "durable": is_durable, "version": if is_durable { self.options.version } else { None } },
                "upstreams": upstreams(&self.engines),
            })
        };
        let market = json!({
            "service": "market",
            "teams": ["ausonia"],
            "application": { "deadline_ms": 5_000, "routes": [
                { "path": "/commissions", "methods": ["POST"], "repeat": "at_most_once" },
                { "path": "/" },
            ] },
            "upstreams": upstreams(&self.applications),
        });
        let team = json!({
            "team": "ausonia",
            "token_sha256": [token_digest(TOKEN)],
            "requests_per_s": self.options.requests_per_s,
        });
        let mut files = vec![("team", team)];
        if !self.engines.is_empty() {
            files.push(("review", language("review", DURABLE_MODEL, true)));
            files.push(("register", language("register", INTERACTIVE_MODEL, false)));
        }
        if !self.applications.is_empty() {
            files.push(("market", market));
        }
        for (name, value) in files {
            fs::write(
                folder.join(format!("{name}.lentilhitch.json")),
                serde_json::to_string_pretty(&value)?,
            )?;
        }
        Ok(folder)
    }

    /// Publishes the default declarations with another model version.
    pub fn publish_version(&mut self, version: &'static str) -> anyhow::Result<(bool, String)> {
        self.options.version = Some(version);
        self.publish(&self.declarations()?)
    }

    /// Runs `lentilhitch publish`; returns whether it succeeded and what it printed.
    pub fn publish(&self, folder: &Path) -> anyhow::Result<(bool, String)> {
        let mut args = vec!["publish".to_owned(), folder.display().to_string()];
        args.extend(["--platform".to_owned(), self.platform_address.to_string()]);
        for entry in &self.entries {
            args.extend(["--entry".to_owned(), entry.admin.to_string()]);
        }
        run_to_end(&args)
    }

    /// Starts an entry process again, under its name and addresses.
    pub fn restart_entry(&mut self, idx: usize) -> anyhow::Result<()> {
        let name = self.entries[idx].name.clone();
        let settings = self.settings_file(&name);
        let process =
            Process::start(&name, self.folder.path(), "lentilhitch", &serve_args(&settings))?;
        self.entries[idx].process = process;
        Ok(())
    }

    /// Starts an application again, under its name and address; what it had counted is lost.
    pub fn restart_application(&mut self, idx: usize) -> anyhow::Result<()> {
        let application = &mut self.applications[idx];
        application.process.kill();
        let (name, args) = (&application.name, &application.args);
        application.process =
            Process::start(name, self.folder.path(), "lentilhitch_standin", args)?;
        Ok(())
    }

    /// Starts an engine again, under its name and address, as a later incarnation.
    pub fn restart_engine(&mut self, idx: usize) -> anyhow::Result<()> {
        let engine = &mut self.engines[idx];
        engine.process.kill();
        engine.process =
            Process::start(&engine.name, self.folder.path(), "lentilhitch_standin", &engine.args)?;
        Ok(())
    }

    /// The state of an entry process.
    pub async fn dump(&self, entry: &Entry) -> reqwest::Result<Value> {
        self.get_json(&format!("http://{}/dump", entry.admin)).await
    }

    /// Fetches JSON from a stand-in or an administrative address.
    pub async fn get_json(&self, url: &str) -> reqwest::Result<Value> {
        self.http.get(url).timeout(PATIENCE).send().await?.json().await
    }

    /// Sets faults of a stand-in.
    pub async fn set_faults(&self, address: SocketAddr, faults: &Value) -> reqwest::Result<()> {
        let request = self.http.post(format!("http://{address}/faults")).json(faults);
        request.send().await?.error_for_status().map(|_| ())
    }

    /// Waits until an engine runs a request; returns its index.
    pub async fn busy_engine(&self) -> anyhow::Result<usize> {
        let deadline = Instant::now() + PATIENCE;
        while Instant::now() < deadline {
            for (idx, engine) in self.engines.iter().enumerate() {
                let load = self.get_json(&format!("http://{}/v1/load", engine.address)).await;
                if load.is_ok_and(|it| it["n_requests"].as_u64().is_some_and(|it| 0 < it)) {
                    return Ok(idx);
                }
            }
            tokio::time::sleep(LOOK).await;
        }
        bail!("no engine runs a request")
    }

    /// Waits until a URL answers with success.
    pub async fn until_ok(&self, url: &str) -> anyhow::Result<()> {
        until(url, || async {
            self.http.get(url).send().await.is_ok_and(|it| it.status().is_success())
        })
        .await
    }

    /// A completion request to an entry process, not yet sent.
    pub fn completion(
        &self,
        entry: &Entry,
        model: &str,
        prompt: &str,
        n_tokens: usize,
    ) -> reqwest::RequestBuilder {
        let body =
            json!({ "model": model, "prompt": prompt, "max_tokens": n_tokens, "stream": true });
        self.http
            .post(format!("http://{}/v1/completions", entry.front))
            .bearer_auth(TOKEN)
            .json(&body)
    }

    /// A non-repeatable call to an entry process, not yet sent.
    pub fn commission(&self, entry: &Entry, key: &str, body: &str) -> reqwest::RequestBuilder {
        let request =
            self.http.post(format!("http://{}/commissions", entry.front)).bearer_auth(TOKEN);
        request.header("idempotency-key", key).body(body.to_owned())
    }

    /// Asks for the rest of an answer, from after the event with this id; not yet sent.
    pub fn resume(
        &self,
        entry: &Entry,
        request_id: &str,
        last_id: usize,
    ) -> reqwest::RequestBuilder {
        let url = format!("http://{}/v1/requests/{request_id}/events", entry.front);
        self.http.get(url).bearer_auth(TOKEN).header("last-event-id", last_id.to_string())
    }

    /// The calls that an application ran, by its own count.
    pub async fn runs(&self, application: usize) -> Vec<Run> {
        let url = format!("http://{}/counts", self.applications[application].address);
        let runs = self.get_json(&url).await.unwrap_or_default();
        serde_json::from_value(runs).unwrap_or_default()
    }

    /// What an engine did, by its own count.
    pub async fn report(&self, engine: usize) -> anyhow::Result<Report> {
        let url = format!("http://{}/counts", self.engines[engine].address);
        Ok(serde_json::from_value(self.get_json(&url).await?)?)
    }

    /// The number of appends to a stream of the log.
    pub async fn n_appends(&self, stream: &str) -> u64 {
        let counts = self.get_json(&format!("http://{}/counts", self.platform_address)).await;
        counts.unwrap_or_default()[stream].as_u64().unwrap_or_default()
    }

    /// The path of the settings file of an entry process.
    pub fn settings_file(&self, name: &str) -> PathBuf {
        self.folder.path().join(format!("{name}.json"))
    }

    fn zone(&self, idx: usize) -> String {
        format!("zone-{}", idx % self.options.n_zones + 1)
    }

    fn start_upstream(&self, kind: &str, idx: usize) -> anyhow::Result<Upstream> {
        let name = format!("{kind}-{}", idx + 1);
        let address = free_address()?;
        let mut args = vec![kind.to_owned(), "--address".to_owned(), address.to_string()];
        if kind == "engine" {
            // Half of the engines, the first among them, check fencing numbers.
            args.extend(idx.is_multiple_of(2).then(|| "--checks-fencing".to_owned()));
            args.extend(["--decode-ms".to_owned(), self.options.decode_ms.to_string()]);
            args.extend([
                "--prefill-tokens-per-s".to_owned(),
                self.options.prefill_tokens_per_s.to_string(),
            ]);
        }
        let process = Process::start(&name, self.folder.path(), "lentilhitch_standin", &args)?;
        let link = Relay::start(RELAY_IP, address)?;
        Ok(Upstream { name, zone: self.zone(idx), address, link, process, args })
    }

    fn start_entries(&mut self) -> anyhow::Result<()> {
        let n_entries = self.options.n_entries;
        let addresses: Vec<_> = (0..n_entries)
            .map(|_| Ok((free_address()?, free_address()?, free_address()?)))
            .collect::<io::Result<_>>()?;
        for (idx, (front, admin, peer)) in addresses.iter().copied().enumerate() {
            let name = format!("entry-{}", idx + 1);
            let platform_link = Relay::start(RELAY_IP, self.platform_address)?;
            let mut peer_links = Vec::new();
            let mut peers = Vec::new();
            for (other, (_, _, address)) in addresses.iter().enumerate().filter(|it| it.0 != idx) {
                let link = Relay::start(RELAY_IP, *address)?;
                let instance = format!("entry-{}", other + 1);
                peers.push(json!({ "instance": instance, "zone": self.zone(other), "address": link.address().to_string() }));
                peer_links.push(link);
            }
            let settings = json!({
                "instance": name,
                "zone": self.zone(idx),
                "front_address": front.to_string(),
                "admin_address": admin.to_string(),
                "peer_address": peer.to_string(),
                "platform_address": platform_link.address().to_string(),
                "peers": peers,
                "peer_keys": ["a key that all entry processes share"],
                "timing": self.options.timing,
                "bounds": self.options.bounds,
            });
            let file = self.settings_file(&name);
            fs::write(&file, serde_json::to_string_pretty(&settings)?)?;
            let process =
                Process::start(&name, self.folder.path(), "lentilhitch", &serve_args(&file))?;
            self.entries.push(Entry {
                name,
                zone: self.zone(idx),
                front,
                admin,
                peer,
                platform_link,
                peer_links,
                process,
            });
        }
        Ok(())
    }
}

/// Waits until a condition holds.
pub async fn until<F: Future<Output = bool>>(
    what: &str,
    mut holds: impl FnMut() -> F,
) -> anyhow::Result<()> {
    let deadline = Instant::now() + PATIENCE;
    while Instant::now() < deadline {
        if holds().await {
            return Ok(());
        }
        tokio::time::sleep(LOOK).await;
    }
    bail!("not within {} s: {what}", PATIENCE.as_secs())
}

/// The server-sent events of an answer, as far as they came.
#[derive(Clone, Debug, Default)]
pub struct Events {
    /// Name, id and data of each event.
    pub events: Vec<(String, String, String)>,
    /// Whether the connection ended as HTTP wants it.
    pub is_closed_properly: bool,
}

impl Events {
    /// The text of all tokens.
    pub fn text(&self) -> String {
        let data = self.events.iter().filter_map(|it| serde_json::from_str::<Value>(&it.2).ok());
        data.filter_map(|it| it["choices"][0]["text"].as_str().map(str::to_owned)).collect()
    }

    /// Whether the last event says that the answer is whole.
    pub fn is_done(&self) -> bool {
        self.events.last().is_some_and(|it| it.2 == "[DONE]")
    }

    /// The id of the last event that has one.
    pub fn last_id(&self) -> usize {
        self.events.iter().rev().find_map(|it| it.1.parse().ok()).unwrap_or_default()
    }

    /// The data of the first event of a name.
    pub fn named(&self, name: &str) -> Option<&str> {
        self.events.iter().find(|it| it.0 == name).map(|it| it.2.as_str())
    }
}

/// Reads an answer to its end.
pub async fn read_events(response: reqwest::Response) -> Events {
    read_events_until(response, |_| false).await
}

/// Reads an answer until a condition holds, and then drops the connection.
pub async fn read_events_until(
    response: reqwest::Response,
    is_enough: impl Fn(&Events) -> bool,
) -> Events {
    let mut read = Events::default();
    let mut stream = response.bytes_stream().eventsource();
    while !is_enough(&read) {
        match stream.next().await {
            Some(Ok(event)) => read.events.push((event.event, event.id, event.data)),
            Some(Err(_)) => return read,
            None => {
                read.is_closed_properly = true;
                return read;
            }
        }
    }
    read
}

/// The resident memory that a status file of the kernel tells, in KiB.
pub fn resident_kib(status_file: &str) -> u64 {
    let status = fs::read_to_string(status_file).unwrap_or_default();
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"));
    line.and_then(|it| it.split_whitespace().next()?.parse().ok()).unwrap_or_default()
}

/// Runs a `lentilhitch` command; returns whether it succeeded and what it printed.
pub fn run_to_end(args: &[String]) -> anyhow::Result<(bool, String)> {
    let output =
        Command::new(binary_path("lentilhitch")?).args(args).stdin(Stdio::null()).output()?;
    let text = String::from_utf8_lossy(&output.stdout).into_owned()
        + &String::from_utf8_lossy(&output.stderr);
    Ok((output.status.success(), text))
}

fn serve_args(settings: &Path) -> Vec<String> {
    vec!["serve".to_owned(), settings.display().to_string()]
}

/// A loopback address of its own, with a port that the system chose.
fn free_address() -> io::Result<SocketAddr> {
    let pid = std::process::id().to_le_bytes();
    let host = N_ADDRESSES.fetch_add(1, Ordering::Relaxed).max(1);
    let ip = IpAddr::V4(Ipv4Addr::new(127, pid[1] | 1, pid[0], host));
    TcpListener::bind((ip, 0))?.local_addr()
}

/// Binaries are beside this one, or one folder up if this one is a test.
fn binary_path(name: &str) -> anyhow::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folder = own.parent().context("the running binary is in no folder")?;
    let folder = if folder.ends_with("deps") { folder.parent().unwrap_or(folder) } else { folder };
    Ok(folder.join(name))
}
