//! What has ended: kept for ever in the store under one key a job, and read only when asked for.
//!
//! `moves` holds the transactions that take a job from key to key, `desk` the questions about jobs
//! that are not known to be open, `reader` asks the store for them in batches, and `upgrade` takes
//! over what earlier builds have stored. The argument is in docs/history.md.

pub mod desk;
#[cfg(test)]
mod interleavings;
pub mod moves;
pub mod reader;
pub mod upgrade;
