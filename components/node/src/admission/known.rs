//! The last figures that a box has received, and until when it uses them.

use {
    super::Figures,
    kernel::sync::lock,
    policy::admission::{PoolCapacity, Pressure},
    std::{
        collections::HashMap,
        sync::{Arc, Mutex},
    },
};

/// How long a box uses figures after the owner made them, in milliseconds.
pub const FIGURES_LIFETIME_MS: u64 = 3_000;

/// The last figures. Times are in milliseconds on the clock of the box.
#[derive(Debug, Default)]
pub struct Known {
    state: Mutex<State>,
    /// Jobs that this box has refused since its start, by queue.
    refused: Mutex<HashMap<Arc<str>, u64>>,
}

#[derive(Debug, Default)]
struct State {
    /// The box that sent the figures.
    owner: Option<Arc<str>>,
    pressure: Arc<Pressure>,
    /// When the owner computed the pressure; 0 for never.
    made: u64,
    pools: Vec<PoolCapacity>,
    /// When the owner last answered, so that the pool capacities are up to date; 0 for never.
    answered: u64,
}

impl Known {
    /// Records the answer of an owner to a request that was sent at `sent`. Capacities of pools are
    /// sent only when they change, and hold as long as answers with a fresh heartbeat arrive. Those
    /// of another owner are dropped.
    pub fn record(&self, owner: &Arc<str>, figures: Option<Figures>, sent: u64, is_fresh: bool) {
        let mut state = lock(&self.state);
        if state.owner.as_ref() != Some(owner) {
            state.owner = Some(owner.clone());
            state.pools.clear();
        }
        if is_fresh {
            state.answered = sent;
        }
        let Some(figures) = figures else {
            return;
        };
        if let Some(report) = figures.pressure {
            state.pressure = Arc::new(report.pressure);
            // The request was sent before the owner read its clock, so the figures are no older.
            state.made = sent.saturating_sub(report.age);
        }
        if let Some(pools) = figures.pools {
            state.pools = pools;
        }
    }

    /// Drops the capacities of pools after an exchange without an answer, which may have told
    /// others.
    pub fn forget_pools(&self) {
        lock(&self.state).pools.clear();
    }

    /// The pressure and its age in milliseconds; `None` without recent figures.
    pub fn pressure(&self, now: u64) -> Option<(Arc<Pressure>, u64)> {
        let state = lock(&self.state);
        let age = now.saturating_sub(state.made);
        let is_usable = state.made != 0 && age < FIGURES_LIFETIME_MS;
        is_usable.then(|| (state.pressure.clone(), age))
    }

    /// The capacity of a pool; `None` without recent figures.
    pub fn pool(&self, name: &str, now: u64) -> Option<PoolCapacity> {
        let state = lock(&self.state);
        let age = now.saturating_sub(state.answered);
        if state.answered == 0 || age >= FIGURES_LIFETIME_MS {
            return None;
        }
        let mut pools = state.pools.iter();
        pools.find(|pool| &*pool.pool == name).cloned()
    }

    /// Counts a job of this queue that was refused.
    pub fn count_refusal(&self, queue: &Arc<str>) {
        *lock(&self.refused).entry(queue.clone()).or_default() += 1;
    }

    /// The number of jobs of this queue that were refused since the start of the box.
    pub fn refused(&self, queue: &str) -> u64 {
        lock(&self.refused).get(queue).copied().unwrap_or_default()
    }

    /// Sets the metric for the age of the figures; 0 without recent figures.
    pub fn export_age(&self, now: u64) {
        let age = self.pressure(now).map_or(0, |(_, age)| age);
        metrics::gauge!("magpie_admission_age_seconds").set(age as f64 / 1e3);
    }
}

#[cfg(test)]
mod tests {
    use {
        super::{super::PressureReport, *},
        job::spec::Size,
        policy::{
            admission::{Kind, QueuePressure},
            durations::Profile,
        },
        test_case::test_case,
    };

    fn pressure(wait: u64) -> Pressure {
        Pressure {
            queues: vec![QueuePressure {
                queue: "q".into(),
                kind: Kind::Batch,
                wait,
                drain: wait,
                run: Profile::ESTIMATE,
            }],
        }
    }

    fn figures(wait: u64, age: u64) -> Option<Figures> {
        Some(Figures {
            pressure: Some(PressureReport {
                pressure: pressure(wait),
                age,
            }),
            pools: Some(vec![PoolCapacity {
                pool: "pool".into(),
                largest: Size::default(),
                workers: 1,
                labels: Vec::new(),
            }]),
        })
    }

    #[test_case(0, 10_000, Some(0); "at once")]
    #[test_case(200, 12_799, Some(2_999); "last millisecond")]
    #[test_case(200, 12_800, None; "expired")]
    #[test_case(FIGURES_LIFETIME_MS, 10_000, None; "expired on arrival")]
    #[test_case(u64::MAX, 10_000, None; "implausible age")]
    fn pressure_expires(age: u64, now: u64, expected: Option<u64>) {
        let known = Known::default();
        known.record(&"b1".into(), figures(7, age), 10_000, true);
        let found = known.pressure(now);
        assert_eq!(found.as_ref().map(|(_, age)| *age), expected);
        assert!(found.is_none_or(|(found, _)| *found == pressure(7)));
    }

    #[test]
    fn pressure_never_received() {
        assert!(Known::default().pressure(1).is_none());
        assert!(Known::default().pool("pool", 1).is_none());
    }

    /// An answer without figures does not make old ones newer.
    #[test]
    fn record_without_figures() {
        let known = Known::default();
        let owner = "b1".into();
        known.record(&owner, figures(7, 0), 1_000, true);
        known.record(&owner, None, 3_900, true);
        assert!(known.pressure(3_999).is_some());
        assert!(known.pressure(4_000).is_none());
        assert!(known.pool("pool", 6_899).is_some());
    }

    /// Capacities hold while answers arrive, and not after a gap in which they may have changed.
    #[test]
    fn pool_needs_contact_with_owner() {
        let known = Known::default();
        let owner = "b1".into();
        known.record(&owner, figures(7, 0), 1_000, true);
        assert!(known.pool("other", 1_000).is_none());
        known.record(&owner, None, 3_000, false);
        assert!(known.pool("pool", 3_999).is_some());
        assert!(known.pool("pool", 4_000).is_none());
        known.record(&owner, None, 4_500, true);
        assert!(known.pool("pool", 4_500).is_some());
        known.forget_pools();
        known.record(&owner, None, 4_600, true);
        assert!(known.pool("pool", 4_600).is_none());
    }

    #[test]
    fn pool_of_former_owner() {
        let known = Known::default();
        known.record(&"b1".into(), figures(7, 0), 1_000, true);
        known.record(&"b2".into(), None, 1_100, true);
        assert!(known.pool("pool", 1_100).is_none());
        assert!(known.pressure(1_100).is_some());
    }

    #[test]
    fn refused_by_queue() {
        let known = Known::default();
        known.count_refusal(&"q".into());
        known.count_refusal(&"q".into());
        assert_eq!((known.refused("q"), known.refused("r")), (2, 0));
    }
}
