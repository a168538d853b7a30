//! Room that a plan keeps free: for gangs, for work that is expected, and room that idle work would give way on.

use std::collections::BTreeMap;
use std::rc::Rc;

use super::demand::Demand;
use super::search::{GangReservation, Plan};
use crate::jobs::JobSpec;
use crate::scheduling::backfill;
use crate::scheduling::capacity::JobZones;
use crate::scheduling::cluster::ClusterState;
use crate::scheduling::intents;

impl<'a> Plan<'a> {
    /// Takes the room that there is for a gang, in the zone that has most of it, out of this plan.
    pub(super) fn reserve_capacity_for_gang(&mut self, demand: &Demand<'a>) {
        let spec = demand.job.spec();
        let need = demand.job.waiting.len() as u64;
        let mut zones = self.fitting_tasks_by_zone(demand);
        zones.sort_by(|a, b| b.1.cmp(&a.1).then(a.0.cmp(b.0)));
        let free = |zone: &&str| !self.gang_reserved_zones.iter().any(|k| k.is_empty() || zone.is_empty() || k == zone);
        let Some((zone, _)) = zones.iter().find(|(zone, _)| free(zone)).copied() else { return };
        self.gang_reserved_zones.push(zone);
        let mut left = need;
        let mut order: Vec<usize> = (0..self.capacities.len()).collect();
        order.sort_by_key(|at| self.capacities[*at].gpu_waste(spec));
        for at in order {
            let capacity = &self.capacities[at];
            let here = zone.is_empty() || self.context.zone(capacity.kind) == zone;
            if left == 0 || !here || !demand.may_use(capacity) {
                continue;
            }
            let units = capacity.fitting_tasks(spec, left);
            for _ in 0..units {
                self.capacities[at].allocate(spec);
            }
            self.gang_reservations.push(GangReservation { at, tasks: units, spec });
            left -= units;
        }
    }

    /// Work like this found no room. Shared with the idle jobs that are placed after it, not copied for each.
    pub(super) fn record_unplaced(&mut self, spec: &JobSpec, open: &[bool], quarantined: bool) {
        if !spec.is_idle() {
            Rc::make_mut(&mut self.unplaced_requests).record_unplaced(spec, open, quarantined);
        }
    }

    /// Before idle work is placed: rooms for what arrives while it would give way.
    pub(super) fn keep_capacity_for_arrivals(&mut self, cluster: &ClusterState) {
        for arrivals in cluster.arrivals.values() {
            let spec = &arrivals.latest.spec;
            let open = self.context.allowed_kinds(spec, &JobZones::without_tasks(spec));
            let boot_s = self.context.longest_boot_s(&open);
            let objectives = &cluster.settings.params.objectives;
            let mut left = backfill::tasks_kept_free_for(spec, arrivals.tasks_per_second(self.now), objectives, boot_s);
            self.keep_capacity_for_tasks(spec, &open, &mut left);
        }
        for (intent, open) in intents::due_capacity_intents(cluster, &self.context) {
            self.keep_capacity_for_tasks(&intent.task_spec, &open, &mut intent.tasks.clone());
        }
    }

    pub(super) fn keep_capacity_for_tasks(&mut self, spec: &JobSpec, open: &[bool], left: &mut u64) {
        for capacity in self.capacities.iter_mut().filter(|r| !r.draining && !r.kept_for_arrivals && r.apt(spec)) {
            if *left == 0 {
                break;
            }
            let units = if open.get(capacity.kind) == Some(&true) { capacity.fitting_tasks(spec, *left) } else { 0 };
            capacity.kept_for_arrivals = units > 0;
            *left -= units;
        }
    }

    /// Whether idle work would make room for all these tasks on machines as they need them; what it
    /// would give is then counted with.
    pub(super) fn reclaim_from_idle(&mut self, spec: &JobSpec, open: &[bool], need: u64) -> bool {
        if self.reclaimable_capacities.is_empty() || spec.gpus > 0.0 {
            return false;
        }
        let mut units: BTreeMap<&str, u64> = BTreeMap::new();
        for capacity in self.reclaimable_capacities.iter().filter(|r| open.get(r.kind) == Some(&true)) {
            let zone = if spec.same_zone { self.context.zone(capacity.kind) } else { "" };
            *units.entry(zone).or_default() += capacity.fitting_tasks(spec, need);
        }
        let Some(zone) = units.into_iter().find(|(_, n)| *n >= need).map(|(zone, _)| zone) else { return false };
        let mut left = need;
        for capacity in &mut self.reclaimable_capacities {
            let here = zone.is_empty() || self.context.zone(capacity.kind) == zone;
            if left == 0 || !here || open.get(capacity.kind) != Some(&true) {
                continue;
            }
            let n = capacity.fitting_tasks(spec, left);
            capacity.add(-(n as f64) * spec.cpus, 0.0, -(n as f64) * spec.memory_gb);
            left -= n;
        }
        true
    }
}
