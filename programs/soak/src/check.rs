//! The rules that a run must satisfy, checked on the recorded requests and task runs.

use {
    crate::history::{FaultPeriods, Job, Jobs, Micros, NEVER, RequestKind, Run, SECOND},
    std::{
        collections::{HashMap, HashSet},
        fmt,
    },
};

/// A task may still start this long after its job was reported as ended, since the start request
/// may be in flight.
const START_IN_FLIGHT: Micros = SECOND;
/// Tasks of a cancelled job have stopped this long after the confirmation: up to 3 s until the
/// owner learns of it and 0.9 s for the worker.
const STOP_BOUND: Micros = 3_900_000;
/// No task starts this long after a cancellation was confirmed.
const LATE_START_BOUND: Micros = 3 * SECOND;
/// Time bounds apply after this long without any fault.
pub const QUIET_PERIOD: Micros = 5 * SECOND;
/// Number of workers that may crash under a task; boxes without faults may then start it
/// `STARTS_OVER_LIMIT` more times.
const CRASH_LIMIT: usize = 3;
const STARTS_OVER_LIMIT: usize = 2;
/// Bound on the starts of a crashing task under any faults: an owner that is killed misses one
/// crash, and a run has about ten owners.
const MAX_STARTS: usize = 14;
/// No task starts in a hall this long after its closure, provided that no fault affected any box
/// for `QUIET_PERIOD`.
const CLOSURE_BOUND: Micros = 5 * SECOND;
/// Boxes without faults know a job this long after it was accepted.
const VISIBLE_BOUND: Micros = 2 * SECOND;

/// Free cores from which a waiting long-running task must have been placed: twice its demand.
const MIN_FREE_CORES: usize = 2;
/// States in which a job has ended.
pub const FINAL_STATES: [&str; 3] = ["completed", "failed", "cancelled"];

/// A broken rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Breach {
    /// The name of the rule.
    pub rule: &'static str,
    /// The job, box or hall concerned.
    pub of: String,
    /// What was observed.
    pub text: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.rule, self.of, self.text)
    }
}

fn breach(rule: &'static str, of: &str, text: String) -> Breach {
    let of = of.to_owned();
    Breach { rule, of, text }
}

/// The runs of each task, ordered by their starts.
pub type Tasks<'a> = HashMap<&'a str, Vec<&'a Run>>;

/// Groups runs by task.
pub fn by_task(runs: &[Run]) -> Tasks<'_> {
    let mut tasks = Tasks::new();
    for run in runs {
        tasks.entry(&run.task).or_default().push(run);
    }
    tasks
}

/// Checks all rules on jobs and their tasks at the time `now`.
pub fn all(jobs: &Jobs, runs: &[Run], fault_periods: &FaultPeriods, now: Micros) -> Vec<Breach> {
    let tasks = by_task(runs);
    let mut found = Vec::new();
    for runs in tasks.values() {
        found.extend(concurrent_runs(runs));
    }
    for run in runs {
        let (id, step) = run.parts();
        let Some(job) = jobs.get(id) else {
            found.push(breach("unasked", id, format!("{} was not asked", run.task)));
            continue;
        };
        found.extend(start_after_end(job, run, fault_periods));
        found.extend(cancelled(job, run, fault_periods, now));
        found.extend(refused(job, run));
        found.extend(order(job, step, run, &tasks));
    }
    for job in jobs.values() {
        found.extend(completed(job, &tasks));
        found.extend(lost_job(job));
        found.extend(crash_limit(job, &tasks, fault_periods));
    }
    found
}

/// No task runs twice at the same time, or again after a completion that was acknowledged.
fn concurrent_runs(runs: &[&Run]) -> Option<Breach> {
    for (place, run) in runs.iter().enumerate() {
        for later in &runs[place + 1..] {
            let again = run.outcome == "done" && run.acknowledged;
            if later.started < run.ended || again {
                let text = format!(
                    "{} ran on {} from {} us to {} us ({}), and on {} from {} us",
                    run.task,
                    run.worker,
                    run.started,
                    run.ended,
                    run.outcome,
                    later.worker,
                    later.started
                );
                return Some(breach("twice", run.parts().0, text));
            }
        }
    }
    None
}

