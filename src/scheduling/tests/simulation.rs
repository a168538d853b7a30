//! A simulation in fixed steps in which time passes, leases expire and the cluster state decides by itself. It checks
//! these rules at every step: team limits, zone constraints, and that cancelled tasks are gone by the cancellation
//! deadline (docs/combined-faults.md).

use std::collections::BTreeMap;

use super::world::*;
use super::*;
use crate::jobs::JobId;
use crate::scheduling::capacity::{AMOUNT_TOLERANCE, JobZones, allows_kind};
use crate::scheduling::cluster::DirectCommand;

/// Length of one step in seconds.
pub(super) const STEP_S: f64 = 0.5;
/// Steps from one heartbeat of a worker to its next.
pub(super) const HEARTBEAT_INTERVAL_STEPS: usize = 6;

/// Whether a machine that is draining as a scale-in candidate counts as capacity. It is usable for as long as the machine
/// exists, since the drain can be cancelled.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum DrainingCapacity {
    Excluded,
    IncludedIfScaleInCandidate,
}

/// One leader at a time, and the faults between it, its workers, the store and the cloud.
pub(super) struct Simulation {
    pub(super) world: World,
    pub(super) cluster: ClusterState,
    pub(super) steps: usize,
    /// Workers whose heartbeats are lost.
    pub(super) outbound_lost: Vec<&'static str>,
    /// Workers that refuse the connections for direct commands.
    pub(super) commands_refused: Vec<&'static str>,
    /// Paused workers: they send nothing, and direct commands are queued until they resume.
    pub(super) paused: Vec<&'static str>,
    /// Direct commands queued at paused workers.
    pub(super) undelivered_commands: Vec<DirectCommand>,
    /// Workers whose heartbeats arrive, while answers and commands to them are lost.
    pub(super) inbound_lost: Vec<&'static str>,
    /// Whether the cloud terminates machines when asked.
    pub(super) cloud_available: bool,
    /// Whether the store accepts writes.
    pub(super) store_available: bool,
    /// Whether the leader places tasks by its own plans.
    pub(super) places_tasks: bool,
    /// When each cancelled job was cancelled.
    pub(super) cancelled_at: BTreeMap<JobId, Instant>,
    /// Number of live attempts that ended with an expired lease.
    pub(super) tasks_lost_with_leases: usize,
    /// Machines that were terminated, in order.
    pub(super) terminated: Vec<&'static str>,
}

impl Simulation {
    /// A simulation of machines given as (name, zone), and of a first job, which `change` adjusts.
    pub(super) fn new(machines: &[(&'static str, &'static str)], change: impl FnOnce(&mut JobSpec)) -> Self {
        let names: Vec<&'static str> = machines.iter().map(|(m, _)| *m).collect();
        let mut world = World::new(&names, change);
        for (m, zone) in machines {
            world.workers.get_mut(m).unwrap().zone = zone;
        }
        let cluster = world.elect_leader();
        let mut simulation = Self {
            world,
            cluster,
            steps: 0,
            outbound_lost: Vec::new(),
            commands_refused: Vec::new(),
            paused: Vec::new(),
            undelivered_commands: Vec::new(),
            inbound_lost: Vec::new(),
            cloud_available: true,
            store_available: true,
            places_tasks: false,
            cancelled_at: BTreeMap::new(),
            tasks_lost_with_leases: 0,
            terminated: Vec::new(),
        };
        // All workers have reported and have received an answer of the leader.
        for _ in 0..2 {
            for m in &names {
                simulation.exchange_heartbeat(m);
            }
        }
        simulation
    }

    /// Sends a worker's heartbeat to the leader and delivers the answer, unless answers to this worker are lost.
    pub(super) fn exchange_heartbeat(&mut self, m: &'static str) {
        let answer = self.world.send_heartbeat(&mut self.cluster, m);
        if !self.inbound_lost.contains(&m) {
            self.world.receive_answer(&answer);
        }
    }

