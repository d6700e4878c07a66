//! Which figures the owner sends to which box, and when.

use {
    super::{Figures, PressureReport},
    policy::admission::{Kind, PoolCapacity, Pressure},
    std::{collections::HashMap, sync::Arc},
};

/// Minimum time between two computations of the figures, in milliseconds.
const COMPUTE_INTERVAL_MS: u64 = 250;
/// Interval at which unchanged pressure is sent again, in milliseconds, so that boxes know that the
/// figures still hold.
const REPEAT_INTERVAL_MS: u64 = 500;
/// Minimum time between two transfers of pool capacities to one box, in milliseconds.
const POOLS_INTERVAL_MS: u64 = 2_000;
/// Interval at which unchanged pool capacities are sent again, in milliseconds, since an answer may
/// be lost.
const POOLS_REPEAT_MS: u64 = 30_000;
/// A box without a request for this long, in milliseconds, is forgotten, and gets all figures with
/// its next request. Requests are at most 2 s apart.
const FORGET_MS: u64 = 5_000;

/// The figures of an ownership, and what was sent to each box. Times are in milliseconds.
#[derive(Debug, Default)]
pub struct Feed {
    /// The owner has placed tasks. Before that the whole work of the cell seems to wait.
    started: bool,
    pressure: Pressure,
    /// Incremented with each change of the pressure.
    version: u64,
    /// When the figures were computed; 0 for never.
    made: u64,
    pools: Vec<PoolCapacity>,
    /// Incremented with each change of the capacities.
    pools_version: u64,
    boxes: HashMap<Arc<str>, Sent>,
}

/// What was sent to a box.
#[derive(Debug, Default)]
struct Sent {
    /// The time of its last request.
    seen: u64,
    /// The time and version of the last pressure; version 0 for none.
    at: u64,
    version: u64,
    /// The last pressure was not empty.
    pressed: bool,
    /// The time and version of the last capacities; version 0 for none.
    pools_at: u64,
    pools_version: u64,
}

impl Feed {
    /// Allows figures to be computed, once the owner has run a placement pass.
    pub const fn start(&mut self) {
        self.started = true;
    }

    /// True when the figures have to be computed again.
    pub const fn is_due(&self, now: u64) -> bool {
        self.started && (self.made == 0 || now >= self.made + COMPUTE_INTERVAL_MS)
    }

    /// Sets the figures, which were computed at the time `now`, and forgets boxes that no longer
    /// send requests.
    pub fn update(&mut self, pressure: Pressure, pools: Vec<PoolCapacity>, now: u64) {
        export_waits(&self.pressure, &pressure);
        if self.pressure != pressure {
            self.version += 1;
            self.pressure = pressure;
        }
        if self.pools != pools {
            self.pools_version += 1;
            self.pools = pools;
        }
        self.made = now;
        self.boxes.retain(|_, sent| now < sent.seen + FORGET_MS);
    }

    /// The figures to send to a box; `None` if it needs none now.
    pub fn figures_for(&mut self, name: &Arc<str>, now: u64) -> Option<Figures> {
        if self.made == 0 {
            return None;
        }
        let sent = self.boxes.entry(name.clone()).or_default();
        sent.seen = now;
        let is_pressed = !self.pressure.queues.is_empty();
        let is_changed = sent.version != self.version || now >= sent.at + REPEAT_INTERVAL_MS;
        let pressure = ((is_pressed && is_changed) || (sent.pressed && !is_pressed)).then(|| {
            sent.at = now;
            sent.version = self.version;
            sent.pressed = is_pressed;
            PressureReport {
                pressure: self.pressure.clone(),
                age: now.saturating_sub(self.made),
            }
        });
        let is_known = sent.pools_version == self.pools_version;
        let interval = match sent.pools_version {
            0 => 0,
            _ if is_known => POOLS_REPEAT_MS,
            _ => POOLS_INTERVAL_MS,
        };
        let is_needed = !is_known || !self.pools.is_empty();
        let pools = (is_needed && now >= sent.pools_at + interval).then(|| {
            sent.pools_at = now;
            sent.pools_version = self.pools_version;
            self.pools.clone()
        });
        let has_any = pressure.is_some() || pools.is_some();
        has_any.then_some(Figures { pressure, pools })
    }

