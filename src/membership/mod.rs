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
//! 1. the watch cache (`store::handle::StateStore::watch_cache`),
//! 2. the cluster state (`scheduling::leader_state::LeaderState::cluster`),
//! 3. what is kept here (peer states, unconfirmed cancellations and the rest), and the fleet's cloud operations,
//! 4. the fair-share accounting, the history's questions and the audit, under which nothing else is locked.

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
pub(crate) use store_shares::{REQUESTS, SHARE_EVERY, WRITES, first_budget};
