//! The complete system on one machine.

use std::{
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
};

use anyhow::bail;
use serde_json::{Value, json};
use tempfile::TempDir;

use lentilhitch_config::token_digest;

use crate::{
    fault_proxy::FaultProxy,
    harness::{
        DURABLE_MODEL, INTERACTIVE_MODEL, Options, Process, TOKEN, process::free_address,
        run_command, until,
    },
};

/// IP address of the fault proxies. No process listens on it, so a proxy can't take a port that was found free for a
/// process.
const PROXY_IP: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// A stand-in for an engine or an application, with its process.
#[derive(Debug)]
pub struct Upstream {
    pub name: String,
    pub zone: String,
    /// Address of the stand-in itself.
    pub address: SocketAddr,
    /// Proxy between the entry processes and the stand-in.
    pub link: FaultProxy,
    pub process: Process,
    args: Vec<String>,
}

/// An entry process, with its addresses and the proxies of its outgoing connections.
#[derive(Debug)]
pub struct Entry {
    pub name: String,
    pub zone: String,
    /// Address for clients.
    pub front: SocketAddr,
    /// Administrative address.
    pub admin: SocketAddr,
    /// Address for the other entry processes.
    pub peer: SocketAddr,
    /// Proxy between this process and the platform.
    pub platform_link: FaultProxy,
    /// Proxies from this process to each other entry process, in the order of `Cluster::entries`.
    pub peer_links: Vec<FaultProxy>,
    pub process: Process,
}

/// The complete system on one machine: platform, engines, applications and entry processes.
#[derive(Debug)]
pub struct Cluster {
    pub platform_address: SocketAddr,
    pub platform: Process,
    pub engines: Vec<Upstream>,
    pub applications: Vec<Upstream>,
    pub entries: Vec<Entry>,
    pub http: reqwest::Client,
    pub(super) options: Options,
    /// Contains settings, declarations and logs. Declared last, so that it is deleted after the processes have been
    /// killed.
    pub folder: TempDir,
}

