//! The model of the cluster: jobs, tasks, machines and the bindings between them. It imports no decision.

mod arrivals;
mod intents;
mod job;
mod load;
mod machine;
mod placement;
mod team_usage;

pub use arrivals::Arrivals;
pub use intents::{Ahead, CapacityIntent, Intents, Replicas, WindowPlace};
pub use job::{Binding, JobState, Phase, Task};
pub(super) use load::weigh;
#[cfg(test)]
pub use machine::Amounts;
pub use machine::{Machine, MachineState, image_id};
pub use placement::{Placement, Reservation};
pub use team_usage::TeamUsage;

pub use crate::scheduling::ids::MachineId;
