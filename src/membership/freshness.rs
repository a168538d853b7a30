//! Whether this controller may answer users and workers, by what it can prove of the store
//! (`membership::serving_state`).

use std::time::{Duration, Instant};

use tracing::warn;

use super::serving_state::{FreshnessLimits, Observations, ServingState};
use super::state::Membership;
use crate::sync::lock;

impl Membership {
    /// Returns whether the state service has answered any request recently.
    pub fn state_service_answers(&self) -> bool {
        self.store.client.health().failing_for(Instant::now()) < Duration::from_secs(2)
    }

    /// Collects what this controller can prove and what it hears of the other controllers.
    fn observations(&self, now: Instant) -> Observations {
        let (heard, answering) = lock(&self.peer_states).recent_peers(now);
        let proof = self.store.read_barrier.proof_age(now);
        let refused = self.store.client.health().failing_for(now);
        Observations { proof, refused, peers: self.settings.peers.len(), heard, answering }
    }

    /// Returns whether this controller's knowledge of the store is fresh enough to answer users.
    pub fn can_answer(&self) -> bool {
        let now = Instant::now();
        self.store.watch_cache().is_ready()
            && self.observations(now).serving_state(FreshnessLimits::for_health_check(0)) == ServingState::Fresh
    }

    /// Returns whether this controller is healthy: it has read the store once, and isn't unable to answer users while
    /// others may be able to.
    pub fn healthy(&self) -> bool {
        // After a process pause a proof follows shortly unless the store answers nobody.
        let proving = self.unproven() && self.state_service_answers();
        let read = {
            let watch_cache = self.store.watch_cache();
            watch_cache.is_ready() || watch_cache.revision() > 0
        };
        let now = Instant::now();
        lock(&self.health).is_healthy(read && !proving && self.catalog.get().is_some(), self.observations(now), now)
    }

    /// Returns whether the leader record known here is reliable enough to act on towards workers.
    pub fn knows_leader(&self, now: Instant) -> bool {
        self.observations(now)
            .serving_state(FreshnessLimits::for_leadership(self.properties.election_lease))
            .may_answer()
    }

    /// Returns whether to keep renewing the lease of this worker although this leader may have been replaced
    /// (`membership::serving_state`).
    pub fn must_hold_worker(&self, machine: &str, now: Instant) -> bool {
        let (others, lease) = (self.settings.peers.len(), self.settings.params.workers.lease());
        let mut leader_searches = lock(&self.leader_searches);
        if leader_searches.start_if_idle() {
            warn!("leadership unproven; releasing workers that report and holding those that return");
        }
        leader_searches.must_hold(machine, others, lease, now)
    }

    /// Returns whether worker leases that are renewed now end before the tasks of jobs that ended after the last proof
    /// of freshness must be stopped. This leader doesn't know these ends.
    pub fn leases_end_in_time(&self, now: Instant) -> bool {
        let spare = self.settings.params.workers.cancellation_slack();
        self.store.read_barrier.proof_age(now).is_some_and(|age| age < spare)
    }
}
