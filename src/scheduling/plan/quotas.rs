//! Team quotas: how much each team may still use within its limits.

use std::collections::HashMap;

use crate::jobs::JobSpec;
use crate::scheduling::capacity::AMOUNT_TOLERANCE;
use crate::scheduling::cluster::{ClusterState, TeamUsage};

/// The limits of all teams and what the teams use, including what the plan has placed.
pub struct Quotas<'a> {
    cluster: &'a ClusterState,
    used: HashMap<&'a str, TeamUsage>,
}

impl<'a> Quotas<'a> {
    /// Creates the quotas with what the teams use now.
    pub fn new(cluster: &'a ClusterState) -> Self {
        Self { cluster, used: cluster.team_usage.iter().map(|(t, u)| (t.as_str(), *u)).collect() }
    }

    /// Whether the team's limits allow `tasks` more tasks of the job.
    pub fn allows(&self, spec: &JobSpec, tasks: f64) -> bool {
        let Some(team) = self.cluster.settings.team(&spec.team) else { return false };
        let used = self.used.get(spec.team.as_str()).copied().unwrap_or_default();
        let within_limit = |limit: f64, used: f64, more: f64| limit <= 0.0 || used + more <= limit + AMOUNT_TOLERANCE;
        within_limit(team.cpus_max, used.cpus, tasks * spec.cpus)
            && within_limit(team.gpus_max, used.gpus, tasks * spec.gpus)
    }

    /// Adds `tasks` tasks of the job to what its team uses.
    pub fn add_usage(&mut self, spec: &'a JobSpec, tasks: f64) {
        let used = self.used.entry(spec.team.as_str()).or_default();
        used.cpus += tasks * spec.cpus;
        used.gpus += tasks * spec.gpus;
    }
}
