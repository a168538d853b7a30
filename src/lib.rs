//! hollylanding: a cluster scheduler that admits work by deadline share and return.
//!
//! The slices follow duties: `sla` holds the paper's pure arithmetic, `jobs` what a job is and
//! how it is stored, `users` the public API, `workers` reports and commands, `scheduling` the
//! cluster state of who runs what and the placement decisions, `fleet` the machines and the cloud,
//! `store` the state service, `traffic` counts of what passes, `history` what has ended,
//! `membership` who leads and who owns, `declared` what operators ask for beside jobs, `heat` who
//! goes ahead on hot days, `settings` what an operator hands over and `cli` the commands; `kinds` and `sync` are what
//! all of them know. I/O stays at the edges; decisions take state and time.

#![warn(missing_docs)]

pub mod calendar;
pub mod cli;
pub mod declared;
pub mod fleet;
pub mod heat;
pub mod history;
pub mod jobs;
pub mod kinds;
pub mod membership;
pub mod node;
pub mod process_pause;
pub mod rollouts;
pub mod scheduling;
pub mod settings;
pub mod sla;
pub mod store;
pub mod sync;
pub mod traffic;
pub mod users;
pub mod workers;

pub use hollylanding_wire as wire;
