//! The jobs that callers are submitting to a box at present.

use {
    job::Id,
    kernel::sync::lock,
    std::{collections::HashMap, sync::Mutex},
};

/// Jobs that callers are submitting, with the number of attempts.
#[derive(Debug, Default)]
pub struct Underway {
    attempts: Mutex<HashMap<Id, usize>>,
}

/// An attempt to submit a job, until it is dropped.
#[derive(Debug)]
pub struct Attempt<'a> {
    underway: &'a Underway,
    id: Id,
    /// No other attempt for the same job was underway when this one began. Otherwise the job may be
    /// about to be accepted.
    pub is_only: bool,
}

impl Underway {
    /// Begins an attempt.
    pub fn begin(&self, id: &Id) -> Attempt<'_> {
        let mut attempts = lock(&self.attempts);
        let count = attempts.entry(id.clone()).or_default();
        *count += 1;
        Attempt {
            underway: self,
            id: id.clone(),
            is_only: *count == 1,
        }
    }
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        let mut attempts = lock(&self.underway.attempts);
        if let Some(count) = attempts.get_mut(&self.id) {
            *count -= 1;
            if *count == 0 {
                attempts.remove(&self.id);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn begin_second_attempt() {
        let underway = Underway::default();
        let (first, second) = ("00000000000000a1", "00000000000000a2");
        let (first, second) = (Id::new(first).unwrap(), Id::new(second).unwrap());
        let attempt = underway.begin(&first);
        assert!(attempt.is_only);
        assert!(!underway.begin(&first).is_only);
        assert!(!underway.begin(&first).is_only);
        assert!(underway.begin(&second).is_only);
        drop(attempt);
        assert!(underway.begin(&first).is_only);
        assert!(lock(&underway.attempts).is_empty());
    }
}
