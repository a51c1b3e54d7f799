//! Processes that are started, watched, signalled and killed.

use std::{
    fs::{self, File},
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU8, Ordering},
    thread,
    time::Instant,
};

use anyhow::{Context as _, bail};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

use crate::harness::{LOOK, PATIENCE};

const LOG_TAIL_LINES: usize = 25;

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
    pub(crate) fn start(
        name: &str,
        folder: &Path,
        binary: &str,
        args: &[String],
    ) -> anyhow::Result<Self> {
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

/// The resident memory that a status file of the kernel tells, in KiB.
pub fn resident_kib(status_file: &str) -> u64 {
    let status = fs::read_to_string(status_file).unwrap_or_default();
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"));
    line.and_then(|it| it.split_whitespace().next()?.parse().ok()).unwrap_or_default()
}

/// A loopback address of its own, with a port that the system chose.
pub(crate) fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind((own_ip(), 0))?.local_addr()
}

/// A loopback address of its own.
pub(crate) fn own_ip() -> IpAddr {
    let pid = std::process::id().to_le_bytes();
    let host = N_ADDRESSES.fetch_add(1, Ordering::Relaxed).max(1);
    IpAddr::V4(Ipv4Addr::new(127, pid[1] | 1, pid[0], host))
}

/// Binaries are beside this one, or one folder up if this one is a test.
pub(super) fn binary_path(name: &str) -> anyhow::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folder = own.parent().context("the running binary is in no folder")?;
    let folder = if folder.ends_with("deps") { folder.parent().unwrap_or(folder) } else { folder };
    Ok(folder.join(name))
}
