//! Forecast of where and when waiting tasks start, and of the machines to provision where that would be too late.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use super::cheapest_offer::{PricedOffer, find_cheapest_offer};
use super::{CapacityRefusals, MachineDemand, count_machines_by_kind};
use crate::jobs::JobSpec;
use crate::machine_kinds::MachineKind;
use crate::scheduling::backfill;
use crate::scheduling::capacity::{CapacityContext, CapacityOffer, FreeCapacity, JobZones};
use crate::scheduling::cluster::{ClusterState, Machine, MachineState};
use crate::scheduling::forecast::{Slot, Slots, Timeline};
use crate::scheduling::intents::CapacityIntent;
use crate::scheduling::plan::{QueuedJob, Quotas};
use crate::scheduling::promises::feasible_start_slacks_s;

/// Fraction of its slack that a job waits before the cheapest kind of machine is provisioned for it. The fraction grows
/// with the cost of the kind, up to the whole slack. The slack ends at the earliest objective that a new machine can
/// still meet; a job past all of its objectives has its run time as slack.
const SLACK_FRACTION_TO_WAIT: f64 = 0.15;
/// Fraction of the expected arrivals that is planned for. Not planning for the others is cheaper.
const PLANNED_ARRIVALS_FRACTION: f64 = 0.5;
/// Minimum time in seconds by which a new machine must bring the start of a task forward.
const MIN_START_GAIN_S: f64 = 3.0;
/// Time for which declared capacity counts as occupied: longer than the forecast reaches.
const DECLARED_CAPACITY_DURATION: Duration = Duration::from_secs(86_400);
/// Maximum number of tasks placed in one forecast. The others wait for the next forecast.
const MAX_FORECAST_TASKS: usize = 20_000;
/// Maximum part of the tasks that are left of a forecast that one job other than a gang may use.
const MAX_FORECAST_FRACTION_OF_JOB: f64 = 0.75;
/// Maximum number of jobs placed in one forecast.
const MAX_FORECAST_JOBS: usize = 500;
/// Lower bound of the cost to which others are compared by ratio, so that it is never zero.
const MIN_REFERENCE_COST: f64 = 1e-9;

/// Planner that decides job by job which machines to provision.
pub(super) struct ScaleOutPlanner<'a> {
    pub(super) cluster: &'a ClusterState,
    pub(super) context: &'a CapacityContext<'a>,
    /// Number of machines of each kind that were requested and that the cloud has not named yet.
    pub(super) requested: &'a HashMap<MachineKind, u64>,
    /// Machine kind of each offer.
    pub(super) kinds: Vec<Option<MachineKind>>,
    /// Whether each offer is backing off after refusals and is not to be requested for now.
    backing_off: Vec<bool>,
    /// Number of machines held, requested and planned, without those being terminated.
    pub(super) total_machines: u64,
    /// Machines to provision, as decided so far.
    pub(super) planned: BTreeMap<MachineKind, u64>,
    pub(super) quotas: Quotas<'a>,
    tasks_placed: usize,
    jobs_placed: usize,
    pub(super) now: Instant,
}

/// Inputs to the decision whether a machine is provisioned for a waiting job.
struct WaitingJob<'t, 'a> {
    queued: &'t QueuedJob<'a>,
    /// Whether the job's tasks may run on each offer.
    allowed: Vec<bool>,
    /// Seconds until each of the job's objectives for its start.
    start_slacks_s: Vec<f64>,
    /// Cost per task on the cheapest offer, whether the cloud has capacity of it or not.
    min_cost_per_task: f64,
    /// Whether any kind is provisioned without waiting for a cheaper one, because the job's team is below its guarantee
    /// or operators prioritized the job.
    skips_wait: bool,
}

impl<'t, 'a> WaitingJob<'t, 'a> {
    /// Collects the inputs for a queued job whose tasks may run in `zones`.
    fn new(cluster: &ClusterState, context: &CapacityContext<'a>, queued: &'t QueuedJob<'a>, zones: &JobZones) -> Self {
        let job = queued.job;
        let spec = job.spec();
        let allowed = context.allowed_kinds(spec, zones);
        let cheapest = find_cheapest_offer(context, spec, spec.tasks, |index, _| allowed[index]);
        Self {
            queued,
            start_slacks_s: feasible_start_slacks_s(&job.promises, job.agreement.run_time, queued.age),
            min_cost_per_task: cheapest.map_or(f64::INFINITY, |priced| priced.cost_per_task).max(MIN_REFERENCE_COST),
            skips_wait: (cluster.underserved.below_floor.contains_job(spec) && !spec.is_idle()) || queued.prioritized,
            allowed,
        }
    }

