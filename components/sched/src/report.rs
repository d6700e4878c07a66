//! What a worker's report means to its cell.

use {
    crate::{
        cell::{Cell, Run},
        fleet::LastReport,
        job,
        write_queue::AfterWrite,
    },
    infra::worker::{Manner, Order, Phase, Record, Refusal, Report, Stop, Task},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Workers on which a task may fail before it is given up.
const MAX_FAILED_WORKERS: usize = 4;
/// How often in a row a task may be lost with its worker soon after it had started, before it is given up: then it is
/// taken to crash its workers. Without a bound one task takes a worker at each of its starts, for ever (seen in a test of 20 rounds); a task that
/// runs for long and loses its worker now and then is not meant.
const MAX_EARLY_LOSSES: u32 = 5;
/// A task that has run for this long with its worker was not lost by starting: as for a cell of the users' platform, ten
/// times as long as most tasks run.
const EARLY_LOSS: Duration = Duration::from_secs(30);

impl Cell {
    /// Takes a report over that answers this order.
    pub fn on_report(&mut self, at: usize, order: &Order, report: Report, now: Instant) {
        let slot = self.fleet.worker_mut(at);
        let rebooted = slot
            .last_report
            .is_some_and(|heard| heard.boot != report.boot);
        slot.order_delivered(order);
        let Report {
            boot,
            clock,
            version,
            records,
            refusals,
            ..
        } = report;
        slot.last_report = Some(LastReport {
            boot,
            clock,
            version,
            at: now,
        });
        slot.ledger_read = true;
        if rebooted {
            self.release_lost_tasks(at, now);
        }
        for record in records {
            self.on_record(at, record, now);
        }
        for refusal in refusals {
            self.on_refusal(at, &refusal);
        }
    }

    fn on_record(&mut self, at: usize, record: Record, now: Instant) {
        let known = self.jobs.contains_key(&record.task.job);
        match record.phase {
            Phase::Running if known => self.on_running(at, record, now),
            Phase::Running => {
                let (task, attempt) = (record.task, record.attempt);
                let stop = Stop {
                    task,
                    attempt,
                    manner: Manner::Kill,
                };
                self.fleet.worker_mut(at).outbox.stops.push(stop);
            }
            Phase::Finished => self.on_finished(at, &record),
            Phase::Failed => self.on_failed(at, &record, now),
            Phase::Stopped => self.on_stopped(at, &record),
        }
    }

    /// A task runs. It is adopted when this owner did not start it.
    fn on_running(&mut self, at: usize, record: Record, now: Instant) {
        if let Some(run) = self.running.get(&record.task) {
            if run.attempt != record.attempt {
                let (task, attempt) = (record.task, record.attempt);
                let stop = Stop {
                    task,
                    attempt,
                    manner: Manner::Kill,
                };
                self.fleet.worker_mut(at).outbox.stops.push(stop);
            }
            return;
        }
        let Some(job) = self.jobs.get_mut(&record.task.job) else {
            return;
        };
        let index = record.task.index;
        job::remove(&mut job.unconfirmed, index);
        job::remove(&mut job.ready, index);
        job.running.insert(index);
        let cancelled = job.entry.cancelled;
        self.counts.adopted += 1;
        let team = self.limits.row(&record.class).map(|row| row.team.clone());
        self.queues
            .add_running(&record.class, team.as_ref(), record.size);
        self.fleet.allocate(at, &record.task, record.size);
        let Record {
            task,
            attempt,
            class,
            size,
            ..
        } = record;
        let run = Run {
            worker: at,
            attempt,
            class,
            size,
            since: now,
            expected_end: None,
            stopping: false,
        };
        self.running.insert(task.clone(), run);
        if cancelled {
            self.stop(&task, Manner::Kill);
        }
    }

    /// Takes a task off the books of what runs, if it is this start of it.
    pub(crate) fn leave(&mut self, task: &Task, attempt: u64) -> Option<Run> {
        if self.running.get(task)?.attempt != attempt {
            return None;
        }
        let run = self.running.remove(task)?;
        let team = self.limits.row(&run.class).map(|row| row.team.clone());
        self.queues
            .remove_running(&run.class, team.as_ref(), run.size);
        self.fleet.release(run.worker, task, run.size);
        if run.stopping {
            let slot = self.fleet.worker_mut(run.worker);
            slot.freeing = slot.freeing.minus(run.size);
        }
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.running.remove(&task.index);
        }
        Some(run)
    }

    fn stage_forget(&mut self, at: usize, record: &Record) {
        self.write_queue
            .stage(AfterWrite::Forget(at, record.task.clone(), record.attempt));
    }

    fn on_finished(&mut self, at: usize, record: &Record) {
        self.leave(&record.task, record.attempt);
        self.fleet.worker_mut(at).record_success();
        self.stage_forget(at, record);
        let index = record.task.index;
        let Some(job) = self.jobs.get_mut(&record.task.job) else {
            return;
        };
        if job.entry.done.contains(&index) {
            return;
        }
        job::insert(&mut job.entry.done, index);
        job::remove(&mut job.ready, index);
        job::remove(&mut job.unconfirmed, index);
        job::remove(&mut job.entry.unknown, index);
        job.entry.resume.remove(&index);
        job.failures.remove(&index);
        job.losses.remove(&index);
        self.counts.finished += 1;
        // A later start of the same task has nothing more to do.
        self.stop(&record.task, Manner::Kill);
        self.check_ended(&record.task.job);
    }

    fn on_failed(&mut self, at: usize, record: &Record, now: Instant) {
        let slot = self.fleet.worker_mut(at);
        let name = slot.name.clone();
        if slot.record_failure(now) {
            log::warn!(target: "sched", "A worker is set aside, tasks fail on it. worker={name}");
        }
        self.stage_forget(at, record);
        if self.leave(&record.task, record.attempt).is_none() {
            return;
        }
        let index = record.task.index;
        let Some(job) = self.jobs.get_mut(&record.task.job) else {
            return;
        };
        let workers = job.failures.entry(index).or_default();
        workers.insert(name);
        if workers.len() >= MAX_FAILED_WORKERS || job.entry.spec.once {
            log::warn!(
                target: "sched",
                "A task is given up after failures. task={} workers={}",
                record.task, workers.iter().map(|w| &**w).collect::<Vec<_>>().join(",")
            );
            job::insert(&mut job.entry.failed, index);
            self.check_ended(&record.task.job);
        } else {
            job.requeue(index);
            self.enqueue(&record.task.job);
        }
        self.write_queue.mark_dirty();
    }

    fn on_stopped(&mut self, at: usize, record: &Record) {
        self.stage_forget(at, record);
        let ran = self.leave(&record.task, record.attempt);
        let index = record.task.index;
        let Some(job) = self.jobs.get_mut(&record.task.job) else {
            return;
        };
        let resume = job.entry.resume.entry(index).or_default();
        *resume = record.checkpoint.max(*resume);
        if ran.is_some() {
            self.return_to_queue(&record.task);
        }
        self.write_queue.mark_dirty();
        self.check_ended(&record.task.job);
    }

    /// A task that ran and did not end by itself waits again, or is unknown if it must not.
    fn return_to_queue(&mut self, task: &Task) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if job.entry.spec.once && !job.entry.cancelled {
            job::insert(&mut job.entry.unknown, task.index);
        } else {
            job.requeue(task.index);
        }
        self.enqueue(&task.job);
        self.check_ended(&task.job);
        self.write_queue.mark_dirty();
    }

    /// A start was refused: the task did not run, and the worker is read anew.
    fn on_refusal(&mut self, at: usize, refusal: &Refusal) {
        log::debug!(
            target: "sched", "A start was refused. task={} reason={}",
            refusal.task, refusal.reason
        );
        if let Some(heard) = &mut self.fleet.worker_mut(at).last_report {
            heard.version = 0;
        }
        if self.leave(&refusal.task, refusal.attempt).is_none() {
            return;
        }
        let Some(job) = self.jobs.get_mut(&refusal.task.job) else {
            return;
        };
        job.requeue(refusal.task.index);
        self.enqueue(&refusal.task.job);
        self.check_ended(&refusal.task.job);
    }

    /// Lets the tasks of a worker wait again: they surely do not run there any more.
    pub(crate) fn release_lost_tasks(&mut self, at: usize, now: Instant) {
        let tasks = self.fleet.worker(at).tasks.clone();
        let slot = self.fleet.worker_mut(at);
        slot.outbox.starts.clear();
        slot.outbox.stops.clear();
        slot.outbox.throttles.clear();
        for task in tasks {
            let Some((attempt, since)) =
                self.running.get(&task).map(|run| (run.attempt, run.since))
            else {
                continue;
            };
            self.leave(&task, attempt);
            self.counts.lost += 1;
            let is_soon = now < since + EARLY_LOSS;
            if self.record_loss(&task, is_soon) {
                self.fail_task(&task);
            } else {
                self.return_to_queue(&task);
            }
        }
    }

    /// Counts the losses of a task in a row that came soon after its start. True when they are too many.
    fn record_loss(&mut self, task: &Task, is_soon: bool) -> bool {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return false;
        };
        if !is_soon {
            job.losses.remove(&task.index);
            return false;
        }
        let losses = job.losses.entry(task.index).or_default();
        *losses += 1;
        *losses >= MAX_EARLY_LOSSES
    }

    /// Starts a task no more that was lost with its worker again and again.
    fn fail_task(&mut self, task: &Task) {
        log::warn!(target: "sched", "A task is given up, its workers are lost. task={task}");
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job::insert(&mut job.entry.failed, task.index);
        }
        self.check_ended(&task.job);
        self.write_queue.mark_dirty();
    }

    /// Gives up workers that were silent until their leases were surely over.
    pub(crate) fn expire_unreachable(&mut self, now: Instant) {
        let term = self.timing;
        let over = |heard: &LastReport| term.is_over(heard.at, now);
        let silent: Vec<usize> = (0..self.fleet.workers().len())
            .filter(|at| {
                self.fleet
                    .worker(*at)
                    .last_report
                    .as_ref()
                    .is_some_and(over)
            })
            .collect();
        for at in silent {
            let name: Arc<str> = self.fleet.worker(at).name.clone();
            log::warn!(target: "sched", "A worker was silent until its lease ended. worker={name}");
            self.release_lost_tasks(at, now);
            let slot = self.fleet.worker_mut(at);
            slot.last_report = None;
        }
    }
}
