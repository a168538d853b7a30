//! Helpers for locks and for randomized pauses, used by all parts.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use rand::Rng;

/// A poisoned lock means a panic elsewhere, which has been logged; the state itself is whole,
/// since no lock is held over anything that awaits.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// From half to one and a half of a pause, so that controllers do not act in step.
pub fn jitter(base: Duration) -> Duration {
    base.mul_f64(rand::rng().random_range(0.5..1.5))
}
