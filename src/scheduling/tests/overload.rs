//! Overload on slow links: jobs of all urgencies ask for more than the capacity, answers are late or lost, commands are
//! delayed and executed seconds later, tasks are preempted, and the leader changes.

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::simulation::*;
use super::world::*;
use super::*;
use crate::jobs::JobId;
use crate::protocol::workers::ExitCause;
use crate::scheduling::cluster::{DirectCommand, MachineId};

/// How long a leader waits for the reply to a direct command.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(2500);
const MACHINES: [&str; 6] = ["m0", "m1", "m2", "m3", "m4", "m5"];

/// The delayed messages between the leader and the workers of a simulation.
struct Links {
    rng: StdRng,
    /// Heartbeat answers in transit with their times of arrival; the worker drops those that come too late.
    answers: Vec<(Instant, Answer)>,
    /// Direct commands in transit with their times of execution.
    commands: Vec<(Instant, DirectCommand)>,
    /// Timeouts of direct commands: the time, the machine and the fencing token of the command.
    command_timeouts: Vec<(Instant, MachineId, u64)>,
}

impl Links {
    /// Sends a heartbeat, whose answer arrives within 4 s or is lost.
    fn send_heartbeat(&mut self, simulation: &mut Simulation, machine: &'static str) {
        let awaits_answer = self.answers.iter().any(|(_, answer)| answer.machine == machine);
        if awaits_answer || simulation.world.workers[machine].terminated {
            return;
        }
        let answer = simulation.world.send_heartbeat(&mut simulation.cluster, machine);
        if self.rng.random_bool(0.8) {
            self.answers.push((simulation.world.now + secs(self.rng.random_range(0.0..4.0)), answer));
        }
    }

    /// Sends a direct command: executed at once, or delayed by 2 to 16 s, with a timeout in the meantime.
    fn send_command(&mut self, simulation: &mut Simulation, direct: DirectCommand) {
        if self.rng.random_bool(0.5) {
            match simulation.world.deliver_command(&direct) {
                Some(reply) => simulation.world.deliver_reply(&mut simulation.cluster, &direct, reply),
                None => simulation.cluster.finish_direct_command(
                    &direct.machine,
                    direct.fencing_token,
                    true,
                    simulation.world.now,
                ),
            }
            return;
        }
        self.command_timeouts.push((
            simulation.world.now + COMMAND_TIMEOUT,
            direct.machine.clone(),
            direct.fencing_token,
        ));
        self.commands.push((simulation.world.now + secs(self.rng.random_range(2.0..16.0)), direct));
    }

    /// Delivers the messages and the timeouts that are due.
    fn deliver_due(&mut self, simulation: &mut Simulation) {
        let now = simulation.world.now;
        for (_, answer) in self.answers.extract_if(.., |(at, _)| *at <= now) {
            simulation.world.receive_answer(&answer);
        }
        for (_, machine, fencing_token) in self.command_timeouts.extract_if(.., |(at, ..)| *at <= now) {
            simulation.cluster.finish_direct_command(&machine, fencing_token, false, now);
        }
        for (_, direct) in self.commands.extract_if(.., |(at, _)| *at <= now) {
            drop(simulation.world.deliver_command(&direct));
        }
    }
}

/// Draws a job of any urgency: an array of one or several tasks, or a gang.
fn draw_job(rng: &mut StdRng, spec: &mut JobSpec) {
    spec.shape = [Shape::Array, Shape::Array, Shape::Gang][rng.random_range(0..3usize)];
    spec.urgency = [Urgency::Prod, Urgency::High, Urgency::Normal][rng.random_range(0..3usize)];
    spec.team = if rng.random_bool(0.4) { "red".into() } else { "blue".into() };
    spec.tasks = rng.random_range(1..5);
    spec.cpus = [1.0, 2.0, 4.0][rng.random_range(0..3usize)];
    spec.spread = rng.random_bool(0.2);
    spec.estimate_s = [5.0, 20.0, 60.0][rng.random_range(0..3usize)];
    (spec.checkpoint_s, spec.save_s) = if rng.random_bool(0.5) { (30.0, 2.0) } else { (0.0, 0.0) };
}

