//! A simulation of fixed steps in which time passes, leases end, the cluster state decides by itself, and the rules are
//! checked at every step: a team's limit, where tasks may be, and what is cancelled gone in time (docs/combined-faults.md).

use std::collections::BTreeMap;

use super::world::*;
use super::*;
use crate::jobs::JobId;
use crate::scheduling::capacity::{AMOUNT_TOLERANCE, JobZones, allows_kind};
use crate::scheduling::cluster::DirectCommand;

pub(super) const STEP: f64 = 0.5;
/// Steps from one heartbeat to the next.
pub(super) const REPORT_STEPS: usize = 6;

/// Whether a machine that is drained as a scale-in candidate counts as room, which it is for as long as it is there.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Draining {
    HasNoRoom,
    HasRoomIfScaleInCandidate,
}

/// One leader at a time, and who reaches whom.
pub(super) struct Simulation {
    pub(super) world: World,
    pub(super) cluster: ClusterState,
    pub(super) steps: usize,
    /// Heartbeats of these reach nobody.
    pub(super) outbound_lost: Vec<&'static str>,
    /// No direct command reaches these.
    pub(super) unreached: Vec<&'static str>,
    /// These are paused: they report nothing, and what is sent to them lies there until they go on.
    pub(super) hang: Vec<&'static str>,
    pub(super) lying: Vec<DirectCommand>,
    /// Their heartbeats arrive; answers and commands to them are lost.
    pub(super) inbound_lost: Vec<&'static str>,
    pub(super) cloud: bool,
    /// The store takes what is to be written.
    pub(super) store: bool,
    /// The leader decides what is placed.
    pub(super) plans: bool,
    pub(super) cancelled: BTreeMap<JobId, Instant>,
    /// Live tasks that leases have ended.
    pub(super) lost: usize,
    /// Machines that were returned.
    pub(super) returned: Vec<&'static str>,
}

impl Simulation {
    pub(super) fn new(machines: &[(&'static str, &'static str)], change: impl FnOnce(&mut JobSpec)) -> Self {
        let names: Vec<&'static str> = machines.iter().map(|(m, _)| *m).collect();
        let mut world = World::new(&names, change);
        for (m, zone) in machines {
            world.workers.get_mut(m).unwrap().zone = zone;
        }
        let cluster = world.leader();
        let mut simulation = Self {
            world,
            cluster,
            steps: 0,
            outbound_lost: Vec::new(),
            unreached: Vec::new(),
            hang: Vec::new(),
            lying: Vec::new(),
            inbound_lost: Vec::new(),
            cloud: true,
            store: true,
            plans: false,
            cancelled: BTreeMap::new(),
            lost: 0,
            returned: Vec::new(),
        };
        // Everybody has reported, and has heard the leader.
        for _ in 0..2 {
            for m in &names {
                simulation.heartbeats(m);
            }
        }
        simulation
    }

    pub(super) fn heartbeats(&mut self, m: &'static str) {
        let answer = self.world.asks(&mut self.cluster, m);
        if !self.inbound_lost.contains(&m) {
            self.world.hears(&answer);
        }
    }

