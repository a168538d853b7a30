//! The emulated services as pure state machines: time and requests in, answers and events out.

pub mod bucket;
pub mod cloud;
pub mod fleet;
pub mod store;