/// No task starts after its job was reported as ended.
fn start_after_end(job: &Job, run: &Run, fault_periods: &FaultPeriods) -> Option<Breach> {
    let completed = job
        .first_reported("completed")
        .map(|at| at + START_IN_FLIGHT);
    let cancelled = job.cancelled().map(|at| at + LATE_START_BOUND);
    let is_after = |bound: Option<Micros>| bound.is_some_and(|bound| run.started > bound);
    let is_fault_free =
        fault_periods.is_fault_free(run.started.saturating_sub(QUIET_PERIOD), run.started);
    let state = match () {
        () if is_after(completed) => "completed",
        () if is_after(cancelled) && is_fault_free => "cancelled",
        () => return None,
    };
    let text = format!("{} started at {} us after {state}", run.task, run.started);
    Some(breach("unasked", &job.id, text))
}

/// A closure of a data hall.
#[derive(Debug, Clone)]
pub struct Closure {
    /// The name of the hall.
    pub hall: String,
    /// The prefixes of the ids of the workers in the hall.
    pub workers: Vec<String>,
    /// When the hall was closed.
    pub closed: Micros,
    /// When the hall was opened again.
    pub opened: Micros,
}

impl Closure {
    /// True when the closure outlasted the time in which starts are still allowed.
    pub fn is_long(&self) -> bool {
        self.opened > self.closed + CLOSURE_BOUND
    }
}

/// No task starts in a hall that has been closed for `CLOSURE_BOUND` while no fault affects any
/// box.
pub fn closed_halls(closures: &[Closure], runs: &[Run], boxes: &[FaultPeriods]) -> Vec<Breach> {
    let mut found = Vec::new();
    for closure in closures.iter().filter(|closure| closure.is_long()) {
        for run in runs {
            let is_judged =
                run.started > closure.closed + CLOSURE_BOUND && run.started < closure.opened;
            let is_there = || {
                closure
                    .workers
                    .iter()
                    .any(|own| run.worker.starts_with(own))
            };
            let from = run.started.saturating_sub(QUIET_PERIOD);
            let is_fault_free = || boxes.iter().all(|own| own.is_fault_free(from, run.started));
            if !is_judged || !is_there() || !is_fault_free() {
                continue;
            }
            let Closure { hall, closed, .. } = closure;
            let text = format!(
                "{} started at {} us, hall closed at {closed} us",
                run.task, run.started
            );
            found.push(breach("shut", hall, text));
        }
    }
    found
}

/// Number of runs to which the bound on stopping after a cancellation applied.
pub fn judged_stops(jobs: &Jobs, runs: &[Run], fault_periods: &FaultPeriods) -> usize {
    let is_judged = |run: &&Run| {
        let confirmed = jobs.get(run.parts().0).and_then(Job::cancelled);
        confirmed.is_some_and(|at| {
            (run.started..run.ended).contains(&at) && is_fault_free(fault_periods, at)
        })
    };
    runs.iter().filter(is_judged).count()
}

/// True when the bound on stopping applies to a cancellation confirmed at this time.
fn is_fault_free(fault_periods: &FaultPeriods, confirmed: Micros) -> bool {
    fault_periods.is_fault_free(
        confirmed.saturating_sub(QUIET_PERIOD),
        confirmed + STOP_BOUND,
    )
}

/// Tasks of a cancelled job stop in time when no fault is active.
fn cancelled(job: &Job, run: &Run, fault_periods: &FaultPeriods, now: Micros) -> Option<Breach> {
    let confirmed = job.cancelled()?;
    let bound = confirmed + STOP_BOUND;
    let is_over = now >= bound && run.started <= bound && run.ended > bound;
    if !is_over || !is_fault_free(fault_periods, confirmed) {
        return None;
    }
    let text = format!(
        "{} still runs on {} at {bound} us, cancelled at {confirmed} us",
        run.task, run.worker
    );
    Some(breach("stop", &job.id, text))
}

/// No task starts while every attempt to submit its job was refused.
fn refused(job: &Job, run: &Run) -> Option<Breach> {
    let mut tries = job.exchanges.iter();
    let open = tries.any(|exchange| {
        let is_over = exchange.is_refused() && exchange.answered != NEVER;
        exchange.kind == RequestKind::Submit && exchange.sent < run.started && !is_over
    });
    let text = || format!("{} started at {} us", run.task, run.started);
    (!open).then(|| breach("refused", &job.id, text()))
}

