//! Forecasts where and when waiting tasks start, and provisions machines where that is too late.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use super::cheapest_offer::{PricedOffer, cheapest_offer};
use super::{CapacityRefusals, MachineDemand, machines_by_kind};
use crate::jobs::JobSpec;
use crate::machine_kinds::MachineKind;
use crate::scheduling::backfill;
use crate::scheduling::capacity::{CapacityContext, CapacityOffer, FreeCapacity, JobZones};
use crate::scheduling::cluster::{ClusterState, Machine, MachineState};
use crate::scheduling::forecast::{Slot, Slots, Timeline};
use crate::scheduling::intents::CapacityIntent;
use crate::scheduling::plan::{QueuedJob, Quotas};
use crate::scheduling::promises::feasible_start_slacks_s;

/// The earliest objective that a new machine can still meet sets the slack of waiting work; work past all of them has
/// its own run time as slack. It waits for this part of its slack before the cheapest kind of machine is provisioned
/// for it, and the longer the dearer the kind, up to all of its slack.
const PATIENCE: f64 = 0.15;
/// The part of the expected arrivals that is planned for; the rest is left to chance, which is cheaper.
const EXPECTED_PART: f64 = 0.5;
/// A new machine must bring the start forward by at least this many seconds.
const LEAST_GAIN_S: f64 = 3.0;
/// Declared capacity is held for this long: longer than the forecast reaches.
const CAPACITY_HELD_FOR: Duration = Duration::from_secs(86_400);
/// Most tasks placed in one forecast; the rest waits for the next one.
const MOST_TASKS: usize = 20_000;
/// Most jobs placed in one forecast.
const MOST_JOBS: usize = 500;
/// Stands for the lowest cost where that is zero, so that costs can be compared by their ratio.
const LEAST_COST: f64 = 1e-9;

/// The machines to provision, found job by job.
pub(super) struct ScaleOutPlanner<'a> {
    cluster: &'a ClusterState,
    ground: &'a CapacityContext<'a>,
    /// Machines requested and not named by the cloud yet.
    requested: &'a HashMap<MachineKind, u64>,
    /// Kind of each offer.
    kinds: Vec<Option<MachineKind>>,
    /// Whether each offer is not to be requested for now.
    backing_off: Vec<bool>,
    /// Number of machines held, requested and planned.
    total: u64,
    planned: BTreeMap<MachineKind, u64>,
    quotas: Quotas<'a>,
    tasks_placed: usize,
    jobs_placed: usize,
    now: Instant,
}

/// What decides whether a machine is provisioned for a waiting job.
struct WaitingJob<'t, 'a> {
    turn: &'t QueuedJob<'a>,
    spec: &'a JobSpec,
    /// Offers on which its tasks may run.
    open: Vec<bool>,
    /// Seconds until each of its objectives for the start.
    starts_left_s: Vec<f64>,
    /// Cost of a task on the cheapest offer, whether that has capacity or not.
    least_cost: f64,
    /// Waits for no cheaper kind: its team is below its guarantee, or operators put it ahead.
    impatient: bool,
}

impl<'t, 'a> WaitingJob<'t, 'a> {
    fn new(cluster: &ClusterState, ground: &CapacityContext<'a>, turn: &'t QueuedJob<'a>, zones: &JobZones) -> Self {
        let job = turn.job;
        let spec = job.spec();
        let open = ground.allowed_kinds(spec, zones);
        let cheapest = cheapest_offer(ground, spec, spec.tasks, |index, _| open[index]);
        Self {
            turn,
            spec,
            starts_left_s: feasible_start_slacks_s(&job.promises, job.agreement.run_time, turn.age),
            least_cost: cheapest.map_or(f64::INFINITY, |priced| priced.cost_per_task).max(LEAST_COST),
            impatient: (cluster.underserved.below_floor.contains_job(spec) && !spec.is_idle()) || turn.prioritized,
            open,
        }
    }

