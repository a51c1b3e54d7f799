//! HTTP server that all stand-ins use.

use std::net::SocketAddr;

use rocket::{Build, Rocket, config::LogLevel};

/// Returns a server that logs nothing and stops immediately on a signal.
pub(crate) fn server(address: SocketAddr) -> Rocket<Build> {
    let mut config = rocket::Config {
        address: address.ip(),
        port: address.port(),
        log_level: LogLevel::Off,
        cli_colors: false,
        ..rocket::Config::default()
    };
    config.shutdown.grace = 0;
    config.shutdown.mercy = 0;
    let limits =
        rocket::data::Limits::default().limit("json", rocket::data::ByteUnit::Mebibyte(16));
    config.limits = limits;
    rocket::custom(config)
}
