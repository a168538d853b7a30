//! Which jobs in a worker's heartbeat have ended by the watch cache. Needed where the cluster state alone may not
//! decide: it is not loaded yet, or this controller may have been replaced as leader.

use std::collections::HashSet;

use super::state::Membership;
use crate::jobs::JobId;
use crate::protocol::workers::Heartbeat;

/// Jobs that are over, by a watch cache that holds everything up to a revision.
#[derive(Debug, Default)]
pub struct ReportedEnds {
    /// Jobs of the heartbeat that have ended by the watch cache; their tasks are to be stopped.
    pub jobs: HashSet<JobId>,
    through: u64,
}

impl ReportedEnds {
    /// Whether all that was stored before this revision is known.
    pub fn since(&self, revision: u64) -> bool {
        self.through >= revision
    }
}

impl Membership {
    /// Which jobs of a heartbeat are over, as far as the watch cache tells. Only looked for where the cluster state
    /// alone may not decide: it is not loaded, or `acts` is false.
    pub fn reported_ends(&self, heartbeat: &Heartbeat, acts: bool) -> ReportedEnds {
        let fencing_token = match self.leader.cluster().as_ref() {
            Some(cluster) if !(acts && cluster.loaded) => cluster.fencing_token,
            _ => return ReportedEnds::default(),
        };
        let watch_cache = self.store.watch_cache();
        let through = watch_cache.watch_revision().unwrap_or(0);
        let over = |id: &&JobId| {
            // All that was ever started before this leader record had been accepted before it.
            let missing = through >= fencing_token && watch_cache.open_job(id).is_none();
            missing || watch_cache.revision_with_end(id).is_some() || self.history.ended(id).is_some()
        };
        let jobs =
            heartbeat.attempts.iter().map(|attempt_report| &attempt_report.task.job).filter(over).cloned().collect();
        ReportedEnds { jobs, through }
    }
}
