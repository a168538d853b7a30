//! Machines with a one-way partition in the cluster state: detecting, counting and giving them up. The verdicts are
//! those of `scheduling::one_way_partition`.

use std::collections::BTreeSet;
use std::time::Instant;

use tracing::{info, warn};

use super::tick::{CORRELATED_LOSS_ONE_IN_MACHINES, WIDESPREAD_LOSS_ONE_IN_MACHINES};
use super::{ClusterState, Machine, MachineId};
use crate::scheduling::one_way_partition::{InboundVerdict, inbound_verdict};

impl ClusterState {
    /// Whether at least three machines, and one in `divisor` of those expected to report, have lost their inbound
    /// connection; only machines in `zone` count, if one is given.
    pub(super) fn many_inbound_lost(&self, divisor: usize, zone: Option<&str>) -> bool {
        let (mut all, mut inbound_lost) = (0, 0);
        for machine in self.machines.values().filter(|m| m.report_expected() && zone.is_none_or(|zone| m.zone == zone))
        {
            all += 1;
            inbound_lost += usize::from(machine.inbound_lost);
        }
        inbound_lost >= 3 && inbound_lost * divisor >= all
    }

    /// Whether half of all machines have lost their inbound connection. Then the outbound network of this controller or
    /// of the site is at fault, and new machines could not be reached either.
    pub fn most_inbound_lost(&self) -> bool {
        self.many_inbound_lost(2, None)
    }

    /// Judges by a machine's latest report whether its inbound connection is lost or has healed.
    pub(super) fn judge_partition(&mut self, id: &MachineId, now: Instant) {
        let lease = self.settings.params.workers.lease();
        let Some(machine) = self.machines.get_mut(id) else { return };
        let evidence = machine.partition.evidence(false, now);
        let inbound_lost =
            matches!(inbound_verdict(evidence, lease), InboundVerdict::InboundLost | InboundVerdict::GivenUp);
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

    /// Machines whose one-way partition has lasted too long. Many at once, among all or in a zone, point to a fault of
    /// the network towards them: such machines are kept, without new work.
    pub(super) fn machines_given_up(&self, now: Instant) -> Vec<MachineId> {
        let inbound_lost: Vec<&Machine> = self.machines.values().filter(|m| m.inbound_lost).collect();
        if inbound_lost.is_empty() {
            return Vec::new();
        }
        let lease = self.settings.params.workers.lease();
        let all = self.many_inbound_lost(CORRELATED_LOSS_ONE_IN_MACHINES, None);
        let zones: BTreeSet<&str> = inbound_lost.iter().map(|m| m.zone.as_str()).collect();
        let zones: BTreeSet<&str> = zones
            .into_iter()
            .filter(|zone| self.many_inbound_lost(WIDESPREAD_LOSS_ONE_IN_MACHINES, Some(zone)))
            .collect();
        // An unconfirmed machine is no evidence of a fault of the network. A machine that still has bound tasks after
        // this long is judged alone as well: only its return proves them gone, for instance where an earlier leader may
        // still launch them.
        let many = |m: &Machine| m.confirmed && m.bound.is_empty() && (all || zones.contains(m.zone.as_str()));
        let given_up = inbound_lost
            .into_iter()
            .filter(|m| inbound_verdict(m.partition.evidence(many(m), now), lease) == InboundVerdict::GivenUp);
        given_up.map(|m| m.id.clone()).collect()
    }
}
