//! Fences that entries of the intake name, and the jobs that an owner holds back because of them.
//!
//! A box writes the highest fence that it has heard into each job that it accepts. A job that names
//! a later fence than the owner's may have been started by a later owner, so it is held back until
//! a write has proven that there is none.

use {
    job::{Id, Submission},
    std::{
        collections::HashMap,
        sync::atomic::{AtomicU64, Ordering},
    },
};

/// The highest fence that a box has heard of; 0 if it has heard of none.
#[derive(Debug, Default)]
pub struct HighestFence(AtomicU64);

impl HighestFence {
    /// Records a fence, unless a higher one is known.
    pub fn raise(&self, fence: u64) {
        self.0.fetch_max(fence, Ordering::AcqRel);
    }

    /// Returns the highest fence.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Acquire)
    }
}

/// Returns the fence that an entry of this store revision names; 0 if the value cannot be a fence.
/// A fence is the revision of a claim that was written before the entry.
pub const fn valid_fence(fence: u64, revision: u64) -> u64 {
    if fence < revision { fence } else { 0 }
}

/// What an owner does with a job of the intake.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It admits the job.
    Admit,
    /// It admits the job as one that names no fence, since no owner has ever had the fence.
    AdmitUnnamed,
    /// It holds the job back: a later owner may have started it.
    Hold,
}

/// Decides about a job that names the fence `named`. `owner` is the fence of the owner, and `head`
/// the revision of its last write of the head, before which no later owner has claimed the cell.
pub const fn verdict(named: u64, owner: u64, head: u64) -> Verdict {
    if named <= owner {
        Verdict::Admit
    } else if named <= head {
        Verdict::AdmitUnnamed
    } else {
        Verdict::Hold
    }
}

/// A job that is held back.
#[derive(Debug)]
struct HeldJob {
    submission: Submission,
    /// It was cancelled meanwhile.
    cancelled: bool,
}

/// The jobs that an owner holds back. All of them are in the intake, which bounds their number.
#[derive(Debug, Default)]
pub struct HeldJobs {
    jobs: HashMap<Id, HeldJob>,
    /// The highest fence that they name.
    highest: u64,
}

impl HeldJobs {
    /// Holds a job back, unless it is held already. Returns true if it names a higher fence than
    /// all jobs before it, so that the ownership has to be confirmed again.
    pub fn hold(&mut self, submission: Submission) -> bool {
        let is_higher = submission.fence > self.highest;
        self.highest = self.highest.max(submission.fence);
        self.jobs.entry(submission.id.clone()).or_insert(HeldJob {
            submission,
            cancelled: false,
        });
        is_higher
    }

    /// Records the cancellation of a job. Returns false if the job is not held back.
    pub fn cancel(&mut self, id: &Id) -> bool {
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        job.cancelled = true;
        true
    }

    /// Removes and returns the jobs that a write of this revision under the owner's head has proven
    /// to name no fence of a later owner, and whether they were cancelled. A claim with their fence
    /// would have replaced the head, and the write would have failed.
    pub fn release(&mut self, revision: u64) -> Vec<(Submission, bool)> {
        let proven = self
            .jobs
            .extract_if(|_, job| job.submission.fence <= revision);
        let released = proven.map(|(_, job)| {
            let submission = Submission {
                fence: 0,
                ..job.submission
            };
            (submission, job.cancelled)
        });
        released.collect()
    }

    /// True if the job is held back.
    pub fn contains(&self, id: &Id) -> bool {
        self.jobs.contains_key(id)
    }

    /// True if no job is held back.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns the number of jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }
}
