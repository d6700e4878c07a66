//! What must always hold, as plain functions of what callers and workers saw.

use {
    crate::history::{Asked, Job, Jobs, Micros, NEVER, Run, SECOND, Trouble},
    std::{
        collections::{HashMap, HashSet},
        fmt,
    },
};

/// A start may still come so long after its job was shown as ended: the start may be under way.
const UNDER_WAY: Micros = SECOND;
/// Tasks of a cancelled job are gone so long after the confirmation: 3 s until the owner must know of it
/// and 0.9 s for the worker.
const GONE_AFTER: Micros = 3_900_000;
/// No start comes so long after a cancellation was confirmed.
const START_AFTER: Micros = 3 * SECOND;
/// A bound of time holds after so long without any fault.
pub const CALM: Micros = 5 * SECOND;
/// So many workers may crash under a task, and it may then be started so often by boxes without trouble.
const BUDGET: usize = 3;
const BUDGET_AFTER: usize = 2;
/// Whatever trouble there is, it is started no oftener: an owner that is killed misses one crash, and a run has some ten
/// owners.
const BUDGET_MOST: usize = 14;
/// No start comes in a hall so long after it was shut, where no box has had trouble for some time.
const SHUT_AFTER: Micros = 5 * SECOND;
/// A job is known to untroubled boxes so long after it was accepted.
const VISIBLE: Micros = 2 * SECOND;

/// Cores that are free beside a task that lasts and waits: twice what it takes.
const ROOM: usize = 2;
/// States in which a job has ended.
pub const FINAL: [&str; 3] = ["completed", "failed", "cancelled"];

/// A rule that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Breach {
    /// The rule.
    pub rule: &'static str,
    /// The job or the box.
    pub of: String,
    /// What happened.
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

/// The runs of each task, in the order of their starts.
pub type Tasks<'a> = HashMap<&'a str, Vec<&'a Run>>;

/// Sorts runs by task.
pub fn by_task(runs: &[Run]) -> Tasks<'_> {
    let mut tasks = Tasks::new();
    for run in runs {
        tasks.entry(&run.task).or_default().push(run);
    }
    tasks
}

/// All rules on jobs and their tasks, at a time.
pub fn all(jobs: &Jobs, runs: &[Run], trouble: &Trouble, now: Micros) -> Vec<Breach> {
    let tasks = by_task(runs);
    let mut found = Vec::new();
    for runs in tasks.values() {
        found.extend(twice(runs));
    }
    for run in runs {
        let (id, step) = run.parts();
        let Some(job) = jobs.get(id) else {
            found.push(breach("unasked", id, format!("{} was not asked", run.task)));
            continue;
        };
        found.extend(after_end(job, run, trouble));
        found.extend(cancelled(job, run, trouble, now));
        found.extend(refused(job, run));
        found.extend(order(job, step, run, &tasks));
    }
    for job in jobs.values() {
        found.extend(completed(job, &tasks));
        found.extend(lost(job));
        found.extend(budget(job, &tasks, trouble));
    }
    found
}

/// No task runs twice at the same time, or again after an end that was acknowledged.
fn twice(runs: &[&Run]) -> Option<Breach> {
    for (place, run) in runs.iter().enumerate() {
        for later in &runs[place + 1..] {
            let again = run.how == "done" && run.noted;
            if later.begun < run.ended || again {
                let text = format!(
                    "{} ran on {} from {} us to {} us ({}), and on {} from {} us",
                    run.task, run.worker, run.begun, run.ended, run.how, later.worker, later.begun
                );
                return Some(breach("twice", run.parts().0, text));
            }
        }
    }
    None
}

