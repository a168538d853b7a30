//! Whether a job is passed over by a plan: it has tasks left that some room fits (`scheduling::passed_over`).

use std::collections::HashMap;
use std::time::Duration;

use super::queue::QueuedJob;
use super::quotas::Quotas;
use super::search::Plan;
use super::unfit::UnfitRequest;
use crate::scheduling::capacity::{FreeCapacity, JobZones};
use crate::scheduling::cluster::JobState;

impl<'a> Plan<'a> {
    /// Whether a job of which so many tasks were placed in this plan has more that some room fits, by the machines, its
    /// own words and its team's limit alone.
    pub fn passes_over(
        &mut self,
        queued: &QueuedJob<'a>,
        zones: &JobZones<'a>,
        placed: usize,
        quotas: &Quotas,
    ) -> bool {
        let (job, spec) = (queued.job, queued.job.spec());
        let waiting = self.cluster.intents.placeable_tasks(queued.id, job);
        if placed >= waiting || (spec.is_gang() && placed > 0) {
            return false;
        }
        let need = if spec.is_gang() { waiting } else { 1 };
        // What is kept for arrivals is not kept from idle work that has yet to begin.
        let kept_from = spec.is_idle() && !job.bound.is_empty();
        quotas.allows(spec, need as f64) && self.fits_without_reservations(job, zones, need, kept_from)
    }

    fn fits_without_reservations(
        &mut self,
        job: &'a JobState,
        zones: &JobZones<'a>,
        need: usize,
        kept_from: bool,
    ) -> bool {
        let spec = job.spec();
        let open = self.context.allowed_kinds(spec, zones);
        if self.unfit_anywhere.iter().any(|unfit_anywhere| unfit_anywhere.covers(job, need, &open)) {
            return false;
        }
        let mut by_zone: HashMap<&str, u64> = HashMap::new();
        let most_in_zone = if spec.spread { spec.tasks.div_ceil(2) } else { u64::MAX };
        for at in 0..self.capacities.len() {
            self.machines_examined += 1;
            let kind = self.capacities[at].kind;
            if open.get(kind) != Some(&true) || (kept_from && self.capacities[at].kept_for_arrivals) {
                continue;
            }
            let units = self.with_gang_reservations(at).fitting_tasks(spec, need as u64);
            let in_zone = by_zone.entry(self.context.zone(kind)).or_default();
            *in_zone = (*in_zone + units).min(most_in_zone);
            let found = if spec.same_zone { *in_zone } else { by_zone.values().sum() };
            if found >= need as u64 {
                return true;
            }
        }
        // A spread gang was refused rooms that others may use; for single tasks `open` says all of it.
        let refused_by_spread = spec.is_gang() && spec.spread;
        if !kept_from && !refused_by_spread {
            self.unfit_anywhere.push(UnfitRequest { spec, run_time: Duration::ZERO, tasks: need, allowed_kinds: open });
        }
        false
    }

    /// A room with what this plan has kept of it for gangs.
    fn with_gang_reservations(&self, at: usize) -> FreeCapacity<'a> {
        let mut capacity = self.capacities[at];
        for piece in self.gang_reservations.iter().filter(|piece| piece.at == at) {
            (0..piece.tasks).for_each(|_| capacity.release(piece.spec));
        }
        capacity
    }
}