    /// These heartbeat to a deposed leader, and hear its answers.
    pub(super) fn answered_by(&mut self, deposed: &mut ClusterState, machines: &[&'static str]) {
        for m in machines {
            if !self.world.workers[m].gone {
                let answer = self.world.asks(deposed, m);
                self.world.hears(&answer);
            }
        }
    }

    pub(super) fn run(&mut self, seconds: f64) {
        for _ in 0..(seconds / STEP) as usize {
            self.step();
        }
    }

    pub(super) fn step(&mut self) {
        self.world.now += s(STEP);
        self.steps += 1;
        let (now, lease) = (self.world.now, self.cluster.settings.params.workers.lease());
        let names: Vec<&'static str> = self.world.workers.keys().copied().collect();
        for m in &names {
            let w = self.world.workers.get_mut(m).unwrap();
            if !w.gone && now - *w.renewed.get_or_insert(now) > lease {
                self.lost += w.attempts.iter().filter(|l| l.status != AttemptStatus::Exited).count();
                self.world.lease_ends(m);
            }
        }
        let hang = self.hang.clone();
        let (go_on, lying) = std::mem::take(&mut self.lying).into_iter().partition(|d| !hang.contains(&&*d.machine));
        self.lying = lying;
        let go_on: Vec<DirectCommand> = go_on;
        for direct in go_on {
            // Whoever sent it has given it up.
            drop(self.world.arrives(&direct));
        }
        for (n, m) in names.iter().enumerate() {
            let silent = self.world.workers[m].gone || self.outbound_lost.contains(m) || hang.contains(m);
            if (self.steps + n).is_multiple_of(REPORT_STEPS) && !silent {
                self.heartbeats(m);
            }
        }
        for direct in self.cluster.direct_commands(now) {
            let m = &*direct.machine;
            if self.unreached.contains(&m) {
                self.cluster.command_over(&direct.machine, direct.fencing_token, true, now);
            } else if hang.contains(&m) || self.inbound_lost.contains(&m) {
                self.cluster.command_over(&direct.machine, direct.fencing_token, false, now);
                if hang.contains(&m) {
                    self.lying.push(direct);
                }
            } else if let Some(reply) = self.world.arrives(&direct) {
                self.world.replied(&mut self.cluster, &direct, reply);
            } else {
                self.cluster.command_over(&direct.machine, direct.fencing_token, true, now);
            }
        }
        self.cluster.tick(now);
        if self.cloud {
            let out: Vec<&'static str> =
                names.iter().copied().filter(|m| terminating(&self.cluster).contains(m)).collect();
            for m in out {
                self.world.returned(&mut self.cluster, m);
                self.returned.push(m);
            }
        }
        if self.store {
            self.world.raise(&mut self.cluster);
        }
        if self.plans && self.cluster.loaded {
            let decisions = plan::place(&mut self.cluster, &catalog(), now);
            self.cluster.bind_all(decisions, now);
        }
        if self.store {
            self.world.store(&mut self.cluster);
        }
        self.check();
    }

    /// Another leads: it is told by the cloud's list what there is.
    pub(super) fn successor(&mut self) {
        self.cluster = self.world.leader();
        self.listed();
    }

    pub(super) fn listed(&mut self) {
        for (m, w) in self.world.workers.iter().filter(|(_, w)| !w.gone) {
            let kind = MachineKind { type_name: w.type_name.into(), zone: w.zone.into(), spot: false };
            self.cluster.expect(m, &kind, Some("127.0.0.1:9"), s(900.0), self.world.now);
            self.cluster.listed_up(m, self.world.now);
        }
    }

    pub(super) fn cancel(&mut self, id: &JobId) {
        self.world.cancel(&mut self.cluster, id);
        self.cancelled.insert(id.clone(), self.world.now);
    }

    /// Live tasks of a job, with their machines, hanging ones and such that nobody hears included.
    pub(super) fn live(&self, id: &JobId) -> Vec<(u32, &'static str)> {
        let mut live = Vec::new();
        for (m, w) in self.world.workers.iter().filter(|(_, w)| !w.gone) {
            let attempts = w.attempts.iter().filter(|l| l.task.job == *id && l.status != AttemptStatus::Exited);
            live.extend(attempts.map(|l| (l.task.index, *m)));
        }
        live.sort_unstable();
        live
    }

    pub(super) fn cores(&self, team: &str) -> f64 {
        let attempts = self.world.workers.values().filter(|w| !w.gone).flat_map(|w| &w.attempts);
        let live = attempts.filter(|l| l.status != AttemptStatus::Exited).map(|l| self.world.spec_of(&l.task.job));
        live.filter(|spec| spec.team == team).map(|spec| spec.cpus).sum()
    }

    /// `quota`, `wrong_place` and `ran_cancelled`; the world checks the others at each start.
    pub(super) fn check(&self) {
        for team in self.world.settings.params.teams.iter().filter(|team| team.cpus_max > 0.0) {
            let cores = self.cores(&team.name);
            assert!(cores <= team.cpus_max, "{} is above its limit: {cores}", team.name);
        }
        let cancellation_deadline = self.cluster.settings.params.workers.cancellation_deadline();
        for (id, at) in &self.cancelled {
            let live = self.live(id);
            let age = self.world.now - *at;
            assert!(
                live.is_empty() || age <= cancellation_deadline,
                "{id} is withdrawn since {age:?} and runs: {live:?}"
            );
        }
        for id in self.world.more.keys().cloned().chain([JOB.into()]) {
            let spec = self.world.spec_of(&id);
            let mut zones: BTreeMap<&str, u64> = BTreeMap::new();
            for (_, m) in self.live(&id) {
                *zones.entry(self.world.workers[m].zone).or_default() += 1;
            }
            assert!(!spec.same_zone || zones.len() <= 1, "{id} is in several zones: {zones:?}");
            let half = spec.tasks.div_ceil(2);
            assert!(!spec.spread || zones.values().all(|n| *n <= half), "{id}: more than half in one zone: {zones:?}");
            assert!(spec.zone.as_ref().is_none_or(|only| zones.keys().all(|z| *z == only)), "{id}: {zones:?}");
        }
    }
}

/// What is left of a machine.
#[derive(Clone, Copy)]
struct RoomLeft {
    cpus: f64,
    gpus: f64,
    memory_gb: f64,
}

impl RoomLeft {
    fn fits(self, spec: &JobSpec) -> bool {
        spec.cpus <= self.cpus + AMOUNT_TOLERANCE
            && spec.gpus <= self.gpus + AMOUNT_TOLERANCE
            && spec.memory_gb <= self.memory_gb + AMOUNT_TOLERANCE
    }

