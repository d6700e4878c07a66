//! Authority over a cell of workers: epochs in the store, leases at the workers.
//!
//! An owner raises the cell's epoch once, by compare-and-swap; that is the only use of the store
//! on this path. Every order to a worker carries the epoch. Leases are extended on the worker's
//! own clock, so that a late or doubled extension extends nothing.

pub mod epoch;
pub mod ownership;
pub mod timing;

pub use epoch::OwnerRecord;
pub use ownership::{Active, Fencing, Ownership};
pub use timing::LeaseTiming;
