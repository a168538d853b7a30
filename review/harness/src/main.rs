//! Runs one case of the review. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.

mod cases;
mod chaos;
mod controllers;
mod fleet;
mod http;
mod msgpack;
mod proxy;
mod store;
mod users;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

/// What a case is given: the root of the repository, a temporary folder, its record, and whether there is trouble.
pub struct Context {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub record: PathBuf,
    pub trouble: bool,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, root, folder, record] = &args[..] else {
        eprintln!("usage: review-harness CASE ROOT FOLDER RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let context = Context { root: root.into(), folder: folder.into(), record: record.into(), trouble };
    let verdict = match case.as_str() {
        "lower-limits" => cases::lower_limits(&context),
        "many-small-tasks" => cases::many_small_tasks(&context),
        "repeated-commands" => cases::repeated_commands(&context),
        "chaos" => chaos::chaos(&context),
        "stale-return" => chaos::stale_return(&context),
        _ => Verdict::CouldNotRun,
    };
    match verdict {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Broken => ExitCode::from(1),
        Verdict::CouldNotRun => ExitCode::from(2),
    }
}
