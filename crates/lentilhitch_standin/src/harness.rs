//! Runs entry processes and stand-ins for the platform, the engines and the applications that they work with, each as a
//! process, and injects faults. For tests and for commands such as `demo` and `load`.

mod calls;
mod cluster;
mod events;
mod options;
mod process;

use std::{
    process::{Command, Stdio},
    time::{Duration, Instant},
};

use anyhow::bail;

pub use cluster::{Cluster, Entry, Upstream};
pub use events::{Events, read_events, read_events_until};
pub use options::Options;
pub use process::{Process, resident_kib};
pub(crate) use process::{free_address, own_ip};

/// Upper limit on the wait for a condition, for a response of `get_json` and for the exit of a process.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Bearer token of the default team.
pub const TOKEN: &str = "the-token-of-ausonia";
/// Model of the durable language service.
pub const DURABLE_MODEL: &str = "proofread";
/// Model of the interactive language service, which is not durable.
pub const INTERACTIVE_MODEL: &str = "register";

/// Polls a condition until it is met. Returns an error that contains the text `condition` if it is not met within
/// [`WAIT_TIMEOUT`].
pub async fn until<F: Future<Output = bool>>(
    condition: &str,
    mut is_met: impl FnMut() -> F,
) -> anyhow::Result<()> {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < deadline {
        if is_met().await {
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    bail!("timed out after {} s waiting for: {condition}", WAIT_TIMEOUT.as_secs())
}

/// Runs a `lentilhitch` command until it exits. Returns whether it succeeded, and its standard output followed by its
/// standard error.
pub fn run_command(args: &[String]) -> anyhow::Result<(bool, String)> {
    let output = Command::new(process::binary_path("lentilhitch")?)
        .args(args)
        .stdin(Stdio::null())
        .output()?;
    let text = String::from_utf8_lossy(&output.stdout).into_owned()
        + &String::from_utf8_lossy(&output.stderr);
    Ok((output.status.success(), text))
}
