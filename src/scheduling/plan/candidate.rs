//! A machine as a place for the next task of a job, and which of two is the better one.

use std::cmp::Ordering;

/// One machine as a place for the next task of a job. The better one is the greater one: first
/// what accelerators leave over, then a machine without any, so that large work finds whole
/// machines and accelerators their cores; not one where the task would first hold its place for
/// a fetch; of those left the one with the highest new return, then the tightest.
pub(super) struct Candidate {
    /// The job has failed there; taken only where nothing else fits.
    pub(super) failed_before: bool,
    /// Held for another; taken last.
    pub(super) reserved_for_other: bool,
    /// How likely it is to be lost, where that counts.
    pub(super) risk: u8,
    /// Others wait for such a machine that may not use cheap ones, as this work may.
    pub(super) on_demand_contended: bool,
    pub(super) gpu_waste: u8,
    pub(super) has_image: bool,
    pub(super) new_return: f64,
    pub(super) free_cpus: f64,
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
