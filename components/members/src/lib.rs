//! Which boxes there are, and which box owns which cell.
//!
//! Every process reads the platform's list by itself and computes the same owners from it; no
//! vote is held and nothing is kept. That two lists may differ for some time costs a takeover at
//! most, since ownership is settled by epochs.

pub mod owner;
pub mod watcher;

pub use owner::assign;
pub use watcher::BoxWatcher;
