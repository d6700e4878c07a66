//! Which callers' jobs yield to others while capacity is short.
//!
//! Callers are told apart by the data hall in which their jobs entered. While work of several halls
//! waits, each hall has an equal part of what is started; what one hall leaves unused goes to the
//! others. A hall that has had more than its part yields within its priority, among jobs that can
//! still meet their objective.

use std::{collections::HashMap, sync::Arc};

/// The usage of one hall.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// The work started for it lately, in CPU times milliseconds.
    pub started: u64,
    /// Its work that is waiting, in the same unit.
    pub waiting: u64,
}

/// Returns the halls whose jobs yield, given the usage of all halls.
pub fn yielding(usage: &HashMap<Arc<str>, Usage>) -> Vec<Arc<str>> {
    let waiting = usage.values().filter(|own| own.waiting > 0).count() as u64;
    if waiting < 2 {
        return Vec::new();
    }
    let competing = usage.iter().filter(|(_, own)| own.waiting > 0);
    let total: u64 = competing.clone().map(|(_, own)| own.started).sum();
    let part = total / waiting;
    let over = competing.filter(|(_, own)| own.started > part);
    over.map(|(hall, _)| hall.clone()).collect()
}