    fn take(&mut self, spec: &JobSpec) {
        self.cpus -= spec.cpus;
        self.gpus -= spec.gpus;
        self.memory_gb -= spec.memory_gb;
    }
}

impl Simulation {
    /// What is left of a machine by what runs on it and what is bound to it. None on a machine that takes no work.
    fn room_left(&self, m: &str, draining: Draining) -> Option<RoomLeft> {
        let worker = &self.world.workers[m];
        let machine = self.cluster.machines.get(m)?;
        let stays = machine.state == MachineState::Up
            || (draining == Draining::HasRoomIfScaleInCandidate
                && machine.state == MachineState::Draining
                && machine.scale_in_candidate);
        if worker.gone || !stays || machine.recall.is_some() {
            return None;
        }
        let machine_type = catalog().get(worker.type_name)?.clone();
        let taken = machine.taken();
        let mut left = RoomLeft {
            cpus: machine_type.cpus - taken.cpus,
            gpus: machine_type.gpus - taken.gpus,
            memory_gb: machine_type.memory_gb - taken.memory_gb,
        };
        let live = worker.attempts.iter().filter(|report| report.status != AttemptStatus::Exited);
        for stray in live.filter(|report| !machine.bound.contains(&report.task)) {
            left.take(self.world.spec_of(&stray.task.job));
        }
        Some(left)
    }

    /// Whether a job could start something now: one task of an array or a service, all of a gang.
    pub(super) fn could_start(&self, id: &JobId, draining: Draining) -> bool {
        let Some(job) = self.cluster.job(id) else { return false };
        let spec = job.spec();
        let gang = spec.is_gang();
        if job.waiting.is_empty() || job.ended.is_some() || job.complete() || (gang && !job.bound.is_empty()) {
            return false;
        }
        let need = if gang { job.waiting.len() } else { 1 };
        if !plan::Quotas::new(&self.cluster).allows(spec, need as f64) {
            return false;
        }
        let zones: &[&[&str]] = if spec.same_zone { &[&["a"], &["b"]] } else { &[&["a", "b"]] };
        zones.iter().any(|zones| {
            let mut at = JobZones::new(&self.cluster, job);
            let mut found = 0;
            for (m, worker) in &self.world.workers {
                let open = allows_kind(spec, worker.type_name, worker.zone, false) && zones.contains(&worker.zone);
                let Some(mut left) = self.room_left(m, draining).filter(|_| open) else { continue };
                while found < need && at.allows(worker.zone) && left.fits(spec) {
                    left.take(spec);
                    at.add_task(worker.zone);
                    found += 1;
                }
            }
            found == need
        })
    }
}
