//! How much the loss of a worker tells against a task that ran there.
//!
//! A worker may be lost for any reason. The less likely that is in the time for which the task ran,
//! the more the loss tells against the task. The likelihood comes from the other workers: how many
//! of them were lost lately, and how many at the same time, and from earlier losses of the same
//! machine. Losses that a suspected task explains are not counted. The evidence of consecutive
//! crashes adds up, less what chance alone would tell.

use {
    super::{
        losses::{Correlation, GroupLoss, Loss, RETENTION_MS},
        past_losses::MEMORY_MS,
        trial::{ISOLATE_AFTER_EARLY, Suspicion},
    },
    crate::{
        cell::Cell,
        slot::Slot,
        worker::{TaskKey, Worker},
    },
    job::{Crashes, Id},
    std::{
        collections::{HashMap, HashSet, VecDeque},
        hash::{DefaultHasher, Hash, Hasher},
    },
};

/// Evidence, in tenths of a bit, from which a task is taken to crash its workers: 15 bits.
pub(super) const PROOF: u32 = 150;
/// The most that one crash tells, in tenths of a bit: two crashes never prove anything.
pub(super) const MAX_EVIDENCE: u32 = 60;
/// The same if the worker did not confirm the start: it may have been lost before.
const MAX_UNCONFIRMED: u32 = 20;
/// All evidence, in tenths of a bit, up to which a crash adds to it if a run of another job began on
/// the worker at the same time or later, and may have caused it: such crashes alone prove nothing.
/// From the third crash on nothing else starts beside a task that crashes its workers.
const MAX_AMBIGUOUS_TOTAL: u32 = PROOF - MAX_EVIDENCE;
/// Runs that began within this time of each other, in milliseconds, count as begun at the same
/// time: their orders may arrive in any order.
const SAME_TIME_MS: u64 = 100;
/// What a crash has to tell before it adds to the evidence, in tenths of a bit, by the number of
/// crashes before it; from the last entry on it is the same. Of many crashes some are unlikely by
/// chance, which would prove in the end that a healthy task causes them.
const EXPECTED_EVIDENCE: [u32; 6] = [0, 0, 0, 0, 20, 23];
/// The evidence that each further crash adds at most, in tenths of a bit.
const MAX_ADDED: u32 = MAX_EVIDENCE - EXPECTED_EVIDENCE[EXPECTED_EVIDENCE.len() - 1];
/// Isolated trials begin after a random part of this time, in milliseconds. Without it suspects
/// would start in step with whatever crashes workers at intervals, since they are lost together.
pub(super) const TRIAL_SPREAD_MS: u64 = 1_000;
/// The shortest time, in milliseconds, over which the rate of losses is taken.
const MIN_OBSERVED_MS: u64 = 1_000;
/// Time, in milliseconds, for which a machine counts as not lost before its losses were observed: a
/// first loss tells little of the machine.
const MACHINE_PRIOR_MS: u64 = 5_000;
/// How long an adopted run may have been running before, in milliseconds: the time of a takeover.
const ADOPTED_MS: u64 = 10_000;
/// Time, in milliseconds, after the loss of a worker is proven, after which its crash is weighed
/// although some workers have not answered since.
const WEIGH_AFTER_MS: u64 = 1_500;
/// The delay, in milliseconds, before a long-running task that surely crashes its workers at its
/// start is started again, and before one that crashes them later is. It doubles with each further
/// crash, at most this often.
const START_DELAY_MS: u64 = 20_000;
const LATE_DELAY_MS: u64 = 2_000;
const MAX_DOUBLINGS: u32 = 4;
/// A crash tells nothing if such a share of the cell or of the rack was lost at the same time.
pub(super) const MAX_CELL_SHARE: f64 = 0.4;
const MAX_RACK_SHARE: f64 = 0.75;
/// The probability that workers are lost during a takeover for reasons that have nothing to do with
/// their tasks.
pub(super) const UNOBSERVED_CHANCE: f64 = 0.5;
/// Fewer other workers of a rack than this may be lost at the same time by chance.
const MIN_OTHERS_IN_RACK: usize = 2;

