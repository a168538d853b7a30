//! Placements of tasks, and reservations of machines.

use std::time::Instant;

use super::MachineId;
use crate::jobs::JobId;
use crate::protocol::workers::TaskKey;

/// A decision that a task is to run on a machine.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The task.
    pub task: TaskKey,
    /// The number of this attempt; all tasks of a gang start with the same one.
    pub attempt: u64,
    /// The machine.
    pub machine: MachineId,
}

/// The reservation of a machine for a job that does not fit yet.
#[derive(Debug, Clone, PartialEq)]
pub struct Reservation {
    /// The job that the machine is reserved for.
    pub job: JobId,
    /// When the job is expected to start. Work that ends by then may use the machine as backfill.
    pub until: Instant,
}
