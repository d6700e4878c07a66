//! Membership: the list of boxes, and the assignment of cells to owner boxes.
//!
//! Every process reads the platform's list and computes the same owners from it, without an election
//! or stored state. Processes may see different lists for some time; since epochs decide the
//! ownership, this costs at most an extra takeover.

pub mod owner;
pub mod watcher;

pub use owner::assign;
pub use watcher::BoxWatcher;