/// No task starts after its job was shown as ended.
fn after_end(job: &Job, run: &Run, trouble: &Trouble) -> Option<Breach> {
    let completed = job.shown("completed").map(|at| at + UNDER_WAY);
    let cancelled = job.cancelled().map(|at| at + START_AFTER);
    let is_after = |bound: Option<Micros>| bound.is_some_and(|bound| run.begun > bound);
    let is_calm = trouble.is_calm(run.begun.saturating_sub(CALM), run.begun);
    let state = match () {
        () if is_after(completed) => "completed",
        () if is_after(cancelled) && is_calm => "cancelled",
        () => return None,
    };
    let text = format!("{} began at {} us after {state}", run.task, run.begun);
    Some(breach("unasked", &job.id, text))
}

/// A data hall that was shut.
#[derive(Debug, Clone)]
pub struct Closure {
    /// Its name.
    pub hall: String,
    /// What the names of its workers begin with.
    pub workers: Vec<String>,
    /// When it was shut.
    pub shut: Micros,
    /// When it was opened again.
    pub opened: Micros,
}

impl Closure {
    /// True when it lasted so long that starts are judged.
    pub fn is_long(&self) -> bool {
        self.opened > self.shut + SHUT_AFTER
    }
}

/// Nothing starts in a hall that was shut some time ago, where the troubles of all boxes are over.
pub fn shut_halls(closures: &[Closure], runs: &[Run], boxes: &[Trouble]) -> Vec<Breach> {
    let mut found = Vec::new();
    for closure in closures.iter().filter(|closure| closure.is_long()) {
        for run in runs {
            let is_judged = run.begun > closure.shut + SHUT_AFTER && run.begun < closure.opened;
            let is_there = || {
                closure
                    .workers
                    .iter()
                    .any(|own| run.worker.starts_with(own))
            };
            let from = run.begun.saturating_sub(CALM);
            let is_calm = || boxes.iter().all(|own| own.is_calm(from, run.begun));
            if !is_judged || !is_there() || !is_calm() {
                continue;
            }
            let Closure { hall, shut, .. } = closure;
            let text = format!("{} began at {} us, shut at {shut} us", run.task, run.begun);
            found.push(breach("shut", hall, text));
        }
    }
    found
}

/// Of how many runs it is judged whether they were gone in time after a cancellation.
pub fn judged_stops(jobs: &Jobs, runs: &[Run], trouble: &Trouble) -> usize {
    let is_judged = |run: &&Run| {
        let confirmed = jobs.get(run.parts().0).and_then(Job::cancelled);
        confirmed.is_some_and(|at| (run.begun..run.ended).contains(&at) && is_calm(trouble, at))
    };
    runs.iter().filter(is_judged).count()
}

/// True when a cancellation that was confirmed then has to come about in time.
fn is_calm(trouble: &Trouble, confirmed: Micros) -> bool {
    trouble.is_calm(confirmed.saturating_sub(CALM), confirmed + GONE_AFTER)
}

/// Tasks of a cancelled job are gone in time, when it is calm.
fn cancelled(job: &Job, run: &Run, trouble: &Trouble, now: Micros) -> Option<Breach> {
    let confirmed = job.cancelled()?;
    let bound = confirmed + GONE_AFTER;
    let is_over = now >= bound && run.begun <= bound && run.ended > bound;
    if !is_over || !is_calm(trouble, confirmed) {
        return None;
    }
    let text = format!(
        "{} still runs on {} at {bound} us, cancelled at {confirmed} us",
        run.task, run.worker
    );
    Some(breach("stop", &job.id, text))
}

/// No task starts while all tries to hand its job in were refused.
fn refused(job: &Job, run: &Run) -> Option<Breach> {
    let mut tries = job.said.iter();
    let open = tries.any(|said| {
        let is_over = said.is_refused() && said.heard != NEVER;
        said.asked == Asked::Submit && said.sent < run.begun && !is_over
    });
    let text = || format!("{} began at {} us", run.task, run.begun);
    (!open).then(|| breach("refused", &job.id, text()))
}