/// No task starts before all tasks of the preceding step are done.
fn order(job: &Job, step: usize, run: &Run, tasks: &Tasks<'_>) -> Option<Breach> {
    let before = step.checked_sub(1)?;
    for name in job.tasks(before) {
        if !is_done(tasks, &name, run.started) {
            let text = format!("{} started at {} us before {name}", run.task, run.started);
            return Some(breach("order", &job.id, text));
        }
    }
    None
}

fn is_done(tasks: &Tasks<'_>, name: &str, at: Micros) -> bool {
    let runs = tasks.get(name).map_or(&[][..], Vec::as_slice);
    runs.iter()
        .any(|run| run.outcome == "done" && run.ended <= at)
}

/// A job is reported as completed only once all its tasks are done, and boxes without faults keep
/// reporting it so.
fn completed(job: &Job, tasks: &Tasks<'_>) -> Option<Breach> {
    let at = job.first_reported("completed")?;
    for step in 0..job.steps.len() {
        for name in job.tasks(step) {
            if !is_done(tasks, &name, at) {
                let text = format!("completed at {at} us before {name} was done");
                return Some(breach("completed", &job.id, text));
            }
        }
    }
    let back = job.exchanges.iter().find(|exchange| {
        exchange.fault_free
            && exchange.sent > at
            && !exchange.state.is_empty()
            && exchange.state != "completed"
    })?;
    let text = format!("shown as {} after completed", back.state);
    Some(breach("states", &job.id, text))
}

/// Boxes without faults know an accepted job, and no box reports it as failed or cancelled without
/// a cause.
fn lost_job(job: &Job) -> Option<Breach> {
    let accepted = job.accepted()?;
    for exchange in &job.exchanges {
        let is_gone = exchange.kind == RequestKind::State && exchange.status == 410;
        if is_gone && exchange.fault_free && exchange.sent > accepted + VISIBLE_BOUND {
            let text = format!("not known to b{} at {} us", exchange.to, exchange.sent);
            return Some(breach("lost", &job.id, text));
        }
        let without_cause = exchange.state == "failed" && job.crashing.is_none()
            || exchange.state == "cancelled" && !job.is_cancel_requested();
        if without_cause {
            let text = format!(
                "shown as {} by b{} without cause",
                exchange.state, exchange.to
            );
            return Some(breach("lost", &job.id, text));
        }
    }
    None
}

/// No long-running task waits while `MIN_FREE_CORES` cores are free; each task takes one core.
pub fn idle_long_running(jobs: &Jobs, runs: &[Run], free: usize) -> Option<Breach> {
    if free < MIN_FREE_CORES {
        return None;
    }
    let running: HashSet<&str> = runs
        .iter()
        .filter(|run| run.ended == NEVER)
        .map(|run| &*run.task)
        .collect();
    for job in jobs.values() {
        let is_over = job.is_cancel_requested()
            || FINAL_STATES
                .iter()
                .any(|state| job.first_reported(state).is_some());
        if !job.long_running || is_over || job.accepted().is_none() {
            continue;
        }
        let mut names = (0..job.steps.len()).flat_map(|step| job.tasks(step));
        if let Some(name) = names.find(|name| !running.contains(&**name)) {
            let text = format!("{name} is long-running and does not run, with {free} cores free");
            return Some(breach("lasting", &job.id, text));
        }
    }
    None
}

/// A task that crashes its workers fails at the crash limit. A crash may be missed when the owner
/// is killed.
fn crash_limit(job: &Job, tasks: &Tasks<'_>, fault_periods: &FaultPeriods) -> Option<Breach> {
    let (step, index) = job.crashing?;
    let runs = tasks.get(&*format!("{}.0.{step}.{index}", job.id))?;
    let after = runs.iter().skip(CRASH_LIMIT).map(|run| run.started);
    let is_fault_free =
        |at: &Micros| fault_periods.is_fault_free(at.saturating_sub(QUIET_PERIOD), *at);
    let fault_free = after.filter(is_fault_free).count();
    if fault_free <= STARTS_OVER_LIMIT && runs.len() <= MAX_STARTS {
        return None;
    }
    let text = format!(
        "a task that crashes its workers was started {} times",
        runs.len()
    );
    Some(breach("budget", &job.id, text))
}

#[cfg(test)]
mod tests {
    use {super::*, crate::history::Exchange, test_case::test_case};

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