    /// How long the job can wait before a machine that boots in `boot_s` is provisioned, in seconds.
    fn bearable_wait_s(&self, boot_s: f64, cost_per_task: f64) -> f64 {
        // An objective that not even this machine would meet is no reason to pay for it.
        let objective = self.starts_left_s.iter().copied().find(|left_s| *left_s >= boot_s);
        let slack_s = objective.unwrap_or(self.turn.job.agreement.run_time.as_secs_f64());
        let patience = if self.impatient { 0.0 } else { (PATIENCE * cost_per_task / self.least_cost).min(1.0) };
        slack_s * patience
    }
}

impl<'a> ScaleOutPlanner<'a> {
    pub(super) fn new(
        cluster: &'a ClusterState,
        ground: &'a CapacityContext<'a>,
        refusals: &CapacityRefusals,
        requested: &'a HashMap<MachineKind, u64>,
        now: Instant,
    ) -> Self {
        let kinds: Vec<Option<MachineKind>> = ground.offers.iter().map(|offer| offer.map(|o| o.kind())).collect();
        let held = machines_by_kind(cluster);
        let is_backing_off =
            |kind: &MachineKind| refusals.is_backing_off(kind, held.get(kind).copied().unwrap_or(0), now);
        let backing_off = kinds.iter().map(|kind| kind.as_ref().is_none_or(is_backing_off)).collect();
        let not_terminating = cluster.machines.values().filter(|m| m.state != MachineState::Terminating).count();
        let total = not_terminating as u64 + kinds.iter().flatten().filter_map(|kind| requested.get(kind)).sum::<u64>();
        Self {
            cluster,
            ground,
            requested,
            kinds,
            backing_off,
            total,
            planned: BTreeMap::new(),
            quotas: Quotas::new(cluster),
            tasks_placed: 0,
            jobs_placed: 0,
            now,
        }
    }

    /// The machines to provision, in ascending order of their kinds.
    pub(super) fn into_demand(self) -> Vec<MachineDemand> {
        self.planned.into_iter().map(|(kind, count)| MachineDemand { kind, count }).collect()
    }

