//! What the limits of each team leave for it to use.

use std::collections::HashMap;

use crate::jobs::JobSpec;
use crate::scheduling::capacity::AMOUNT_TOLERANCE;
use crate::scheduling::cluster::{ClusterState, TeamUsage};

/// What a team may still use, as (cpus, gpus).
pub struct Quotas<'a> {
    cluster: &'a ClusterState,
    used: HashMap<&'a str, TeamUsage>,
}

impl<'a> Quotas<'a> {
    /// The limits, with what the teams use now.
    pub fn new(cluster: &'a ClusterState) -> Self {
        Self { cluster, used: cluster.team_usage.iter().map(|(t, u)| (t.as_str(), *u)).collect() }
    }

    /// Whether the team may use so many tasks of the job more.
    pub fn allows(&self, spec: &JobSpec, n: f64) -> bool {
        let Some(team) = self.cluster.settings.team(&spec.team) else { return false };
        let used = self.used.get(spec.team.as_str()).copied().unwrap_or_default();
        let within = |limit: f64, used: f64, more: f64| limit <= 0.0 || used + more <= limit + AMOUNT_TOLERANCE;
        within(team.cpus_max, used.cpus, n * spec.cpus) && within(team.gpus_max, used.gpus, n * spec.gpus)
    }

    /// Counts so many tasks of the job as used.
    pub fn add_usage(&mut self, spec: &'a JobSpec, n: f64) {
        let used = self.used.entry(spec.team.as_str()).or_default();
        used.cpus += n * spec.cpus;
        used.gpus += n * spec.gpus;
    }
}
