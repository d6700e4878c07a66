//! Tests of a cell's decisions on a simulated clock.

#![expect(clippy::unwrap_used, reason = "these are tests, helpers included")]

mod advice;
mod best_effort;
mod capacity;
mod common;
mod crash_evidence;
mod crashes;
mod drain;
mod ends;
mod fault_regressions;
mod gradual_takeover;
mod halls;
mod holds;
mod incarnations;
mod long_running_capacity;
mod maintenance;
mod net_sim;
mod placement;
mod pressure;
mod quarantine;
mod random_faults;
mod random_jobs;
mod restart_times;
mod reused_names;
mod run_log;
mod seals;
mod sim;
mod stalled;
mod starts;
mod stuck_state;
mod takeover;
mod unobserved_crashes;
mod unreachable;
mod wave_sequences;
