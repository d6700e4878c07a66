//! Interfaces to the platform, each behind one adapter.
//!
//! The platform's own protocols are met here and nowhere else: the key-value service in
//! [`store`], the list of boxes in [`boxes`], the workers in [`worker`]. What is assumed of each
//! is listed in docs/PLATFORM.md.

pub mod boxes;
pub mod budget;
pub mod read_back;
pub mod size;
pub mod store;
pub mod worker;

pub use boxes::List;
pub use size::Size;
pub use store::{Store, Swap, Versioned};
