//! Kernel of magpiesaddle: what every part needs and no part should write twice.
//!
//! Settings, logs, metrics, verdicts, the registry of plug-ins, actors on their threads, and
//! HTTP in both directions. Nothing in here knows what is scheduled.

pub mod client;
pub mod clock;
pub mod daemon;
pub mod edge;
pub mod host;
mod line;
pub mod logs;
pub mod net;
pub mod ops;
pub mod plugin;
pub mod server;
pub mod settings;
pub mod stop;
pub mod sync;
pub mod task;
mod time;
pub mod token;
pub mod traffic;
mod trust;
pub mod verdict;
pub mod wall;
pub mod wire;

pub use client::{Answer, Call, Client};
pub use host::{Host, Remote};
pub use server::{Reply, Request, Server};
pub use verdict::{Failure, Verdict};

// Parts that hold actors name the runtime through the kernel, so that one version is used.
pub use stakker;
