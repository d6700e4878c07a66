//! Handles worker reports: adopts, ends, fails and requeues tasks, and counts losses.

use {
    crate::{
        cell::{Cell, Run},
        fleet::LastReport,
        job,
        write_queue::AfterWrite,
    },
    infra::worker::{Order, Phase, Record, Refusal, Report, Stop, StopMode, Task},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Number of workers on which a task fails before it counts as failed for good.
const MAX_FAILED_WORKERS: usize = 4;
/// Consecutive early losses of a task with its worker after which it counts as failed, since it
/// presumably crashes its workers. Without a limit, one such task takes down a worker at each
/// start, as in a test of 20 rounds. Long-running tasks that lose their worker occasionally are
/// unaffected.
const MAX_EARLY_LOSSES: u32 = 5;
/// A loss within this time after the start counts as early. The limit is ten times as long as most
/// tasks run, the same as for the cells of the users' platform.
const EARLY_LOSS: Duration = Duration::from_secs(30);

impl Cell {
    /// Handles the report that answers an order.
    pub fn handle_report(
        &mut self,
        worker_index: usize,
        order: &Order,
        report: Report,
        now: Instant,
    ) {
        let worker = self.fleet.worker_mut(worker_index);
        let rebooted = worker
            .last_report
            .is_some_and(|last| last.boot != report.boot);
        worker.order_delivered(order);
        let Report {
            boot,
            clock,
            version,
            records,
            refusals,
            ..
        } = report;
        worker.last_report = Some(LastReport {
            boot,
            clock,
            version,
            received_at: now,
        });
        worker.ledger_read = true;
        if rebooted {
            self.release_lost_tasks(worker_index, now);
        }
        for record in records {
            self.handle_record(worker_index, record, now);
        }
        for refusal in refusals {
            self.handle_refusal(worker_index, &refusal);
        }
    }

    fn handle_record(&mut self, worker_index: usize, record: Record, now: Instant) {
        let known = self.jobs.contains_key(&record.task.job);
        match record.phase {
            Phase::Running if known => self.handle_running(worker_index, record, now),
            Phase::Running => {
                let (task, attempt) = (record.task, record.attempt);
                let stop = Stop {
                    task,
                    attempt,
                    manner: StopMode::Kill,
                };
                self.fleet.worker_mut(worker_index).outbox.stops.push(stop);
            }
            Phase::Finished => self.handle_finished(worker_index, &record),
            Phase::Failed => self.handle_failed(worker_index, &record, now),
            Phase::Stopped => self.handle_stopped(worker_index, &record),
        }
    }

    /// Handles a running task. Adopts it if this owner did not start it, and stops it if another
    /// start of the task is current.
    fn handle_running(&mut self, worker_index: usize, record: Record, now: Instant) {
        if let Some(run) = self.running.get(&record.task) {
            if run.attempt != record.attempt {
                let (task, attempt) = (record.task, record.attempt);
                let stop = Stop {
                    task,
                    attempt,
                    manner: StopMode::Kill,
                };
                self.fleet.worker_mut(worker_index).outbox.stops.push(stop);
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
        let cancelled = job.record.cancelled;
        self.counts.adopted += 1;
        let team = self.limits.row(&record.class).map(|row| row.team.clone());
        self.queues
            .add_running(&record.class, team.as_ref(), record.size);
        self.fleet.allocate(worker_index, &record.task, record.size);
        let Record {
            task,
            attempt,
            class,
            size,
            ..
        } = record;
        let run = Run {
            worker: worker_index,
            attempt,
            class,
            size,
            since: now,
            expected_end: None,
            stopping: false,
        };
        self.running.insert(task.clone(), run);
        if cancelled {
            self.stop(&task, StopMode::Kill);
        }
    }

    /// Removes a run and releases its capacity, if `attempt` is the current start of the task.
    pub(crate) fn end_run(&mut self, task: &Task, attempt: u64) -> Option<Run> {
        if self.running.get(task)?.attempt != attempt {
            return None;
        }
        let run = self.running.remove(task)?;
        let team = self.limits.row(&run.class).map(|row| row.team.clone());
        self.queues
            .remove_running(&run.class, team.as_ref(), run.size);
        self.fleet.release(run.worker, task, run.size);
        if run.stopping {
            let worker = self.fleet.worker_mut(run.worker);
            worker.freeing = worker.freeing.minus(run.size);
        }
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.running.remove(&task.index);
        }
        Some(run)
    }

    fn stage_forget(&mut self, worker_index: usize, record: &Record) {
        self.write_queue.stage(AfterWrite::Forget(
            worker_index,
            record.task.clone(),
            record.attempt,
        ));
    }

    fn handle_finished(&mut self, worker_index: usize, record: &Record) {
        self.end_run(&record.task, record.attempt);
        self.fleet.worker_mut(worker_index).record_success();
        self.stage_forget(worker_index, record);
        let index = record.task.index;
        let Some(job) = self.jobs.get_mut(&record.task.job) else {
            return;
        };
        if job.record.done.contains(&index) {
            return;
        }
        job::insert(&mut job.record.done, index);
        job::remove(&mut job.ready, index);
        job::remove(&mut job.unconfirmed, index);
        job::remove(&mut job.record.unknown, index);
        job.record.resume.remove(&index);
        job.failed_workers.remove(&index);
        job.early_losses.remove(&index);
        self.counts.finished += 1;
        // A later start of the same task is redundant.
        self.stop(&record.task, StopMode::Kill);
        self.check_ended(&record.task.job);
    }

    fn handle_failed(&mut self, worker_index: usize, record: &Record, now: Instant) {
        let worker = self.fleet.worker_mut(worker_index);
        let name = worker.name.clone();
        if worker.record_failure(now) {
            log::warn!(target: "sched", "Worker quarantined after repeated task failures. worker={name}");
        }
        self.stage_forget(worker_index, record);
        if self.end_run(&record.task, record.attempt).is_none() {
            return;
        }
        let index = record.task.index;
        let Some(job) = self.jobs.get_mut(&record.task.job) else {
            return;
        };
        let workers = job.failed_workers.entry(index).or_default();
        workers.insert(name);
        if workers.len() >= MAX_FAILED_WORKERS || job.record.spec.once {
            log::warn!(
                target: "sched",
                "Task failed; the failure limit is reached. task={} workers={}",
                record.task, workers.iter().map(|w| &**w).collect::<Vec<_>>().join(",")
            );
            job::insert(&mut job.record.failed, index);
            self.check_ended(&record.task.job);
        } else {
            job.requeue(index);
            self.enqueue(&record.task.job);
        }
        self.write_queue.mark_dirty();
    }

    fn handle_stopped(&mut self, worker_index: usize, record: &Record) {
        self.stage_forget(worker_index, record);
        let ran = self.end_run(&record.task, record.attempt);
        let index = record.task.index;
        let Some(job) = self.jobs.get_mut(&record.task.job) else {
            return;
        };
        let resume = job.record.resume.entry(index).or_default();
        *resume = record.checkpoint.max(*resume);
        if ran.is_some() {
            self.return_to_queue(&record.task);
        }
        self.write_queue.mark_dirty();
        self.check_ended(&record.task.job);
    }

    /// Requeues a task that was stopped or lost. An at-most-once task becomes unknown instead.
    fn return_to_queue(&mut self, task: &Task) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if job.record.spec.once && !job.record.cancelled {
            job::insert(&mut job.record.unknown, task.index);
        } else {
            job.requeue(task.index);
        }
        self.enqueue(&task.job);
        self.check_ended(&task.job);
        self.write_queue.mark_dirty();
    }

    /// Handles a refused start: requeues the task, which did not run, and requests the worker's
    /// whole ledger.
    fn handle_refusal(&mut self, worker_index: usize, refusal: &Refusal) {
        log::debug!(
            target: "sched", "Start refused by the worker. task={} reason={}",
            refusal.task, refusal.reason
        );
        if let Some(last) = &mut self.fleet.worker_mut(worker_index).last_report {
            last.version = 0;
        }
        if self.end_run(&refusal.task, refusal.attempt).is_none() {
            return;
        }
        let Some(job) = self.jobs.get_mut(&refusal.task.job) else {
            return;
        };
        job.requeue(refusal.task.index);
        self.enqueue(&refusal.task.job);
        self.check_ended(&refusal.task.job);
    }

    /// Requeues the tasks of a worker on which they certainly run no more, or fails those with too
    /// many early losses.
    pub(crate) fn release_lost_tasks(&mut self, worker_index: usize, now: Instant) {
        let tasks = self.fleet.worker(worker_index).tasks.clone();
        let worker = self.fleet.worker_mut(worker_index);
        worker.outbox.starts.clear();
        worker.outbox.stops.clear();
        worker.outbox.throttles.clear();
        for task in tasks {
            let Some((attempt, since)) =
                self.running.get(&task).map(|run| (run.attempt, run.since))
            else {
                continue;
            };
            self.end_run(&task, attempt);
            self.counts.lost += 1;
            let is_early = now < since + EARLY_LOSS;
            if self.record_loss(&task, is_early) {
                self.fail_task(&task);
            } else {
                self.return_to_queue(&task);
            }
        }
    }

    /// Counts consecutive early losses of a task. Returns true when the limit is reached.
    fn record_loss(&mut self, task: &Task, is_early: bool) -> bool {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return false;
        };
        if !is_early {
            job.early_losses.remove(&task.index);
            return false;
        }
        let losses = job.early_losses.entry(task.index).or_default();
        *losses += 1;
        *losses >= MAX_EARLY_LOSSES
    }

    /// Marks a task as failed after repeated early losses.
    fn fail_task(&mut self, task: &Task) {
        log::warn!(target: "sched", "Task failed; it was repeatedly lost with its worker. task={task}");
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job::insert(&mut job.record.failed, task.index);
        }
        self.check_ended(&task.job);
        self.write_queue.mark_dirty();
    }

    /// Declares workers lost that were unreachable until their leases had certainly expired.
    pub(crate) fn expire_unreachable(&mut self, now: Instant) {
        let timing = self.timing;
        let expired = |last: &LastReport| timing.is_expired(last.received_at, now);
        let unreachable: Vec<usize> = (0..self.fleet.workers().len())
            .filter(|worker_index| {
                self.fleet
                    .worker(*worker_index)
                    .last_report
                    .as_ref()
                    .is_some_and(expired)
            })
            .collect();
        for worker_index in unreachable {
            let name: Arc<str> = self.fleet.worker(worker_index).name.clone();
            log::warn!(target: "sched", "Worker lost: unreachable until its lease expired. worker={name}");
            self.release_lost_tasks(worker_index, now);
            let worker = self.fleet.worker_mut(worker_index);
            worker.last_report = None;
        }
    }
}
