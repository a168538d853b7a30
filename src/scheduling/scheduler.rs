//! What the scheduling loop works with.

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

/// Gives what the declarations ask of the cluster state.
pub trait IntentSource: Send + Sync {
    /// Works out the intents of this cluster state anew, by what is stored; to be called before anything is placed
    /// by it.
    fn refresh_intents(&self, cluster: &mut ClusterState, watch_cache: &WatchCache, now: Instant);
}

/// Loads the cluster state and places tasks while this controller leads.
pub struct Scheduler {
    /// The platform's settings.
    pub settings: Arc<Settings>,
    /// The state service and its watch cache.
    pub store: Arc<StateStore>,
    /// Ends of jobs.
    pub history: Arc<JobHistory>,
    /// Whether this controller may act as the leader.
    pub membership: Arc<Membership>,
    /// The cluster state and the fair-share accounting.
    pub leader: Arc<LeaderState>,
    /// The machine types.
    pub catalog: Arc<SharedCatalog>,
    /// What the declarations ask for.
    pub intents: Arc<dyn IntentSource>,
    /// Wakes this loop and those that act on its decisions.
    pub wakeups: Arc<Wakeups>,
}

impl Scheduler {
    /// The declarations may ask something of jobs that have just come, before they are placed.
    pub(super) fn refresh_intents(&self, now: Instant) {
        let (watch_cache, mut held) = (self.store.watch_cache(), self.leader.cluster());
        if let Some(cluster) = held.as_mut().filter(|cluster| cluster.intents_outdated) {
            self.intents.refresh_intents(cluster, &watch_cache, now);
        }
    }
}