/// A crash that is to be weighed once the losses at the same time are known.
#[derive(Debug)]
pub(super) struct Unweighed {
    loss: Loss,
    /// When the worker was declared lost, on the owner's clock.
    at: u64,
    /// The tasks that may have caused the crash.
    suspects: Vec<Suspect>,
}

/// A run that may have caused a crash.
#[derive(Debug)]
pub(super) struct Suspect {
    pub key: TaskKey,
    /// For how long it may have run, in milliseconds.
    pub runtime: u64,
    /// The start was put off by a random part of this time, in milliseconds.
    pub spread: u64,
    /// The worker has confirmed the start.
    pub confirmed: bool,
    /// The crash was early.
    pub early: bool,
    /// A run of another job that began no earlier may have caused the crash.
    pub ambiguous: bool,
}

/// Crashes to be weighed, and what their evidence depends on.
#[derive(Debug, Default)]
pub(super) struct Evidence {
    /// Since when losses are observed, on the owner's clock.
    since: Option<u64>,
    unweighed: Vec<Unweighed>,
    /// The tasks of these crashes.
    awaiting: HashSet<TaskKey>,
    /// When crashes were counted against a task, while the losses of the workers are remembered.
    blamed: HashMap<TaskKey, VecDeque<u64>>,
    /// The same of all tasks, the oldest first.
    blames: VecDeque<(u64, TaskKey)>,
}

impl Evidence {
    /// True if a crash under the task is still to be weighed.
    pub fn is_awaiting(&self, key: &TaskKey) -> bool {
        self.awaiting.contains(key)
    }

    /// True if a crash was counted against any task lately.
    pub fn has_recent(&self) -> bool {
        !self.blamed.is_empty()
    }

    /// Drops the crash of a worker that has returned.
    pub fn revoke(&mut self, id: &str) {
        let before = self.unweighed.len();
        self.unweighed.retain(|crash| &*crash.loss.id != id);
        if self.unweighed.len() < before {
            self.update_awaiting();
        }
    }

    fn update_awaiting(&mut self) {
        let suspects = self.unweighed.iter().flat_map(|crash| &crash.suspects);
        self.awaiting = suspects.map(|suspect| suspect.key.clone()).collect();
    }

    /// Drops what is older than the remembered losses.
    fn expire(&mut self, now: u64) {
        self.since.get_or_insert(now);
        let is_old = |(at, _): &mut (u64, TaskKey)| now >= *at + MEMORY_MS;
        while let Some((_, key)) = self.blames.pop_front_if(is_old) {
            let Some(times) = self.blamed.get_mut(&key) else {
                continue;
            };
            times.pop_front();
            if times.is_empty() {
                self.blamed.remove(&key);
            }
        }
    }

    /// Number of losses within this time that were counted against the task.
    fn blamed_within(&self, time: u64, key: &TaskKey, now: u64) -> usize {
        let times = self.blamed.get(key).into_iter().flatten();
        times.filter(|&&at| now < at + time).count()
    }

    /// The part of this time over which losses are known, in milliseconds.
    fn observed(&self, time: u64, now: u64) -> u64 {
        let since = self.since.unwrap_or(now);
        now.saturating_sub(since).clamp(MIN_OBSERVED_MS, time)
    }
}

