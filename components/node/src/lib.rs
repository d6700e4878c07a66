//! One box of the system: it accepts jobs, and owns the cell of workers when it is its turn.
//!
//! The state is in one actor, [`core::Core`]. Around it, each written straight down: a task that
//! follows the configuration, one that follows and claims ownership, one that accepts jobs, one that
//! tells the owner of cancellations again, and while owning one that renews the lease, one that reads
//! the intake, one that writes groups, one that lists workers. Two for each worker wait on the thread of all connections.

pub mod accept;
pub mod callers;
pub mod cancel;
pub mod claim;
pub mod config;
pub mod core;
pub mod decode;
pub mod external;
pub mod group;
pub mod heartbeat;
pub mod job_cache;
pub mod keys;
pub mod message;
pub mod order_queue;
pub mod owner_tasks;
pub mod owner_watch;
pub mod ownership;
pub mod peer;
pub mod relay;
pub mod relays;
pub mod report_delta;
pub mod retry_after;
pub mod settings;
pub mod spec_text;
pub mod store;
pub mod time;
pub mod worker;

pub use callers::{Call, Reply};
pub use core::{Core, Node};
pub use external::{
    Advisor, BoxFuture, ConfigRead, ConfigSnapshot, ConfigSource, ConfigWait, External,
    HallClosure, HallClosures, Machines, PollError, Workers,
};
pub use settings::Settings;
pub use store::Store;
