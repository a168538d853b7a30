//! Jobs that have ended: kept for ever in the store under one key each, and read only when somebody asks.
//!
//! `job_history` is what one controller knows of them, `job_transactions` holds the compare-and-swaps that move a job from key to key, `query_queue` the queries about jobs
//! that are not known to be open, `reader` sends them to the store in batches, `end_cache` keeps ends in memory,
//! `visibility` decides which cancellations users may be told of, `end_sweep` and `end_sweep_loop` read many ends at once when many are asked about, and `upgrade` moves what earlier builds have stored. The reasons are in docs/history.md.

pub mod end_cache;
pub mod end_sweep;
pub mod end_sweep_loop;
pub mod job_history;
pub mod job_transactions;
pub mod query_queue;
pub mod reader;
#[cfg(test)]
mod tests;
pub mod upgrade;
pub mod visibility;
