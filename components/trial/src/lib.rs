//! Complete entry boxes against a platform of stand-ins, in one process over loopback.
//!
//! Used by the demo, the load generator and the end-to-end tests. The services are the ones that
//! the daemons run, only not in separate processes.

pub mod entry;
pub mod fleet;

pub use entry::Entry;
pub use fleet::Fleet;
