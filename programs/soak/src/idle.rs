//! Watches for accepted jobs of which nothing runs although a task could and cores are free, as the
//! workers recorded it.

use {
    crate::{
        check::Breach,
        history::{Job, Jobs, Micros, Run, SECOND},
    },
    std::collections::{BTreeSet, HashMap},
};

/// A job may have nothing running for this long.
pub const IDLE_BOUND: Micros = 3 * SECOND;
/// The bound on a machine of unknown speed; longer means a hang.
pub const UNTIMED_BOUND: Micros = 30 * SECOND;
/// The bound applies from this long after the last fault.
const CALM_BEFORE: Micros = 4 * SECOND;
/// The bound applies to a single long-running task from this long after its last run.
const RESTART_GRACE: Micros = 6 * SECOND;
/// Cores that must be free for a task, which takes one: twice its demand.
const MIN_FREE_CORES: usize = 2;
/// Two samples further apart than this leave a gap in what is known of the free cores.
const MAX_SAMPLE_GAP: Micros = 500_000;

/// Cores of the workers that may run tasks.
#[derive(Debug, Clone, Copy, Default)]
pub struct Capacity {
    /// All cores.
    pub total: usize,
    /// Cores on which no task runs.
    pub free: usize,
}

impl Capacity {
    /// True if a task has room twice over and less than half of all cores are in use.
    fn has_room(self) -> bool {
        self.free >= MIN_FREE_CORES && self.free * 2 > self.total
    }
}

/// One sample of the run.
pub struct Sample<'a> {
    /// When it was taken.
    pub now: Micros,
    /// When the last fault ended.
    pub calm_since: Micros,
    /// The capacity at that time.
    pub capacity: Capacity,
    /// All jobs.
    pub jobs: &'a Jobs,
    /// All runs of tasks.
    pub runs: &'a [Run],
    /// The load has ended.
    pub is_closing: bool,
}

/// Applies the bound to successive samples, and counts to what it was applied.
#[derive(Debug)]
pub struct IdleWatch {
    bound: Micros,
    roomy_since: Option<Micros>,
    last: Micros,
    /// Samples at which the bound applied.
    pub moments: usize,
    /// Jobs that were open when the bound applied.
    pub judged: BTreeSet<String>,
    /// Those among them that were open so after the load.
    pub closing: BTreeSet<String>,
}

impl IdleWatch {
    /// Creates a watch that allows a job to have nothing running for `bound`.
    pub fn new(bound: Micros) -> Self {
        IdleWatch {
            bound,
            roomy_since: None,
            last: 0,
            moments: 0,
            judged: BTreeSet::new(),
            closing: BTreeSet::new(),
        }
    }

    /// Takes a sample; samples come in the order of their times.
    pub fn take(&mut self, sample: &Sample<'_>) -> Vec<Breach> {
        let now = sample.now;
        if now > self.last + MAX_SAMPLE_GAP || !sample.capacity.has_room() {
            self.roomy_since = None;
        }
        self.last = now;
        if !sample.capacity.has_room() {
            return Vec::new();
        }
        let roomy_since = *self.roomy_since.get_or_insert(now);
        let from = roomy_since.max(sample.calm_since + CALM_BEFORE);
        let Some(latest) = now.checked_sub(self.bound).filter(|at| from <= *at) else {
            return Vec::new();
        };
        self.moments += 1;
        let mut by_job: HashMap<&str, Vec<&Run>> = HashMap::new();
        for run in sample.runs {
            by_job.entry(run.parts().0).or_default().push(run);
        }
        let mut found = Vec::new();
        for job in sample.jobs.values() {
            let runs = by_job.get(&*job.id).map_or(&[][..], Vec::as_slice);
            // A task that crashes its workers is started a few times only.
            if job.crashing.is_some() || job.is_cancel_requested() {
                continue;
            }
            let Some(accepted) = job.accepted().filter(|at| *at <= latest) else {
                continue;
            };
            let last_end = runs.iter().map(|run| run.ended).max().unwrap_or(0);
            let has_ended = has_ended(job, runs);
            if has_ended && last_end < latest {
                continue;
            }
            self.judged.insert(job.id.clone());
            if sample.is_closing {
                self.closing.insert(job.id.clone());
            }
            let idle_since = accepted.max(last_end);
            let waits = match job.long_running {
                _ if !has_ended && idle_since <= latest => {
                    Some(("nothing of it".into(), idle_since))
                }
                true => waiting_task(job, runs, accepted, latest),
                false => None,
            };
            if let Some((what, since)) = waits {
                found.push(breach(job, &what, since, sample));
            }
        }
        found
    }
}