    fn exchange(kind: RequestKind, sent: Micros, status: u16, state: &str) -> Exchange {
        Exchange {
            kind,
            to: 0,
            sent,
            answered: sent + 1,
            status,
            state: state.to_owned(),
            fault_free: true,
        }
    }

    fn rules(
        exchanges: Vec<Exchange>,
        runs: &[Run],
        fault_periods: &FaultPeriods,
    ) -> Vec<&'static str> {
        let job = Job {
            id: "a".to_owned(),
            steps: vec![1, 1],
            long_running: false,
            crashing: None,
            exchanges,
        };
        let jobs = Jobs::from([("a".to_owned(), job)]);
        let found = all(&jobs, runs, fault_periods, 100 * SECOND);
        found.iter().map(|breach| breach.rule).collect()
    }

    fn submitted() -> Exchange {
        exchange(RequestKind::Submit, 0, 200, "")
    }

    #[test]
    fn all_without_breach() {
        let runs = [run("a.0.0.0", 5, 9, "done"), run("a.0.1.0", 9, 20, "done")];
        let exchanges = vec![
            submitted(),
            exchange(RequestKind::State, 30, 200, "completed"),
        ];
        assert!(rules(exchanges, &runs, &FaultPeriods::default()).is_empty());
    }

    #[test_case(8, false, &["twice"]; "at the same time")]
    #[test_case(9, false, &[]; "after it")]
    #[test_case(12, true, &["twice"]; "after an acknowledged end")]
    fn concurrent_runs_cases(started: Micros, acknowledged: bool, rule: &[&str]) {
        let mut first = run("a.0.0.0", 5, 9, "done");
        first.acknowledged = acknowledged;
        let runs = [first, run("a.0.0.0", started, 20, "done")];
        assert_eq!(
            rules(vec![submitted()], &runs, &FaultPeriods::default()),
            rule
        );
    }

    #[test_case(8, "done", &["order"]; "too early")]
    #[test_case(9, "done", &[]; "after it")]
    #[test_case(12, "lapsed", &["order"]; "not done")]
    fn order_cases(started: Micros, outcome: &'static str, rule: &[&str]) {
        let runs = [
            run("a.0.0.0", 5, 9, outcome),
            run("a.0.1.0", started, 20, "done"),
        ];
        assert_eq!(
            rules(vec![submitted()], &runs, &FaultPeriods::default()),
            rule
        );
    }

    #[test_case(&[503], &["refused"]; "refused")]
    #[test_case(&[429, 503], &["refused"]; "refused twice")]
    #[test_case(&[503, 504], &[]; "unknown outcome")]
    #[test_case(&[0, 503], &[]; "no answer")]
    fn refused_cases(statuses: &[u16], rule: &[&str]) {
        let tries = statuses.iter().zip(0..);
        let tries = tries.map(|(&status, at)| exchange(RequestKind::Submit, at * 2, status, ""));
        let runs = [run("a.0.0.0", 50, 60, "done")];
        assert_eq!(
            rules(tries.collect(), &runs, &FaultPeriods::default()),
            rule
        );
    }

    #[test_case(14 * SECOND, &[]; "gone")]
    #[test_case(17 * SECOND, &["stop"]; "still there")]
    fn cancelled_cases(ended: Micros, rule: &[&str]) {
        let exchanges = vec![
            submitted(),
            exchange(RequestKind::Cancel, 11 * SECOND, 200, ""),
        ];
        let runs = [run("a.0.0.0", 5, ended, "stopped")];
        assert_eq!(
            rules(exchanges.clone(), &runs, &FaultPeriods::default()),
            rule
        );
        let mut fault_periods = FaultPeriods::default();
        fault_periods.record(7 * SECOND, 1);
        assert!(rules(exchanges, &runs, &fault_periods).is_empty());
    }

    #[test]
    fn start_after_end_cases() {
        let exchanges = vec![
            submitted(),
            exchange(RequestKind::State, 30, 200, "completed"),
        ];
        let runs = [
            run("a.0.0.0", 5, 9, "done"),
            run("a.0.1.0", 9, 20, "done"),
            run("a.0.0.0", 2 * SECOND, 3 * SECOND, "done"),
        ];
        assert_eq!(
            rules(exchanges, &runs, &FaultPeriods::default()),
            ["unasked"]
        );
        let exchanges = vec![submitted(), exchange(RequestKind::Cancel, 30, 200, "")];
        let late = [run("a.0.0.0", 4 * SECOND, NEVER, "")];
        assert_eq!(
            rules(exchanges, &late, &FaultPeriods::default()),
            ["unasked"]
        );
    }

    #[test_case("completed", 200, &["completed"]; "not done yet")]
    #[test_case("failed", 200, &["lost"]; "failed without cause")]
    #[test_case("cancelled", 200, &["lost"]; "cancelled without cause")]
    #[test_case("", 410, &["lost"]; "not known")]
    #[test_case("running", 200, &[]; "running")]
    fn reported_state_cases(state: &str, status: u16, rule: &[&str]) {
        let exchanges = vec![
            submitted(),
            exchange(RequestKind::State, 3 * SECOND, status, state),
        ];
        assert_eq!(rules(exchanges, &[], &FaultPeriods::default()), rule);
    }

    #[test_case(4, &[]; "failed at the limit")]
    #[test_case(6, &["budget"]; "started again and again")]
    fn crash_limit_cases(starts: u64, rule: &[&str]) {
        let runs = (0..starts).map(|at| run("a.0.0.0", at * 10 + 9, at * 10 + 12, "lapsed"));
        let runs: Vec<Run> = runs.collect();
        let job = Job {
            id: "a".to_owned(),
            steps: vec![1],
            crashing: Some((0, 0)),
            exchanges: vec![submitted(), exchange(RequestKind::State, 90, 200, "failed")],
            ..Job::default()
        };
        let jobs = Jobs::from([("a".to_owned(), job)]);
        let found = all(&jobs, &runs, &FaultPeriods::default(), 100 * SECOND);
        let found: Vec<&str> = found.iter().map(|breach| breach.rule).collect();
        assert_eq!(found, rule);
    }

    #[test_case(5, NEVER, 0, &[]; "soon after")]
    #[test_case(6, NEVER, 0, &["shut"]; "late")]
    #[test_case(9, 8, 0, &[]; "open again")]
    #[test_case(6, NEVER, 3, &[]; "after a fault")]
    fn closed_halls_cases(started: Micros, opened: Micros, fault_at: Micros, rule: &[&str]) {
        let closure = Closure {
            hall: "h1".to_owned(),
            workers: vec!["w1-".to_owned(), "w4-".to_owned()],
            closed: SECOND,
            opened: opened.saturating_mul(SECOND),
        };
        let mut there = run("a.0.0.0", started * SECOND + 1, NEVER, "");
        there.worker = "w4-2".to_owned();
        let elsewhere = run("a.0.0.1", started * SECOND + 1, NEVER, "");
        let mut fault_periods = FaultPeriods::default();
        if fault_at > 0 {
            fault_periods.record(fault_at * SECOND, 1);
        }
        let found = closed_halls(
            &[closure],
            &[there, elsewhere],
            &[FaultPeriods::default(), fault_periods],
        );
        let found: Vec<&str> = found.iter().map(|breach| breach.rule).collect();
        assert_eq!(found, rule);
    }

    #[test_case(NEVER, 2, &[]; "runs")]
    #[test_case(9, 2, &["lasting"]; "does not run")]
    #[test_case(9, 1, &[]; "no free cores")]
    fn idle_long_running_cases(ended: Micros, free: usize, rule: &[&str]) {
        let job = Job {
            id: "a".to_owned(),
            steps: vec![2],
            long_running: true,
            exchanges: vec![submitted()],
            ..Job::default()
        };
        let jobs = Jobs::from([("a".to_owned(), job)]);
        let runs = [
            run("a.0.0.0", 5, NEVER, ""),
            run("a.0.0.1", 5, 9, "lapsed"),
            run("a.0.0.1", 20, ended, ""),
        ];
        let found = idle_long_running(&jobs, &runs, free);
        let found: Vec<&str> = found.iter().map(|breach| breach.rule).collect();
        assert_eq!(found, rule);
    }

    #[test]
    fn completed_state_is_final() {
        let runs = [run("a.0.0.0", 5, 9, "done"), run("a.0.1.0", 9, 20, "done")];
        let exchanges = vec![
            submitted(),
            exchange(RequestKind::State, 30, 200, "completed"),
            exchange(RequestKind::State, 40, 200, "running"),
        ];
        assert_eq!(
            rules(exchanges, &runs, &FaultPeriods::default()),
            ["states"]
        );
    }
}
