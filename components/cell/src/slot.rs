//! The slot that a worker holds for a task: its reservation, the state of its start and its
//! throttling.

use {
    crate::{interference::Image, pace_order::PaceOrder},
    job::{Address, Step, spec::Size},
};

/// Progress of an order to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Sent, but not confirmed. The run cannot start after the deadline.
    Sent {
        /// On the worker's clock, in milliseconds.
        deadline: u64,
    },
    /// Confirmed.
    Running {
        /// When it was confirmed, on the owner's clock in milliseconds.
        at: u64,
    },
}

/// The pace of an adopted run, for which this owner has not ordered one.
pub const UNKNOWN_PACE: u8 = u8::MAX;

/// The length of a run is not learned if throttling has taken more than this part of it; this is
/// the divisor.
const MAX_LOST_PART: u64 = 10;

/// A worker's slot for a task.
#[derive(Debug, Clone)]
pub struct Slot {
    /// The address of the task within its job.
    pub address: Address,
    /// The number of the run.
    pub run: u64,
    /// Counts up with each slot that the worker gets.
    pub number: u64,
    /// When the start was decided or the run adopted, on the owner's clock.
    pub decided: u64,
    /// The start was put off by a random part of this time, in milliseconds.
    pub spread: u64,
    /// The run was adopted from a worker's report: it started before this owner recorded it.
    pub adopted: bool,
    /// The resources of the task.
    pub size: Size,
    /// The task is best-effort: it reserves no CPU.
    pub best_effort: bool,
    /// The task is long-running.
    pub lasting: bool,
    /// See [`job::Step::target`].
    pub target: u64,
    /// The image of the task.
    pub image: Image,
    /// The progress of the start.
    pub stage: Stage,
    /// When the start order timed out without an answer, on the owner's clock.
    pub unanswered: Option<u64>,
    /// When the worker confirmed an order to stop the run before it had started, on the owner's
    /// clock. It cannot start after that.
    pub start_cancelled: Option<u64>,
    /// When the last stop order was sent, on the owner's clock.
    pub stopping: Option<u64>,
    /// The pace last ordered, as a percentage of full speed.
    pub percent: u8,
    /// When the pace was ordered, on the owner's clock; 0 if no pace was ordered.
    pub pace_set_at: u64,
    /// What is known of the orders to pace it.
    pub pace_order: PaceOrder,
    /// The task was paused because a serving task stayed over its latency target. The pace is
    /// raised again in steps.
    pub tripped: bool,
    /// Since when the task has been throttled to less than half of full speed.
    pub slow_since: Option<u64>,
    /// The time lost to throttling until the pace was last ordered, in milliseconds.
    pub lost: u64,
    /// See [`crate::order::Run::figure`].
    pub figure: u64,
    /// See [`crate::order::Run::ready`]; false until the worker has listed the run.
    pub ready: bool,
}

impl Slot {
    /// Returns the slot for a run of this step at full speed.
    pub fn new(step: &Step, address: Address, image: Image, run: u64, stage: Stage) -> Self {
        Slot {
            address,
            run,
            number: 0,
            decided: 0,
            spread: 0,
            adopted: false,
            size: step.size,
            best_effort: step.fills,
            lasting: step.lasting,
            target: step.target,
            image,
            stage,
            unanswered: None,
            start_cancelled: None,
            stopping: None,
            percent: 100,
            pace_set_at: 0,
            pace_order: PaceOrder::none(),
            tripped: false,
            slow_since: None,
            lost: 0,
            figure: 0,
            ready: false,
        }
    }

    /// CPU that it reserves until a batch task is done.
    pub fn batch_cpu(&self) -> u64 {
        if self.lasting { 0 } else { self.reserved().cpu }
    }

    /// Returns the time that the run has lost to throttling, in milliseconds; 0 if its pace is
    /// unknown.
    pub fn lost_at(&self, now: u64) -> u64 {
        let slower = u64::from(100u8.saturating_sub(self.percent));
        self.lost + now.saturating_sub(self.pace_set_at) * slower / 100
    }

    /// Returns how long the run took if it ends now, in milliseconds; `None` if that tells nothing
    /// about the task, since it started at an unknown time, was throttled for more than a tenth of
    /// it, or may have been throttled by an order that went unanswered.
    pub fn measured_length(&self, now: u64) -> Option<u64> {
        let Stage::Running { at } = self.stage else {
            return None;
        };
        let length = now.saturating_sub(at);
        let is_throttled = self.lost_at(now) > length / MAX_LOST_PART;
        let is_known = !self.adopted && !self.pace_order.was_unanswered();
        (is_known && !is_throttled).then_some(length)
    }

    /// The part of the worker's capacity that it reserves.
    pub fn reserved(&self) -> Size {
        let cpu = if self.best_effort { 0 } else { self.size.cpu };
        Size { cpu, ..self.size }
    }

    /// True if the run has been known to run for this long, in milliseconds.
    pub fn has_run(&self, time: u64, now: u64) -> bool {
        matches!(self.stage, Stage::Running { at } if now >= at + time)
    }

    /// True if the run started after this time, on the owner's clock.
    pub const fn began_after(&self, time: u64) -> bool {
        matches!(self.stage, Stage::Running { at } if at > time)
    }

    /// True if the task is at work and is not throttled, as far as its worker has confirmed it.
    pub fn is_at_full_work(&self) -> bool {
        let is_at_work = self.ready && !self.is_sent();
        is_at_work && self.percent >= 100 && self.pace_order.is_confirmed()
    }

    /// True if the worker has not confirmed the start.
    pub fn is_sent(&self) -> bool {
        matches!(self.stage, Stage::Sent { .. })
    }
}
