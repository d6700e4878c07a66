//! Decisions of one cell: which task runs where, and what a worker's report means.
//!
//! A [`Cell`] is plain data with methods; it neither reads clocks nor calls anybody. Times are in
//! milliseconds of the caller's steady clock, unless a name says `wall` (since 1970) or `clock`
//! (a worker's own steady clock).

mod admit;
mod advise;
mod answer;
mod cell;
mod choose;
mod crashes;
mod drain;
mod ends;
mod follow;
mod gang;
mod halls;
mod interference;
mod lapse;
mod lives;
mod order;
mod pace;
mod place;
mod relocate;
mod report;
mod room;
mod slot;
mod strain;
mod summary;
mod takeover;
mod timing;
mod told;
mod turns;
mod waits;
mod wave;
mod worker;
mod write;

pub use advise::{Advice, Candidate, Question};
pub use cell::{Cell, Poll, Reach};
pub use interference::Interference;
pub use order::{End, How, Order, Outcome, Reason, Report, Run, Start};
pub use summary::Summary;
pub use timing::Timing;
pub use wave::{Machine, Standing, Upkeep, Wave};
pub use worker::{Entry, Key, Listing};
pub use write::Change;
