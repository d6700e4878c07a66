//! Callers' requests: which backend server takes each, within its slots, and with which verdict.
//!
//! One task for each caller's connection, written straight down; the view of the backend servers
//! is in an actor that the tasks ask.

pub mod actor;
pub mod balancing;
pub mod forward;
pub mod pool;
pub mod response;
pub mod retry_budget;
pub mod service;
pub mod share;

pub use actor::Gate;
pub use service::{Service, Settings};
