//! The emulated services as pure state machines: time and requests are inputs, answers and events are outputs.

pub mod bucket;
pub mod cloud;
pub mod fleet;
pub mod store;
