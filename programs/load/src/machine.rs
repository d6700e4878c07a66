//! Resource usage of processes, read from `/proc`, and a timing helper.

use std::{
    fs,
    time::{Duration, Instant},
};

/// Size of a memory page in bytes, as on the Linux machines that run this program.
const PAGE_SIZE: u64 = 4096;

/// Ticks of processor time per second, as Linux reports them.
const TICKS_PER_SECOND: f64 = 100.0;

/// The directory of this process below `/proc`.
const SELF: &str = "self";

/// The fields of `/proc/<name>/stat` after the command name, which may contain spaces; empty when
/// there is no such process.
fn fields(name: &str) -> Vec<String> {
    let text = fs::read_to_string(format!("/proc/{name}/stat")).unwrap_or_default();
    let rest = text.rsplit(')').next().unwrap_or_default();
    rest.split_whitespace().map(str::to_owned).collect()
}

fn field(name: &str, index: usize) -> u64 {
    fields(name)
        .get(index)
        .and_then(|field| field.parse().ok())
        .unwrap_or(0)
}

/// Resident memory of a process in bytes; 0 when unavailable.
pub fn resident_bytes_of(name: &str) -> u64 {
    field(name, 21) * PAGE_SIZE
}

/// Processor time used by a process in seconds; 0 when unavailable.
pub fn cpu_seconds_of(name: &str) -> f64 {
    (field(name, 11) + field(name, 12)) as f64 / TICKS_PER_SECOND
}

/// Number of threads of a process; 0 when there is no such process.
pub fn thread_count_of(name: &str) -> u64 {
    field(name, 17)
}

/// Resident memory of this process in bytes.
pub fn resident_bytes() -> u64 {
    resident_bytes_of(SELF)
}

/// Processor time used by this process in seconds.
pub fn cpu_seconds() -> f64 {
    cpu_seconds_of(SELF)
}

/// Returns the shortest duration of several runs, which is the one least affected by other load.
pub fn shortest(runs: u32, mut run: impl FnMut()) -> Duration {
    let mut best = Duration::MAX;
    for _ in 0..runs {
        let started = Instant::now();
        run();
        best = best.min(started.elapsed());
    }
    best
}