    /// The last pressure.
    pub const fn pressure(&self) -> &Pressure {
        &self.pressure
    }

    /// The last capacity of a pool.
    pub fn pool(&self, name: &str) -> Option<&PoolCapacity> {
        self.pools.iter().find(|pool| &*pool.pool == name)
    }

    /// Resets the metrics when the ownership ends.
    pub fn reset_metrics(&self) {
        export_waits(&self.pressure, &Pressure::default());
    }
}

/// Sets the metrics of predicted waits; those of queues that were under pressure before and are not
/// any more to 0.
fn export_waits(before: &Pressure, pressure: &Pressure) {
    for own in &before.queues {
        if pressure.of(&own.queue, own.kind).is_none() {
            set_wait(&own.queue, own.kind, 0);
        }
    }
    for own in &pressure.queues {
        set_wait(&own.queue, own.kind, own.wait);
    }
}

fn set_wait(queue: &Arc<str>, kind: Kind, wait: u64) {
    let seconds = match wait {
        u64::MAX => f64::INFINITY,
        wait => wait as f64 / 1e3,
    };
    metrics::gauge!("magpie_queue_wait_seconds", "queue" => queue.to_string(), "kind" => kind_label(kind))
        .set(seconds);
}

/// The name of a kind of job in metrics and lists.
pub const fn kind_label(kind: Kind) -> &'static str {
    match kind {
        Kind::Batch => "batch",
        Kind::BestEffort => "best-effort",
        Kind::LongRunning => "long-running",
    }
}

#[cfg(test)]
mod tests {
    use {
        super::*,
        job::spec::Size,
        policy::{admission::QueuePressure, durations::Profile},
        test_case::test_case,
    };

    fn pressure(wait: u64) -> Pressure {
        Pressure {
            queues: vec![QueuePressure {
                queue: "q".into(),
                kind: Kind::BestEffort,
                wait,
                drain: wait,
                run: Profile::ESTIMATE,
            }],
        }
    }

    fn pools(workers: u32) -> Vec<PoolCapacity> {
        vec![PoolCapacity {
            pool: "pool".into(),
            largest: Size::default(),
            workers,
            labels: Vec::new(),
        }]
    }

    /// The wait, age and number of workers that are sent to a box at some time.
    fn sent(feed: &mut Feed, name: &str, now: u64) -> (Option<(u64, u64)>, Option<u32>) {
        let figures = feed.figures_for(&name.into(), now).unwrap_or_default();
        let wait = |pressure: &Pressure| pressure.queues.first().map_or(0, |own| own.wait);
        let report = figures.pressure;
        (
            report.map(|report| (wait(&report.pressure), report.age)),
            figures.pools.map(|pools| pools[0].workers),
        )
    }

    #[test]
    fn figures_for_before_first_update() {
        let mut feed = Feed::default();
        assert!(!feed.is_due(1));
        feed.start();
        assert!(feed.is_due(1));
        assert_eq!(feed.figures_for(&"b1".into(), 1), None);
    }

    #[test]
    fn is_due_four_times_a_second() {
        let mut feed = Feed::default();
        feed.start();
        let mut computed = 0;
        for now in (1_000..11_000).step_by(10) {
            if feed.is_due(now) {
                computed += 1;
                feed.update(Pressure::default(), Vec::new(), now);
            }
        }
        assert_eq!(computed, 40);
    }

    #[test]
    fn figures_for_without_pressure() {
        let mut feed = Feed::default();
        feed.update(Pressure::default(), pools(2), 1_000);
        assert_eq!(sent(&mut feed, "b1", 1_000), (None, Some(2)));
        for now in (1_400..9_000).step_by(400) {
            feed.update(Pressure::default(), pools(2), now);
            assert_eq!(feed.figures_for(&"b1".into(), now), None);
        }
    }

