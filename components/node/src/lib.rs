//! A box: one control-plane node of the scheduler. It accepts jobs, and schedules the cell of
//! workers while it owns the cell.
//!
//! One actor, [`core::Core`], holds the state. Background threads do the blocking work. Every box
//! has threads that follow the configuration, watch and claim the ownership of the cell, accept
//! jobs, exchange messages with the owner, and repeat cancellations to it until it confirms them.
//! The owner also has threads that renew its lease, watch and check the intake, write groups of
//! records, list the workers, run maintenance waves and read which data halls are closed. Two async
//! tasks for each worker run on the network thread.

pub mod accept;
pub mod admission;
pub mod callers;
pub mod cancel;
pub mod claim;
pub mod config;
pub mod core;
pub mod decode;
pub mod external;
pub mod fence;
#[cfg(test)]
mod fixtures;
pub mod group;
pub mod heartbeat;
pub mod intake_check;
pub mod job_cache;
pub mod keys;
pub mod message;
pub mod order_queue;
pub mod owner_tasks;
pub mod owner_watch;
pub mod ownership;
pub mod peer;
pub mod permits;
pub mod relay;
pub mod relays;
pub mod report_delta;
pub mod retry_after;
pub mod settings;
pub mod spec_text;
pub mod store;
pub mod time;
pub mod waves;
pub mod worker;

pub use callers::{Call, Reply};
pub use core::{Core, Node};
pub use external::{
    Advisor, BoxFuture, ConfigRead, ConfigSnapshot, ConfigSource, ConfigWait, External,
    HallClosure, HallClosures, Machines, PollError, StoredWave, Workers,
};
pub use settings::{Settings, Takeover};
pub use store::Store;
