//! What has ended: kept for ever in the store under one key a job, and read only when asked for.
//!
//! `moves` holds the transactions that take a job from key to key, `query_queue` the questions about jobs
//! that are not known to be open, `reader` asks the store for them in batches, `ends` keeps how jobs
//! ended at hand, `visibility` says which cancellations users may hear of, `sweep` reads many ends at once when
//! many are asked about, and `upgrade` takes over what earlier builds have stored. The argument is in
//! docs/history.md.

pub mod ends;
pub mod moves;
pub mod query_queue;
pub mod reader;
pub mod sweep;
pub mod sweep_loop;
#[cfg(test)]
mod tests;
pub mod upgrade;
pub mod visibility;
