//! The `lentilhitch` binary: parses the arguments and runs a command.

mod args;
mod commands;
mod logging;

use std::process::ExitCode;

use args::{Args, Command};

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let result = match args.command {
        Command::Serve(it) => commands::serve(&it),
        Command::Edge(it) => commands::edge(&it),
        Command::Check(it) => Ok(commands::check(&it)),
        Command::Publish(it) => commands::publish(&it),
        Command::Status(it) => commands::status(&it),
        Command::Dump(it) => commands::dump(&it),
        Command::Schema(it) => commands::schema(&it),
        Command::Explain(it) => commands::explain(&it),
        Command::TokenDigest(it) => commands::token_digest(&it),
    };
    match result {
        Ok(status) => status.into(),
        Err(err) => {
            eprintln!("lentilhitch: {err:#}");
            commands::ExitStatus::Failed.into()
        }
    }
}
