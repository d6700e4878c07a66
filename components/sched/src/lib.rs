//! Cell scheduler: queues, placement, leases, recovery and the HTTP interface for jobs.
//!
//! A scheduler process owns some cells. For each cell it keeps the queues and the state of the
//! workers in memory, persists the cell's record in the store, and runs one task per worker that
//! exchanges orders for reports. The worker's ledger is authoritative for what runs.

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
