//! No job, of whatever urgency, waits for 90 s beside room once the faults are over: drawn simulations of the cluster
//! state, plans, holds, preemption and draining, with idle work among the rest.

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::simulation::{DrainingCapacity, STEP_S, Simulation};
use super::world::*;
use super::*;
use crate::jobs::JobId;
use crate::protocol::workers::ExitCause;
use crate::scheduling::fairness::FairShareAccounting;
use crate::settings::Objective;

const NAMES: [&str; 10] = ["m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8", "m9"];
/// These have no faults, so that there is anything to wait for.
const SOUND: [&str; 3] = ["m0", "m1", "m8"];
const FAULTS_S: f64 = 100.0;
const END_S: f64 = 270.0;
/// No job waits so long beside room.
const LIMIT_S: f64 = 90.0;

/// One simulation: its draws, and how long jobs have waited beside room.
struct Day {
    seed: u64,
    rng: StdRng,
    simulation: Simulation,
    account: FairShareAccounting,
    /// Users are promised a start sooner than machines boot, so that room is kept for arrivals.
    prompt: bool,
    /// Work comes after the faults as well.
    steady: bool,
    jobs: u32,
    ends: BTreeMap<(TaskKey, u64), Instant>,
    waits: BTreeMap<JobId, f64>,
    longest: (f64, String),
}

impl Day {
    fn new(seed: u64) -> Self {
        let machines: Vec<(&str, &str)> = (0..10).map(|n| (NAMES[n], if n % 2 == 0 { "a" } else { "b" })).collect();
        let mut simulation = Simulation::new(&machines, |j| (j.tasks, j.estimate_s) = (1, 1.0));
        for m in &NAMES[7..] {
            simulation.world.workers.get_mut(m).unwrap().type_name = "g2";
        }
        simulation.places_tasks = true;
        let account = FairShareAccounting::new(
            &simulation.cluster.settings,
            &simulation.cluster.properties,
            simulation.world.now,
        );
        Self {
            seed,
            rng: StdRng::seed_from_u64(seed),
            simulation,
            account,
            prompt: seed % 4 >= 2,
            steady: seed.is_multiple_of(2),
            jobs: 1,
            ends: BTreeMap::new(),
            waits: BTreeMap::new(),
            longest: (0.0, String::new()),
        }
    }

    fn submit(&mut self) {
        self.jobs += 1;
        let rng = &mut self.rng;
        let shape = [Shape::Array, Shape::Array, Shape::Gang, Shape::Service][rng.random_range(0..4usize)];
        let urgencies = [Urgency::Prod, Urgency::High, Urgency::Normal, Urgency::Idle, Urgency::Idle];
        let urgency = urgencies[rng.random_range(0..urgencies.len())];
        let id = self.simulation.world.accept_job(&mut self.simulation.cluster, self.jobs, |j| {
            (j.shape, j.urgency) = (shape, urgency);
            j.class = ["c", "d", "e"][rng.random_range(0..3usize)].into();
            j.team = if rng.random_bool(0.3) { "red".into() } else { "blue".into() };
            j.tasks = if shape == Shape::Service { 1 } else { rng.random_range(1..6) };
            j.cpus = [0.25, 1.0, 2.0, 4.0][rng.random_range(0..4usize)];
            j.gpus = if rng.random_bool(0.1) { 1.0 } else { 0.0 };
            j.same_zone = rng.random_bool(0.2);
            j.spread = !j.same_zone && rng.random_bool(0.2);
            j.zone = rng.random_bool(0.1).then(|| "a".into()).filter(|_| !j.spread);
            j.estimate_s = if shape == Shape::Service { 0.0 } else { [5.0, 30.0, 300.0][rng.random_range(0..3usize)] };
            j.due_s = rng.random_bool(0.4).then_some(j.estimate_s * 2.0 + 20.0);
            (j.checkpoint_s, j.save_s) = if rng.random_bool(0.5) { (30.0, 2.0) } else { (0.0, 0.0) };
        });
        if rng.random_bool(0.15) {
            self.simulation.cancel_job(&id);
        }
    }

    fn trouble(&mut self) {
        let m = NAMES[self.rng.random_range(0..10usize)];
        let simulation = &mut self.simulation;
        match self.rng.random_range(0..7) {
            0 => simulation.outbound_lost.push(m),
            1 => simulation.paused.push(m),
            2 => simulation.inbound_lost.push(m),
            3 => (simulation.outbound_lost.push(m), simulation.commands_refused.push(m)).0,
            4 => {
                (simulation.outbound_lost, simulation.paused, simulation.inbound_lost, simulation.commands_refused) =
                    Default::default()
            }
            5 => simulation.fail_over(),
            _ => simulation.store_available = !simulation.store_available,
        }
        for list in [
            &mut simulation.outbound_lost,
            &mut simulation.paused,
            &mut simulation.inbound_lost,
            &mut simulation.commands_refused,
        ] {
            list.retain(|m| !SOUND.contains(m));
        }
    }

