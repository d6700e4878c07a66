//! Interfaces to the platform, each a trait with one HTTP adapter.
//!
//! Only this crate implements the platform's protocols: the key-value service in [`store`], the list
//! of boxes in [`boxes`], the workers in [`worker`]. docs/PLATFORM.md lists the assumptions about
//! each.

pub mod boxes;
pub mod budget;
pub mod read_back;
pub mod size;
pub mod store;
pub mod worker;

pub use boxes::List;
pub use size::Size;
pub use store::{Store, Swap, Versioned};
