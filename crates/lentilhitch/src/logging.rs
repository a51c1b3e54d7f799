//! Logs: JSON lines on standard output.
//!
//! A line is kept in memory and written by a thread of its own, so that a reader that is slow or has stopped delays no
//! request. The memory is bounded. When half of it is taken, lines below the level of a warning are dropped; requests
//! that fail are logged as warnings. Dropped lines are counted and the count is logged.

use std::{io::Write as _, mem, sync::Arc, thread, time::Duration};

use log::{Level, LevelFilter, Record};
use log4rs::{
    Config,
    append::Append,
    config::{Appender, Logger, Root},
    encode::{Encode as _, json::JsonEncoder, writer::simple::SimpleWriter},
};
use parking_lot::Mutex;

/// Lines that wait to be written; some seconds of a busy node.
const BUFFER_BYTES_MAX: usize = 2 * 1024 * 1024;
/// How often lines are written. A killed process loses the lines since.
const FLUSH_PAUSE: Duration = Duration::from_millis(200);

/// Sets up logging for the whole process.
pub(crate) fn init() -> anyhow::Result<()> {
    let buffer = Arc::new(Mutex::new(Buffer::default()));
    let appender = BufferedAppender { buffer: buffer.clone(), encoder: JsonEncoder::new() };
    let quiet = [
        "rocket",
        "hyper",
        "hyper_util",
        "reqwest",
        "tungstenite",
        "tokio_tungstenite",
        "opentelemetry",
        "opentelemetry_sdk",
    ];
    let loggers = quiet.map(|it| Logger::builder().build(it, LevelFilter::Warn));
    let config = Config::builder()
        .appender(Appender::builder().build("stdout", Box::new(appender)))
        .loggers(loggers)
        .build(Root::builder().appender("stdout").build(LevelFilter::Info))?;
    log4rs::init_config(config)?;
    thread::Builder::new().name("log-writer".to_owned()).spawn(move || write_lines(&buffer))?;
    Ok(())
}

/// Ends the process on a panic, once it is logged. A node with a task that died would go on with old beliefs; the platform
/// starts a new one.
pub(crate) fn end_on_panic() {
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
        write_out(&self.buffer);
    }
}

fn write_lines(buffer: &Mutex<Buffer>) {
    loop {
        thread::sleep(FLUSH_PAUSE);
        let n_dropped = mem::take(&mut buffer.lock().n_dropped);
        if 0 < n_dropped {
            log::warn!(n_dropped; "log lines dropped");
        }
        write_out(buffer);
    }
}

/// Nobody is left to tell when standard output is closed, so a failure to write ends here.
fn write_out(buffer: &Mutex<Buffer>) {
    let bytes = mem::take(&mut buffer.lock().bytes);
    if !bytes.is_empty() {
        let mut out = std::io::stdout().lock();
        let _ = out.write_all(&bytes).and_then(|()| out.flush());
    }
}
