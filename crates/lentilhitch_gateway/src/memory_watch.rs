//! Measures the memory of the process, from which follows what bodies may take.

use std::{rc::Rc, time::Duration};

use tokio::time::sleep;

use crate::node::Node;

/// Interval between measurements.
const MEASURE_INTERVAL: Duration = Duration::from_secs(1);
const STATUS_FILE: &str = "/proc/self/status";

/// Measures the memory again and again.
pub(crate) async fn run<P>(node: Rc<Node<P>>) {
    loop {
        let Some(resident_bytes) = resident_bytes() else {
            log::warn!(file = STATUS_FILE; "the memory of the process can't be read");
            return;
        };
        node.body_memory.on_resident_bytes(resident_bytes);
        sleep(MEASURE_INTERVAL).await;
    }
}

/// Returns the resident memory of this process.
fn resident_bytes() -> Option<usize> {
    let status = std::fs::read_to_string(STATUS_FILE).ok()?;
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"))?;
    let kib: usize = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib * 1024)
}
