//! Jobs that have ended. The store keeps each under a key of its own for ever, and it is read only when a user asks
//! about the job.
//!
//! - `job_history`: what one controller knows of ended jobs.
//! - `job_transactions`: the compare-and-swaps that move a job from key to key.
//! - `query_queue`: the queue of queries about jobs that are not known to be open.
//! - `reader`: sends these queries to the store in batches.
//! - `end_cache`: ends in memory.
//! - `visibility`: which cancellations users may be told of.
//! - `end_sweep` and `end_sweep_loop`: read ends in pages when many jobs are asked about.
//! - `upgrade`: moves what earlier builds have stored.
//!
//! The reasons for this design are in docs/history.md.

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
