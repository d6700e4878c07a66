//! The decision on a submitted job.

use {
    super::Known,
    crate::{keys, retry_after::MIN_RETRY_AFTER, store::Store},
    job::{Id, Submission},
    kernel::Failure,
    policy::admission::{Demand, Kind, Verdict, impossible, judge, spread},
    std::sync::Arc,
};

/// Why a job is not accepted. Times are in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// It would end too late.
    NoRoom {
        /// The time after which such a job can succeed.
        retry_after: u64,
        /// The time from now to its predicted end; `None` if it would never end.
        end: Option<u64>,
        /// The time from now to its objective.
        objective: u64,
        /// The age of the figures.
        age: u64,
    },
    /// No workers of its pool can ever run it, for this reason.
    Impossible(Arc<str>),
}

/// Decides on a job by the figures that are known at the time `now`. Returns why it is not accepted;
/// `None` if it is.
pub fn check(known: &Known, submission: &Submission, now: u64) -> Option<Refusal> {
    let (spec, queue) = (&submission.spec, &submission.queue);
    if let Some(pool) = known.pool(&queue.pool, now)
        && let Some(reason) = impossible(spec, &pool)
    {
        return Some(Refusal::Impossible(reason.into()));
    }
    // The figures say nothing about the times of a timetable, and a long-running job has no end.
    if spec.timetable.is_some() || spec.is_long_running() {
        return None;
    }
    let (pressure, age) = known.pressure(now)?;
    let kind = Kind::of(spec);
    let chain = spec.critical_paths().into_iter().max().unwrap_or_default();
    let predicted = pressure.run_time(&queue.name, kind, chain);
    let demand = Demand {
        queue: queue.name.clone(),
        kind,
        chain,
        objective: ((queue.stretch * predicted as f64) as u64).saturating_add(queue.target),
    };
    match judge(&demand, Some(&pressure)) {
        Verdict::Accept => None,
        Verdict::Busy { retry_after, end } => Some(Refusal::NoRoom {
            retry_after,
            end: (end < u64::MAX).then_some(end),
            objective: demand.objective,
            age,
        }),
    }
}

/// Whether the store has the submission or the record of a job. The record is read last: it exists
/// once the submission is removed.
///
/// # Errors
///
/// The store gave no answer.
pub fn is_stored(store: &dyn Store, id: &Id) -> Result<bool, Failure> {
    Ok(store.get(&keys::job(id))?.is_some() || store.get(&keys::state(id))?.is_some())
}

/// The retry delay in seconds for a refused job that could succeed after `time` milliseconds. The
/// random number, from 0 to 1, spreads callers over half of that time.
pub fn retry_seconds(time: u64, random: f64) -> u64 {
    spread(time, random).div_ceil(1_000).max(MIN_RETRY_AFTER)
}

#[cfg(test)]
mod tests {
    use {
        super::{
            super::{Figures, PressureReport},
            *,
        },
        job::{
            Queue, Spec, Step,
            spec::{Size, Timetable},
        },
        policy::{
            admission::{PoolCapacity, Pressure, QueuePressure},
            durations::Profile,
        },
        test_case::test_case,
    };

    fn submission() -> Submission {
        Submission {
            id: Id::new("00000000000000a1").unwrap(),
            spec: Spec {
                text: "text".into(),
                steps: vec![Step {
                    count: 1,
                    estimate: 1_000,
                    size: Size {
                        cpu: 1_000,
                        ..Size::default()
                    },
                    ..Step::default()
                }],
                timetable: None,
            },
            queue: Queue {
                name: "q".into(),
                host: "host".into(),
                prefix: "/".into(),
                pool: "pool".into(),
                priority: 0,
                attempts: 1,
                stretch: 2.0,
                target: 500,
                advised: false,
            },
            accepted: 1,
            fence: 0,
        }
    }

    /// Figures at the time 10,000 of a queue whose work waits for 60 s and a pool of workers with
    /// one core.
    fn known() -> Known {
        let known = Known::default();
        let pressure = Pressure {
            queues: vec![QueuePressure {
                queue: "q".into(),
                kind: Kind::Batch,
                wait: 60_000,
                drain: 60_000,
                run: Profile {
                    percent: 200,
                    ..Profile::ESTIMATE
                },
            }],
        };
        let size = Size {
            cpu: 1_000,
            ..Size::default()
        };
        let figures = Figures {
            pressure: Some(PressureReport { pressure, age: 40 }),
            pools: Some(vec![PoolCapacity {
                pool: "pool".into(),
                largest: size,
                workers: 2,
                labels: Vec::new(),
            }]),
        };
        known.record(&"b1".into(), Some(figures), 10_000, true);
        known
    }

    #[test]
    fn check_no_room() {
        let refusal = check(&known(), &submission(), 10_010);
        let Some(Refusal::NoRoom {
            end,
            objective,
            age,
            ..
        }) = refusal
        else {
            panic!("{refusal:?}");
        };
        assert_eq!((objective, age), (4_500, 50));
        assert!(end.is_some_and(|end| end >= 60_000));
    }

    #[test]
    fn check_impossible() {
        let mut large = submission();
        large.spec.steps[0].size.cpu = 1_001;
        let refusal = check(&known(), &large, 10_010);
        assert!(matches!(refusal, Some(Refusal::Impossible(_))));
    }

    #[test]
    fn check_without_recent_figures() {
        assert_eq!(check(&known(), &submission(), 13_000), None);
        assert_eq!(check(&Known::default(), &submission(), 10_010), None);
    }

    #[test_case(|job| job.queue.name = "r".into(); "other queue")]
    #[test_case(|job| job.spec.steps[0].fills = true; "other kind")]
    #[test_case(|job| job.spec.steps[0].lasting = true; "long-running")]
    #[test_case(|job| job.queue.target = 70_000; "in time")]
    #[test_case(|job| job.spec.timetable = Some(Timetable { times: 1, first: 0, interval: 0 }); "timetable")]
    fn check_accepts(change: fn(&mut Submission)) {
        let mut job = submission();
        change(&mut job);
        assert_eq!(check(&known(), &job, 10_010), None);
    }

    #[test_case(0, 1, 1; "none")]
    #[test_case(999, 1, 2; "below a second")]
    #[test_case(10_000, 10, 15; "seconds")]
    #[test_case(10_001, 11, 16; "fraction")]
    #[test_case(u64::MAX, u64::MAX / 1_000 + 1, u64::MAX / 1_000 + 1; "no overflow")]
    fn retry_seconds_bounds(time: u64, least: u64, most: u64) {
        let mut seen = Vec::new();
        for number in 0..1_000 {
            seen.push(retry_seconds(time, f64::from(number) / 999.0));
        }
        let (min, max) = (seen.iter().min(), seen.iter().max());
        assert!(min >= Some(&least) && max <= Some(&most), "{min:?} {max:?}");
        assert!(most - least < 2 || min < max);
    }
}