impl Cell {
    /// What is known of a task that ran on a lost worker. `causes` has the tasks that may have
    /// caused the crash, and for each whether the crash was early.
    pub(super) fn suspect(
        &self,
        id: &str,
        key: &TaskKey,
        causes: &[(TaskKey, bool)],
        now: u64,
    ) -> Option<Suspect> {
        let worker = self.workers.get(id)?;
        let slot = worker.slots.get(key)?;
        let is_newer = |(other, is_early): &(TaskKey, bool)| {
            let began = worker.slots.get(other).map_or(0, |slot| slot.decided);
            *is_early && other.job != key.job && began + SAME_TIME_MS >= slot.decided
        };
        Some(Suspect {
            ambiguous: causes.iter().any(is_newer),
            key: key.clone(),
            runtime: worker.max_runtime(slot, now),
            spread: slot.spread,
            confirmed: !slot.is_sent(),
            early: worker.is_early(slot),
        })
    }

    /// Notes a crash whose evidence is to be weighed.
    pub(super) fn add_unweighed(&mut self, loss: Loss, suspects: Vec<Suspect>, now: u64) {
        if suspects.is_empty() {
            return;
        }
        let evidence = &mut self.crashes.evidence;
        for Suspect { key, early, .. } in &suspects {
            evidence.awaiting.insert(key.clone());
            // A loss with a trial does not count among the unexplained ones. A run that had lasted
            // does not explain a loss: in a small cell it is on most workers in turn.
            if *early && !loss.has_trial {
                let times = evidence.blamed.entry(key.clone()).or_default();
                times.push_back(now);
                evidence.blames.push_back((now, key.clone()));
            }
        }
        let at = now;
        evidence.unweighed.push(Unweighed { loss, at, suspects });
    }

    /// Weighs the crashes for which the losses at the same time are known.
    pub(super) fn weigh_crashes(&mut self, now: u64) {
        self.crashes.evidence.expire(now);
        self.weigh_unobserved(now);
        if self.crashes.evidence.unweighed.is_empty() {
            return;
        }
        let heard = self.heard_since();
        let is_due = |crash: &mut Unweighed| {
            heard.is_none_or(|heard| crash.loss.outage.until < heard)
                || now >= crash.at + WEIGH_AFTER_MS
        };
        let due = self.crashes.evidence.unweighed.extract_if(.., is_due);
        let due: Vec<_> = due.collect();
        if due.is_empty() {
            return;
        }
        let losses = &self.crashes.losses;
        let unexplained = [losses.unexplained(), losses.past.unexplained()];
        for crash in due {
            self.weigh_crash(crash, unexplained, now);
        }
        self.crashes.evidence.update_awaiting();
    }

    /// The time after which all workers that are not known to be unreachable have answered, on the
    /// owner's clock; `None` if there are none.
    fn heard_since(&self) -> Option<u64> {
        let reachable = self.workers.values();
        let reachable = reachable.filter(|worker| !worker.is_unreachable());
        let clocks = reachable.filter_map(|worker| worker.clock);
        clocks.map(|clock| clock.at).min()
    }

    /// Weighs a crash. No trial explains `unexplained` of the recent and of all losses.
    fn weigh_crash(&mut self, crash: Unweighed, unexplained: [usize; 2], now: u64) {
        let Unweighed { loss, suspects, .. } = crash;
        let id = loss.id.clone();
        let evidence = &self.crashes.evidence;
        let losses = &mut self.crashes.losses;
        let is_counted = !loss.has_trial && losses.recent.contains_key(&id);
        let is_counted = usize::from(is_counted);
        let window = |time, unexplained: usize| Window {
            length: evidence.observed(time, now),
            unexplained: unexplained.saturating_sub(is_counted),
        };
        let lost_before = losses.earlier_of_machine(&loss);
        let context = Context {
            recent: window(RETENTION_MS, unexplained[0]),
            past: window(MEMORY_MS, unexplained[1]),
            lost_before,
            losses: losses.correlate(&self.workers, loss),
        };
        let mut weighed = Vec::new();
        for suspect in suspects {
            let is_own = is_counted * usize::from(suspect.early);
            let own = [RETENTION_MS, MEMORY_MS].map(|time| {
                let blamed = evidence.blamed_within(time, &suspect.key, now);
                blamed.saturating_sub(is_own)
            });
            let chance = context.chance(&suspect, own);
            let most = suspect.max_evidence();
            weighed.push((suspect, to_evidence(chance).min(most)));
        }
        for (suspect, added) in weighed {
            let limit = suspect.max_total();
            let Suspect { key, runtime, .. } = suspect;
            let Some((evidence, change)) = self.add_evidence(&key, added, limit, now) else {
                continue;
            };
            log::info!(target: "cell", job = key.job.as_str(), place = key.place, worker = &*id, runtime, lost_before, added, evidence; "Evidence of a crash was weighed.");
            if let Some(provisional) = self.crashes.provisional.get_mut(&id) {
                provisional.evidence.push((key, change));
            }
        }
    }

