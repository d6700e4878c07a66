//! Decisions under load and during a takeover, as functions of plain data.
//!
//! This crate depends on the job model only, so that no decision reads or changes the state of a
//! cell. Callers build the views and carry out the verdicts. Times are in milliseconds, CPU is in
//! thousandths of a core.

pub mod admission;
pub mod durations;
pub mod lateness;
pub mod takeover;
