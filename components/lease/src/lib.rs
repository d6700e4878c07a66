//! Ownership of a cell of workers: epochs in the store as fencing tokens, and leases of the workers.
//!
//! A new owner increments the cell's epoch once, by compare-and-swap; the ownership itself needs no
//! other access to the store. Every order to a worker carries the epoch. A lease is extended relative
//! to the worker's own clock, so that a delayed or duplicated extension has no effect.

pub mod epoch;
pub mod ownership;
pub mod timing;

pub use epoch::OwnerRecord;
pub use ownership::{Active, Fencing, Ownership};
pub use timing::LeaseTiming;
