//! Where tasks are to run, and for whom machines are reserved.

use std::time::Instant;

use super::MachineId;
use crate::jobs::JobId;
use crate::protocol::workers::TaskKey;

/// A decision that a task is to run on a machine.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The task.
    pub task: TaskKey,
    /// The number of this start of it; tasks of a gang start with the same one.
    pub attempt: u64,
    /// The machine.
    pub machine: MachineId,
}

/// A machine that is held for a job that does not fit yet.
#[derive(Debug, Clone, PartialEq)]
pub struct Reservation {
    /// The job that it is held for.
    pub job: JobId,
    /// When the job is expected to start. Other work that ends by then may use the machine meanwhile.
    pub until: Instant,
}
