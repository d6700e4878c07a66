//! Measures the resource usage of a running process.

use {
    crate::{cli, machine},
    serde::Serialize,
    std::{process, thread, time::Duration},
};

/// Exit code when the process does not exist.
const EXIT_NO_PROCESS: i32 = 1;

/// The measured usage.
#[derive(Debug, Serialize)]
struct Outcome {
    pid: u32,
    memory_mb: f64,
    threads: u64,
    core_percent: f64,
}

/// Runs the measurement and prints the outcome.
pub fn run(command: &cli::Watch) {
    let name = command.pid.to_string();
    let before = machine::cpu_seconds_of(&name);
    thread::sleep(Duration::from_secs(command.seconds));
    let after = machine::cpu_seconds_of(&name);
    let outcome = Outcome {
        pid: command.pid,
        memory_mb: machine::resident_bytes_of(&name) as f64 / 1e6,
        threads: machine::thread_count_of(&name),
        core_percent: (after - before) / command.seconds as f64 * 100.0,
    };
    if outcome.threads == 0 {
        eprintln!("process {name} does not exist");
        process::exit(EXIT_NO_PROCESS)
    }
    if command.json {
        println!("{}", serde_json::to_string(&outcome).unwrap_or_default());
        return;
    }
    println!(
        "memory {:.1} MB, {} threads, {:.2}% of a core",
        outcome.memory_mb, outcome.threads, outcome.core_percent
    );
}
