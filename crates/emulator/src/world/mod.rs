//! The emulated services as state machines.

pub mod bucket;
pub mod cloud;
pub mod store;