    /// Adds to the evidence against a task, up to a limit for all of it, and puts off its next start
    /// if that is to be in isolation. Returns all the evidence and by how much it changed, or `None`
    /// if the task is no longer suspected.
    pub(super) fn add_evidence(
        &mut self,
        key: &TaskKey,
        added: u32,
        limit: u32,
        now: u64,
    ) -> Option<(u32, i32)> {
        let is_isolated = self.suspicion(&key.job, key.place) == Suspicion::Alone;
        let job = self.jobs.get_mut(&key.job)?;
        let task = job.progress.tasks.get_mut(key.place)?;
        // The task may have been cleared since.
        if job.progress.state.is_final() || task.crashes.all == 0 {
            return None;
        }
        let Crashes {
            evidence, weighed, ..
        } = &mut task.crashes;
        let before = *evidence;
        let sum = (before + added).min(limit.max(before));
        *evidence = sum.saturating_sub(expected_evidence(*weighed));
        *weighed += 1;
        let evidence = *evidence;
        if is_isolated {
            let delay = trial_delay(key, task.run);
            job.delayed.insert(key.place, now + delay);
        }
        job.unpersisted_crashes.insert(key.place);
        self.dirty.insert(key.job.clone());
        if self.is_over_limit(key) {
            self.crashes.over_limit.push(key.clone());
        }
        Some((evidence, evidence.cast_signed() - before.cast_signed()))
    }
}

/// What a crash has to tell after so many others before it adds to the evidence, in tenths of a
/// bit.
fn expected_evidence(crashes: u32) -> u32 {
    let last = EXPECTED_EVIDENCE.len() - 1;
    EXPECTED_EVIDENCE[last.min(crashes as usize)]
}

/// Other losses within some time.
struct Window {
    /// The time over which losses are known, in milliseconds.
    length: u64,
    /// Those that no trial explains.
    unexplained: usize,
}

/// The loss of a worker beside other losses.
struct Context<'a> {
    losses: Correlation<'a>,
    /// The losses within [`RETENTION_MS`].
    recent: Window,
    /// Those within [`MEMORY_MS`].
    past: Window,
    /// Earlier losses of the same machine. They tell of the machine even if the task ran there each
    /// time: a task that crashes its workers crashes others as well.
    lost_before: usize,
}

impl Context<'_> {
    /// The losses of each worker per millisecond that have nothing to do with a task. So many of
    /// the recent and of all losses were counted against the task itself.
    fn rate(&self, own: [usize; 2]) -> f64 {
        let Context { recent, past, .. } = self;
        let workers = self.losses.in_cell().total().max(1) as f64;
        let lately = recent.unexplained.saturating_sub(own[0]);
        // The rate is not known from no other loss at all, so that one more is assumed.
        let ever = past.unexplained.saturating_sub(own[1]) + 1;
        let of_recent = lately as f64 / (workers * recent.length as f64);
        let of_past = ever as f64 / (workers * past.length as f64);
        let of_machine = self.lost_before as f64 / (past.length + MACHINE_PRIOR_MS) as f64;
        of_recent.max(of_past).max(of_machine)
    }

    /// The probability that a run loses its worker for reasons that have nothing to do with its
    /// job. `own` of the recent and of all losses were counted against the same task.
    fn chance(&self, suspect: &Suspect, own: [usize; 2]) -> f64 {
        let job = &suspect.key.job;
        let in_cell = self.losses.in_cell();
        let together = in_cell.explained_others(job);
        let rate = self.rate(own.map(|own| own.max(together)));
        let by_rate = 1.0 - (-rate * suspect.runtime as f64).exp();
        let in_rack = self.losses.in_rack();
        let in_rack = in_rack.map_or(0.0, |rack| share(&rack, job, MIN_OTHERS_IN_RACK));
        let in_cell = share(&in_cell, job, 1);
        if in_cell >= MAX_CELL_SHARE || in_rack >= MAX_RACK_SHARE {
            return 1.0;
        }
        by_rate.max(in_cell * suspect.coverage())
    }
}