    /// Returns the longest forecast wait, in seconds, for which no machine of this boot time and cost is provisioned.
    fn acceptable_wait_s(&self, boot_s: f64, cost_per_task: f64) -> f64 {
        // An objective that even this machine would miss is no reason to provision it.
        let objective_s = self.start_slacks_s.iter().copied().find(|slack_s| *slack_s >= boot_s);
        let slack_s = objective_s.unwrap_or(self.queued.job.agreement.run_time.as_secs_f64());
        let fraction = if self.skips_wait {
            0.0
        } else {
            (SLACK_FRACTION_TO_WAIT * cost_per_task / self.min_cost_per_task).min(1.0)
        };
        slack_s * fraction
    }
}

impl<'a> ScaleOutPlanner<'a> {
    /// Creates a planner that has planned nothing yet.
    pub(super) fn new(
        cluster: &'a ClusterState,
        context: &'a CapacityContext<'a>,
        refusals: &CapacityRefusals,
        requested: &'a HashMap<MachineKind, u64>,
        now: Instant,
    ) -> Self {
        let kinds: Vec<Option<MachineKind>> = context.offers.iter().map(|offer| offer.map(|o| o.kind())).collect();
        let held = count_machines_by_kind(cluster);
        let is_backing_off =
            |kind: &MachineKind| refusals.is_backing_off(kind, held.get(kind).copied().unwrap_or(0), now);
        let backing_off = kinds.iter().map(|kind| kind.as_ref().is_none_or(is_backing_off)).collect();
        let not_terminating = cluster.machines.values().filter(|m| m.state != MachineState::Terminating).count();
        let total_machines =
            not_terminating as u64 + kinds.iter().flatten().filter_map(|kind| requested.get(kind)).sum::<u64>();
        Self {
            cluster,
            context,
            requested,
            kinds,
            backing_off,
            total_machines,
            planned: BTreeMap::new(),
            quotas: Quotas::new(cluster),
            tasks_placed: 0,
            jobs_placed: 0,
            now,
        }
    }

    /// Returns the machines to provision, in ascending order of their kinds.
    pub(super) fn into_demand(self) -> Vec<MachineDemand> {
        self.planned.into_iter().map(|(kind, count)| MachineDemand { kind, count }).collect()
    }

