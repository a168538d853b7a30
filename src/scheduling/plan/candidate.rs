//! Candidate machines for the next task of a job, and their order of preference.

use std::cmp::Ordering;

/// A machine as a candidate for the next task of a job. The greater of two candidates is the better one.
///
/// Cores of a machine with accelerators that the accelerators leave over are preferred, then machines without
/// accelerators, so that large jobs find whole machines and accelerators find their cores. After that, a machine that
/// has the image is preferred, because elsewhere the task would hold its capacity during the fetch; then the highest
/// new return, then the tightest fit.
pub(super) struct Candidate {
    /// Whether the job has failed on the machine; such a machine is used only if nothing else fits.
    pub(super) failed_before: bool,
    /// Whether the machine is reserved for another job; such a machine is used last.
    pub(super) reserved_for_other: bool,
    /// How likely the machine is to be lost; 0 if the job is not risk-averse.
    pub(super) risk: u8,
    /// Whether the job may use spot machines, but work that may not waits for a machine of this kind.
    pub(super) on_demand_contended: bool,
    /// How badly the task would use the machine's accelerators (`FreeCapacity::gpu_waste`).
    pub(super) gpu_waste: u8,
    /// Whether the task needs no image fetch on the machine.
    pub(super) has_image: bool,
    /// The total return of the machine with the task.
    pub(super) new_return: f64,
    /// Free cores of the machine without the task.
    pub(super) free_cpus: f64,
    /// Index of the machine among the capacities of the plan.
    pub(super) index: usize,
}

impl Ord for Candidate {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.failed_before.cmp(&self.failed_before))
            .then(other.reserved_for_other.cmp(&self.reserved_for_other))
            .then(other.risk.cmp(&self.risk))
            .then(other.on_demand_contended.cmp(&self.on_demand_contended))
            .then(other.gpu_waste.cmp(&self.gpu_waste))
            .then(self.has_image.cmp(&other.has_image))
            .then(self.new_return.total_cmp(&other.new_return))
            .then(other.free_cpus.total_cmp(&self.free_cpus))
            .then(other.index.cmp(&self.index))
    }
}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Candidate {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Candidate {}
