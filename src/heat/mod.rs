//! Heat rules: while one applies, the work that it names goes ahead of others of the same urgency.
//!
//! Operators declare rules and hand in readings. The leader decides whether a rule applies and stores that; all
//! controllers act on what is stored, so a successor acts as its predecessor did (docs/heat.md). All of it is free of I/O.

pub mod backlog;
pub mod decide;
mod describe;
pub mod events;
mod logic;
pub mod readings;
pub mod rule;
#[cfg(test)]
mod tests;

pub use decide::{HeatReason, HeatStatus, decide_heat};
pub use readings::Reading;
pub use rule::HeatRule;
