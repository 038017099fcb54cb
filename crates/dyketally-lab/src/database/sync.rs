//! Locks that outlive a panic of their holder.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks `mutex`; a panic of an earlier holder is not passed on.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
