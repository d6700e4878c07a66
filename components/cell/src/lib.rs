//! Decisions of one cell: which task runs where, and what a worker's report means.
//!
//! A [`Cell`] is plain data with methods; it neither reads clocks nor calls anybody. Times are in
//! milliseconds of the caller's steady clock, unless a name says `wall` (since 1970) or `clock`
//! (a worker's own steady clock).

mod advice;
mod capacity;
mod cell;
mod choose;
mod crashes;
mod drain;
mod gang;
mod halls;
mod incarnations;
mod interference;
mod jobs;
mod lease_expiry;
mod maintenance;
mod order;
mod outcome;
mod overdue;
mod persistence;
mod place;
mod relocate;
mod report;
mod run_end;
mod run_log;
mod serving_load;
mod slot;
mod successor;
mod summary;
mod takeover;
mod throttle;
mod timing;
mod worker;
mod write_queue;

pub use advice::{Advice, AdviceQuery, Candidate};
pub use cell::{Cell, Poll, Reachability};
pub use interference::Interference;
pub use maintenance::{Machine, MaintenanceOrder, Wave, WaveStatus};
pub use order::{EndCause, Order, Outcome, Refusal, Report, Run, RunEnd, Start};
pub use persistence::WriteBatch;
pub use summary::Summary;
pub use timing::Timing;
pub use worker::{Entry, Listing, TaskKey};
