//! Stand-ins for the cases of the review: clients, replicas and the platform, in one program that also starts the nodes.
//!
//! Usage: `standins CASE RECORD`. With `TROUBLE=0` in the environment, the case runs without its disruption. The exit code
//! is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod books;
mod downloads;
mod drill;
mod http;
mod node;
mod record;
mod rolled;
mod site;
mod store;
mod streams;
mod uploads;
mod versions;

use std::{io, panic::catch_unwind, path::Path, process::ExitCode, thread, time::Duration};

use record::Record;

/// Time after which a case that has not ended counts as one that could not run.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record] = args.as_slice() else {
        eprintln!("usage: standins CASE RECORD");
        return ExitCode::from(2);
    };
    let is_quiet = std::env::var("TROUBLE").is_ok_and(|it| it == "0");
    match catch_unwind(|| run(case, Path::new(record), !is_quiet)) {
        Ok(Ok(true)) => ExitCode::from(1),
        Ok(Ok(false)) => ExitCode::SUCCESS,
        Ok(Err(err)) => {
            eprintln!("the case could not run: {err}");
            ExitCode::from(2)
        }
        Err(_) => ExitCode::from(2),
    }
}

/// Runs a case. Returns whether the rule was broken.
fn run(case: &str, record: &Path, has_trouble: bool) -> io::Result<bool> {
    let record = Record::create(record)?;
    record.line(&format!("case {case}, disruption {has_trouble}"));
    // The nodes end with this process, also when the time limit ends it.
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("the case took too long");
        std::process::exit(2);
    });
    let is_broken = match case {
        "books" => books::run(&record, has_trouble),
        "downloads" => downloads::run(&record, has_trouble),
        "drill" => drill::run(&record, has_trouble),
        "rolled" => rolled::run(&record, has_trouble),
        "uploads" => uploads::run(&record, has_trouble),
        "versions" => versions::run(&record, has_trouble),
        _ => Err(io::Error::other("no such case")),
    };
    match &is_broken {
        Ok(true) => record.line("result: the rule was broken"),
        Ok(false) => record.line("result: the rule held"),
        Err(err) => record.line(&format!("result: the case could not run: {err}")),
    }
    is_broken
}
