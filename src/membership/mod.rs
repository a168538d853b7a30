//! Which controller leads, what this one can prove of it, and what it may say to users, workers and its peers.
//!
//! `election` takes the election lease and writes the leader record; `leadership` starts and ends leading; `mesh`
//! exchanges lines with the other controllers; `pauses` handles pauses of this process; `judgement` says what may be
//! answered by what is proven; `confirmation` and `watermark` confirm cancellations.
//!
//! # Lock order
//!
//! Locks are short and never held across an await. Where two are held at once, they are taken in this order:
//!
//! 1. the audit (`audit::Auditor`),
//! 2. the watch cache (`store::handle::StateStore::watch_cache`),
//! 3. the cluster state (`scheduling::leader_state::LeaderState::cluster`),
//! 4. the fleet's cloud operations, and each of the locks of `Membership`, of which no two are held at once,
//! 5. the fair-share accounting (`LeaderState::accounting`),
//! 6. the history's questions.
//!
//! The admission and the read barrier are locked while none of these is held, and take only the store client's budgets.

mod cache_changes;
mod confirmation;
mod election;
mod figures;
mod judgement;
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

pub use election::run;
#[cfg(test)]
pub(crate) use election::{leader_record_write, lease_acquisition, lease_removal};
pub use reported_ends::ReportedEnds;
pub use state::Membership;
pub(crate) use store_shares::{REQUEST_SHARES, SHARE_INTERVAL, WRITE_SHARES, initial_budget};
