//! The gate: an HTTP load balancer that forwards callers' requests to backend servers, limits the
//! requests per server by slots, and returns a verdict with each response.
//!
//! Each caller's connection has a thread with sequential code. The state of the backend servers is
//! in an actor, which these threads query.

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
