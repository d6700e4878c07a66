//! Refusal of jobs that would end too late or can never run, by the box that the caller asks.
//!
//! The owner sends the figures with its answers to exchanges ([`Feed`]); each box keeps the last
//! ones for a short time ([`Known`]) and decides by them ([`check`]). Without recent figures a box
//! accepts everything.

mod check;
mod feed;
mod known;
mod underway;

pub use check::{Refusal, check, is_stored, retry_seconds};
pub use feed::{Feed, kind_label};
pub use known::{FIGURES_LIFETIME_MS, Known};
pub use underway::{Attempt, Underway};

use {
    policy::admission::{PoolCapacity, Pressure},
    serde::{Deserialize, Serialize},
};

/// What the owner tells a box with the answer to an exchange. It is one field of the answer, since
/// answers are encoded by position and only trailing fields can be left out.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Figures {
    /// The pressure on the queues; `None` if the box has recent figures.
    pub pressure: Option<PressureReport>,
    /// What the workers of each pool offer; `None` if the box knows it.
    pub pools: Option<Vec<PoolCapacity>>,
}

/// The pressure on the queues at some time.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PressureReport {
    /// The pressure; empty once it has ended.
    pub pressure: Pressure,
    /// Time since the owner computed it, in milliseconds.
    pub age: u64,
}

/// The state of admission at a box.
#[derive(Debug, Default)]
pub struct Admission {
    /// The last figures of the owner.
    pub known: Known,
    /// Jobs that callers are submitting to this box.
    pub underway: Underway,
}
