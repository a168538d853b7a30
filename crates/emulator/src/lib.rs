//! An emulator of the services on which hollylanding depends: a cloud, a state service and a fleet of workers.
//!
//! The [`world`] consists of pure state machines, which map a state, a time and a request to a new state and an answer;
//! all random draws come from a seed. The [`driver`] runs the world in real time and serves it over HTTP on the
//! loopback interface. The [`judge`] checks the recorded history, independently of both. The feature `commands` adds
//! the rest: [`sizes`] and [`scenario`] read the inputs of a simulation, [`rehearsal`] runs it against controllers that
//! are real processes, and [`report`] renders the results.

#![warn(missing_docs)]
// Tests contain long tables of cases; the limit of lines per function is meant for other code.
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
