//! Helpers for locks and randomized delays, used by all modules.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use rand::Rng;

/// Locks a mutex, even if it is poisoned. Poisoning means a panic elsewhere, which has been logged; the state itself is
/// consistent, since no lock is held across an await.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Returns a random duration from half to one and a half times `base`, so that controllers do not act in lockstep.
pub fn jitter(base: Duration) -> Duration {
    base.mul_f64(rand::rng().random_range(0.5..1.5))
}
