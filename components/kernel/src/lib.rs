//! Kernel of magpiesaddle: what every part needs and no part should write twice.
//!
//! Settings, logs, metrics, verdicts, the registry of plug-ins, actors on their threads, and
//! HTTP in both directions. Nothing in here knows what is scheduled.

pub mod actor;
pub mod client;
pub mod clock;
pub mod daemon;
mod json_log;
pub mod logs;
pub mod ops;
pub mod plugin;
pub mod public_server;
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

// Parts that hold actors name the runtime through the kernel, so that one version is used.
pub use stakker;