    /// The owner does not know the workers for long enough yet, and again after the last of them has
    /// gone.
    #[test]
    fn figures_for_unknown_pools() {
        let mut feed = Feed::default();
        feed.update(Pressure::default(), Vec::new(), 1_000);
        assert_eq!(feed.figures_for(&"b1".into(), 1_000), None);
        feed.update(Pressure::default(), pools(2), 1_250);
        assert_eq!(sent(&mut feed, "b1", 1_250), (None, Some(2)));
        feed.update(Pressure::default(), Vec::new(), 1_500);
        assert_eq!(feed.figures_for(&"b1".into(), 3_249), None);
        let figures = feed.figures_for(&"b1".into(), 3_250).unwrap();
        assert_eq!(figures.pools, Some(Vec::new()));
        for now in (3_600..40_000).step_by(400) {
            feed.update(Pressure::default(), Vec::new(), now);
            assert_eq!(feed.figures_for(&"b1".into(), now), None);
        }
    }

    /// A change is sent to each box at once, unchanged pressure twice a second, and the end of the
    /// pressure once.
    #[test]
    fn figures_for_pressure() {
        let mut feed = Feed::default();
        feed.update(pressure(7), pools(2), 1_000);
        assert_eq!(sent(&mut feed, "b1", 1_020), (Some((7, 20)), Some(2)));
        assert_eq!(sent(&mut feed, "b1", 1_045), (None, None));
        assert_eq!(sent(&mut feed, "b2", 1_045), (Some((7, 45)), Some(2)));
        feed.update(pressure(7), pools(2), 1_250);
        assert_eq!(sent(&mut feed, "b1", 1_519), (None, None));
        assert_eq!(sent(&mut feed, "b1", 1_520), (Some((7, 270)), None));
        feed.update(pressure(8), pools(2), 1_530);
        assert_eq!(sent(&mut feed, "b1", 1_531), (Some((8, 1)), None));
        feed.update(Pressure::default(), pools(2), 1_800);
        assert_eq!(sent(&mut feed, "b1", 1_801), (Some((0, 1)), None));
        assert_eq!(sent(&mut feed, "b1", 1_826), (None, None));
        assert_eq!(sent(&mut feed, "b1", 2_900), (None, None));
        assert_eq!(sent(&mut feed, "b3", 2_900), (None, Some(2)));
    }

    #[test_case(1_900, None; "within the interval")]
    #[test_case(3_000, Some(3); "after the interval")]
    fn figures_for_changed_pools(now: u64, expected: Option<u32>) {
        let mut feed = Feed::default();
        feed.update(Pressure::default(), pools(2), 1_000);
        assert_eq!(sent(&mut feed, "b1", 1_000), (None, Some(2)));
        feed.update(Pressure::default(), pools(3), 1_250);
        assert_eq!(sent(&mut feed, "b1", now), (None, expected));
    }

    /// A lost answer does not leave a box without capacities forever.
    #[test]
    fn figures_for_repeats_pools() {
        let mut feed = Feed::default();
        let mut times = Vec::new();
        for now in (1_000..65_000).step_by(400) {
            feed.update(Pressure::default(), pools(2), now);
            if sent(&mut feed, "b1", now).1.is_some() {
                times.push(now);
            }
        }
        assert_eq!(times, [1_000, 31_000, 61_000]);
    }

    #[test]
    fn update_forgets_silent_boxes() {
        let mut feed = Feed::default();
        feed.update(Pressure::default(), pools(2), 1_000);
        for number in 0..100 {
            sent(&mut feed, &format!("b{number}"), 1_000);
        }
        sent(&mut feed, "b7", 3_000);
        feed.update(Pressure::default(), pools(2), 6_000);
        assert_eq!(feed.boxes.len(), 1);
        assert_eq!(sent(&mut feed, "b7", 6_000), (None, None));
        assert_eq!(sent(&mut feed, "b8", 6_000), (None, Some(2)));
    }
}
