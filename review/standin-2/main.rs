//! The world of the review's scripts: the platform's store, minions and clients as stand-ins, and
//! the project's boxes as processes.
//!
//! Usage: world CASE ROOT FOLDER RECORD, with TROUBLE=0 in the environment for a run without the
//! disruption. Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.

mod boxes;
mod cases;
mod http;
mod json;
mod minion;
mod record;
mod store;
mod world;

use std::{env, path::PathBuf, process::exit};

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, root, folder, record] = &arguments[..] else {
        eprintln!("usage: world CASE ROOT FOLDER RECORD");
        exit(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let (root, folder) = (PathBuf::from(root), PathBuf::from(folder));
    let result = std::panic::catch_unwind(|| cases::run(case, &root, &folder, record, trouble));
    exit(result.unwrap_or(2));
}