    /// Creates the timelines of the machines that take work and of those requested. With `for_urgent`, the capacity of
    /// idle tasks counts as free.
    pub(super) fn create_timelines(&self, for_urgent: bool) -> Vec<Timeline<'a>> {
        let most_inbound_lost = self.cluster.most_inbound_lost();
        let machines = self.cluster.machines.values().filter(|machine| takes_work(machine, most_inbound_lost));
        let mut timelines: Vec<Timeline> = machines
            .filter_map(|machine| Timeline::from_machine(self.cluster, self.context, machine, for_urgent, self.now))
            .collect();
        for (index, offer) in self.context.offers.iter().enumerate() {
            let requested = self.kinds[index].as_ref().and_then(|kind| self.requested.get(kind));
            let count = requested.copied().unwrap_or(0);
            if let Some(offer) = offer {
                timelines.extend((0..count).map(|_| new_machine_timeline(index, offer)));
            }
        }
        timelines
    }

    /// Places the waiting tasks of these jobs in the forecast, and plans new machines where they would start too late.
    /// Jobs that their team's limit holds back do not count, so that the forecast reaches the jobs behind them.
    pub(super) fn plan_jobs(&mut self, queued_jobs: Vec<QueuedJob<'a>>, timelines: &mut Vec<Timeline<'a>>) {
        for queued in queued_jobs {
            if !self.is_within_quota(&queued) {
                continue;
            }
            self.jobs_placed += 1;
            if self.jobs_placed > MAX_FORECAST_JOBS {
                return;
            }
            self.plan_job(&queued, timelines);
        }
    }

    /// Places the waiting tasks of one job, as [`Self::plan_jobs`] does for several.
    fn plan_job(&mut self, queued: &QueuedJob<'a>, timelines: &mut Vec<Timeline<'a>>) {
        let (context, spec) = (self.context, queued.job.spec());
        let max_tasks_placed = self.tasks_placed + self.max_tasks_of(spec);
        let mut zones = JobZones::new(self.cluster, queued.job);
        let waiting = WaitingJob::new(self.cluster, context, queued, &zones);
        let mut slots = Slots::new(timelines, queued.job, &waiting.allowed);
        let mut unplaced = self.cluster.intents.placeable_tasks(queued.id, queued.job) as u64;
        // Cached; searched again once a machine is provisioned or the allowed zones change.
        let mut cheapest: Option<Option<PricedOffer>> = None;
        while unplaced > 0 && self.tasks_placed < max_tasks_placed && self.may_place_task(spec) {
            self.tasks_placed += 1;
            let existing = slots.peek_earliest(timelines, context, &zones);
            let is_candidate = |index: usize, offer: &CapacityOffer| {
                self.is_requestable(&waiting.allowed, index) && zones.allows(offer.zone)
            };
            let priced = *cheapest.get_or_insert_with(|| find_cheapest_offer(context, spec, unplaced, is_candidate));
            let slot = match priced.filter(|priced| self.is_worth_provisioning(&waiting, priced, existing)) {
                Some(priced) => {
                    self.plan_new_machine(&priced, timelines, &mut slots);
                    cheapest = None;
                    slots.peek_earliest(timelines, context, &zones)
                }
                None => existing,
            };
            let Some(slot) = slot else { break };
            if zones.restricts_zones() {
                zones.add_task(context.zone(timelines[slot.timeline].capacity.kind));
                cheapest = None;
            }
            slots.occupy(timelines, slot);
            self.quotas.add_usage(spec, 1.0);
            unplaced -= 1;
        }
    }

    /// Places the capacity that operators have declared. Where it would not be available in time, machines are
    /// provisioned just early enough to boot and to fetch the image. Declared capacity counts as occupied for
    /// everything planned afterwards.
    pub(super) fn plan_declared_capacity(&mut self, timelines: &mut Vec<Timeline<'a>>) {
        let mut declared: Vec<&CapacityIntent> = self.cluster.intents.capacity.iter().collect();
        declared.sort_by(|a, b| a.needed_in_s.total_cmp(&b.needed_in_s));
        for intent in declared {
            self.plan_capacity_intent(intent, timelines);
        }
    }

    /// Places the capacity of one declaration, as [`Self::plan_declared_capacity`] does for all.
    fn plan_capacity_intent(&mut self, intent: &'a CapacityIntent, timelines: &mut Vec<Timeline<'a>>) {
        let (context, spec, zones) = (self.context, &intent.task_spec, JobZones::without_tasks(&intent.task_spec));
        let mut job = self.cluster.hypothetical_job(spec, self.now);
        // All of it is needed at the same time, so that no slot may be used twice.
        job.agreement.run_time = DECLARED_CAPACITY_DURATION;
        let allowed = context.allowed_kinds(spec, &zones);
        let mut slots = Slots::new(timelines, &job, &allowed);
        for placed in 0..intent.tasks {
            if !self.may_place_task(spec) {
                break;
            }
            self.tasks_placed += 1;
            let existing = slots.peek_earliest(timelines, context, &zones);
            let is_candidate = |index: usize, _: &CapacityOffer| self.is_requestable(&allowed, index);
            let priced = find_cheapest_offer(context, spec, intent.tasks - placed, is_candidate);
            if let Some(priced) = priced.filter(|priced| self.is_due_for_intent(intent, priced, existing)) {
                self.plan_new_machine(&priced, timelines, &mut slots);
            }
            let Some(mut slot) = slots.peek_earliest(timelines, context, &zones) else { break };
            slot.start_s = slot.start_s.max(intent.needed_in_s);
            slots.occupy(timelines, slot);
            self.quotas.add_usage(spec, 1.0);
        }
    }

    /// Whether the team's limit allows one more task of the job, or all tasks of a gang.
    fn is_within_quota(&self, queued: &QueuedJob) -> bool {
        let spec = queued.job.spec();
        self.quotas.allows(spec, if spec.is_gang() { spec.tasks as f64 } else { 1.0 })
    }

    /// Returns how many tasks of a job are placed at the most: a part of what is left of the forecast, so that it reaches
    /// the jobs behind a very large one. A gang starts whole or not at all.
    fn max_tasks_of(&self, spec: &JobSpec) -> usize {
        let left = MAX_FORECAST_TASKS.saturating_sub(self.tasks_placed);
        if spec.is_gang() { left } else { (left as f64 * MAX_FORECAST_FRACTION_OF_JOB).ceil() as usize }
    }

    /// Whether the limits of the forecast and of the job's team allow one more task.
    fn may_place_task(&self, spec: &JobSpec) -> bool {
        self.tasks_placed < MAX_FORECAST_TASKS && self.quotas.allows(spec, 1.0)
    }

    /// Whether machines of an allowed offer may be requested now.
    pub(super) fn is_requestable(&self, allowed: &[bool], index: usize) -> bool {
        allowed[index] && !self.backing_off[index]
    }

    /// Whether the fleet is smaller than the limit that operators set.
    pub(super) fn fleet_may_grow(&self) -> bool {
        self.total_machines < self.cluster.properties.max_machines as u64
    }

    /// Whether a new machine would start the job's next task so much earlier than the existing ones that it is worth
    /// its price.
    fn is_worth_provisioning(&self, waiting: &WaitingJob, priced: &PricedOffer, existing: Option<Slot>) -> bool {
        let start_s = seconds_until_start(existing);
        let boot_s = priced.offer.machine_type.boot_s;
        self.fleet_may_grow()
            && start_s > waiting.acceptable_wait_s(boot_s, priced.cost_per_task)
            && boot_s + MIN_START_GAIN_S < start_s
            && self.idle_work_may_have(waiting.queued, priced, waiting.min_cost_per_task)
    }

    /// Whether the rules for idle work let this machine be provisioned for the job. `min_cost_per_task`: the cost per
    /// task on the cheapest offer that the job allows.
    pub(super) fn idle_work_may_have(&self, queued: &QueuedJob, priced: &PricedOffer, min_cost_per_task: f64) -> bool {
        let relative_cost = priced.cost_per_task / min_cost_per_task.max(MIN_REFERENCE_COST);
        let overdue = queued.age > queued.job.agreement.run_time;
        let max_relative_cost = self.cluster.properties.max_idle_price_ratio;
        let spec = queued.job.spec();
        let needs_accelerated = self.context.idle_work_needs_accelerated_machine(spec);
        backfill::idle_permissions(spec, &priced.offer, relative_cost, max_relative_cost, overdue, needs_accelerated)
            .provision
    }

    /// Whether a machine has to be requested now to be ready when the declared capacity is needed.
    fn is_due_for_intent(&self, intent: &CapacityIntent, priced: &PricedOffer, existing: Option<Slot>) -> bool {
        let start_s = seconds_until_start(existing);
        let machine_type = priced.offer.machine_type;
        let fetch_s = intent.task_spec.image_gb / machine_type.fetch_gb_per_s.max(0.001);
        start_s > intent.needed_in_s
            && machine_type.boot_s + MIN_START_GAIN_S < start_s
            && intent.needed_in_s <= machine_type.boot_s + fetch_s
            && self.fleet_may_grow()
    }

    /// Plans a new machine, and adds it to the forecast.
    fn plan_new_machine(&mut self, priced: &PricedOffer<'a>, timelines: &mut Vec<Timeline<'a>>, slots: &mut Slots) {
        timelines.push(new_machine_timeline(priced.index, &priced.offer));
        slots.add_timeline(timelines, timelines.len() - 1);
        *self.planned.entry(priced.offer.kind()).or_default() += 1;
        self.total_machines += 1;
    }
}

