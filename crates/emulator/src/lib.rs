//! What hollylanding runs against, emulated: a cloud, a state service and a fleet.
//!
//! The [`world`] is pure: state and time in, state and answers out; luck comes from a seed. The
//! [`driver`] plays it in real time and serves it over HTTP on loopback. The [`judge`] looks at
//! what happened, apart from both. With the feature `commands` there is more: [`sizes`] and
//! [`scenario`] read what is to be played, [`rehearsal`] plays it against controllers that run as
//! processes, and [`report`] tells of it.

mod declared;
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