/// Lets tasks exit as done once they have run for their job's estimate.
fn finish_tasks(simulation: &mut Simulation, end_times: &mut BTreeMap<(TaskKey, u64), Instant>) {
    let now = simulation.world.now;
    for machine in MACHINES {
        for attempt_report in simulation.world.workers[machine].attempts.clone() {
            let spec = simulation.world.spec_of(&attempt_report.task.job);
            let runtime = secs(spec.estimate_s);
            // A gang's tasks wait for one another, and the first task that is done ends the gang.
            if spec.is_gang() && (simulation.live_tasks(&attempt_report.task.job).len() as u64) < spec.tasks {
                continue;
            }
            let end_time =
                *end_times.entry((attempt_report.task.clone(), attempt_report.attempt)).or_insert(now + runtime);
            if attempt_report.status == AttemptStatus::Running && end_time <= now {
                simulation.world.exit_attempt(machine, &attempt_report.task, attempt_report.attempt, ExitCause::Done);
            }
        }
    }
}

/// Simulates two minutes of overload and then time to finish all jobs, and returns how many halting tasks it counted
/// over all steps. The world checks the rules at every task start, the simulation at every step.
fn simulate_overload(seed: u64) -> usize {
    let mut simulation =
        Simulation::new(&MACHINES.map(|m| (m, if m < "m3" { "a" } else { "b" })), |j| j.estimate_s = 1.0);
    let rng = StdRng::seed_from_u64(seed + 1000);
    let mut links = Links { rng, answers: Vec::new(), commands: Vec::new(), command_timeouts: Vec::new() };
    let mut rng = StdRng::seed_from_u64(seed);
    let mut end_times = BTreeMap::new();
    let (mut last_job, mut halting_count) = (1, 0);
    for step in 0..2400 {
        simulation.world.now += secs(STEP_S);
        let now = simulation.world.now;
        let overloaded = step < 240;
        if overloaded && rng.random_bool(0.5) {
            last_job += 1;
            simulation.world.accept_job(&mut simulation.cluster, last_job, |spec| draw_job(&mut rng, spec));
        }
        if overloaded && rng.random_bool(0.01) {
            // Commands of the deposed leader are still in transit, but nobody waits for their replies.
            links.command_timeouts.clear();
            simulation.fail_over();
        }
        links.deliver_due(&mut simulation);
        finish_tasks(&mut simulation, &mut end_times);
        for (n, machine) in MACHINES.into_iter().enumerate() {
            if (step + n).is_multiple_of(HEARTBEAT_INTERVAL_STEPS) {
                links.send_heartbeat(&mut simulation, machine);
            }
        }
        preempt::preempt(&mut simulation.cluster, &catalog(), now);
        let halting_tasks = |cluster: &ClusterState| -> usize {
            let bound = cluster.jobs().flat_map(|(_, job)| job.bound.iter().filter_map(|index| job.binding(*index)));
            bound.filter(|binding| binding.halt_grace_s.is_some()).count()
        };
        halting_count += halting_tasks(&simulation.cluster);
        for direct in simulation.cluster.direct_commands(now) {
            links.send_command(&mut simulation, direct);
        }
        simulation.cluster.tick(now);
        simulation.world.raise_fencing_token_if_needed(&mut simulation.cluster);
        let placements = plan::place(&mut simulation.cluster, &catalog(), now);
        simulation.cluster.bind_placements(placements, now);
        simulation.world.store_all(&mut simulation.cluster);
        simulation.check();
    }
    let unfinished: Vec<&JobId> =
        simulation.world.other_jobs.iter().filter(|(_, job)| job.ended.is_none()).map(|(id, _)| id).collect();
    assert!(unfinished.is_empty(), "seed {seed}: {unfinished:?} of {last_job} jobs never finished");
    halting_count
}

#[test]
fn overload_on_slow_links_breaks_no_rule() {
    let halting_count: usize = (0..12).map(simulate_overload).sum();
    assert!(halting_count > 50, "too few tasks were preempted: {halting_count}");
}