/// Returns the seconds until a task could start in the slot, infinity if there is none.
fn seconds_until_start(existing: Option<Slot>) -> f64 {
    existing.map_or(f64::INFINITY, |slot| slot.start_s)
}

/// Whether the machine counts as capacity. A machine that does not receive this controller's messages takes no work,
/// and a machine that only old heartbeats mention may not exist. If most machines receive no messages, new ones would
/// not receive any either, so that these machines count nevertheless.
pub(super) fn takes_work(machine: &Machine, most_inbound_lost: bool) -> bool {
    !matches!(machine.state, MachineState::Terminating | MachineState::Draining)
        && machine.recall_at.is_none()
        && machine.confirmed
        && (!machine.inbound_lost || most_inbound_lost)
}

/// Creates the timeline of a machine that is provisioned now.
fn new_machine_timeline<'a>(index: usize, offer: &CapacityOffer<'a>) -> Timeline<'a> {
    Timeline::new(FreeCapacity::empty(offer.machine_type, index), offer.machine_type.boot_s)
}

/// Places the arrivals that are expected during the boot time of a machine, each task at the time of its arrival.
pub(super) fn place_expected_arrivals<'a>(
    cluster: &'a ClusterState,
    context: &CapacityContext<'a>,
    timelines: &mut [Timeline<'a>],
    now: Instant,
) {
    for arrivals in cluster.arrivals.values() {
        let Some(job) = cluster.representative_job(arrivals).filter(|job| !job.spec().is_idle()) else { continue };
        let zones = JobZones::without_tasks(job.spec());
        let allowed = context.allowed_kinds(job.spec(), &zones);
        let boot_s = context.longest_boot_s(&allowed);
        let per_second = arrivals.tasks_per_second(now) * PLANNED_ARRIVALS_FRACTION;
        let expected = (per_second * boot_s).min(MAX_FORECAST_TASKS as f64 / 4.0) as u64;
        let mut slots = Slots::new(timelines, job, &allowed);
        for n in 0..expected {
            let Some(mut slot) = slots.peek_earliest(timelines, context, &zones) else { break };
            slot.start_s = slot.start_s.max(n as f64 / per_second);
            if slot.start_s > boot_s {
                break;
            }
            slots.occupy(timelines, slot);
        }
    }
}
