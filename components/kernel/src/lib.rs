//! Infrastructure shared by all crates of magpiesaddle.
//!
//! Settings, logging, metrics, request verdicts, the plug-in registry, actors on their own threads,
//! and an HTTP client and server. It contains no scheduling logic.

pub mod actor;
pub mod client;
pub mod clock;
pub mod daemon;
pub mod hedge;
mod json_log;
pub mod logs;
pub mod ops;
pub mod plugin;
pub mod public_server;
pub mod resources;
mod reuse;
pub mod runtime;
pub mod server;
pub mod settings;
pub mod shutdown;
pub mod sync;
pub mod task;
mod timeout;
pub mod token;
pub mod traffic;
pub mod verdict;
pub mod wall_clock;
pub mod wire;

pub use actor::{ActorRef, ActorThread};
pub use client::{Call, Client, HttpResponse};
pub use server::{Reply, Request, Server};
pub use verdict::{Failure, Verdict};

// Re-exported so that all crates with actors use the same version of the runtime.
pub use stakker;
