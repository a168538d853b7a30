//! Standstills of this process: what was known before one is void until it is proven anew.

use std::sync::atomic::Ordering;
use std::time::Instant;

use tracing::{info, warn};

use super::Node;
use crate::membership::stranded::Stranded;
use crate::sync::lock;

impl Node {
    /// To be called before anything is judged by time. The one place where a standstill of this process is
    /// handed to all that do: their silences, idle times and proofs of before are void.
    pub fn beat(&self, now: Instant) {
        let gap = lock(&self.pulse).beat(now);
        if self.unproven.load(Ordering::Relaxed) {
            self.fresh.wanted.notify_one();
        }
        let Some(gap) = gap else { return };
        let void = gap.void(self.properties.leader_lease);
        warn!(pause_s = gap.length().as_secs_f64(), ownership_open = void.ownership, "stood still");
        if void.ownership {
            self.unproven.store(true, Ordering::Relaxed);
            self.fresh.was_absent();
        }
        if let Some(cluster) = lock(&self.cluster).as_mut() {
            cluster.was_absent(gap);
        }
        *lock(&self.stranded) = Stranded::default();
        self.store.was_absent(gap);
        self.fresh.wanted.notify_one();
        self.wake.membership.notify_one();
    }

    /// Begins something that only counts if the process does not stand still meanwhile.
    pub fn gaps(&self) -> u64 {
        self.beat(Instant::now());
        lock(&self.pulse).gaps()
    }

    /// The mirror was just proven fresh: who owns is known again.
    pub fn proven(&self) {
        self.check_deposed();
        lock(&self.let_go).clear();
        if self.unproven.swap(false, Ordering::Relaxed) {
            info!(owns = lock(&self.cluster).is_some(), "what was known before the standstill is proven or dropped");
        }
    }

    /// Nothing may be decided or answered yet, after a standstill.
    pub fn unproven(&self) -> bool {
        self.beat(Instant::now());
        self.unproven.load(Ordering::Relaxed)
    }

    /// Whether a question read now was most likely given up by who asked it, while this process stood still.
    pub fn stale_question(&self) -> bool {
        let now = Instant::now();
        self.beat(now);
        lock(&self.pulse).last().is_some_and(|gap| gap.stale_question(now))
    }
}
