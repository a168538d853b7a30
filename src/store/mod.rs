//! The state service: its client, the limits on transactions, this controller's share of its rate limits, and the watch cache of open jobs,
//! leadership and declarations that every controller keeps.

pub mod budget;
pub mod client;
pub mod error;
pub mod handle;
pub mod log_limit;
pub mod read_barrier;
pub mod share;
#[cfg(test)]
mod tests;
pub mod transaction_limits;
pub mod watch;
pub mod watch_cache;

pub use client::{Change, CompareAndSwapOutcome, Condition, StateClient};
pub use error::StoreError;
pub use transaction_limits::TransactionLimits;