/// True if each task has a run that succeeded. Whether the owner noted an end whose acknowledgement
/// was lost is unknown, so such an end counts.
fn has_ended(job: &Job, runs: &[&Run]) -> bool {
    let done: BTreeSet<&str> = runs
        .iter()
        .filter(|run| run.outcome == "done")
        .map(|run| &*run.task)
        .collect();
    let mut names = (0..job.steps.len()).flat_map(|step| job.tasks(step));
    names.all(|name| done.contains(&*name))
}

/// Returns a task of a long-running job that has not run since before `latest`, and since when.
fn waiting_task(
    job: &Job,
    runs: &[&Run],
    accepted: Micros,
    latest: Micros,
) -> Option<(String, Micros)> {
    let idle_since = |name: &str| {
        let own = runs.iter().filter(|run| run.task == name);
        let last_end = own.map(|run| run.ended).max();
        last_end.map_or(accepted, |at| {
            at.saturating_add(RESTART_GRACE).max(accepted)
        })
    };
    let names = (0..job.steps.len()).flat_map(|step| job.tasks(step));
    let mut tasks = names.map(|name| (idle_since(&name), name));
    let (since, name) = tasks.find(|(since, _)| *since <= latest)?;
    Some((name, since))
}

fn breach(job: &Job, what: &str, since: Micros, sample: &Sample<'_>) -> Breach {
    let Capacity { total, free } = sample.capacity;
    let calm = sample.now - sample.calm_since;
    let text = format!(
        "{what} runs since {since} us, with {free} of {total} cores free and no fault for {calm} us"
    );
    let of = job.id.clone();
    Breach {
        rule: "idle",
        of,
        text,
    }
}

#[cfg(test)]
mod tests {
    use {
        super::*,
        crate::history::{Exchange, NEVER, RequestKind},
        test_case::test_case,
    };

    const ROOMY: Capacity = Capacity { total: 8, free: 6 };
    const HALF_FULL: Capacity = Capacity { total: 8, free: 4 };
    /// When the job was accepted.
    const ACCEPTED: Micros = 10 * SECOND;

    fn exchange(kind: RequestKind) -> Exchange {
        Exchange {
            kind,
            to: 0,
            sent: ACCEPTED,
            answered: ACCEPTED,
            status: 200,
            state: String::new(),
            fault_free: true,
        }
    }

    /// An accepted job of two steps.
    fn job() -> Job {
        Job {
            id: "a".to_owned(),
            steps: vec![2, 1],
            exchanges: vec![exchange(RequestKind::Submit)],
            ..Job::default()
        }
    }

    fn run(task: &str, started: Micros, ended: Micros, outcome: &'static str) -> Run {
        Run {
            task: task.to_owned(),
            worker: "w".to_owned(),
            started,
            ended,
            outcome,
            acknowledged: false,
        }
    }

    /// Samples every 0.1 s until the given time. Returns the time of the first breach and the watch.
    fn watch(
        job: Job,
        runs: &[Run],
        until: Micros,
        calm_since: Micros,
        capacity: impl Fn(Micros) -> Capacity,
    ) -> (Option<Micros>, IdleWatch) {
        let jobs = Jobs::from([(job.id.clone(), job)]);
        let mut watch = IdleWatch::new(IDLE_BOUND);
        let mut first = None;
        for now in (0..=until).step_by(100_000) {
            let known = runs.iter().filter(|run| run.started <= now).cloned();
            let open = known.map(|run| match run.ended > now {
                true => self::run(&run.task, run.started, NEVER, ""),
                false => run,
            });
            let runs: Vec<Run> = open.collect();
            let found = watch.take(&Sample {
                now,
                calm_since,
                capacity: capacity(now),
                jobs: &jobs,
                runs: &runs,
                is_closing: false,
            });
            if !found.is_empty() {
                assert!(found.iter().all(|breach| breach.rule == "idle"));
                first.get_or_insert(now);
            }
        }
        (first, watch)
    }