    /// Tasks end, or fail while there are faults.
    fn tasks_end(&mut self, trouble: bool) {
        let now = self.simulation.world.now;
        for m in NAMES.into_iter().filter(|m| !self.simulation.paused.contains(m)) {
            if self.simulation.world.workers[m].terminated {
                continue;
            }
            for attempt_report in
                self.simulation.world.workers[m].attempts.clone().iter().filter(|l| l.status == AttemptStatus::Running)
            {
                let run = self.simulation.world.spec_of(&attempt_report.task.job).estimate_s;
                let rng = &mut self.rng;
                let at = self
                    .ends
                    .entry((attempt_report.task.clone(), attempt_report.attempt))
                    .or_insert_with(|| now + secs(if run == 0.0 { 1e6 } else { run * rng.random_range(0.5..2.0) }));
                let fails = trouble && rng.random_bool(0.01);
                if *at <= now || fails {
                    let cause = if fails { ExitCause::Error } else { ExitCause::Done };
                    self.simulation.world.exit_attempt(m, &attempt_report.task, attempt_report.attempt, cause);
                }
            }
        }
    }

    /// The leader's decisions but for placement; of the machines that can be spared at most one is drained at a time.
    fn decide(&mut self, step: u32) {
        let (cluster, now) = (&mut self.simulation.cluster, self.simulation.world.now);
        if self.prompt && cluster.settings.params.objectives.is_empty() {
            let objective = Objective { kind: "wait".into(), class: "c".into(), within_s: 1.0, times: 0.0, share: 0.8 };
            cluster.settings.params.objectives.push(objective);
        }
        if step.is_multiple_of(4) && cluster.loaded {
            crate::scheduling::service_report::update_accounting(&mut self.account, cluster, now);
            cluster.reservations = crate::scheduling::reservations::choose_reservations(cluster, &catalog(), now);
        }
        let up = cluster.machines.values().filter(|m| m.state == MachineState::Up).count();
        let draining = cluster.machines.values().any(|m| m.state == MachineState::Draining);
        if step % 40 == 39 && cluster.loaded && up > 6 && !draining {
            let chosen = choose_drains(cluster, &catalog(), now);
            if let Some(drain) = chosen.iter().find(|d| !SOUND.contains(&&*d.machine)) {
                cluster.drain_machine(&drain.machine, &drain.moves, now);
            }
        }
        preempt::preempt(cluster, &catalog(), now);
    }

    /// What idle work that runs already has no claim to is the room kept for prompt arrivals.
    fn counts(&self, id: &JobId) -> bool {
        let begun_idle = |j: &crate::scheduling::cluster::JobState| j.spec().is_idle() && !j.bound.is_empty();
        !(self.prompt && self.simulation.cluster.job(id).is_some_and(begun_idle))
    }

    fn note_waits(&mut self, t: f64) {
        let ids: Vec<JobId> = self.simulation.cluster.jobs().map(|(id, _)| id.clone()).collect();
        self.waits.retain(|id, _| ids.contains(id));
        for id in ids {
            let waits =
                self.counts(&id) && self.simulation.could_start(&id, DrainingCapacity::IncludedIfScaleInCandidate);
            let waited = self.waits.entry(id.clone()).or_default();
            *waited = if waits { *waited + STEP_S } else { 0.0 };
            if *waited > self.longest.0 {
                let job = self.simulation.cluster.job(&id);
                let (bound, spec) = (job.map(|j| j.bound.len()), job.map(|j| j.spec()));
                self.longest = (*waited, format!("seed {}, at {t} s: bound {bound:?}, {spec:?}", self.seed));
            }
        }
    }

    /// The longest wait beside room once the faults are over, in seconds, and whose it was.
    fn simulate(mut self) -> (f64, String) {
        for step in 0..(END_S / STEP_S) as u32 {
            let t = f64::from(step) * STEP_S;
            let trouble = t < FAULTS_S;
            if (trouble || self.steady) && self.rng.random_bool(if trouble { 0.5 } else { 0.1 }) {
                self.submit();
            }
            if trouble && self.rng.random_bool(0.15) {
                self.trouble();
            }
            if !trouble {
                let simulation = &mut self.simulation;
                (simulation.outbound_lost, simulation.paused, simulation.inbound_lost, simulation.commands_refused) =
                    Default::default();
                simulation.store_available = true;
            }
            self.tasks_end(trouble);
            self.decide(step);
            self.simulation.step();
            if !trouble {
                self.note_waits(t);
            }
        }
        self.longest
    }
}

#[test]
fn no_job_of_any_urgency_waits_beside_room_once_faults_are_over() {
    let longest: Vec<(f64, String)> = (0..32).map(|seed| Day::new(seed).simulate()).collect();
    let late: Vec<&(f64, String)> = longest.iter().filter(|(waited, _)| *waited >= LIMIT_S).collect();
    assert!(late.is_empty(), "waited for {LIMIT_S} s or more: {late:#?}");
}
