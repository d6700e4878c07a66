//! Jobs of steps: what was submitted, what is done, and what of it lasts.
//!
//! A job is a graph of steps, a step a number of like tasks. A job with a timetable runs its steps
//! once for each of its times; without one there is a single time, number 0.

pub mod progress;
pub mod queue;
pub mod record;
pub mod spec;

pub use progress::{Phase, Progress, Task};
pub use queue::{Config, Queue};
pub use record::{Crashes, Record, State, Submission};
pub use spec::{Address, Id, Spec, Step};
