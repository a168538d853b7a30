//! What follows from a pause of this process: everything known before it counts as unproven until the store confirms
//! it.

use std::sync::atomic::Ordering;
use std::time::Instant;

use tracing::{info, warn};

use super::state::Membership;
use super::unreachable_leader::UnreachableLeader;
use crate::sync::lock;

impl Membership {
    /// To be called before anything is judged by time. The one place where a pause of this process is
    /// handed to all that do: their silences, idle times and proofs of before are void.
    pub fn detect_pause(&self, now: Instant) {
        let pause = lock(&self.pause_detector).beat(now);
        if self.unproven.load(Ordering::Relaxed) {
            self.store.read_barrier.request_proof();
        }
        let Some(pause) = pause else { return };
        let void = pause.void(self.properties.election_lease);
        warn!(
            pause_s = pause.length().as_secs_f64(),
            leadership_unproven = void.leadership,
            "process pause detected; discarding time-based observations"
        );
        if void.leadership {
            self.unproven.store(true, Ordering::Relaxed);
            self.store.read_barrier.after_pause();
        }
        if let Some(cluster) = self.leader.cluster().as_mut() {
            cluster.adjust_for_pause(pause);
        }
        *lock(&self.unreachable_leader) = UnreachableLeader::default();
        self.store.client.after_pause(pause);
        self.store.read_barrier.request_proof();
        self.wakeups.membership.notify_one();
    }

    /// Begins something that only counts if the process does not pause meanwhile.
    pub fn pauses(&self) -> u64 {
        self.detect_pause(Instant::now());
        lock(&self.pause_detector).pauses()
    }

    /// The watch cache was just proven fresh: who leads is known again.
    pub fn cache_proven_fresh(&self) {
        self.check_deposed();
        lock(&self.leader_searches).clear();
        if self.unproven.swap(false, Ordering::Relaxed) {
            info!(leads = self.leader.cluster().is_some(), "state proven after process pause");
        }
    }

    /// Nothing may be decided or answered yet, after a process pause.
    pub fn unproven(&self) -> bool {
        self.detect_pause(Instant::now());
        self.unproven.load(Ordering::Relaxed)
    }

    /// Whether a question read now was most likely given up by who asked it, while this process was paused.
    pub fn is_stale_request(&self) -> bool {
        let now = Instant::now();
        self.detect_pause(now);
        lock(&self.pause_detector).last().is_some_and(|pause| pause.stale_question(now))
    }
}
