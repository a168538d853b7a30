//! An emulator of what hollylanding runs against: a cloud, a state service and a fleet of workers.
//!
//! The [`world`] consists of pure state machines: state and time in, state and answers out; all randomness comes from a
//! seed. The [`driver`] runs it in real time and serves it over HTTP on the loopback interface. The [`judge`] checks
//! what happened, independently of both. The feature `commands` adds the rest: [`sizes`] and [`scenario`] read what is
//! to be simulated, [`rehearsal`] runs it against controllers that are real processes, and [`report`] renders the
//! results.

#![warn(missing_docs)]
// Tables of cases are long; the limit is for the code itself.
#![cfg_attr(test, allow(clippy::too_many_lines))]

mod declarations;
pub mod driver;
pub mod judge;
pub mod world;

#[cfg(feature = "commands")]
pub mod controllers;
#[cfg(feature = "commands")]
pub mod rehearsal;
#[cfg(feature = "commands")]
pub mod report;
#[cfg(feature = "commands")]
pub mod scenario;
#[cfg(feature = "commands")]
pub mod sizes;
