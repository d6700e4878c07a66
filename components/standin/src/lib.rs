//! Small stand-ins for the platform, for tests, the demo and the load generator.
//!
//! Each keeps its logic in a core that is also usable in the same process, and serves it over HTTP
//! as docs/PLATFORM.md describes the platform. Faults are injected by methods, and over HTTP by
//! `POST /admin/faults`. [`kv`], [`runner`] and [`machines`] stand in for the store, the workers and
//! the machine service of the users' platform and speak its protocol.

pub mod auditor;
pub mod backend;
pub mod boxes;
pub mod clock;
pub mod crowd;
pub mod deploy;
pub mod http_server;
pub mod kv;
pub mod ledger;
pub mod machines;
pub mod program;
pub mod proxy;
pub mod runner;
pub mod store;
pub mod worker;

pub use auditor::Auditor;
pub use backend::Backend;
pub use boxes::Registry;
pub use deploy::{Deploy, Platform};
pub use kv::Kv;
pub use machines::Machines;
pub use runner::Runner;
pub use store::Core as Store;
pub use worker::WorkerSet;
