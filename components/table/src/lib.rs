//! The operators' table of work classes: its rows, edits, and replication to every process.
//!
//! The table is one value in the platform's store, changed by compare-and-swap. The process that
//! accepts an edit pushes the change to its peers. The peers also compare versions with one
//! another, so that a lost push delays a change by about a second. A process's version never
//! decreases.

pub mod accept;
pub mod actor;
pub mod diff;
pub mod follower;
pub mod message;
pub mod model;
pub mod replication;
pub mod row;
pub mod service;
pub mod sheet;

pub use follower::Follower;
pub use model::{Change, Edit, Refusal, RowEdit, StoredTable, Table};
pub use row::{Kind, Row};
