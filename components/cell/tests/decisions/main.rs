//! The decisions of a cell, on a clock that the tests set.

#![expect(clippy::unwrap_used, reason = "these are tests, helpers included")]

mod advise;
mod common;
mod crashes;
mod drain;
mod ends;
mod farm;
mod fill;
mod halls;
mod held;
mod lives;
mod names;
mod place;
mod room;
mod room_for_lasting;
mod silence;
mod starts;
mod steady;
mod steady_cases;
mod takeover;
mod told;
mod waits;
mod wave;
mod yard;
