//! Ended jobs among those that a worker's heartbeat reports, by the watch cache. They are needed when the cluster state
//! alone may not decide because it isn't loaded yet or because this controller may have been replaced as leader.

use std::collections::HashSet;

use super::state::Membership;
use crate::jobs::JobId;
use crate::protocol::workers::Heartbeat;

/// Ended jobs of a heartbeat, by a watch cache that is complete up to a revision.
#[derive(Debug, Default)]
pub struct ReportedEnds {
    /// Jobs of the heartbeat that have ended; their tasks are to be stopped.
    pub jobs: HashSet<JobId>,
    /// Revision up to which the watch cache is complete.
    through: u64,
}

impl ReportedEnds {
    /// Returns whether the watch cache is complete up to this revision.
    pub fn is_complete_through(&self, revision: u64) -> bool {
        self.through >= revision
    }
}

impl Membership {
    /// Returns the jobs of a heartbeat that have ended by the watch cache. They are determined only if the cluster
    /// state alone may not decide: it isn't loaded, or `may_command` is false.
    pub fn reported_ends(&self, heartbeat: &Heartbeat, may_command: bool) -> ReportedEnds {
        let fencing_token = match self.leader.cluster().as_ref() {
            Some(cluster) if !(may_command && cluster.loaded) => cluster.fencing_token,
            _ => return ReportedEnds::default(),
        };
        let watch_cache = self.store.watch_cache();
        let through = watch_cache.watch_revision().unwrap_or(0);
        let has_ended = |id: &&JobId| {
            // Every job whose tasks were started before this leader record was also accepted before it, so a job that
            // is missing here has ended.
            let missing = through >= fencing_token && watch_cache.open_job(id).is_none();
            missing || watch_cache.revision_with_end(id).is_some() || self.history.known_end(id).is_some()
        };
        let jobs = heartbeat
            .attempts
            .iter()
            .map(|attempt_report| &attempt_report.task.job)
            .filter(has_ended)
            .cloned()
            .collect();
        ReportedEnds { jobs, through }
    }
}
