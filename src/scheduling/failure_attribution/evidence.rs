//! The evidence on a failure, and what the failure is attributed to by it.

/// A job that has failed on this many machines, and succeeded on none, is faulty.
pub(super) const JOB_FAULT_MACHINES: usize = 3;
/// A task of a job that succeeds otherwise is faulty once it has failed on this many machines.
pub(super) const TASK_FAULT_MACHINES: usize = 3;

/// The evidence on the job, the task and the machine at the moment of a failure.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Observations {
    /// Number of machines on which the job has failed, without quarantined machines, including this one.
    pub(super) job_failed_machines: usize,
    /// Whether some task of the job was done, or has run on another machine for longer than failures take.
    pub(super) job_succeeds: bool,
    /// Number of machines on which this task has failed, including this one.
    pub(super) task_failed_machines: usize,
    /// Whether the job's class is faulty.
    pub(super) class_faulty: bool,
    /// Number of failures on this machine since a task succeeded on it that nothing else explains.
    pub(super) machine_failures: usize,
}

/// What a failure is attributed to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Attribution {
    /// Nothing yet.
    Unclear,
    /// The job is faulty.
    Job,
    /// This task is faulty; its job succeeds otherwise.
    Task,
    /// The machine is faulty.
    Machine,
}

/// Attributes a failure by the evidence. `threshold`: how many unexplained failures make a machine faulty.
pub(super) fn attribute_failure(observations: Observations, threshold: usize) -> Attribution {
    if observations.job_succeeds {
        return match observations {
            Observations { task_failed_machines, .. } if task_failed_machines >= TASK_FAULT_MACHINES => {
                Attribution::Task
            }
            Observations { machine_failures, .. } if machine_failures >= threshold => Attribution::Machine,
            _ => Attribution::Unclear,
        };
    }
    if observations.class_faulty || observations.job_failed_machines >= JOB_FAULT_MACHINES {
        Attribution::Job
    } else if observations.machine_failures >= threshold {
        Attribution::Machine
    } else {
        Attribution::Unclear
    }
}