    /// Forecasts of the machines that take work and of those requested.
    pub(super) fn timelines(&self, for_urgent: bool) -> Vec<Timeline<'a>> {
        let most_inbound_lost = self.cluster.most_inbound_lost();
        let machines = self.cluster.machines.values().filter(|machine| takes_work(machine, most_inbound_lost));
        let mut timelines: Vec<Timeline> = machines
            .filter_map(|machine| Timeline::from_machine(self.cluster, self.ground, machine, for_urgent, self.now))
            .collect();
        for (index, offer) in self.ground.offers.iter().enumerate() {
            let requested = self.kinds[index].as_ref().and_then(|kind| self.requested.get(kind));
            let count = requested.copied().unwrap_or(0);
            if let Some(offer) = offer {
                timelines.extend((0..count).map(|_| new_machine(index, offer)));
            }
        }
        timelines
    }

    /// Places the waiting tasks of these jobs in the forecast, and provisions machines where they would start too late.
    pub(super) fn plan_jobs(&mut self, turns: Vec<QueuedJob<'a>>, timelines: &mut Vec<Timeline<'a>>) {
        for turn in turns {
            self.jobs_placed += 1;
            if self.jobs_placed > MOST_JOBS {
                return;
            }
            self.plan_job(&turn, timelines);
        }
    }

    fn plan_job(&mut self, turn: &QueuedJob<'a>, timelines: &mut Vec<Timeline<'a>>) {
        let (ground, spec) = (self.ground, turn.job.spec());
        if spec.is_gang() && !self.quotas.allows(spec, spec.tasks as f64) {
            return;
        }
        let mut zones = JobZones::new(self.cluster, turn.job);
        let waiting = WaitingJob::new(self.cluster, ground, turn, &zones);
        let mut slots = Slots::new(timelines, turn.job, &waiting.open);
        let mut missing = self.cluster.intents.placeable_tasks(turn.id, turn.job) as u64;
        // Searched again once a machine is provisioned or the allowed zones change.
        let mut cheapest: Option<Option<PricedOffer>> = None;
        while missing > 0 && self.may_place_task(spec) {
            self.tasks_placed += 1;
            let existing = slots.peek_earliest(timelines, ground, &zones);
            let is_open = |index: usize, offer: &CapacityOffer| {
                self.is_requestable(&waiting.open, index) && zones.allows(offer.zone)
            };
            let priced = *cheapest.get_or_insert_with(|| cheapest_offer(ground, spec, missing, is_open));
            let slot = match priced.filter(|priced| self.is_worth_provisioning(&waiting, priced, existing)) {
                Some(priced) => {
                    self.provision(&priced, timelines, &mut slots);
                    cheapest = None;
                    slots.peek_earliest(timelines, ground, &zones)
                }
                None => existing,
            };
            let Some(slot) = slot else { break };
            if zones.restricts_zones() {
                zones.add_task(ground.zone(timelines[slot.timeline].capacity.kind));
                cheapest = None;
            }
            slots.occupy(timelines, slot);
            self.quotas.add_usage(spec, 1.0);
            missing -= 1;
        }
    }

    /// Places the capacity that operators have declared. What would not be available in time is provisioned as late as
    /// a machine takes to boot and to fetch its image, and counts as taken for everything planned afterwards.
    pub(super) fn plan_declared_capacity(&mut self, timelines: &mut Vec<Timeline<'a>>) {
        let mut declared: Vec<&CapacityIntent> = self.cluster.intents.capacity.iter().collect();
        declared.sort_by(|a, b| a.needed_in_s.total_cmp(&b.needed_in_s));
        for intent in declared {
            self.plan_capacity_intent(intent, timelines);
        }
    }

    fn plan_capacity_intent(&mut self, intent: &'a CapacityIntent, timelines: &mut Vec<Timeline<'a>>) {
        let (ground, spec, zones) = (self.ground, &intent.task_spec, JobZones::without_tasks(&intent.task_spec));
        let mut job = self.cluster.hypothetical_job(spec, self.now);
        // All of it is needed at one time, so no place counts twice.
        job.agreement.run_time = CAPACITY_HELD_FOR;
        let open = ground.allowed_kinds(spec, &zones);
        let mut slots = Slots::new(timelines, &job, &open);
        for placed in 0..intent.tasks {
            if !self.may_place_task(spec) {
                break;
            }
            self.tasks_placed += 1;
            let existing = slots.peek_earliest(timelines, ground, &zones);
            let is_open = |index: usize, _: &CapacityOffer| self.is_requestable(&open, index);
            let priced = cheapest_offer(ground, spec, intent.tasks - placed, is_open);
            if let Some(priced) = priced.filter(|priced| self.is_due_for_intent(intent, priced, existing)) {
                self.provision(&priced, timelines, &mut slots);
            }
            let Some(mut slot) = slots.peek_earliest(timelines, ground, &zones) else { break };
            slot.start_s = slot.start_s.max(intent.needed_in_s);
            slots.occupy(timelines, slot);
            self.quotas.add_usage(spec, 1.0);
        }
    }

    /// Whether the limits of the forecast and of the job's team allow one more task.
    fn may_place_task(&self, spec: &JobSpec) -> bool {
        self.tasks_placed < MOST_TASKS && self.quotas.allows(spec, 1.0)
    }

    fn is_requestable(&self, open: &[bool], index: usize) -> bool {
        open[index] && !self.backing_off[index]
    }

    fn fleet_may_grow(&self) -> bool {
        self.total < self.cluster.properties.most_machines as u64
    }

    /// Whether a new machine starts the job's next task so much earlier than the existing ones that it pays.
    fn is_worth_provisioning(&self, waiting: &WaitingJob, priced: &PricedOffer, existing: Option<Slot>) -> bool {
        let start_s = start_in_s(existing);
        let boot_s = priced.offer.machine_type.boot_s;
        let relative_cost = priced.cost_per_task / waiting.least_cost;
        let overdue = waiting.turn.age > waiting.turn.job.agreement.run_time;
        let most_dear = self.cluster.properties.idle_dearer;
        self.fleet_may_grow()
            && start_s > waiting.bearable_wait_s(boot_s, priced.cost_per_task)
            && boot_s + LEAST_GAIN_S < start_s
            && backfill::idle_permissions(waiting.spec, &priced.offer, relative_cost, most_dear, overdue).rent
    }

    /// Whether a machine has to be requested now to be ready when the declared capacity is needed.
    fn is_due_for_intent(&self, intent: &CapacityIntent, priced: &PricedOffer, existing: Option<Slot>) -> bool {
        let start_s = start_in_s(existing);
        let machine_type = priced.offer.machine_type;
        let fetch_s = intent.task_spec.image_gb / machine_type.fetch_gb_per_s.max(0.001);
        start_s > intent.needed_in_s
            && machine_type.boot_s + LEAST_GAIN_S < start_s
            && intent.needed_in_s <= machine_type.boot_s + fetch_s
            && self.fleet_may_grow()
    }

    fn provision(&mut self, priced: &PricedOffer<'a>, timelines: &mut Vec<Timeline<'a>>, slots: &mut Slots) {
        timelines.push(new_machine(priced.index, &priced.offer));
        slots.add_timeline(timelines, timelines.len() - 1);
        *self.planned.entry(priced.offer.kind()).or_default() += 1;
        self.total += 1;
    }
}

