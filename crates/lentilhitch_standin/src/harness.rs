//! Starts the system and its stand-ins as processes, and disturbs them. For tests, the demo and the load command.

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

/// Longest wait for a condition.
pub const PATIENCE: Duration = Duration::from_secs(30);
const LOOK: Duration = Duration::from_millis(20);

/// The bearer token of the team of the harness.
pub const TOKEN: &str = "the-token-of-ausonia";
/// The model of the language services: durable, and interactive.
pub const DURABLE_MODEL: &str = "proofread";
pub const INTERACTIVE_MODEL: &str = "register";

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

/// Runs a `lentilhitch` command; returns whether it succeeded and what it printed.
pub fn run_command(args: &[String]) -> anyhow::Result<(bool, String)> {
    let output = Command::new(process::binary_path("lentilhitch")?)
        .args(args)
        .stdin(Stdio::null())
        .output()?;
    let text = String::from_utf8_lossy(&output.stdout).into_owned()
        + &String::from_utf8_lossy(&output.stderr);
    Ok((output.status.success(), text))
}
