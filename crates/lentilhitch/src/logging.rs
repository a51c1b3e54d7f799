//! Logs: JSON lines on standard output.
//!
//! Lines are buffered in memory and written by a dedicated thread, so that a slow or stopped reader of standard output
//! delays no request. The size of the buffer is limited. While it is half full or more, lines below the warning level
//! are dropped, which leaves space for warnings, such as those about failed requests. The number of dropped lines is
//! logged.

use std::{io::Write as _, mem, sync::Arc, thread, time::Duration};

use log::{Level, LevelFilter, Record};
use log4rs::{
    Config,
    append::Append,
    config::{Appender, Logger, Root},
    encode::{Encode as _, json::JsonEncoder, writer::simple::SimpleWriter},
};
use parking_lot::Mutex;

/// Maximum size of the lines that wait to be written. It is enough for a few seconds of a busy node.
const BUFFER_BYTES_MAX: usize = 2 * 1024 * 1024;
/// Interval at which the buffered lines are written. A process that is killed loses the lines since the last write.
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);

/// Sets up logging for the whole process.
pub(crate) fn init() -> anyhow::Result<()> {
    let buffer = Arc::new(Mutex::new(Buffer::default()));
    let appender = BufferedAppender { buffer: buffer.clone(), encoder: JsonEncoder::new() };
    let warn_only_targets = [
        "rocket",
        "hyper",
        "hyper_util",
        "reqwest",
        "tungstenite",
        "tokio_tungstenite",
        "opentelemetry",
        "opentelemetry_sdk",
    ];
    let loggers = warn_only_targets.map(|it| Logger::builder().build(it, LevelFilter::Warn));
    let config = Config::builder()
        .appender(Appender::builder().build("stdout", Box::new(appender)))
        .loggers(loggers)
        .build(Root::builder().appender("stdout").build(LevelFilter::Info))?;
    log4rs::init_config(config)?;
    thread::Builder::new()
        .name("log-writer".to_owned())
        .spawn(move || flush_periodically(&buffer))?;
    Ok(())
}

/// Installs a panic hook that logs the panic and aborts the process. A node in which a task has panicked would
/// otherwise continue with stale state. The platform starts a new node in its place.
pub(crate) fn abort_on_panic() {
    std::panic::set_hook(Box::new(|info| {
        log::error!(panic:% = info; "internal error");
        log::logger().flush();
        std::process::abort();
    }));
}

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    n_dropped: u64,
}

#[derive(Debug)]
struct BufferedAppender {
    buffer: Arc<Mutex<Buffer>>,
    encoder: JsonEncoder,
}

impl Append for BufferedAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let bytes_max =
            if record.level() <= Level::Warn { BUFFER_BYTES_MAX } else { BUFFER_BYTES_MAX / 2 };
        let mut buffer = self.buffer.lock();
        if bytes_max <= buffer.bytes.len() {
            buffer.n_dropped += 1;
            return Ok(());
        }
        self.encoder.encode(&mut SimpleWriter(&mut buffer.bytes), record)
    }

    fn flush(&self) {
        flush_buffer(&self.buffer);
    }
}

fn flush_periodically(buffer: &Mutex<Buffer>) {
    loop {
        thread::sleep(FLUSH_INTERVAL);
        let n_dropped = mem::take(&mut buffer.lock().n_dropped);
        if 0 < n_dropped {
            log::warn!(n_dropped; "log lines dropped");
        }
        flush_buffer(buffer);
    }
}

/// Writes the buffered lines to standard output. Ignores errors: if standard output is closed, there is no other output
/// on which to report them.
fn flush_buffer(buffer: &Mutex<Buffer>) {
    let bytes = mem::take(&mut buffer.lock().bytes);
    if !bytes.is_empty() {
        let mut out = std::io::stdout().lock();
        let _ = out.write_all(&bytes).and_then(|()| out.flush());
    }
}
