//! The operators' table: its rows, edits of them, and their spread to every process.
//!
//! The table is one value in the platform's store, changed by compare-and-swap. The process that
//! accepts an edit pushes the change to the others; they also compare versions with one another,
//! so that a lost push costs a second. A version only goes up.

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
