//! The state service: its client, the share of its limits this controller keeps to, and the
//! mirror of jobs, ends and ownership that every controller holds.

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
