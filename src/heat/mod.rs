//! Heat rules: while a rule applies, the jobs it names are scheduled before other jobs of the same urgency.
//!
//! Operators declare rules and submit sensor readings. The leader decides whether a rule applies and stores the
//! decision as the rule's status. All controllers act on the stored status, so a new leader acts as the previous one
//! did (docs/heat.md). This module performs no I/O.

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
