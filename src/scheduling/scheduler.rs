//! The scheduler and the services that its loop uses.

use std::sync::Arc;
use std::time::Instant;

use super::cluster::ClusterState;
use super::leader_state::LeaderState;
use crate::history::job_history::JobHistory;
use crate::machine_kinds::SharedCatalog;
use crate::membership::Membership;
use crate::settings::Settings;
use crate::store::handle::StateStore;
use crate::store::watch_cache::WatchCache;
use crate::wakeups::Wakeups;

/// Computes the intents that the operators' declarations imply for the cluster state.
pub trait IntentSource: Send + Sync {
    /// Recomputes the intents of this cluster state from the stored declarations; to be called before tasks are placed.
    fn refresh_intents(&self, cluster: &mut ClusterState, watch_cache: &WatchCache, now: Instant);
}

/// Loads the cluster state and places tasks while this controller leads.
pub struct Scheduler {
    /// The platform's settings.
    pub settings: Arc<Settings>,
    /// The state service and its watch cache.
    pub store: Arc<StateStore>,
    /// The ends of jobs.
    pub history: Arc<JobHistory>,
    /// The membership, which tells whether this controller may act as the leader.
    pub membership: Arc<Membership>,
    /// The cluster state and the fair-share accounting.
    pub leader: Arc<LeaderState>,
    /// The catalog of machine types.
    pub catalog: Arc<SharedCatalog>,
    /// The source of the intents of operators' declarations.
    pub intents: Arc<dyn IntentSource>,
    /// Wakes this loop, and the loops that act on its decisions.
    pub wakeups: Arc<Wakeups>,
}

impl Scheduler {
    /// Recomputes the intents if jobs have arrived since, so that intents that concern these jobs apply before they are
    /// placed.
    pub(super) fn refresh_intents(&self, now: Instant) {
        let (watch_cache, mut guard) = (self.store.watch_cache(), self.leader.cluster());
        if let Some(cluster) = guard.as_mut().filter(|cluster| cluster.intents_outdated) {
            self.intents.refresh_intents(cluster, &watch_cache, now);
        }
    }
}
