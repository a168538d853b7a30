//! More work than room, urgent and not, over slow links: answers are late or lost, commands are held up and carried
//! out seconds later, work is stopped for other work, and the leader changes.

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::simulation::*;
use super::world::*;
use super::*;
use crate::jobs::JobId;
use crate::protocol::workers::ExitCause;
use crate::scheduling::cluster::{DirectCommand, MachineId};

/// After this long nobody waits for the reply to a command.
const COMMAND_WAITED: Duration = Duration::from_millis(2500);
const MACHINES: [&str; 6] = ["m0", "m1", "m2", "m3", "m4", "m5"];

/// The links of a simulation on which nothing is prompt.
struct Links {
    rng: StdRng,
    /// Answers on their way, with the moment at which they arrive: late ones are dropped by the worker.
    answers: Vec<(Instant, Answer)>,
    /// Commands on their way, with the moment at which they are carried out.
    commands: Vec<(Instant, DirectCommand)>,
    /// Commands that are given up at this moment if no reply has come.
    waited_for: Vec<(Instant, MachineId, u64)>,
}

impl Links {
    /// A heartbeat, whose answer arrives within 4 s or never.
    fn heartbeat(&mut self, simulation: &mut Simulation, machine: &'static str) {
        let waits = self.answers.iter().any(|(_, answer)| answer.machine == machine);
        if waits || simulation.world.workers[machine].terminated {
            return;
        }
        let answer = simulation.world.send_heartbeat(&mut simulation.cluster, machine);
        if self.rng.random_bool(0.8) {
            self.answers.push((simulation.world.now + secs(self.rng.random_range(0.0..4.0)), answer));
        }
    }

    /// A command is prompt, or is held up for 2 to 16 s and given up meanwhile.
    fn command(&mut self, simulation: &mut Simulation, direct: DirectCommand) {
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
        self.waited_for.push((simulation.world.now + COMMAND_WAITED, direct.machine.clone(), direct.fencing_token));
        self.commands.push((simulation.world.now + secs(self.rng.random_range(2.0..16.0)), direct));
    }

    /// What is due by now arrives, or is given up.
    fn deliver(&mut self, simulation: &mut Simulation) {
        let now = simulation.world.now;
        for (_, answer) in self.answers.extract_if(.., |(at, _)| *at <= now) {
            simulation.world.receive_answer(&answer);
        }
        for (_, machine, fencing_token) in self.waited_for.extract_if(.., |(at, ..)| *at <= now) {
            simulation.cluster.finish_direct_command(&machine, fencing_token, false, now);
        }
        for (_, direct) in self.commands.extract_if(.., |(at, _)| *at <= now) {
            drop(simulation.world.deliver_command(&direct));
        }
    }
}

/// A job that leaves no room: urgent or not, of one task, several or a gang.
fn draw(rng: &mut StdRng, spec: &mut JobSpec) {
    spec.shape = [Shape::Array, Shape::Array, Shape::Gang][rng.random_range(0..3usize)];
    spec.urgency = [Urgency::Prod, Urgency::High, Urgency::Normal][rng.random_range(0..3usize)];
    spec.team = if rng.random_bool(0.4) { "red".into() } else { "blue".into() };
    spec.tasks = rng.random_range(1..5);
    spec.cpus = [1.0, 2.0, 4.0][rng.random_range(0..3usize)];
    spec.spread = rng.random_bool(0.2);
    spec.estimate_s = [5.0, 20.0, 60.0][rng.random_range(0..3usize)];
    (spec.checkpoint_s, spec.save_s) = if rng.random_bool(0.5) { (30.0, 2.0) } else { (0.0, 0.0) };
}

/// Tasks that have run for as long as was estimated are done.
fn tasks_end(simulation: &mut Simulation, ends: &mut BTreeMap<(TaskKey, u64), Instant>) {
    let now = simulation.world.now;
    for machine in MACHINES {
        for attempt_report in simulation.world.workers[machine].attempts.clone() {
            let spec = simulation.world.spec_of(&attempt_report.task.job);
            let run = secs(spec.estimate_s);
            // A gang's tasks wait for one another, and the first that is done ends it.
            if spec.is_gang() && (simulation.live_tasks(&attempt_report.task.job).len() as u64) < spec.tasks {
                continue;
            }
            let at = *ends.entry((attempt_report.task.clone(), attempt_report.attempt)).or_insert(now + run);
            if attempt_report.status == AttemptStatus::Running && at <= now {
                simulation.world.exit_attempt(machine, &attempt_report.task, attempt_report.attempt, ExitCause::Done);
            }
        }
    }
}

/// Two minutes of it, and then as long as it takes to serve all; the rules are checked at every start, by the world,
/// and at every step, by the simulation. Gives how often running work was stopped for other work.
fn overload(seed: u64) -> usize {
    let mut simulation =
        Simulation::new(&MACHINES.map(|m| (m, if m < "m3" { "a" } else { "b" })), |j| j.estimate_s = 1.0);
    let rng = StdRng::seed_from_u64(seed + 1000);
    let mut links = Links { rng, answers: Vec::new(), commands: Vec::new(), waited_for: Vec::new() };
    let mut rng = StdRng::seed_from_u64(seed);
    let mut ends = BTreeMap::new();
    let (mut jobs, mut stopped) = (1, 0);
    for step in 0..2400 {
        simulation.world.now += secs(STEP_S);
        let now = simulation.world.now;
        let overloaded = step < 240;
        if overloaded && rng.random_bool(0.5) {
            jobs += 1;
            simulation.world.accept_job(&mut simulation.cluster, jobs, |spec| draw(&mut rng, spec));
        }
        if overloaded && rng.random_bool(0.01) {
            // Late copies of the deposed leader's commands are still on their way; nobody waits for their replies.
            links.waited_for.clear();
            simulation.fail_over();
        }
        links.deliver(&mut simulation);
        tasks_end(&mut simulation, &mut ends);
        for (n, machine) in MACHINES.into_iter().enumerate() {
            if (step + n).is_multiple_of(HEARTBEAT_INTERVAL_STEPS) {
                links.heartbeat(&mut simulation, machine);
            }
        }
        preempt::preempt(&mut simulation.cluster, &catalog(), now);
        let halting = |cluster: &ClusterState| -> usize {
            let bound = cluster.jobs().flat_map(|(_, job)| job.bound.iter().filter_map(|index| job.binding(*index)));
            bound.filter(|binding| binding.halt_grace_s.is_some()).count()
        };
        stopped += halting(&simulation.cluster);
        for direct in simulation.cluster.direct_commands(now) {
            links.command(&mut simulation, direct);
        }
        simulation.cluster.tick(now);
        simulation.world.raise_fencing_token_if_wanted(&mut simulation.cluster);
        let decisions = plan::place(&mut simulation.cluster, &catalog(), now);
        simulation.cluster.bind_placements(decisions, now);
        simulation.world.store_all(&mut simulation.cluster);
        simulation.check();
    }
    let unserved: Vec<&JobId> =
        simulation.world.other_jobs.iter().filter(|(_, kept)| kept.ended.is_none()).map(|(id, _)| id).collect();
    assert!(unserved.is_empty(), "seed {seed}: {unserved:?} of {jobs} were never served");
    stopped
}

#[test]
fn more_work_than_room_over_slow_links_breaks_no_rule() {
    let stopped: usize = (0..12).map(overload).sum();
    assert!(stopped > 50, "hardly anything was stopped for other work: {stopped}");
}
