//! What a team's bound tasks take together.

/// Cores and accelerators, as they count for a team's quota.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TeamUsage {
    /// Cores.
    pub cpus: f64,
    /// Accelerators.
    pub gpus: f64,
}

impl TeamUsage {
    /// So much more is taken.
    pub fn add(&mut self, cpus: f64, gpus: f64) {
        self.cpus += cpus;
        self.gpus += gpus;
    }

    /// So much is given back; what is left is never below zero, whatever was rounded.
    pub fn release(&mut self, cpus: f64, gpus: f64) {
        self.cpus = (self.cpus - cpus).max(0.0);
        self.gpus = (self.gpus - gpus).max(0.0);
    }
}
