//! Decides whether a plan passes a job over: the job has waiting tasks that some machine has capacity for
//! (`scheduling::passed_over`).

use std::collections::HashMap;
use std::time::Duration;

use super::queue::QueuedJob;
use super::quotas::Quotas;
use super::search::Plan;
use super::unfit::UnfitRequest;
use crate::scheduling::capacity::{FreeCapacity, JobZones};
use crate::scheduling::cluster::JobState;

impl<'a> Plan<'a> {
    /// Whether a job of which the plan placed `placed` tasks has more tasks that would fit, judged by the machines, the
    /// job's own constraints and its team's limits alone.
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
        let tasks_needed = if spec.is_gang() { waiting } else { 1 };
        // Capacity kept for arrivals is denied only to idle jobs that run already: a job without tasks may use it.
        let excludes_kept_capacity = spec.is_idle() && !job.bound.is_empty();
        quotas.allows(spec, tasks_needed as f64)
            && self.fits_without_reservations(job, zones, tasks_needed, excludes_kept_capacity)
    }

    /// Whether `tasks_needed` tasks of the job fit if reservations, also those for gangs in this plan, are ignored.
    fn fits_without_reservations(
        &mut self,
        job: &'a JobState,
        zones: &JobZones<'a>,
        tasks_needed: usize,
        excludes_kept_capacity: bool,
    ) -> bool {
        let spec = job.spec();
        let allowed_kinds = self.context.allowed_kinds(spec, zones);
        if self.unfit_anywhere.iter().any(|unfit| unfit.covers(job, tasks_needed, &allowed_kinds)) {
            return false;
        }
        let mut by_zone: HashMap<&str, u64> = HashMap::new();
        let max_in_zone = if spec.spread { spec.tasks.div_ceil(2) } else { u64::MAX };
        for index in 0..self.capacities.len() {
            self.machines_examined += 1;
            let kind = self.capacities[index].kind;
            if allowed_kinds.get(kind) != Some(&true)
                || (excludes_kept_capacity && self.capacities[index].kept_for_arrivals)
            {
                continue;
            }
            let fitting_tasks = self.with_gang_reservations(index).fitting_tasks(spec, tasks_needed as u64);
            let in_zone = by_zone.entry(self.context.zone(kind)).or_default();
            *in_zone = (*in_zone + fitting_tasks).min(max_in_zone);
            let found = if spec.same_zone { *in_zone } else { by_zone.values().sum() };
            if found >= tasks_needed as u64 {
                return true;
            }
        }
        // A spread gang may have been refused capacity that other jobs may use. For single tasks `allowed_kinds` holds
        // the whole restriction.
        let refused_by_spread = spec.is_gang() && spec.spread;
        if !excludes_kept_capacity && !refused_by_spread {
            self.unfit_anywhere.push(UnfitRequest {
                spec,
                run_time: Duration::ZERO,
                tasks: tasks_needed,
                allowed_kinds,
                needs_accelerated: true,
            });
        }
        false
    }

    /// Returns the free capacity at `index` including what this plan has reserved of it for gangs.
    fn with_gang_reservations(&self, index: usize) -> FreeCapacity<'a> {
        let mut capacity = self.capacities[index];
        for reservation in self.gang_reservations.iter().filter(|reservation| reservation.index == index) {
            (0..reservation.tasks).for_each(|_| capacity.release(reservation.spec));
        }
        capacity
    }
}
