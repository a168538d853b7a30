//! hollylanding: a cluster scheduler that admits work by deadline share and return.
//!
//! Several controllers run at once, and one of them is the leader: it places the tasks of all jobs, commands the
//! workers, and scales the fleet out and in. Every controller serves users. Durable state is kept in the state service.
//! `docs/architecture.md` describes the owners of the state and the path of a request.
//!
//! Modules, from the top down:
//!
//! - [`controller`] builds the parts of one controller and starts their loops; [`cli`] holds the commands.
//! - [`users`], [`workers`] and [`fleet`] serve the three outer interfaces; [`declarations`] carries out the
//!   declarations of operators, of the kinds [`calendar`] (planning windows), [`heat`] (work that is prioritized during
//!   midday heat) and [`rollouts`] (new versions of services).
//! - [`audit`] compares the writes that the store has acknowledged with its content.
//! - [`membership`] elects the leader and determines which answers a controller may give.
//! - [`scheduling`] holds the leader's cluster state, the placement decisions and the group commit.
//! - [`history`] looks up jobs that have ended; [`store`] is the client of the state service with its watch cache.
//! - [`records`], [`jobs`], [`cloud_orders`] and [`machine_kinds`] are the data model and its stored forms; [`sla`] is
//!   the arithmetic of the paper; [`settings`], [`process_pause`], [`periodic`], [`wakeups`], [`traffic`] and [`sync`]
//!   serve all of them, and [`protocol`] has the messages of every interface.
//!
//! Imports run downwards. I/O stays at the edges: decisions are functions of state and time.

#![warn(missing_docs)]
// Test functions with tables of cases are long; the line limit applies to production code only.
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
