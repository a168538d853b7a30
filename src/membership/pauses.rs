//! Handling of pauses of this process: knowledge from before a pause counts as unproven until the store confirms it.

use std::sync::atomic::Ordering;
use std::time::Instant;

use tracing::{info, warn};

use super::state::Membership;
use super::unreachable_leader::UnreachableLeader;
use crate::sync::lock;

impl Membership {
    /// Detects a pause of this process; called before any decision that is based on time. This is the only place that
    /// reports a pause to the components that measure silences, idle times and ages of proofs, which discard those from
    /// before the pause.
    pub fn detect_pause(&self, now: Instant) {
        let pause = lock(&self.pause_detector).detect(now);
        if self.unproven.load(Ordering::Relaxed) {
            self.store.read_barrier.request_proof();
        }
        let Some(pause) = pause else { return };
        let invalidated = pause.invalidated(self.properties.election_lease);
        warn!(
            pause_s = pause.length().as_secs_f64(),
            leadership_unproven = invalidated.leadership,
            "process pause detected; discarding time-based observations"
        );
        if invalidated.leadership {
            self.unproven.store(true, Ordering::Relaxed);
            self.store.read_barrier.discard_proof();
        }
        if let Some(cluster) = self.leader.cluster().as_mut() {
            cluster.adjust_for_pause(pause);
        }
        *lock(&self.unreachable_leader) = UnreachableLeader::default();
        self.store.client.discount_pause(pause);
        self.store.read_barrier.request_proof();
        self.wakeups.membership.notify_one();
    }

    /// Returns the number of pauses so far. Work that must not span a pause compares the numbers before and after it.
    pub fn pauses(&self) -> u64 {
        self.detect_pause(Instant::now());
        lock(&self.pause_detector).pauses()
    }

    /// Records that the watch cache was proven fresh, so that the leader is known again.
    pub fn cache_proven_fresh(&self) {
        self.check_deposed();
        lock(&self.leader_searches).clear();
        if self.unproven.swap(false, Ordering::Relaxed) {
            info!(leads = self.leader.cluster().is_some(), "state proven after process pause");
        }
    }

    /// Returns whether the state is unproven since a process pause, so that nothing may be decided or answered yet.
    pub fn unproven(&self) -> bool {
        self.detect_pause(Instant::now());
        self.unproven.load(Ordering::Relaxed)
    }

    /// Returns whether a request that is read now was most likely abandoned by its sender while this process was
    /// paused.
    pub fn is_stale_request(&self) -> bool {
        let now = Instant::now();
        self.detect_pause(now);
        lock(&self.pause_detector).last().is_some_and(|pause| pause.is_stale_request(now))
    }
}
