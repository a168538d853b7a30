//! The state service: its client, this controller's share of its limits, and the mirror of open jobs, leadership and
//! declared things that every controller keeps.

pub mod audit;
pub mod budget;
pub mod client;
pub mod commit;
pub mod follow;
#[cfg(test)]
mod late_transactions;
pub mod log_limit;
pub mod mirror;
pub mod share;

pub use client::{Change, Condition, StateClient, StoreError, TxnOutcome};
