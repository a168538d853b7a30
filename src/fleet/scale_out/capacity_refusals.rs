//! Back-off per machine kind after the cloud had no capacity of it.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::machine_kinds::MachineKind;

/// Maximum back-off after a refusal.
const MAX_BACK_OFF: Duration = Duration::from_secs(120);
/// Maximum number of times that the back-off is doubled by consecutive refusals.
const MAX_DOUBLINGS: u32 = 3;
/// Time after the end of its back-off for which a refusal is remembered.
const REFUSAL_RETENTION: Duration = Duration::from_secs(3600);
/// Maximum number of kinds whose largest machine count is remembered; more than any catalog has.
const MAX_MACHINE_KINDS: usize = 1000;

/// Consecutive refusals of one machine kind.
#[derive(Debug)]
struct KindRefusal {
    refused_at: Instant,
    /// Back-off after the first of the refusals.
    first_back_off: Duration,
    backed_off_until: Instant,
    /// Number of the refusals.
    consecutive: u32,
}

/// Machine kinds that were refused recently, with a back-off that grows with each consecutive refusal. Capacity that
/// was available once is available again after machines are lost: a kind of which less than 90 % of the largest number
/// ever held is held now is requested again after the first back-off.
#[derive(Debug, Default)]
pub struct CapacityRefusals {
    refused: HashMap<MachineKind, KindRefusal>,
    /// Largest number of machines of each kind that were held at once.
    max_held: HashMap<MachineKind, u64>,
}

impl CapacityRefusals {
    /// Records that the cloud refused a kind. The back-off is `first_back_off` at first and doubles with each
    /// consecutive refusal, up to eight times that and at most 120 s.
    pub fn record_refusal(&mut self, kind: MachineKind, first_back_off: Duration, now: Instant) {
        let doublings = self.refused.get(&kind).map_or(0, |refusal| refusal.consecutive).min(MAX_DOUBLINGS);
        let back_off = (first_back_off * 2u32.pow(doublings)).min(MAX_BACK_OFF);
        // Refusals of long ago are dropped, since kinds come and go over months. The count of a dropped kind starts
        // again at one.
        self.refused.retain(|_, refusal| now.saturating_duration_since(refusal.backed_off_until) < REFUSAL_RETENTION);
        let refusal = KindRefusal {
            refused_at: now,
            first_back_off,
            backed_off_until: now + back_off,
            consecutive: doublings + 1,
        };
        self.refused.insert(kind, refusal);
    }

    /// Records the number of machines of each kind that are held now.
    pub fn record_held_machines(&mut self, held: &HashMap<MachineKind, u64>) {
        for (kind, count) in held {
            if let Some(max) = self.max_held.get_mut(kind) {
                *max = (*max).max(*count);
            } else if self.max_held.len() < MAX_MACHINE_KINDS {
                self.max_held.insert(kind.clone(), *count);
            }
        }
    }

    /// Forgets the refusals of a kind, to be called once a request for it was filled.
    pub fn forget_refusals(&mut self, kind: &MachineKind) {
        self.refused.remove(kind);
    }

    /// Returns the kinds that cannot be had: the last request for them was not filled, and no machine of them is held.
    pub fn unobtainable_kinds(&self, held: &HashMap<MachineKind, u64>) -> HashSet<MachineKind> {
        self.refused.keys().filter(|kind| held.get(kind).is_none_or(|count| *count == 0)).cloned().collect()
    }

    /// Whether a kind, of which `held` machines are held, is not to be requested yet.
    pub fn is_backing_off(&self, kind: &MachineKind, held: u64, now: Instant) -> bool {
        let Some(refusal) = self.refused.get(kind) else { return false };
        let max_held = self.max_held.get(kind).copied().unwrap_or(0);
        let clearly_fewer = held * 10 < max_held * 9;
        let first_back_off_end = refusal.refused_at + refusal.first_back_off;
        let until =
            if clearly_fewer { refusal.backed_off_until.min(first_back_off_end) } else { refusal.backed_off_until };
        now < until
    }
}
