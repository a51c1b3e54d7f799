//! Logs: JSON lines on standard output.

use log::LevelFilter;
use log4rs::{
    Config,
    append::console::ConsoleAppender,
    config::{Appender, Logger, Root},
    encode::json::JsonEncoder,
};

/// Sets up logging for the whole process.
pub(crate) fn init() -> anyhow::Result<()> {
    let console = ConsoleAppender::builder().encoder(Box::new(JsonEncoder::new())).build();
    let quiet = [
        "rocket",
        "hyper",
        "tungstenite",
        "tokio_tungstenite",
        "opentelemetry",
        "opentelemetry_sdk",
    ];
    let loggers = quiet.map(|it| Logger::builder().build(it, LevelFilter::Warn));
    let config = Config::builder()
        .appender(Appender::builder().build("console", Box::new(console)))
        .loggers(loggers)
        .build(Root::builder().appender("console").build(LevelFilter::Info))?;
    log4rs::init_config(config)?;
    Ok(())
}
