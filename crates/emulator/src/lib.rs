//! What hollylanding runs against, emulated: state and time in, state and answers out.
//!
//! The [`world`] is pure. It has no clock and does no I/O: time is the time since the world began,
//! and whoever drives it says what it is. So far it holds the state service, the cloud and the workers.
//! Luck comes from a seed.

pub mod world;