    /// The job is never started.
    #[test_case(0, Some(13); "in a calm run")]
    #[test_case(10, Some(17); "after a fault")]
    #[test_case(20, None; "before it is calm")]
    fn take_job_that_never_starts(calm_since: u64, seconds: Option<u64>) {
        let (found, watch) = watch(job(), &[], 20 * SECOND, calm_since * SECOND, |_| ROOMY);
        assert_eq!(found, seconds.map(|at| at * SECOND));
        assert_eq!(watch.judged.len(), usize::from(seconds.is_some()));
    }

    /// One of two tasks of the first step has succeeded, the second step waits for the other.
    #[test]
    fn take_job_whose_step_stands_still() {
        let runs = [run("a.0.0.0", ACCEPTED, 11 * SECOND, "done")];
        let (found, _) = watch(job(), &runs, 20 * SECOND, 0, |_| ROOMY);
        assert_eq!(found, Some(14 * SECOND));
    }

    /// The ends of the first step are not noted.
    #[test]
    fn take_job_whose_next_step_never_opens() {
        let runs = [
            run("a.0.0.0", ACCEPTED, 11 * SECOND, "done"),
            run("a.0.0.1", ACCEPTED, 12 * SECOND, "done"),
        ];
        let (found, _) = watch(job(), &runs, 20 * SECOND, 0, |_| ROOMY);
        assert_eq!(found, Some(15 * SECOND));
    }

    #[test]
    fn take_job_that_goes_on() {
        let runs = [
            run("a.0.0.0", ACCEPTED, 11 * SECOND, "done"),
            run("a.0.0.1", 13 * SECOND, 15 * SECOND, "lapsed"),
            run("a.0.0.1", 17 * SECOND, 25 * SECOND, "done"),
            run("a.0.1.0", 27 * SECOND, 28 * SECOND, "done"),
        ];
        let (found, watch) = watch(job(), &runs, 40 * SECOND, 0, |_| ROOMY);
        assert_eq!(found, None);
        assert_eq!(watch.judged.len(), 1);
    }

    #[test]
    fn take_job_without_room() {
        let (found, watch) = watch(job(), &[], 20 * SECOND, 0, |_| HALF_FULL);
        assert_eq!((found, watch.moments), (None, 0));
        let shut_at = |now: Micros| match now % (2 * SECOND) {
            0 => Capacity::default(),
            _ => ROOMY,
        };
        let (found, watch) = self::watch(job(), &[], 20 * SECOND, 0, shut_at);
        assert_eq!((found, watch.moments), (None, 0));
    }

    #[test]
    fn take_job_that_need_not_run() {
        let mut cancelled = job();
        cancelled.exchanges.push(exchange(RequestKind::Cancel));
        let mut unaccepted = job();
        unaccepted.exchanges.clear();
        let mut crashing = job();
        crashing.crashing = Some((0, 0));
        for job in [cancelled, unaccepted, crashing] {
            let (found, watch) = watch(job, &[], 20 * SECOND, 0, |_| ROOMY);
            assert_eq!((found, watch.judged.len()), (None, 0));
        }
    }

    /// One of two long-running tasks runs; the other is judged from 6 s after its last run.
    #[test_case(15, Some(24); "lapsed")]
    #[test_case(60, None; "runs")]
    fn take_long_running_task(ended: u64, seconds: Option<u64>) {
        let mut job = job();
        job.steps = vec![2];
        job.long_running = true;
        let runs = [
            run("a.0.0.0", ACCEPTED, NEVER, ""),
            run("a.0.0.1", ACCEPTED, ended * SECOND, "lapsed"),
        ];
        let (found, _) = watch(job, &runs, 30 * SECOND, 0, |_| ROOMY);
        assert_eq!(found, seconds.map(|at| at * SECOND));
    }

    #[test]
    fn take_after_gap_of_samples() {
        let jobs = Jobs::from([("a".to_owned(), job())]);
        let mut watch = IdleWatch::new(IDLE_BOUND);
        for now in [12 * SECOND, 16 * SECOND] {
            let found = watch.take(&Sample {
                now,
                calm_since: 0,
                capacity: ROOMY,
                jobs: &jobs,
                runs: &[],
                is_closing: false,
            });
            assert!(found.is_empty());
        }
    }
}
