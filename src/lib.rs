//! hollylanding: a cluster scheduler that admits work by deadline share and return.
//!
//! Several controllers run at once. One of them leads and makes itself the leader: it places the tasks of all jobs,
//! rents and returns machines and answers workers. Every controller serves users. Durable state is kept in the state
//! service.
//!
//! `sla` holds the arithmetic of the paper that the scheduler follows, `jobs` what a job is and how it is stored,
//! `users` the API for users, `workers` reports and commands, `scheduling` the leader's cluster state and the placement
//! decisions, `fleet` machines and the cloud, `cloud_orders` the stored orders to
//! the cloud, `store` the state service, `history` jobs that have ended, and
//! `membership` leadership and leadership. `declarations` holds what operators ask for beside jobs; its kinds are in
//! `calendar` (planning windows), `heat` (work that goes ahead during midday heat) and `rollouts` (new versions of
//! services). `controller` builds the parts of one controller and starts their loops, `wakeups` holds the notifications
//! between them, `process_pause` detects pauses of the process,
//! `records` holds stored values that several slices read, `traffic` counts requests and messages, `settings` reads the configuration and `cli` holds the commands; `machine_kinds`,
//! `periodic` (steps of loops that are due at intervals) and `sync` are used by all of them. I/O stays at the edges: decisions are functions of state and time.

#![warn(missing_docs)]
// Tables of cases are long; the limit is for the code itself.
#![cfg_attr(test, allow(clippy::too_many_lines))]

pub mod audit;
pub mod calendar;
pub mod cli;
pub mod cloud_orders;
pub mod controller;
pub mod declarations;
pub mod fleet;
pub mod heat;
pub mod history;
pub mod jobs;
pub mod machine_kinds;
pub mod membership;
pub mod periodic;
pub mod process_pause;
pub mod records;
pub mod rollouts;
pub mod scheduling;
pub mod settings;
pub mod sla;
pub mod store;
pub mod sync;
pub mod traffic;
pub mod users;
pub mod wakeups;
pub mod workers;

pub use hollylanding_protocol as protocol;
