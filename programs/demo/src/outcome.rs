//! Results of a demo run and their output.

use {
    crate::context::Context,
    kernel::sync::lock,
    serde::Serialize,
    standin::store::Counts,
    std::{
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
};

/// Results of a run; with `--json` printed as the last line.
#[derive(Debug, Serialize)]
pub struct Outcome {
    /// User whose deployment sizes were used.
    pub deploy: &'static str,
    /// Duration of the load in seconds.
    pub seconds: f64,
    /// Requests of callers.
    pub requests: u64,
    /// Requests with the verdict "not run".
    pub shed: u64,
    /// Requests with the verdict "may have run", or without a response.
    pub may_have_run: u64,
    /// Responses that were incomplete or belonged to another request.
    pub wrong_answers: u64,
    /// Median latency from the scheduled start, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency, in milliseconds.
    pub p99_ms: f64,
    /// Jobs acknowledged.
    pub jobs: u64,
    /// Median time from submission to first start of urgent jobs, in milliseconds.
    pub urgent_p50_ms: f64,
    /// Maximum of that time, in milliseconds.
    pub urgent_most_ms: f64,
    /// Tasks started.
    pub starts: u64,
    /// Tasks finished.
    pub finished: u64,
    /// Tasks evicted.
    pub evictions: u64,
    /// Tasks that ran in two places at once, or again after they had finished.
    pub double_runs: u64,
    /// Allocations beyond the capacity of a worker.
    pub overcommits: u64,
    /// Edits accepted.
    pub edits: u64,
    /// Edits refused because of a conflict.
    pub conflicts: u64,
    /// Edits whose outcome is unknown or that were refused because of store faults.
    pub open_edits: u64,
    /// 99th percentile of the time until an edit was in use everywhere, in milliseconds.
    pub edit_p99_ms: f64,
    /// Reads and watches of the store per second.
    pub store_reads_per_s: f64,
    /// Writes to the store per second.
    pub store_writes_per_s: f64,
    /// Number of breached invariants.
    pub breaches: usize,
    /// Descriptions of the breaches.
    pub breach_texts: Vec<String>,
}

/// Builds the results from the counters.
pub fn build(context: &Context, (before, after): (Counts, Counts), elapsed: Duration) -> Outcome {
    let totals = context.fleet.platform.auditor.totals();
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    let counts = &context.counts;
    let reads = after.get + after.watch - before.get - before.watch;
    let writes = after.swap - before.swap;
    let latency = lock(&context.latency);
    let milliseconds = |value: u64| value as f64 / 1000.0;
    let texts = context.breaches();
    let urgent = urgent_times(context);
    Outcome {
        deploy: context.fleet.deploy.name,
        seconds: elapsed.as_secs_f64(),
        requests: count(&counts.requests),
        shed: count(&counts.shed),
        may_have_run: count(&counts.may_have_run),
        wrong_answers: count(&counts.wrong_responses),
        p50_ms: milliseconds(latency.value_at_quantile(0.5)),
        p99_ms: milliseconds(latency.value_at_quantile(0.99)),
        jobs: count(&counts.jobs),
        urgent_p50_ms: percentile(&urgent, 50),
        urgent_most_ms: percentile(&urgent, 100),
        starts: totals.starts,
        finished: totals.finished,
        evictions: totals.evictions,
        double_runs: totals.concurrent_runs + totals.repeated_tasks,
        overcommits: totals.overcommits,
        edits: count(&counts.edits),
        conflicts: count(&counts.conflicts),
        open_edits: count(&counts.open_edits),
        edit_p99_ms: milliseconds(lock(&context.propagation).value_at_quantile(0.99)),
        store_reads_per_s: reads as f64 / elapsed.as_secs_f64(),
        store_writes_per_s: writes as f64 / elapsed.as_secs_f64(),
        breaches: texts.len(),
        breach_texts: texts,
    }
}

/// Returns the sorted times from submission to first start of urgent jobs, in milliseconds.
fn urgent_times(context: &Context) -> Vec<f64> {
    let mut times = Vec::new();
    for (id, submitted) in lock(&context.urgent).iter() {
        let Some(started) = context.fleet.platform.auditor.first_start(id) else {
            continue;
        };
        times.push(started.saturating_duration_since(*submitted).as_secs_f64() * 1e3);
    }
    times.sort_by(f64::total_cmp);
    times
}

/// Returns a percentile by nearest rank; 0 for an empty slice.
fn percentile(sorted: &[f64], percent: usize) -> f64 {
    let index = (sorted.len() * percent).div_ceil(100).saturating_sub(1);
    sorted.get(index).copied().unwrap_or(0.0)
}

impl Outcome {
    /// Prints the results as text.
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
