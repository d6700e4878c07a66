//! What came of the demo.

use {
    crate::world::World,
    kernel::sync::lock,
    serde::Serialize,
    standin::store::Counts,
    std::{
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
};

/// The outcome; with `--json` the last line.
#[derive(Debug, Serialize)]
pub struct Outcome {
    /// The user whose sizes were taken.
    pub deploy: &'static str,
    /// Seconds of load.
    pub seconds: f64,
    /// Callers' requests.
    pub requests: u64,
    /// Requests told "not run".
    pub shed: u64,
    /// Requests told "may have run".
    pub may_have_run: u64,
    /// Answers that were not whole or another's.
    pub wrong_answers: u64,
    /// The median latency from the intended start, in milliseconds.
    pub p50_ms: f64,
    /// The latency that 99 of 100 requests stay below, in milliseconds.
    pub p99_ms: f64,
    /// Jobs acknowledged.
    pub jobs: u64,
    /// The time in which half of the urgent jobs started, from their submission, in milliseconds.
    pub urgent_p50_ms: f64,
    /// The longest such time, in milliseconds.
    pub urgent_most_ms: f64,
    /// Tasks started.
    pub starts: u64,
    /// Tasks finished.
    pub finished: u64,
    /// Tasks evicted.
    pub evictions: u64,
    /// Tasks that ran in two places at once, or again after their end.
    pub double_runs: u64,
    /// Workers committed beyond what they have.
    pub overcommits: u64,
    /// Edits accepted.
    pub edits: u64,
    /// Edits refused for a conflict.
    pub conflicts: u64,
    /// Edits that the store's trouble left open or refused.
    pub open_edits: u64,
    /// The time in which 99 of 100 edits were in force everywhere, in milliseconds.
    pub edit_p99_ms: f64,
    /// Reads and watches of the store a second.
    pub store_reads_per_s: f64,
    /// Writes to the store a second.
    pub store_writes_per_s: f64,
    /// How many things that must hold were broken.
    pub breaches: usize,
    /// What they were.
    pub breach_texts: Vec<String>,
}

/// Gathers the outcome.
pub fn build(world: &World, (before, after): (Counts, Counts), took: Duration) -> Outcome {
    let totals = world.fleet.platform.auditor.totals();
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    let counts = &world.counts;
    let reads = after.get + after.watch - before.get - before.watch;
    let writes = after.swap - before.swap;
    let latency = lock(&world.latency);
    let milliseconds = |value: u64| value as f64 / 1000.0;
    let texts = world.breaches();
    let urgent = urgent_times(world);
    Outcome {
        deploy: world.fleet.deploy.name,
        seconds: took.as_secs_f64(),
        requests: count(&counts.requests),
        shed: count(&counts.shed),
        may_have_run: count(&counts.doubtful),
        wrong_answers: count(&counts.wrong),
        p50_ms: milliseconds(latency.value_at_quantile(0.5)),
        p99_ms: milliseconds(latency.value_at_quantile(0.99)),
        jobs: count(&counts.jobs),
        urgent_p50_ms: at(&urgent, 50),
        urgent_most_ms: at(&urgent, 100),
        starts: totals.starts,
        finished: totals.finished,
        evictions: totals.evictions,
        double_runs: totals.concurrent_runs + totals.repeated_tasks,
        overcommits: totals.overcommits,
        edits: count(&counts.edits),
        conflicts: count(&counts.conflicts),
        open_edits: count(&counts.open_edits),
        edit_p99_ms: milliseconds(lock(&world.spread).value_at_quantile(0.99)),
        store_reads_per_s: reads as f64 / took.as_secs_f64(),
        store_writes_per_s: writes as f64 / took.as_secs_f64(),
        breaches: texts.len(),
        breach_texts: texts,
    }
}

/// The times from urgent jobs' submissions to their first starts, in milliseconds, in order.
fn urgent_times(world: &World) -> Vec<f64> {
    let mut times = Vec::new();
    for (id, submitted) in lock(&world.urgent).iter() {
        let Some(begun) = world.fleet.platform.auditor.first_start(id) else {
            continue;
        };
        times.push(begun.saturating_duration_since(*submitted).as_secs_f64() * 1e3);
    }
    times.sort_by(f64::total_cmp);
    times
}

/// The value that this many of a hundred stay below or at; 0 when there is none.
fn at(sorted: &[f64], percent: usize) -> f64 {
    let place = (sorted.len() * percent).div_ceil(100).saturating_sub(1);
    sorted.get(place).copied().unwrap_or(0.0)
}

impl Outcome {
    /// Prints the outcome for a person.
    pub fn print(&self) {
        println!(
            "Requests   {} in {:.0} s, p50 {:.1} ms, p99 {:.1} ms, {} shed, {} may have run, \
             {} wrong answers",
            self.requests,
            self.seconds,
            self.p50_ms,
            self.p99_ms,
            self.shed,
            self.may_have_run,
            self.wrong_answers
        );
        println!(
            "Tasks      {} jobs, {} starts, {} finished, {} evictions, {} double runs, {} \
             overcommits",
            self.jobs,
            self.starts,
            self.finished,
            self.evictions,
            self.double_runs,
            self.overcommits
        );
        println!(
            "Urgent     half started in {:.0} ms, the last in {:.0} ms",
            self.urgent_p50_ms, self.urgent_most_ms
        );
        println!(
            "Table      {} edits in force everywhere, p99 {:.1} ms, {} conflicts, {} left open",
            self.edits, self.edit_p99_ms, self.conflicts, self.open_edits
        );
        println!(
            "Store      {:.1} reads a second, {:.1} writes a second",
            self.store_reads_per_s, self.store_writes_per_s
        );
        for text in &self.breach_texts {
            println!("BREACH     {text}");
        }
        println!("Breaches   {}", self.breaches);
    }
}
