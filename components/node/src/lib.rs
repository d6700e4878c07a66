//! A box: one control-plane node of the scheduler. It accepts jobs, and schedules the cell of
//! workers while it owns the cell.
//!
//! The state lives in one actor, [`core::Core`]. Background threads do the blocking work. Every box
//! has threads that follow the configuration, watch and claim the ownership of the cell, accept
//! jobs, exchange messages with the owner, and repeat cancellations to it until it confirms them.
//! The owner also has threads that renew its lease, read the intake, write groups of records, list
//! the workers, run maintenance waves and read which data halls are closed. Two async tasks for
//! each worker run on the network thread.

pub mod accept;
pub mod callers;
pub mod cancel;
pub mod claim;
pub mod comeback;
pub mod config;
pub mod core;
pub mod external;
pub mod fetch;
pub mod follow;
pub mod group;
pub mod heartbeat;
pub mod kept;
pub mod keys;
pub mod message;
pub mod news;
pub mod owner_tasks;
pub mod ownership;
pub mod peer;
pub mod queued;
pub mod relay;
pub mod relays;
pub mod settings;
pub mod store;
pub mod texts;
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
