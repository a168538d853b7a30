//! The emulated services as state machines.

pub mod bucket;
pub mod store;