    /// Sends heartbeats of these workers to a deposed leader and delivers its answers.
    pub(super) fn exchange_heartbeats_with_deposed(&mut self, deposed: &mut ClusterState, machines: &[&'static str]) {
        for m in machines {
            if !self.world.workers[m].terminated {
                let answer = self.world.send_heartbeat(deposed, m);
                self.world.receive_answer(&answer);
            }
        }
    }

    /// Runs steps for this many seconds.
    pub(super) fn run(&mut self, seconds: f64) {
        for _ in 0..(seconds / STEP_S) as usize {
            self.step();
        }
    }

    /// Runs one step: leases, queued commands, heartbeats, direct commands, the leader's decisions, and the checks.
    pub(super) fn step(&mut self) {
        self.world.now += secs(STEP_S);
        self.steps += 1;
        let (now, lease) = (self.world.now, self.cluster.settings.params.workers.lease());
        let names: Vec<&'static str> = self.world.workers.keys().copied().collect();
        for m in &names {
            let worker = self.world.workers.get_mut(m).unwrap();
            if !worker.terminated && now - *worker.lease_renewed_at.get_or_insert(now) > lease {
                self.tasks_lost_with_leases +=
                    worker.attempts.iter().filter(|report| report.status != AttemptStatus::Exited).count();
                self.world.expire_lease(m);
            }
        }
        let paused = self.paused.clone();
        let (resumed, still_paused) =
            std::mem::take(&mut self.undelivered_commands).into_iter().partition(|d| !paused.contains(&&*d.machine));
        self.undelivered_commands = still_paused;
        let resumed: Vec<DirectCommand> = resumed;
        for direct in resumed {
            // The reply is dropped, since the command has timed out at its sender.
            drop(self.world.deliver_command(&direct));
        }
        for (n, m) in names.iter().enumerate() {
            let silent = self.world.workers[m].terminated || self.outbound_lost.contains(m) || paused.contains(m);
            if (self.steps + n).is_multiple_of(HEARTBEAT_INTERVAL_STEPS) && !silent {
                self.exchange_heartbeat(m);
            }
        }
        for direct in self.cluster.direct_commands(now) {
            let m = &*direct.machine;
            if self.commands_refused.contains(&m) {
                self.cluster.finish_direct_command(&direct.machine, direct.fencing_token, true, now);
            } else if paused.contains(&m) || self.inbound_lost.contains(&m) {
                self.cluster.finish_direct_command(&direct.machine, direct.fencing_token, false, now);
                if paused.contains(&m) {
                    self.undelivered_commands.push(direct);
                }
            } else if let Some(reply) = self.world.deliver_command(&direct) {
                self.world.deliver_reply(&mut self.cluster, &direct, reply);
            } else {
                self.cluster.finish_direct_command(&direct.machine, direct.fencing_token, true, now);
            }
        }
        self.cluster.tick(now);
        if self.cloud_available {
            let to_terminate: Vec<&'static str> =
                names.iter().copied().filter(|m| terminating_machines(&self.cluster).contains(m)).collect();
            for m in to_terminate {
                self.world.terminate_machine(&mut self.cluster, m);
                self.terminated.push(m);
            }
        }
        if self.store_available {
            self.world.raise_fencing_token_if_needed(&mut self.cluster);
        }
        if self.places_tasks && self.cluster.loaded {
            let decisions = plan::place(&mut self.cluster, &catalog(), now);
            self.cluster.bind_placements(decisions, now);
        }
        if self.store_available {
            self.world.store_all(&mut self.cluster);
        }
        self.check();
    }

    /// Replaces the leader by a new one, which has loaded the store and the cloud's machine list.
    pub(super) fn fail_over(&mut self) {
        self.cluster = self.world.elect_leader();
        self.load_machine_list();
    }

    /// Reports all machines that are not terminated to the leader, as the cloud's machine list does.
    pub(super) fn load_machine_list(&mut self) {
        for (m, worker) in self.world.workers.iter().filter(|(_, worker)| !worker.terminated) {
            let kind = MachineKind { type_name: worker.type_name.into(), zone: worker.zone.into(), spot: false };
            self.cluster.expect_machine(m, &kind, Some("127.0.0.1:9"), secs(900.0), self.world.now);
            self.cluster.record_listed_up(m, self.world.now);
        }
    }

    /// Cancels a job; from now on its cancellation deadline is checked.
    pub(super) fn cancel_job(&mut self, id: &JobId) {
        self.world.cancel_job(&mut self.cluster, id);
        self.cancelled_at.insert(id.clone(), self.world.now);
    }

    /// Returns the live tasks of a job with their machines, including machines that are paused or unreachable.
    pub(super) fn live_tasks(&self, id: &JobId) -> Vec<(u32, &'static str)> {
        let mut live = Vec::new();
        for (m, worker) in self.world.workers.iter().filter(|(_, worker)| !worker.terminated) {
            let attempts = worker
                .attempts
                .iter()
                .filter(|report| report.task.job == *id && report.status != AttemptStatus::Exited);
            live.extend(attempts.map(|report| (report.task.index, *m)));
        }
        live.sort_unstable();
        live
    }

    /// Returns the cores of all live tasks of a team.
    pub(super) fn cores_in_use(&self, team: &str) -> f64 {
        let attempts =
            self.world.workers.values().filter(|worker| !worker.terminated).flat_map(|worker| &worker.attempts);
        let live = attempts
            .filter(|report| report.status != AttemptStatus::Exited)
            .map(|report| self.world.spec_of(&report.task.job));
        live.filter(|spec| spec.team == team).map(|spec| spec.cpus).sum()
    }

    /// Checks the rules `quota`, `wrong_place` and `ran_cancelled`. The world checks the others at every start of a
    /// task.
    pub(super) fn check(&self) {
        for team in self.world.settings.params.teams.iter().filter(|team| team.cpus_max > 0.0) {
            let cores = self.cores_in_use(&team.name);
            assert!(cores <= team.cpus_max, "{} is above its limit: {cores}", team.name);
        }
        let cancellation_deadline = self.cluster.settings.params.workers.cancellation_deadline();
        for (id, at) in &self.cancelled_at {
            let live = self.live_tasks(id);
            let age = self.world.now - *at;
            assert!(
                live.is_empty() || age <= cancellation_deadline,
                "{id} was cancelled {age:?} ago and still runs: {live:?}"
            );
        }
        for id in self.world.other_jobs.keys().cloned().chain([JOB.into()]) {
            let spec = self.world.spec_of(&id);
            let mut zones: BTreeMap<&str, u64> = BTreeMap::new();
            for (_, m) in self.live_tasks(&id) {
                *zones.entry(self.world.workers[m].zone).or_default() += 1;
            }
            assert!(!spec.same_zone || zones.len() <= 1, "{id} is in several zones: {zones:?}");
            let half = spec.tasks.div_ceil(2);
            assert!(
                !spec.spread || zones.values().all(|n| *n <= half),
                "{id} has more than half of its tasks in one zone: {zones:?}"
            );
            assert!(
                spec.zone.as_ref().is_none_or(|only| zones.keys().all(|z| *z == only)),
                "{id} runs outside its zone: {zones:?}"
            );
        }
    }
}

/// Capacity of a machine that is neither used nor bound.
#[derive(Clone, Copy)]
struct FreeCapacity {
    cpus: f64,
    gpus: f64,
    memory_gb: f64,
}

impl FreeCapacity {
    fn fits(self, spec: &JobSpec) -> bool {
        spec.cpus <= self.cpus + AMOUNT_TOLERANCE
            && spec.gpus <= self.gpus + AMOUNT_TOLERANCE
            && spec.memory_gb <= self.memory_gb + AMOUNT_TOLERANCE
    }