/// Seconds until a task could start on the machines there are.
fn start_in_s(existing: Option<Slot>) -> f64 {
    existing.map_or(f64::INFINITY, |slot| slot.start_s)
}

/// Whether the machine will take work. One that does not hear this controller takes none, nor may one exist that only
/// old heartbeats tell of. Where most machines do not hear, new ones would not either, so that they count.
fn takes_work(machine: &Machine, most_inbound_lost: bool) -> bool {
    !matches!(machine.state, MachineState::Terminating | MachineState::Draining)
        && machine.recall_at.is_none()
        && machine.confirmed
        && (!machine.inbound_lost || most_inbound_lost)
}

fn new_machine<'a>(index: usize, offer: &CapacityOffer<'a>) -> Timeline<'a> {
    Timeline::new(FreeCapacity::empty(offer.machine_type, index), offer.machine_type.boot_s)
}

/// Places the arrivals that are expected while a machine would boot, each task at the time when it comes.
pub(super) fn place_expected_arrivals<'a>(
    cluster: &'a ClusterState,
    ground: &CapacityContext<'a>,
    timelines: &mut [Timeline<'a>],
    now: Instant,
) {
    for arrivals in cluster.arrivals.values() {
        let Some(like) = cluster.representative_job(arrivals).filter(|job| !job.spec().is_idle()) else { continue };
        let zones = JobZones::without_tasks(like.spec());
        let open = ground.allowed_kinds(like.spec(), &zones);
        let within_s = ground.longest_boot_s(&open);
        let per_second = arrivals.tasks_per_second(now) * EXPECTED_PART;
        let expected = (per_second * within_s).min(MOST_TASKS as f64 / 4.0) as u64;
        let mut slots = Slots::new(timelines, like, &open);
        for n in 0..expected {
            let Some(mut slot) = slots.peek_earliest(timelines, ground, &zones) else { break };
            slot.start_s = slot.start_s.max(n as f64 / per_second);
            if slot.start_s > within_s {
                break;
            }
            slots.occupy(timelines, slot);
        }
    }
}
