//! The usage of a team, summed over its bound tasks.

/// Cores and accelerators that count towards a team's quota.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TeamUsage {
    /// Cores.
    pub cpus: f64,
    /// Accelerators.
    pub gpus: f64,
}

impl TeamUsage {
    /// Adds the resources of bound tasks.
    pub fn add(&mut self, cpus: f64, gpus: f64) {
        self.cpus += cpus;
        self.gpus += gpus;
    }

    /// Subtracts the resources of released tasks; rounding errors never make the usage negative.
    pub fn release(&mut self, cpus: f64, gpus: f64) {
        self.cpus = (self.cpus - cpus).max(0.0);
        self.gpus = (self.gpus - gpus).max(0.0);
    }
}
