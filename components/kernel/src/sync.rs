//! Locking of mutexes that ignores poisoning.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks the mutex even if a holder panicked: values guarded this way are replaced as a whole, so
/// that a panic leaves none of them half updated.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
