//! Membership of this controller in the group of controllers: which of them leads, how fresh this one's knowledge of
//! the store is, and what it may therefore answer to users, workers and its peers.
//!
//! `election` takes the election lease and writes the leader record; `leadership` starts and ends leadership; `mesh`
//! exchanges lines with the other controllers; `pauses` handles pauses of this process; `freshness` decides what may be
//! answered; `confirmation` and `watermark` confirm cancellations.
//!
//! # Lock order
//!
//! Locks are held for a short time and never across an await. Locks held at the same time are taken in this order:
//!
//! 1. the audit (`audit::Auditor`),
//! 2. the watch cache (`store::handle::StateStore::watch_cache`),
//! 3. the cluster state (`scheduling::leader_state::LeaderState::cluster`),
//! 4. the fleet's cloud operations, and each lock of `Membership`, of which no two are held at the same time,
//! 5. the fair-share accounting (`LeaderState::accounting`),
//! 6. the history's queue of queries.
//!
//! The admission and the read barrier are locked only while none of these is held, and their holders take no lock but
//! those of the store client's budgets.

mod cache_changes;
mod confirmation;
mod election;
mod figures;
mod freshness;
mod leadership;
mod leadership_transfer;
mod lease_timing;
pub mod mesh;
mod pauses;
mod reported_ends;
pub mod serving_state;
mod state;
mod step;
mod store_shares;
pub mod unreachable_leader;
mod unreadable;
pub mod watermark;

#[cfg(test)]
pub(crate) use confirmation::confirmation_write;
pub use confirmation::run as run_confirmations;
pub use election::run;
#[cfg(test)]
pub(crate) use election::{leader_record_write, lease_acquisition, lease_removal};
pub use reported_ends::ReportedEnds;
pub use state::Membership;
pub(crate) use store_shares::{REQUEST_SHARES, SHARE_INTERVAL, WRITE_SHARES, initial_budget};
