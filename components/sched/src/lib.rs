//! Cells of workers: queues, placement, leases, recovery, and the jobs' interface.
//!
//! A scheduler process owns some cells. For each it keeps the queue and the view of the workers
//! in memory, what must last in the cell's book in the store, and one task for each worker that
//! exchanges orders for reports. The worker's own ledger is the truth of what runs.

pub mod actor;
pub mod api;
pub mod cell;
pub mod cell_selection;
pub mod claim;
pub mod directory;
pub mod evict;
pub mod fleet;
pub mod job;
pub mod limits;
pub mod message;
pub mod pass;
pub mod persistence;
pub mod placement;
pub mod queue;
pub mod record;
pub mod report;
pub mod service;
pub mod spec;
pub mod worker_link;
pub mod write_queue;

pub use actor::Scheduler;
pub use cell::Cell;
pub use job::Status;
pub use service::{Service, Settings};
pub use spec::Spec;