impl Suspect {
    const fn max_evidence(&self) -> u32 {
        if self.confirmed {
            MAX_EVIDENCE
        } else {
            MAX_UNCONFIRMED
        }
    }

    /// All evidence up to which the crash adds to it, in tenths of a bit.
    const fn max_total(&self) -> u32 {
        if self.ambiguous {
            MAX_AMBIGUOUS_TOTAL
        } else {
            u32::MAX
        }
    }

    /// The part of the possible starts after which the run would have been running at a given time.
    fn coverage(&self) -> f64 {
        if self.spread <= self.runtime {
            return 1.0;
        }
        self.runtime as f64 / self.spread as f64
    }
}

/// The share of a group that was lost at the same time for reasons that have nothing to do with the
/// job, if at least `least` other workers were.
fn share(loss: &GroupLoss<'_>, job: &Id, least: usize) -> f64 {
    let others = loss.unexplained_others();
    let others = others.saturating_sub(loss.explained_others(job));
    if others < least {
        return 0.0;
    }
    (others + 1) as f64 / loss.total().max(1) as f64
}

/// The evidence in an event with this probability, in tenths of a bit.
pub(super) fn to_evidence(chance: f64) -> u32 {
    let tenths = -chance.log2() * 10.0;
    tenths.max(0.0) as u32
}

/// The time by which the start of an isolated trial is put off, in milliseconds. It differs between
/// tasks and between runs, and is the same whenever the same events are played again.
fn trial_delay(key: &TaskKey, run: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    (key, run).hash(&mut hasher);
    hasher.finish() % TRIAL_SPREAD_MS
}

/// The time over which the start of a task was spread, in milliseconds, if it was put off until a
/// moment ago.
pub(crate) fn start_spread(delayed: Option<u64>, now: u64) -> u64 {
    let is_spread = delayed.is_some_and(|until| now < until + TRIAL_SPREAD_MS);
    if is_spread { TRIAL_SPREAD_MS } else { 0 }
}

/// The delay before a long-running task with these crashes is started again, in milliseconds.
pub(super) fn restart_delay(crashes: Crashes) -> u64 {
    let doublings = crashes.evidence.saturating_sub(PROOF) / MAX_ADDED;
    let is_early = crashes.early >= ISOLATE_AFTER_EARLY;
    let delay = if is_early {
        START_DELAY_MS
    } else {
        LATE_DELAY_MS
    };
    delay << doublings.min(MAX_DOUBLINGS)
}

impl Worker {
    /// For how long a run may have been running when the worker was lost, in milliseconds. If the
    /// worker was last heard before the start, the time since then counts, since it may have been
    /// lost before.
    pub(super) fn max_runtime(&self, slot: &Slot, now: u64) -> u64 {
        let lost = self.silent_by.unwrap_or(now);
        let heard = self.clock.map_or(slot.decided, |clock| clock.at);
        let adopted = if slot.adopted { ADOPTED_MS } else { 0 };
        lost.saturating_sub(slot.decided.min(heard)) + adopted
    }
}
