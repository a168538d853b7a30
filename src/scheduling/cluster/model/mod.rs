//! The model of the cluster: jobs, tasks, machines and the bindings between them. It depends on no scheduling decision.

mod arrivals;
mod intents;
mod job;
mod load;
mod machine;
mod placement;
mod shards;
mod team_usage;

pub use arrivals::Arrivals;
pub use intents::{CapacityIntent, Intents, PriorityBoost, ReplicaIntent, WindowPosition};
pub use job::{Binding, JobState, Phase, Task};
pub(super) use load::task_load;
#[cfg(test)]
pub use machine::AllocatedResources;
pub use machine::{Machine, MachineState, image_digest};
pub use placement::{Placement, Reservation};
pub(super) use shards::{JobShards, block_of};
pub use team_usage::TeamUsage;

pub use crate::scheduling::ids::MachineId;
