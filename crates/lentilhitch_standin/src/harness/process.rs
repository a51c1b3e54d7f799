//! Child processes: start, signals, exit, resource usage and logs.

use std::{
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    thread,
    time::Instant,
};

use anyhow::{Context as _, bail};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use parking_lot::Mutex;

use crate::harness::{POLL_INTERVAL, WAIT_TIMEOUT};

/// Number of log lines that a failing test prints for each process.
const LOG_TAIL_LINES: usize = 25;

/// Position of the next loopback address to try.
static NEXT_HOST: AtomicU32 = AtomicU32::new(1);

/// A child process that is killed when this handle is dropped.
#[derive(Debug)]
pub struct Process {
    pub name: String,
    child: Child,
    /// File that receives the standard output and standard error.
    log: PathBuf,
    is_frozen: bool,
}

impl Process {
    /// Starts a binary of this workspace. Its output is appended to `{name}.log` in `folder`.
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
                format!("can't start {}; build it with `cargo build --workspace`", path.display())
            })?;
        Ok(Self { name: name.to_owned(), child, log, is_frozen: false })
    }

    fn signal(&self, signal: Signal) {
        // Fails if the process has exited already.
        let _ = kill(Pid::from_raw(self.child.id().cast_signed()), signal);
    }

    /// Kills the process (SIGKILL) and waits until it has exited.
    pub fn kill(&mut self) {
        self.signal(Signal::SIGKILL);
        // An error means that its exit status was collected already.
        let _ = self.child.wait();
    }

    /// Requests the process to shut down (SIGTERM).
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Suspends the process (SIGSTOP).
    pub fn freeze(&mut self) {
        self.is_frozen = true;
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes the suspended process (SIGCONT).
    pub fn thaw(&mut self) {
        self.is_frozen = false;
        self.signal(Signal::SIGCONT);
    }

    /// Returns whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the process has exited, and returns its exit code, or `None` if a signal ended it.
    pub fn wait(&mut self) -> anyhow::Result<Option<i32>> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status.code());
            }
            thread::sleep(POLL_INTERVAL);
        }
        bail!("{} did not exit before the timeout", self.name)
    }

    /// Returns the processor time used so far in milliseconds, at a kernel clock of 100 ticks per second.
    pub fn cpu_ms(&self) -> u64 {
        let stat =
            fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let fields: Vec<_> =
            stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks =
            |idx: usize| fields.get(idx).and_then(|it| it.parse::<u64>().ok()).unwrap_or_default();
        (ticks(11) + ticks(12)) * 10
    }

    /// Returns the resident memory in KiB.
    pub fn resident_kib(&self) -> u64 {
        resident_kib(&format!("/proc/{}/status", self.child.id()))
    }

    /// Returns everything that the process has written to its log.
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns the last lines of the output.
    pub(crate) fn log_tail(&self) -> String {
        let text = self.log_text();
        let lines: Vec<_> = text.lines().collect();
        lines[lines.len().saturating_sub(LOG_TAIL_LINES)..].join("\n")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("--- log of {}\n{}", self.name, self.log_tail());
        }
        self.kill();
    }
}

/// Returns the resident memory in KiB that a `/proc/*/status` file states.
pub fn resident_kib(status_file: &str) -> u64 {
    let status = fs::read_to_string(status_file).unwrap_or_default();
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"));
    line.and_then(|it| it.split_whitespace().next()?.parse().ok()).unwrap_or_default()
}

/// Returns a separate loopback address with a port that is free until the caller's process listens on it. The port is not
/// one that the system gives out, and the address is reserved, so no other socket gets it meanwhile. Nothing listens on the
/// port before: a process that another test starts would hold the listener between its fork and its exec.
pub(crate) fn free_address() -> SocketAddr {
    SocketAddr::new(own_ip(), SERVICE_PORT)
}

/// Port of the listener that reserves a loopback address.
const RESERVATION_PORT: u16 = 19_999;
/// Port of the addresses that are returned as free. It lies below the range from which systems choose.
const SERVICE_PORT: u16 = 19_998;

/// Listeners that reserve the loopback addresses of this process until it exits.
static RESERVATIONS: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());

/// Returns a loopback address that no other process of this harness uses while this process runs. The search starts at
/// an address formed from the ID of this process, so that concurrent tests seldom try the same addresses.
pub(crate) fn own_ip() -> IpAddr {
    let mut candidate =
        std::process::id().rotate_left(8) ^ NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    loop {
        let [_, second, third, fourth] = candidate.to_be_bytes();
        let ip = IpAddr::V4(Ipv4Addr::new(127, second | 1, third, fourth));
        candidate = candidate.wrapping_add(1);
        // Addresses ending in 0 or 255 are skipped, since some tools take them for networks and broadcasts.
        if !(1..255).contains(&fourth) {
            continue;
        }
        if let Ok(reservation) = TcpListener::bind((ip, RESERVATION_PORT)) {
            RESERVATIONS.lock().push(reservation);
            return ip;
        }
    }
}

/// Returns the path of a binary of this workspace. Binaries are in the folder of the running binary, or in its parent
/// folder if the running binary is a test.
pub(super) fn binary_path(name: &str) -> anyhow::Result<PathBuf> {
    let current_exe = std::env::current_exe()?;
    let folder = current_exe.parent().context("the running binary has no parent folder")?;
    let folder = if folder.ends_with("deps") { folder.parent().unwrap_or(folder) } else { folder };
    Ok(folder.join(name))
}
