//! Checks that each accepted job has a task running or ends, while there is capacity and nothing
//! has failed for a while, and that no job fails without a fault of its own.

use {
    super::{Event, NetSim, PASS_INTERVAL, TaskId, Violation, advice, machine::Machine, operators},
    job::{Address, Id, State, Step, Submission},
    magpie_cell::{EndCause, RunEnd, TaskKey},
    std::collections::{HashMap, HashSet},
};

/// Maximum time without a run of a job for which there is capacity, in milliseconds.
const MAX_IDLE: u64 = 3_000;
/// The time without faults before that, in milliseconds.
const CALM: u64 = 4_000;
/// After this time without events, a job must run whatever has followed from them, in milliseconds.
const MAX_RECOVERY: u64 = 10_000;
/// Starts of a task of which the owner may not have heard the end, after which its job may fail: if
/// their workers were lost, the task may have crashed them.
const MAX_LOSSES: u32 = 3;

/// What is known of the jobs and of the time since the last faults.
#[derive(Debug, Default)]
pub struct Stalls {
    /// The end of the last event.
    quiet_from: u64,
    /// When a machine was last down or an owner was last missing.
    disturbed: u64,
    /// When a job has last lost a run.
    lost: HashMap<Id, u64>,
    /// Since when jobs have had nothing running beside free capacity.
    idle: HashMap<Id, u64>,
    /// Tasks that have completed, whether or not the owner knows.
    done: HashSet<TaskId>,
    /// Jobs with ends that were lost with their worker: the owner may not have heard of them.
    uncertain: HashSet<Id>,
    /// Failed runs, by task.
    failures: HashMap<TaskId, u32>,
    /// Starts without an end that is sure to be heard, by task.
    losses: HashMap<TaskId, u32>,
}

impl Stalls {
    pub fn note_event(&mut self, event: &Event, now: u64) {
        self.quiet_from = self.quiet_from.max(now + event.duration());
    }

    /// Notes that a run was lost with its worker or its lease.
    pub fn note_loss(&mut self, job: &Id, now: u64) {
        self.lost.insert(job.clone(), now);
    }

    pub fn note_start(&mut self, key: &TaskKey) {
        let task = (key.job.clone(), key.place);
        *self.losses.entry(task).or_default() += 1;
    }

    /// Notes that a run has ended or was surely not started.
    pub fn note_end(&mut self, task: &TaskId) {
        if let Some(count) = self.losses.get_mut(task) {
            *count = count.saturating_sub(1);
        }
    }

    /// Notes that a worker was lost with these ends.
    pub fn note_lost_ends(&mut self, ends: &[RunEnd]) {
        self.uncertain
            .extend(ends.iter().map(|end| end.job.clone()));
    }
}

impl NetSim {
    /// Checks for stalled jobs from now on. Machines are in three data halls and in racks of this
    /// size, and tasks run for as long as estimated, times the length of tasks in seconds.
    pub fn check_for_stalls(&mut self, rack_size: usize) {
        self.stalls = Some(Stalls::default());
        for (number, machine) in self.machines.iter_mut().enumerate() {
            machine.rack = number / rack_size;
            machine.hall = operators::hall(machine.rack % 3);
        }
        self.list();
    }

    pub(super) fn check_stalls(&mut self) {
        let Some(mut stalls) = self.stalls.take() else {
            return;
        };
        self.note_ends(&mut stalls);
        let is_down = |machine: &Machine| machine.returns_at.is_some_and(|at| at < u64::MAX);
        if self.takeover_at.is_some() || self.machines.iter().any(is_down) {
            stalls.disturbed = self.now;
        }
        if self.now.is_multiple_of(PASS_INTERVAL) {
            let found = self.find_failed(&stalls);
            let found = found.or_else(|| self.find_stalled(&mut stalls));
            self.violation = self.violation.take().or(found);
        }
        self.stalls = Some(stalls);
    }

    fn note_ends(&mut self, stalls: &mut Stalls) {
        let ends = self.machines.iter_mut();
        let ends: Vec<_> = ends
            .flat_map(|machine| std::mem::take(&mut machine.new_ends))
            .collect();
        for (job, address, how) in ends {
            let spec = &self.submission(&job).spec;
            let places = match spec.steps[address.step as usize].gang {
                true => (0..spec.steps[address.step as usize].count)
                    .map(|index| spec.place(Address { index, ..address }).unwrap())
                    .collect(),
                false => vec![spec.place(address).unwrap()],
            };
            if matches!(how, EndCause::Done | EndCause::Failed | EndCause::Stopped) {
                stalls.note_end(&(job.clone(), spec.place(address).unwrap()));
            }
            match how {
                EndCause::Done => stalls
                    .done
                    .extend(places.into_iter().map(|place| (job.clone(), place))),
                EndCause::Failed => {
                    for place in places {
                        *stalls.failures.entry((job.clone(), place)).or_default() += 1;
                    }
                }
                EndCause::Lapsed | EndCause::Broken | EndCause::Alone => {
                    stalls.note_loss(&job, self.now);
                }
                EndCause::Stopped => {}
            }
        }
    }

