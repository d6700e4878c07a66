//! Cells of workers: queue, placement, leases, recovery, and the jobs' interface.
//!
//! A scheduler process owns some cells. For each it keeps the queue and the view of the workers
//! in memory, what must last in the cell's book in the store, and one task for each worker that
//! exchanges orders for reports. The worker's own ledger is the truth of what runs.

pub mod actor;
pub mod api;
pub mod book;
pub mod cell;
pub mod claim;
pub mod commit;
pub mod directory;
pub mod evict;
pub mod fleet;
pub mod job;
pub mod journal;
pub mod limits;
pub mod message;
pub mod pass;
pub mod peer;
pub mod placement;
pub mod plan;
pub mod queue;
pub mod report;
pub mod service;
pub mod spec;

pub use actor::Scheduler;
pub use cell::Cell;
pub use job::Status;
pub use service::{Service, Settings};
pub use spec::Spec;
