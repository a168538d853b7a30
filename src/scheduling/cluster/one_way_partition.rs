//! Machines with a one-way partition, in the cluster state: which they are, how many, and which are given up. The
//! verdicts are those of `scheduling::one_way_partition`.

use std::collections::BTreeSet;
use std::time::Instant;

use tracing::{info, warn};

use super::tick::{CORRELATED_FRACTION_DIVISOR, MOST_FRACTION_DIVISOR};
use super::{ClusterState, Machine, MachineId};
use crate::scheduling::one_way_partition::{InboundVerdict, judge};

impl ClusterState {
    /// At least three machines, and one in `part` of those that should be heard of, of the zone if one is
    /// named, hear nothing.
    pub(super) fn many_inbound_lost(&self, part: usize, zone: Option<&str>) -> bool {
        let (mut all, mut inbound_lost) = (0, 0);
        for machine in self.machines.values().filter(|m| m.report_expected() && zone.is_none_or(|zone| m.zone == zone))
        {
            all += 1;
            inbound_lost += usize::from(machine.inbound_lost);
        }
        inbound_lost >= 3 && inbound_lost * part >= all
    }

    /// Half of all machines hear nothing: it is the way out, and others would not hear either.
    pub fn most_inbound_lost(&self) -> bool {
        self.many_inbound_lost(2, None)
    }

    /// Whether a machine hears, by what it has just reported.
    pub(super) fn judge_partition(&mut self, id: &MachineId, now: Instant) {
        let lease = self.settings.params.workers.lease();
        let Some(machine) = self.machines.get_mut(id) else { return };
        let evidence = machine.partition.evidence(false, now);
        let inbound_lost = matches!(judge(evidence, lease), InboundVerdict::InboundLost | InboundVerdict::GivenUp);
        if inbound_lost == std::mem::replace(&mut machine.inbound_lost, inbound_lost) {
            return;
        }
        if inbound_lost {
            warn!(
                machine = %id,
                unacknowledged = evidence.unacknowledged,
                expired_leases = evidence.expired_leases,
                bound_tasks = machine.bound.len(),
                "one-way partition detected; cordoning the machine"
            );
        } else {
            info!(machine = %id, "one-way partition healed");
            self.replan_needed = true;
        }
    }

    /// Machines that have heard nothing for too long. Many at once, of all or of a zone, point at the way out
    /// to them: they are kept, without new work.
    pub(super) fn machines_given_up(&self, now: Instant) -> Vec<MachineId> {
        let inbound_lost: Vec<&Machine> = self.machines.values().filter(|m| m.inbound_lost).collect();
        if inbound_lost.is_empty() {
            return Vec::new();
        }
        let lease = self.settings.params.workers.lease();
        let all = self.many_inbound_lost(CORRELATED_FRACTION_DIVISOR, None);
        let zones: BTreeSet<&str> = inbound_lost.iter().map(|m| m.zone.as_str()).collect();
        let zones: BTreeSet<&str> =
            zones.into_iter().filter(|zone| self.many_inbound_lost(MOST_FRACTION_DIVISOR, Some(zone))).collect();
        // What nobody else knows of speaks for nothing but itself; and what is still bound after so long only
        // a return proves gone, as where an earlier leader may yet launch it.
        let many = |m: &Machine| m.confirmed && m.bound.is_empty() && (all || zones.contains(m.zone.as_str()));
        let out = inbound_lost
            .into_iter()
            .filter(|m| judge(m.partition.evidence(many(m), now), lease) == InboundVerdict::GivenUp);
        out.map(|m| m.id.clone()).collect()
    }
}
