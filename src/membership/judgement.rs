//! What this controller can prove, and may say of it to users and machines (`membership::serving_state`).

use std::time::{Duration, Instant};

use tracing::warn;

use super::serving_state::{FreshnessLimits, Observations, ServingState};
use super::state::Membership;
use crate::sync::lock;

impl Membership {
    /// Whether the state service has lately answered anything.
    pub fn state_service_answers(&self) -> bool {
        self.store.client.health().failing_for(Instant::now()) < Duration::from_secs(2)
    }

    /// What this controller can prove, and what it hears of the others.
    fn observations(&self, now: Instant) -> Observations {
        let (heard, answering) = lock(&self.peer_states).others(now);
        let proof = self.store.read_barrier.age(now);
        let refused = self.store.client.health().failing_for(now);
        Observations { proof, refused, peers: self.settings.peers.len(), heard, answering }
    }

    /// Questions can be answered by what is stored.
    pub fn can_answer(&self) -> bool {
        let now = Instant::now();
        self.store.watch_cache().is_ready()
            && self.observations(now).serving_state(FreshnessLimits::for_health_check(0)) == ServingState::Fresh
    }

    /// Healthy: has read the store once, and is not one that cannot answer where others may.
    pub fn healthy(&self) -> bool {
        // After a process pause a proof is a moment away, unless the store answers nobody.
        let proving = self.unproven() && self.state_service_answers();
        let read = {
            let watch_cache = self.store.watch_cache();
            watch_cache.is_ready() || watch_cache.revision() > 0
        };
        let now = Instant::now();
        lock(&self.health).judge(read && !proving && self.catalog.get().is_some(), self.observations(now), now)
    }

    /// Whether what is known here of who leads may be acted on towards workers.
    pub fn knows_leader(&self, now: Instant) -> bool {
        self.observations(now)
            .serving_state(FreshnessLimits::for_leadership(self.properties.election_lease))
            .may_answer()
    }

    /// Whether this machine is held by a leader that may be one no more (`membership::serving_state`).
    pub fn must_hold_worker(&self, machine: &str, now: Instant) -> bool {
        let (others, lease) = (self.settings.peers.len(), self.settings.params.workers.lease());
        let mut leader_searches = lock(&self.leader_searches);
        if leader_searches.begins() {
            warn!("leadership unproven; releasing workers that report and holding those that return");
        }
        leader_searches.must_hold(machine, others, lease, now)
    }

    /// A leader that knows no end that was stored since its last proof may hold machines for so long that
    /// their leases are over when the first such task has to be gone.
    pub fn leases_end_in_time(&self, now: Instant) -> bool {
        let spare = self.settings.params.workers.spare();
        self.store.read_barrier.age(now).is_some_and(|age| age < spare)
    }
}
