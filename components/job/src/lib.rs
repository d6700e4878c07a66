//! Data model of jobs: specification, configuration, progress and persisted state.
//!
//! A job is a directed acyclic graph of steps; a step is a number of identical tasks. A job with a
//! timetable runs all its steps once at each scheduled time. A job without a timetable has a single
//! time, number 0.

pub mod progress;
pub mod queue;
pub mod record;
pub mod spec;

pub use progress::{Phase, Progress, Recorded, Task};
pub use queue::{Config, Queue};
pub use record::{Crashes, Record, State, Submission};
pub use spec::{Address, Id, Spec, Step};