    /// A job that has failed although its runs have not failed often enough and have not been lost
    /// often enough to be suspected.
    fn find_failed(&self, stalls: &Stalls) -> Option<Violation> {
        for Submission { id, queue, .. } in &self.jobs {
            if self.cell.state(id) != Some(State::Failed) || self.has_crashing_task(id) {
                continue;
            }
            let mut failures = stalls.failures.iter();
            let may_fail = failures.any(|((job, _), &count)| job == id && count >= queue.attempts);
            let mut losses = stalls.losses.iter();
            let is_suspect = losses.any(|((job, _), &count)| job == id && count >= MAX_LOSSES);
            if !may_fail && !is_suspect {
                return Some(Violation::JobFailed(self.now, id.clone()));
            }
        }
        None
    }

    fn has_crashing_task(&self, id: &Id) -> bool {
        self.crashing.keys().any(|(job, _)| job == id)
    }

    fn find_stalled(&self, stalls: &mut Stalls) -> Option<Violation> {
        let now = self.now;
        let is_free = self.is_mostly_free();
        let calm_from = stalls.quiet_from.max(stalls.disturbed) + CALM;
        let mut running = HashSet::new();
        for machine in &self.machines {
            running.extend(machine.runs.keys().map(|(job, _)| job));
        }
        for submission in &self.jobs {
            let id = &submission.id;
            let is_over = self.cell.state(id).is_some_and(State::is_final)
                || self
                    .persisted
                    .get(id)
                    .is_some_and(|job| job.state.is_final());
            let is_waiting = is_free
                && !is_over
                && !submission.spec.is_long_running()
                && !running.contains(id)
                && self.has_capacity_for_next(stalls, submission);
            if !is_waiting {
                stalls.idle.remove(id);
                continue;
            }
            let since = *stalls.idle.entry(id.clone()).or_insert(now);
            let lost = stalls.lost.get(id).map_or(0, |at| at + CALM);
            let is_due = now >= stalls.quiet_from + MAX_RECOVERY;
            let from = if is_due { since } else { since.max(calm_from) };
            if now >= from.max(lost) + MAX_IDLE {
                return Some(Violation::StalledJob(since, id.clone()));
            }
        }
        None
    }

    /// True if less than half of all capacity is in use.
    fn is_mostly_free(&self) -> bool {
        let up = self.machines.iter();
        let up = up.filter(|machine| machine.returns_at.is_none());
        let (mut used, mut total) = (0, 0);
        for machine in up {
            used += self.demand_on(machine);
            total += machine.capacity();
        }
        used * 2 < total
    }

    /// CPU of all tasks on a machine, those included that reserve none.
    fn demand_on(&self, machine: &Machine) -> u64 {
        let runs = machine.runs.keys();
        runs.map(|(job, address)| {
            self.submission(job).spec.steps[address.step as usize]
                .size
                .cpu
        })
        .sum()
    }

    /// True if a task of the job is due for which there is capacity twice.
    fn has_capacity_for_next(&self, stalls: &Stalls, submission: &Submission) -> bool {
        let spec = &submission.spec;
        let is_done = |time: u32, step: u16| {
            (0..spec.steps[step as usize].count).all(|index| {
                let place = spec.place(Address { time, step, index }).unwrap();
                stalls.done.contains(&(submission.id.clone(), place))
            })
        };
        // If the owner has not heard of all ends, it runs some tasks again.
        let is_uncertain = stalls.uncertain.contains(&submission.id);
        if is_uncertain && self.now < spec.due(spec.times() - 1) {
            return false;
        }
        let mut is_known = false;
        for time in 0..spec.times() {
            if self.now < spec.due(time) {
                continue;
            }
            for (number, step) in (0..).zip(&spec.steps) {
                let is_next = !is_done(time, number)
                    && step.after.iter().all(|&earlier| is_done(time, earlier));
                if !is_next {
                    continue;
                }
                is_known = true;
                if !is_uncertain && self.has_capacity_twice(submission, number, step) {
                    return true;
                }
            }
        }
        let mut steps = (0..).zip(&spec.steps);
        (is_uncertain || (!is_known && spec.timetable.is_none()))
            && steps.all(|(number, step)| self.has_capacity_twice(submission, number, step))
    }

    fn has_capacity_twice(&self, submission: &Submission, number: u16, step: &Step) -> bool {
        let is_advised = submission.queue.advised;
        let mut room = 0;
        let mut workers = 0;
        for machine in &self.machines {
            let is_up = machine.returns_at.is_none() && !machine.is_leaving;
            let labels = machine.labels();
            let has_label = step
                .label
                .as_ref()
                .is_none_or(|label| labels.contains(label));
            let is_allowed = !is_advised || advice::is_allowed(&submission.id, number, &machine.id);
            if !(is_up && has_label && is_allowed) {
                continue;
            }
            let free = machine.capacity().saturating_sub(self.demand_on(machine));
            let spread = match step.spread {
                0 => u64::MAX,
                most => u64::from(most),
            };
            let fitting = (free / step.size.cpu).min(spread);
            room += fitting;
            workers += u64::from(fitting > 0);
        }
        let count = if step.gang { u64::from(step.count) } else { 1 };
        workers >= 2 && room >= 2 * count
    }
}
