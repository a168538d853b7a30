//! Machines that do not hear: who they are, how many, and which are given up (`scheduling/hearing` judges).

use std::collections::BTreeSet;
use std::time::Instant;

use tracing::{info, warn};

use super::machine::{MOST, TOGETHER};
use super::{ClusterState, Machine, MachineId};
use crate::scheduling::hearing::{Verdict, judge};

impl ClusterState {
    /// At least three machines, and one in `part` of those that should be heard of, of the zone if one is
    /// named, hear nothing.
    pub(super) fn many_deaf(&self, part: usize, zone: Option<&str>) -> bool {
        let (mut all, mut deaf) = (0, 0);
        for machine in self.machines.values().filter(|m| m.awaited() && zone.is_none_or(|zone| m.zone == zone)) {
            all += 1;
            deaf += usize::from(machine.deaf);
        }
        deaf >= 3 && deaf * part >= all
    }

    /// Half of all machines hear nothing: it is the way out, and others would not hear either.
    pub fn most_deaf(&self) -> bool {
        self.many_deaf(2, None)
    }

    /// Whether a machine hears, by what it has just reported.
    pub(super) fn judge_hearing(&mut self, id: &MachineId, now: Instant) {
        let lease = self.settings.params.workers.lease();
        let Some(machine) = self.machines.get_mut(id) else { return };
        let signs = machine.hearing.signs(false, now);
        let deaf = matches!(judge(signs, lease), Verdict::Deaf | Verdict::GivenUp);
        if deaf == std::mem::replace(&mut machine.deaf, deaf) {
            return;
        }
        if deaf {
            let (unheard, lost) = (signs.unheard, signs.lost);
            warn!(machine = %id, unheard, lost, bound = machine.bound.len(), "does not hear: no new work for now");
        } else {
            info!(machine = %id, "hears again");
            self.stirred = true;
        }
    }

    /// Machines that have heard nothing for too long. Many at once, of all or of a zone, point at the way out
    /// to them: they are kept, without new work.
    pub(super) fn given_up(&self, now: Instant) -> Vec<MachineId> {
        let deaf: Vec<&Machine> = self.machines.values().filter(|m| m.deaf).collect();
        if deaf.is_empty() {
            return Vec::new();
        }
        let lease = self.settings.params.workers.lease();
        let all = self.many_deaf(TOGETHER, None);
        let zones: BTreeSet<&str> = deaf.iter().map(|m| m.zone.as_str()).collect();
        let zones: BTreeSet<&str> = zones.into_iter().filter(|zone| self.many_deaf(MOST, Some(zone))).collect();
        // What nobody else knows of speaks for nothing but itself; and what is still bound after so long only
        // a return proves gone, as where an earlier owner may yet launch it.
        let many = |m: &Machine| m.known && m.bound.is_empty() && (all || zones.contains(m.zone.as_str()));
        let out = deaf.into_iter().filter(|m| judge(m.hearing.signs(many(m), now), lease) == Verdict::GivenUp);
        out.map(|m| m.id.clone()).collect()
    }
}