    fn subtract(&mut self, spec: &JobSpec) {
        self.cpus -= spec.cpus;
        self.gpus -= spec.gpus;
        self.memory_gb -= spec.memory_gb;
    }
}

impl Simulation {
    /// Returns the capacity of a machine minus what runs on it and what is bound to it. `None` if the machine takes no
    /// work.
    fn free_capacity(&self, m: &str, draining: DrainingCapacity) -> Option<FreeCapacity> {
        let worker = &self.world.workers[m];
        let machine = self.cluster.machines.get(m)?;
        let stays = machine.state == MachineState::Up
            || (draining == DrainingCapacity::IncludedIfScaleInCandidate
                && machine.state == MachineState::Draining
                && machine.scale_in_candidate);
        if worker.terminated || !stays || machine.recall_at.is_some() {
            return None;
        }
        let machine_type = catalog().get(worker.type_name)?.clone();
        let taken = machine.allocated();
        let mut left = FreeCapacity {
            cpus: machine_type.cpus - taken.cpus,
            gpus: machine_type.gpus - taken.gpus,
            memory_gb: machine_type.memory_gb - taken.memory_gb,
        };
        let live = worker.attempts.iter().filter(|report| report.status != AttemptStatus::Exited);
        for unbound in live.filter(|report| !machine.bound.contains(&report.task)) {
            left.subtract(self.world.spec_of(&unbound.task.job));
        }
        Some(left)
    }

    /// Whether a job could start now with the free capacity: one task of an array or a service, all tasks of a gang.
    pub(super) fn could_start(&self, id: &JobId, draining: DrainingCapacity) -> bool {
        let Some(job) = self.cluster.job(id) else { return false };
        let spec = job.spec();
        let gang = spec.is_gang();
        if job.waiting.is_empty() || job.ended.is_some() || job.is_complete() || (gang && !job.bound.is_empty()) {
            return false;
        }
        let needed = if gang { job.waiting.len() } else { 1 };
        if !plan::Quotas::new(&self.cluster).allows(spec, needed as f64) {
            return false;
        }
        let zones: &[&[&str]] = if spec.same_zone { &[&["a"], &["b"]] } else { &[&["a", "b"]] };
        zones.iter().any(|zones| {
            let mut zone_limits = JobZones::new(&self.cluster, job);
            let mut found = 0;
            for (m, worker) in &self.world.workers {
                let open = allows_kind(spec, worker.type_name, worker.zone, false) && zones.contains(&worker.zone);
                let Some(mut left) = self.free_capacity(m, draining).filter(|_| open) else { continue };
                while found < needed && zone_limits.allows(worker.zone) && left.fits(spec) {
                    left.subtract(spec);
                    zone_limits.add_task(worker.zone);
                    found += 1;
                }
            }
            found == needed
        })
    }
}