impl Cluster {
    /// Starts all processes and waits until each stand-in responds. Publishes no declarations.
    pub async fn start(options: Options) -> anyhow::Result<Self> {
        let folder = tempfile::tempdir()?;
        let platform_address = free_address();
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

    /// Starts all processes, publishes the default declarations and waits until every entry process is ready.
    pub async fn start_ready(options: Options) -> anyhow::Result<Self> {
        let cluster = Self::start(options).await?;
        let output = cluster.publish(&cluster.declarations()?)?;
        if !output.0 {
            bail!("`lentilhitch publish` failed: {}", output.1);
        }
        cluster.until_ready().await?;
        Ok(cluster)
    }

    /// Waits until every entry process is ready, is connected to all its peers and knows every upstream as available.
    pub async fn until_ready(&self) -> anyhow::Result<()> {
        for entry in &self.entries {
            self.until_ok(&format!("http://{}/ready", entry.admin)).await?;
            let condition = format!("{} sees peers and upstreams", entry.name);
            let n_upstreams = self.engines.len() + self.applications.len();
            until(&condition, || async {
                let dump = self.dump(entry).await.unwrap_or_default();
                let all_in_state = |list: &Value, state: &str| {
                    list.as_array().is_some_and(|it| it.iter().all(|it| it["state"] == state))
                };
                let is_linked = dump["peers"]
                    .as_array()
                    .is_some_and(|it| it.iter().all(|it| it["is_linked"] == true));
                let n_known = dump["upstreams"].as_array().map_or(0, Vec::len);
                is_linked
                    && all_in_state(&dump["peers"], "alive")
                    && all_in_state(&dump["upstreams"], "available")
                    && n_known == n_upstreams
            })
            .await?;
        }
        Ok(())
    }

    /// Writes the default declarations to a folder and returns its path.
    pub fn declarations(&self) -> anyhow::Result<PathBuf> {
        let folder = self.folder.path().join("declarations");
        fs::create_dir_all(&folder)?;
        let declare_all = |upstreams: &[Upstream]| -> Vec<Value> {
            let declare = |it: &Upstream| {
                let address = if self.options.is_direct { it.address } else { it.link.address() };
                let checks_fencing = it.args.iter().any(|it| it == "--checks-fencing");
                json!({
                    "upstream": it.name,
                    "address": address.to_string(),
                    "zone": it.zone,
                    "checks_fencing": checks_fencing,
                })
            };
            upstreams.iter().map(declare).collect()
        };
        let language = |service: &str, model: &str, is_durable: bool| {
            json!({
                "service": service,
                "teams": ["ausonia"],
                "language": { "models": [model], "durable": is_durable, "version": if is_durable { self.options.version } else { None } },
                "upstreams": declare_all(&self.engines),
            })
        };
        let market = json!({
            "service": "market",
            "teams": ["ausonia"],
            "application": { "deadline_ms": 5_000, "routes": [
                { "path": "/commissions", "methods": ["POST"], "repeat": "at_most_once" },
                { "path": "/" },
            ] },
            "upstreams": declare_all(&self.applications),
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

    /// Publishes the default declarations with another model version of the durable service. Returns the same as
    /// [`Self::publish`].
    pub fn publish_version(&mut self, version: &'static str) -> anyhow::Result<(bool, String)> {
        self.options.version = Some(version);
        self.publish(&self.declarations()?)
    }

    /// Publishes the declarations of a folder with `lentilhitch publish`. Returns whether it succeeded and its output.
    pub fn publish(&self, folder: &Path) -> anyhow::Result<(bool, String)> {
        let mut args = vec!["publish".to_owned(), folder.display().to_string()];
        args.extend(["--platform".to_owned(), self.platform_address.to_string()]);
        for entry in &self.entries {
            args.extend(["--entry".to_owned(), entry.admin.to_string()]);
        }
        run_command(&args)
    }

    /// Starts an entry process again with the same name, settings and addresses.
    pub fn restart_entry(&mut self, idx: usize) -> anyhow::Result<()> {
        let name = self.entries[idx].name.clone();
        let settings = self.settings_file(&name);
        let process =
            Process::start(&name, self.folder.path(), "lentilhitch", &serve_args(&settings))?;
        self.entries[idx].process = process;
        Ok(())
    }

    /// Kills an application and starts it again with the same name and address. Its recorded calls are lost.
    pub fn restart_application(&mut self, idx: usize) -> anyhow::Result<()> {
        let application = &mut self.applications[idx];
        application.process.kill();
        let (name, args) = (&application.name, &application.args);
        application.process =
            Process::start(name, self.folder.path(), "lentilhitch_standin", args)?;
        Ok(())
    }

    /// Kills an engine and starts it again with the same name and address, as a later incarnation.
    pub fn restart_engine(&mut self, idx: usize) -> anyhow::Result<()> {
        let engine = &mut self.engines[idx];
        engine.process.kill();
        engine.process =
            Process::start(&engine.name, self.folder.path(), "lentilhitch_standin", &engine.args)?;
        Ok(())
    }

    /// Returns the path of the settings file of an entry process.
    pub fn settings_file(&self, name: &str) -> PathBuf {
        self.folder.path().join(format!("{name}.json"))
    }

    fn zone(&self, idx: usize) -> String {
        format!("zone-{}", idx % self.options.n_zones + 1)
    }

    fn start_upstream(&self, kind: &str, idx: usize) -> anyhow::Result<Upstream> {
        let name = format!("{kind}-{}", idx + 1);
        let address = free_address();
        let mut args = vec![kind.to_owned(), "--address".to_owned(), address.to_string()];
        if kind == "engine" {
            // Every other engine checks fencing tokens, starting with the first.
            args.extend(idx.is_multiple_of(2).then(|| "--checks-fencing".to_owned()));
            args.extend(["--decode-ms".to_owned(), self.options.decode_ms.to_string()]);
            args.extend([
                "--prefill-tokens-per-s".to_owned(),
                self.options.prefill_tokens_per_s.to_string(),
            ]);
        }
        let process = Process::start(&name, self.folder.path(), "lentilhitch_standin", &args)?;
        let link = FaultProxy::start(PROXY_IP, address)?;
        Ok(Upstream { name, zone: self.zone(idx), address, link, process, args })
    }

    fn start_entries(&mut self) -> anyhow::Result<()> {
        let n_entries = self.options.n_entries;
        let addresses: Vec<_> =
            (0..n_entries).map(|_| (free_address(), free_address(), free_address())).collect();
        for (idx, (front, admin, peer)) in addresses.iter().copied().enumerate() {
            let name = format!("entry-{}", idx + 1);
            let platform_link = FaultProxy::start(PROXY_IP, self.platform_address)?;
            let mut peer_links = Vec::new();
            let mut peers = Vec::new();
            for (peer_idx, (_, _, address)) in addresses.iter().enumerate().filter(|it| it.0 != idx)
            {
                let link = FaultProxy::start(PROXY_IP, *address)?;
                let instance = format!("entry-{}", peer_idx + 1);
                peers.push(json!({ "instance": instance, "zone": self.zone(peer_idx), "address": link.address().to_string() }));
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

fn serve_args(settings: &Path) -> Vec<String> {
    vec!["serve".to_owned(), settings.display().to_string()]
}
