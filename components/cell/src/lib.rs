//! Scheduling decisions of one cell: which task runs on which worker, and how reports of workers
//! change the state of jobs.
//!
//! A [`Cell`] is plain data with methods. It performs no I/O and reads no clocks; callers pass in
//! the time. Times are in milliseconds of the caller's monotonic clock, unless a name contains
//! `wall` (Unix time) or `clock` (the monotonic clock of a worker).
//!
//! Terms:
//!
//! - A *serving* task handles user requests and has a latency target (`target` > 0).
//! - A *best-effort* task (`fills`) reserves memory and GPUs, but runs on idle CPU only and is
//!   throttled when it slows down serving tasks beside it.
//! - A *long-running* task (`lasting`) never completes and is restarted whenever its run ends. All
//!   other tasks are batch tasks.
//! - A *place* is the index of a task within its job; a *repetition* is one scheduled time of a job
//!   with a timetable.
//! - An *incarnation* is one process lifetime of a worker; its id is the worker's name and its
//!   start time.
//! - The *owner* is the process that holds the cell's lease; its *fence* (fencing token) makes
//!   workers refuse orders of previous owners.

mod advice;
mod capacity;
mod cell;
mod choose;
mod claim_bound;
mod closed;
mod crashes;
mod drain;
mod failing;
mod gang;
mod halls;
mod incarnations;
mod interference;
mod jobs;
mod learned;
mod lease_expiry;
mod maintenance;
mod order;
mod outcome;
mod overdue;
mod pace_order;
mod persistence;
mod place;
mod pressure;
mod relocate;
mod report;
mod run_end;
mod run_log;
mod seals;
mod serving_load;
mod slot;
mod stalled;
mod successor;
mod summary;
mod takeover;
mod throttle;
mod timing;
mod unheard;
mod worker;
mod write_queue;

pub use advice::{Advice, AdviceQuery, Candidate};
pub use cell::{Cell, Poll, Reachability};
pub use closed::{ClosedBy, ClosedWorkers};
pub use interference::Interference;
pub use learned::Learned;
pub use maintenance::{
    Machine, MaintenanceOrder, MaintenanceOutcome, ORDER_LIFETIME, Wave, WaveStatus,
};
pub use order::{EndCause, Order, Outcome, Refusal, Report, Run, RunEnd, Start};
pub use persistence::{Seal, WriteBatch};
pub use stalled::Stalled;
pub use summary::Summary;
pub use timing::Timing;
pub use worker::{Entry, Listing, TaskKey};
