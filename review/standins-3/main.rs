//! Stand-ins for the cases 11 to 15 of the review. Usage: `review-3 CASE FOLDER`, where `FOLDER` is that of the case. Exits
//! with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod http;
mod poisoned;
mod replica;
mod resumed;
mod shifted;
mod site;
mod store;

use std::{env, path::PathBuf, process::ExitCode};

use site::{Record, Site};

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

fn main() -> ExitCode {
    let args: Vec<_> = env::args().collect();
    if args.get(1).is_some_and(|it| it == "replica") {
        return match replica::run_server(&args[2..]) {
            Ok(()) => ExitCode::SUCCESS,
            Err(_) => ExitCode::from(2),
        };
    }
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: review-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    match run(case, &PathBuf::from(folder), has_trouble) {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Ok(Verdict::CouldNotRun) => ExitCode::from(2),
        Err(err) => {
            eprintln!("the case could not run: {err}");
            ExitCode::from(2)
        }
    }
}

fn run(case: &str, folder: &std::path::Path, has_trouble: bool) -> std::io::Result<Verdict> {
    let record = Record::new(&folder.join("record.txt"))?;
    record.write(if has_trouble { "with the disruption" } else { "without the disruption" });
    let temporary = env::temp_dir().join(format!("review-3-{}", std::process::id()));
    let program = env::current_dir()?.join("target/release/lentilhitch");
    let site = Site::start(&program, &temporary, record)?;
    let verdict = match case {
        "forgotten" => poisoned::run_forgotten(site, has_trouble),
        "session" => poisoned::run_session(site, has_trouble),
        "resumed" => resumed::run(site, has_trouble),
        "herd" => resumed::run_herd(site, has_trouble),
        "shifted" => shifted::run(site, has_trouble),
        _ => Ok(Verdict::CouldNotRun),
    };
    if env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    verdict
}
