//! State shared by the threads of the demo: the fleet, counters and breaches.

use {
    hdrhistogram::Histogram,
    kernel::sync::lock,
    sched::Status,
    standin::Deploy,
    std::{
        collections::BTreeMap,
        io,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    trial::Fleet,
};

/// Upper bound of the latency histograms, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Time limit for the requests in flight when a gate stops.
pub const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Breach reported when the stop of a gate aborts requests.
pub const GATE_ABORT_BREACH: &str = "a graceful stop of a gate aborted requests";

/// Counters of the load.
#[derive(Default)]
pub struct Counts {
    /// Requests of callers.
    pub requests: AtomicU64,
    /// Requests with the verdict "not run".
    pub shed: AtomicU64,
    /// Requests with the verdict "may have run", or without a response.
    pub may_have_run: AtomicU64,
    /// Responses that were incomplete or belonged to another request.
    pub wrong_responses: AtomicU64,
    /// Edits accepted.
    pub edits: AtomicU64,
    /// Edits refused because of a conflict.
    pub conflicts: AtomicU64,
    /// Edits that were neither accepted nor refused.
    pub open_edits: AtomicU64,
    /// Jobs acknowledged.
    pub jobs: AtomicU64,
}

/// Shared state of the demo.
pub struct Context {
    /// The platform and the entry boxes.
    pub fleet: Fleet,
    /// Counters of the load.
    pub counts: Counts,
    /// Request latencies from their scheduled start, in microseconds.
    pub latency: Mutex<Histogram<u64>>,
    /// Times until edits were in use by every service, in microseconds.
    pub propagation: Mutex<Histogram<u64>>,
    /// Last known status of each acknowledged job.
    pub jobs: Mutex<BTreeMap<Arc<str>, Status>>,
    /// Submission time of each urgent job.
    pub urgent: Mutex<BTreeMap<Arc<str>, Instant>>,
    breaches: Mutex<Vec<String>>,
}

/// Describes the deployment sizes in one line.
pub fn describe(deploy: &Deploy) -> String {
    let Deploy {
        name,
        halls,
        workers,
        size,
        backends,
        entries,
        ..
    } = deploy;
    format!(
        "{name}: {workers} workers of {} cores and {} GB in {halls} halls, {backends} backend \
         servers of 8 slots, {entries} entry boxes",
        size.cpu / 1000,
        size.memory / 1000
    )
}

fn histogram(max: u64) -> io::Result<Mutex<Histogram<u64>>> {
    let histogram = Histogram::new_with_bounds(1, max, 3).map_err(io::Error::other)?;
    Ok(Mutex::new(histogram))
}

impl Context {
    /// Starts the platform and the entry boxes.
    pub fn start(deploy: Deploy, seed: u64) -> io::Result<Self> {
        Ok(Context {
            fleet: Fleet::start(deploy, seed)?,
            counts: Counts::default(),
            latency: histogram(MAX_LATENCY_US)?,
            propagation: histogram(MAX_LATENCY_US)?,
            jobs: Mutex::default(),
            urgent: Mutex::default(),
            breaches: Mutex::default(),
        })
    }

    /// Records the breach of an invariant.
    pub fn breach(&self, text: &str) {
        let mut breaches = lock(&self.breaches);
        // A repeated breach is recorded at most five times.
        if breaches.iter().filter(|other| *other == text).count() < 5 {
            breaches.push(text.to_owned());
        }
    }

    /// Returns the recorded breaches.
    pub fn breaches(&self) -> Vec<String> {
        lock(&self.breaches).clone()
    }

    /// Increments a counter.
    pub fn count(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Stops all entry boxes, their gates gracefully.
    pub fn stop(&self) {
        for entry in self.fleet.entries_mut().iter_mut() {
            if !entry.gate.stop(Duration::ZERO, STOP_TIMEOUT) {
                self.breach(GATE_ABORT_BREACH);
            }
            entry.kill();
        }
    }
}
