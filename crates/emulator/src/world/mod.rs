//! The emulated services as state machines.

pub mod bucket;
pub mod cloud;
pub mod fleet;
pub mod store;
