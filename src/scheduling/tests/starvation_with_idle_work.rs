//! Once all faults are over, no job of any urgency waits for 90 s while there is free capacity for it. Seeded simulations
//! of the cluster state, placement, reservations, preemption and draining, with idle work among the jobs.

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::drawn_faults::{FAULT_FREE_MACHINES, MACHINES, draw_job};
use super::simulation::{DrainingCapacity, STEP_S, Simulation};
use super::world::*;
use super::*;
use crate::jobs::JobId;
use crate::protocol::workers::ExitCause;
use crate::scheduling::fairness::FairShareAccounting;
use crate::settings::Objective;

/// Length of the fault phase in seconds.
const FAULT_PHASE_S: f64 = 100.0;
/// Length of the simulation in seconds.
const END_S: f64 = 270.0;
/// Limit in seconds of a job's wait while there is free capacity for it.
const MAX_WAIT_S: f64 = 90.0;

/// One seeded simulation, with the times for which jobs have waited while there was free capacity for them.
struct WaitSimulation {
    seed: u64,
    rng: StdRng,
    simulation: Simulation,
    account: FairShareAccounting,
    /// Whether an objective promises a start sooner than machines boot, so that capacity is reserved for arrivals.
    reserves_for_arrivals: bool,
    /// Whether jobs also arrive after the fault phase.
    steady: bool,
    jobs: u32,
    ends_at: BTreeMap<(TaskKey, u64), Instant>,
    /// How long each job has waited without a break, in seconds.
    waits: BTreeMap<JobId, f64>,
    /// The longest wait in seconds, with a description of the job.
    longest_wait: (f64, String),
}

impl WaitSimulation {
    fn new(seed: u64) -> Self {
        let machines: Vec<(&str, &str)> = (0..10).map(|n| (MACHINES[n], if n % 2 == 0 { "a" } else { "b" })).collect();
        let mut simulation = Simulation::new(&machines, |j| (j.tasks, j.estimate_s) = (1, 1.0));
        for m in &MACHINES[7..] {
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
            reserves_for_arrivals: seed % 4 >= 2,
            steady: seed.is_multiple_of(2),
            jobs: 1,
            ends_at: BTreeMap::new(),
            waits: BTreeMap::new(),
            longest_wait: (0.0, String::new()),
        }
    }

    /// Submits a drawn job, and at times cancels it at once.
    fn submit_job(&mut self) {
        self.jobs += 1;
        let rng = &mut self.rng;
        let urgencies = [Urgency::Prod, Urgency::High, Urgency::Normal, Urgency::Idle, Urgency::Idle];
        let id = self
            .simulation
            .world
            .accept_job(&mut self.simulation.cluster, self.jobs, |job| draw_job(rng, &urgencies, job));
        if rng.random_bool(0.15) {
            self.simulation.cancel_job(&id);
        }
    }

    /// Ends tasks that have run for their drawn time. During the fault phase some fail.
    fn end_tasks(&mut self, in_fault_phase: bool) {
        let now = self.simulation.world.now;
        for m in MACHINES.into_iter().filter(|m| !self.simulation.paused.contains(m)) {
            if self.simulation.world.workers[m].terminated {
                continue;
            }
            for attempt_report in
                self.simulation.world.workers[m].attempts.clone().iter().filter(|a| a.status == AttemptStatus::Running)
            {
                let estimate_s = self.simulation.world.spec_of(&attempt_report.task.job).estimate_s;
                let rng = &mut self.rng;
                let end =
                    self.ends_at.entry((attempt_report.task.clone(), attempt_report.attempt)).or_insert_with(|| {
                        now + secs(if estimate_s == 0.0 { 1e6 } else { estimate_s * rng.random_range(0.5..2.0) })
                    });
                let fails = in_fault_phase && rng.random_bool(0.01);
                if *end <= now || fails {
                    let cause = if fails { ExitCause::Error } else { ExitCause::Done };
                    self.simulation.world.exit_attempt(m, &attempt_report.task, attempt_report.attempt, cause);
                }
            }
        }
    }

    /// Makes the leader's decisions other than placement. At most one surplus machine is drained at a time.
    fn make_other_decisions(&mut self, step: u32) {
        let (cluster, now) = (&mut self.simulation.cluster, self.simulation.world.now);
        if self.reserves_for_arrivals && cluster.settings.params.objectives.is_empty() {
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
            if let Some(drain) = chosen.iter().find(|d| !FAULT_FREE_MACHINES.contains(&&*d.machine)) {
                cluster.drain_machine(&drain.machine, &drain.moves, now);
            }
        }
        preempt::preempt(cluster, &catalog(), now);
    }

    /// Whether the job's wait counts. Idle jobs that have begun have no claim to the capacity reserved for arrivals.
    fn wait_counts(&self, id: &JobId) -> bool {
        let begun_idle = |j: &crate::scheduling::cluster::JobState| j.spec().is_idle() && !j.bound.is_empty();
        !(self.reserves_for_arrivals && self.simulation.cluster.job(id).is_some_and(begun_idle))
    }

    /// Updates how long each job has waited while it could start.
    fn record_waits(&mut self, t: f64) {
        let ids: Vec<JobId> = self.simulation.cluster.jobs().map(|(id, _)| id.clone()).collect();
        self.waits.retain(|id, _| ids.contains(id));
        for id in ids {
            let waits =
                self.wait_counts(&id) && self.simulation.could_start(&id, DrainingCapacity::IncludedIfScaleInCandidate);
            let waited = self.waits.entry(id.clone()).or_default();
            *waited = if waits { *waited + STEP_S } else { 0.0 };
            if *waited > self.longest_wait.0 {
                let job = self.simulation.cluster.job(&id);
                let (bound, spec) = (job.map(|j| j.bound.len()), job.map(|j| j.spec()));
                self.longest_wait = (*waited, format!("seed {}, at {t} s: bound {bound:?}, {spec:?}", self.seed));
            }
        }
    }

    /// Runs the simulation and returns the longest wait after the fault phase in seconds, with a description of the job.
    fn simulate(mut self) -> (f64, String) {
        for step in 0..(END_S / STEP_S) as u32 {
            let t = f64::from(step) * STEP_S;
            let in_fault_phase = t < FAULT_PHASE_S;
            if (in_fault_phase || self.steady) && self.rng.random_bool(if in_fault_phase { 0.5 } else { 0.1 }) {
                self.submit_job();
            }
            if in_fault_phase && self.rng.random_bool(0.15) {
                self.simulation.inject_drawn_fault(&mut self.rng);
            }
            if !in_fault_phase {
                let simulation = &mut self.simulation;
                simulation.end_machine_faults();
                simulation.store_available = true;
            }
            self.end_tasks(in_fault_phase);
            self.make_other_decisions(step);
            self.simulation.step();
            if !in_fault_phase {
                self.record_waits(t);
            }
        }
        self.longest_wait
    }
}

#[test]
fn no_job_of_any_urgency_waits_90_s_with_free_capacity_once_faults_are_over() {
    let longest_waits: Vec<(f64, String)> = (0..32).map(|seed| WaitSimulation::new(seed).simulate()).collect();
    let too_long: Vec<&(f64, String)> = longest_waits.iter().filter(|(waited, _)| *waited >= MAX_WAIT_S).collect();
    assert!(too_long.is_empty(), "waited for {MAX_WAIT_S} s or more: {too_long:#?}");
}