/// No task starts before all tasks of the step before are done.
fn order(job: &Job, step: usize, run: &Run, tasks: &Tasks<'_>) -> Option<Breach> {
    let before = step.checked_sub(1)?;
    for name in job.tasks(before) {
        if !is_done(tasks, &name, run.begun) {
            let text = format!("{} began at {} us before {name}", run.task, run.begun);
            return Some(breach("order", &job.id, text));
        }
    }
    None
}

fn is_done(tasks: &Tasks<'_>, name: &str, at: Micros) -> bool {
    let runs = tasks.get(name).map_or(&[][..], Vec::as_slice);
    runs.iter().any(|run| run.how == "done" && run.ended <= at)
}

/// A job is shown as completed once all its tasks are done, and stays so where boxes are untroubled.
fn completed(job: &Job, tasks: &Tasks<'_>) -> Option<Breach> {
    let at = job.shown("completed")?;
    for step in 0..job.steps.len() {
        for name in job.tasks(step) {
            if !is_done(tasks, &name, at) {
                let text = format!("completed at {at} us before {name} was done");
                return Some(breach("completed", &job.id, text));
            }
        }
    }
    let back = job.said.iter().find(|said| {
        said.calm && said.sent > at && !said.state.is_empty() && said.state != "completed"
    })?;
    let text = format!("shown as {} after completed", back.state);
    Some(breach("states", &job.id, text))
}

/// An accepted job is known to untroubled boxes, and shows as failed or cancelled only with cause.
fn lost(job: &Job) -> Option<Breach> {
    let accepted = job.accepted()?;
    for said in &job.said {
        let is_gone = said.asked == Asked::State && said.status == 410;
        if is_gone && said.calm && said.sent > accepted + VISIBLE {
            let text = format!("not known to b{} at {} us", said.to, said.sent);
            return Some(breach("lost", &job.id, text));
        }
        let without_cause = said.state == "failed" && job.crashing.is_none()
            || said.state == "cancelled" && !job.is_unwanted();
        if without_cause {
            let text = format!("shown as {} by b{} without cause", said.state, said.to);
            return Some(breach("lost", &job.id, text));
        }
    }
    None
}

/// No task that lasts stands still while so many cores are free, each task taking one.
pub fn standing(jobs: &Jobs, runs: &[Run], free: usize) -> Option<Breach> {
    if free < ROOM {
        return None;
    }
    let going: HashSet<&str> = runs
        .iter()
        .filter(|run| run.ended == NEVER)
        .map(|run| &*run.task)
        .collect();
    for job in jobs.values() {
        let is_over = job.is_unwanted() || FINAL.iter().any(|state| job.shown(state).is_some());
        if !job.lasting || is_over || job.accepted().is_none() {
            continue;
        }
        let mut names = (0..job.steps.len()).flat_map(|step| job.tasks(step));
        if let Some(name) = names.find(|name| !going.contains(&**name)) {
            let text = format!("{name} is to last and does not run, with {free} cores free");
            return Some(breach("lasting", &job.id, text));
        }
    }
    None
}

