//! The leader's memory of machine kinds for which the cloud had no capacity, with the pause before each is requested
//! again.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::machine_kinds::MachineKind;

/// Longest pause after a refusal.
const LONGEST_PAUSE: Duration = Duration::from_secs(120);
/// The pause doubles with each refusal in a row, this often at the most.
const MOST_DOUBLINGS: u32 = 3;
/// A refusal is remembered for this long after its pause.
const REFUSAL_MEMORY: Duration = Duration::from_secs(3600);
/// Most kinds whose largest machine count is remembered; more than any catalog has.
const MOST_MACHINE_KINDS: usize = 1000;

/// Refusals in a row of one machine kind.
#[derive(Debug)]
struct KindRefusal {
    refused_at: Instant,
    /// Pause after the first refusal.
    first_pause: Duration,
    paused_until: Instant,
    in_a_row: u32,
}

/// Machine kinds that were refused lately, with a back-off that grows with each refusal in a row. Capacity that was
/// available once is available again after machines are lost: a kind of which clearly fewer are held than ever were is
/// requested again after the first pause.
#[derive(Debug, Default)]
pub struct CapacityRefusals {
    refused: HashMap<MachineKind, KindRefusal>,
    /// Most machines of each kind that were held at once.
    most_held: HashMap<MachineKind, u64>,
}

impl CapacityRefusals {
    /// Records that the cloud refused this kind. The pause is `first_pause` at first and doubles with each refusal in a
    /// row, up to eight times that and 120 s.
    pub fn record_refusal(&mut self, kind: MachineKind, first_pause: Duration, now: Instant) {
        let doublings = self.refused.get(&kind).map_or(0, |refusal| refusal.in_a_row).min(MOST_DOUBLINGS);
        let pause = (first_pause * 2u32.pow(doublings)).min(LONGEST_PAUSE);
        // Kinds come and go over months: a refusal of long ago is forgotten, and the count starts afresh.
        self.refused.retain(|_, refusal| now.saturating_duration_since(refusal.paused_until) < REFUSAL_MEMORY);
        let refusal = KindRefusal { refused_at: now, first_pause, paused_until: now + pause, in_a_row: doublings + 1 };
        self.refused.insert(kind, refusal);
    }

    /// Records how many machines of each kind are held now.
    pub fn record_held_machines(&mut self, held: &HashMap<MachineKind, u64>) {
        for (kind, count) in held {
            if let Some(most) = self.most_held.get_mut(kind) {
                *most = (*most).max(*count);
            } else if self.most_held.len() < MOST_MACHINE_KINDS {
                self.most_held.insert(kind.clone(), *count);
            }
        }
    }

    /// Forgets the refusals of a kind, once its machines were provisioned again.
    pub fn forget_refusals(&mut self, kind: &MachineKind) {
        self.refused.remove(kind);
    }

    /// Whether a kind of which `held` machines are held is not to be requested yet.
    pub fn is_backing_off(&self, kind: &MachineKind, held: u64, now: Instant) -> bool {
        let Some(refusal) = self.refused.get(kind) else { return false };
        let most_held = self.most_held.get(kind).copied().unwrap_or(0);
        let clearly_fewer = held * 10 < most_held * 9;
        let after_first_pause = refusal.refused_at + refusal.first_pause;
        let until = if clearly_fewer { refusal.paused_until.min(after_first_pause) } else { refusal.paused_until };
        now < until
    }
}