/// A task that crashes its workers is given up. What crashes under it while its owner is killed may be missed.
fn budget(job: &Job, tasks: &Tasks<'_>, trouble: &Trouble) -> Option<Breach> {
    let (step, index) = job.crashing?;
    let runs = tasks.get(&*format!("{}.0.{step}.{index}", job.id))?;
    let after = runs.iter().skip(BUDGET).map(|run| run.begun);
    let is_calm = |at: &Micros| trouble.is_calm(at.saturating_sub(CALM), *at);
    let calm = after.filter(is_calm).count();
    if calm <= BUDGET_AFTER && runs.len() <= BUDGET_MOST {
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
    use {super::*, crate::history::Said, test_case::test_case};

    fn run(task: &str, begun: Micros, ended: Micros, how: &'static str) -> Run {
        Run {
            task: task.to_owned(),
            worker: "w".to_owned(),
            begun,
            ended,
            how,
            noted: false,
        }
    }

    fn said(asked: Asked, sent: Micros, status: u16, state: &str) -> Said {
        Said {
            asked,
            to: 0,
            sent,
            heard: sent + 1,
            status,
            state: state.to_owned(),
            calm: true,
        }
    }

    fn rules(said: Vec<Said>, runs: &[Run], trouble: &Trouble) -> Vec<&'static str> {
        let job = Job {
            id: "a".to_owned(),
            steps: vec![1, 1],
            lasting: false,
            crashing: None,
            said,
        };
        let jobs = Jobs::from([("a".to_owned(), job)]);
        let found = all(&jobs, runs, trouble, 100 * SECOND);
        found.iter().map(|breach| breach.rule).collect()
    }

    fn taken() -> Said {
        said(Asked::Submit, 0, 200, "")
    }

    #[test]
    fn all_good() {
        let runs = [run("a.0.0.0", 5, 9, "done"), run("a.0.1.0", 9, 20, "done")];
        let told = vec![taken(), said(Asked::State, 30, 200, "completed")];
        assert!(rules(told, &runs, &Trouble::default()).is_empty());
    }

    #[test_case(8, false, &["twice"]; "at the same time")]
    #[test_case(9, false, &[]; "after it")]
    #[test_case(12, true, &["twice"]; "after a noted end")]
    fn twice_cases(begun: Micros, noted: bool, rule: &[&str]) {
        let mut first = run("a.0.0.0", 5, 9, "done");
        first.noted = noted;
        let runs = [first, run("a.0.0.0", begun, 20, "done")];
        assert_eq!(rules(vec![taken()], &runs, &Trouble::default()), rule);
    }

    #[test_case(8, "done", &["order"]; "too early")]
    #[test_case(9, "done", &[]; "after it")]
    #[test_case(12, "lapsed", &["order"]; "not done")]
    fn order_cases(begun: Micros, how: &'static str, rule: &[&str]) {
        let runs = [run("a.0.0.0", 5, 9, how), run("a.0.1.0", begun, 20, "done")];
        assert_eq!(rules(vec![taken()], &runs, &Trouble::default()), rule);
    }

    #[test_case(&[503], &["refused"]; "refused")]
    #[test_case(&[429, 503], &["refused"]; "refused twice")]
    #[test_case(&[503, 504], &[]; "unsure")]
    #[test_case(&[0, 503], &[]; "no answer")]
    fn refused_cases(statuses: &[u16], rule: &[&str]) {
        let tries = statuses.iter().zip(0..);
        let tries = tries.map(|(&status, at)| said(Asked::Submit, at * 2, status, ""));
        let runs = [run("a.0.0.0", 50, 60, "done")];
        assert_eq!(rules(tries.collect(), &runs, &Trouble::default()), rule);
    }

    #[test_case(14 * SECOND, &[]; "gone")]
    #[test_case(17 * SECOND, &["stop"]; "still there")]
    fn cancelled_cases(ended: Micros, rule: &[&str]) {
        let told = vec![taken(), said(Asked::Cancel, 11 * SECOND, 200, "")];
        let runs = [run("a.0.0.0", 5, ended, "stopped")];
        assert_eq!(rules(told.clone(), &runs, &Trouble::default()), rule);
        let mut trouble = Trouble::default();
        trouble.note(7 * SECOND, 1);
        assert!(rules(told, &runs, &trouble).is_empty());
    }

    #[test]
    fn after_end_cases() {
        let told = vec![taken(), said(Asked::State, 30, 200, "completed")];
        let runs = [
            run("a.0.0.0", 5, 9, "done"),
            run("a.0.1.0", 9, 20, "done"),
            run("a.0.0.0", 2 * SECOND, 3 * SECOND, "done"),
        ];
        assert_eq!(rules(told, &runs, &Trouble::default()), ["unasked"]);
        let told = vec![taken(), said(Asked::Cancel, 30, 200, "")];
        let late = [run("a.0.0.0", 4 * SECOND, NEVER, "")];
        assert_eq!(rules(told, &late, &Trouble::default()), ["unasked"]);
    }

    #[test_case("completed", 200, &["completed"]; "not done yet")]
    #[test_case("failed", 200, &["lost"]; "failed without cause")]
    #[test_case("cancelled", 200, &["lost"]; "cancelled without cause")]
    #[test_case("", 410, &["lost"]; "not known")]
    #[test_case("running", 200, &[]; "running")]
    fn shown_cases(state: &str, status: u16, rule: &[&str]) {
        let told = vec![taken(), said(Asked::State, 3 * SECOND, status, state)];
        assert_eq!(rules(told, &[], &Trouble::default()), rule);
    }

    #[test_case(4, &[]; "given up")]
    #[test_case(6, &["budget"]; "started again and again")]
    fn budget_cases(starts: u64, rule: &[&str]) {
        let runs = (0..starts).map(|at| run("a.0.0.0", at * 10 + 9, at * 10 + 12, "lapsed"));
        let runs: Vec<Run> = runs.collect();
        let job = Job {
            id: "a".to_owned(),
            steps: vec![1],
            crashing: Some((0, 0)),
            said: vec![taken(), said(Asked::State, 90, 200, "failed")],
            ..Job::default()
        };
        let jobs = Jobs::from([("a".to_owned(), job)]);
        let found = all(&jobs, &runs, &Trouble::default(), 100 * SECOND);
        let found: Vec<&str> = found.iter().map(|breach| breach.rule).collect();
        assert_eq!(found, rule);
    }

    #[test_case(5, NEVER, 0, &[]; "soon after")]
    #[test_case(6, NEVER, 0, &["shut"]; "late")]
    #[test_case(9, 8, 0, &[]; "open again")]
    #[test_case(6, NEVER, 3, &[]; "after trouble")]
    fn shut_halls_cases(begun: Micros, opened: Micros, troubled: Micros, rule: &[&str]) {
        let closure = Closure {
            hall: "h1".to_owned(),
            workers: vec!["w1-".to_owned(), "w4-".to_owned()],
            shut: SECOND,
            opened: opened.saturating_mul(SECOND),
        };
        let mut there = run("a.0.0.0", begun * SECOND + 1, NEVER, "");
        there.worker = "w4-2".to_owned();
        let elsewhere = run("a.0.0.1", begun * SECOND + 1, NEVER, "");
        let mut trouble = Trouble::default();
        if troubled > 0 {
            trouble.note(troubled * SECOND, 1);
        }
        let found = shut_halls(
            &[closure],
            &[there, elsewhere],
            &[Trouble::default(), trouble],
        );
        let found: Vec<&str> = found.iter().map(|breach| breach.rule).collect();
        assert_eq!(found, rule);
    }

    #[test_case(NEVER, 2, &[]; "runs")]
    #[test_case(9, 2, &["lasting"]; "does not run")]
    #[test_case(9, 1, &[]; "no room")]
    fn standing_cases(ended: Micros, free: usize, rule: &[&str]) {
        let job = Job {
            id: "a".to_owned(),
            steps: vec![2],
            lasting: true,
            said: vec![taken()],
            ..Job::default()
        };
        let jobs = Jobs::from([("a".to_owned(), job)]);
        let runs = [
            run("a.0.0.0", 5, NEVER, ""),
            run("a.0.0.1", 5, 9, "lapsed"),
            run("a.0.0.1", 20, ended, ""),
        ];
        let found = standing(&jobs, &runs, free);
        let found: Vec<&str> = found.iter().map(|breach| breach.rule).collect();
        assert_eq!(found, rule);
    }

    #[test]
    fn completed_stays() {
        let runs = [run("a.0.0.0", 5, 9, "done"), run("a.0.1.0", 9, 20, "done")];
        let told = vec![
            taken(),
            said(Asked::State, 30, 200, "completed"),
            said(Asked::State, 40, 200, "running"),
        ];
        assert_eq!(rules(told, &runs, &Trouble::default()), ["states"]);
    }
}
