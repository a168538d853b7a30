//! Tests of fair-share accounting and of the served floor: by cases, by properties on the cluster state in simulated
//! time, and across a change of the leader.

mod ahead;
mod large;
mod weigh;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::floor::{ClassTeamSet, CoreCredit, Underserved};
use super::*;
use crate::jobs::record::time_of_day_ms;
use crate::jobs::tests::spec;
use crate::jobs::{JobId, Shape};
use crate::machine_kinds::Catalog;
use crate::machine_kinds::tests::machine_type;
use crate::protocol::workers::{AttemptReport, AttemptStatus, ExitCause, Heartbeat, TaskKey, WorkerCommand};
use crate::scheduling::cluster::ClusterState;
use crate::scheduling::intents::Intents;
use crate::scheduling::messages::MessageKind;
use crate::scheduling::plan;
use crate::scheduling::promises::{Promise, feasible_start_slacks_s, promises_of};
use crate::settings::tests::example;
use crate::sla::priority_weight;
use crate::store::TransactionLimits;

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn objective(kind: &str, class: &str, within_s: f64, times: f64, share: f64) -> Objective {
    Objective { kind: kind.into(), class: class.into(), within_s, times, share }
}

/// Settings with objectives for two classes: `small` starts within 30 s and is done within 100 s, `big` is done within
/// 200 s.
fn settings() -> Settings {
    let mut settings = example();
    settings.params.objectives = vec![
        objective("wait", "small", 30.0, 0.0, 0.8),
        objective("finished", "small", 100.0, 0.0, 0.9),
        objective("finished", "big", 200.0, 0.0, 0.9),
    ];
    settings
}

fn job(n: u32, class: &str, team: &str) -> JobSpec {
    let mut job = spec();
    (job.id, job.class, job.team) = (format!("run-{n:06}").into(), class.into(), team.into());
    job
}

fn record(spec: JobSpec) -> Arc<JobRecord> {
    Arc::new(JobRecord { spec, accepted_ms: time_of_day_ms() })
}

fn heartbeat(machine: &str, spot: bool, seq: u64, attempts: Vec<AttemptReport>) -> Heartbeat {
    Heartbeat {
        machine: machine.into(),
        addr: "127.0.0.1:9".into(),
        type_name: "c8".into(),
        zone: "a".into(),
        spot,
        agent_epoch: 1,
        seq,
        fencing_token: 7,
        notice_s: None,
        attempts,
    }
}

fn catalog() -> Catalog {
    let c8 = machine_type("c8", 8.0, 0.0, 1.0);
    Catalog { types: vec![c8] }
}

/// Classes and teams that are below the floor and prioritized.
fn prioritized(classes: &[&str], teams: &[&str]) -> Underserved {
    let classes = classes.iter().map(|n| (Subject::Class, *n));
    let prioritized = ClassTeamSet::from_subjects(classes.chain(teams.iter().map(|n| (Subject::Team, *n))));
    Underserved { below_floor: prioritized.clone(), prioritized }
}

#[test]
fn latest_starts_follow_from_the_promises_that_can_still_be_kept() {
    let objectives = settings().params.objectives;
    let deadline = [objective("deadline", "small", 0.0, 1.5, 0.9)];
    let agreement = |job: &JobSpec| Agreement::of(job, s(10.0), 4.0);
    // (name, objectives, class, due, age, seconds left to start for each promise that can still be kept)
    type Case<'a> = (&'a str, &'a [Objective], &'a str, Option<f64>, f64, &'a [f64]);
    let cases: [Case; 6] = [
        ("a start and a completion", &objectives, "small", None, 0.0, &[30.0, 88.0]),
        ("the start limit has passed", &objectives, "small", None, 31.0, &[57.0]),
        ("no promise can be kept", &objectives, "small", None, 90.0, &[]),
        ("a class without objectives", &objectives, "other", None, 0.0, &[28.0]),
        ("a deadline and its multiple", &deadline, "small", Some(50.0), 0.0, &[38.0, 63.0]),
        ("a multiple of a missing deadline", &deadline, "small", None, 0.0, &[28.0]),
    ];
    for (name, objectives, class, due_s, age, want) in cases {
        let mut job = job(1, class, "red");
        job.due_s = due_s;
        let promises = promises_of(objectives, &job, &agreement(&job));
        assert_eq!(feasible_start_slacks_s(&promises, s(10.0), s(age)), want, "{name}");
    }
}

/// Creates a cluster state in which these jobs wait, as (class, team, estimated run time, age).
fn cluster_with_waiting(jobs: &[(&str, &str, f64, f64)], now: Instant) -> ClusterState {
    let mut cluster = ClusterState::new(7, settings(), Properties::default(), now);
    cluster.loaded = true;
    for (n, (class, team, estimate_s, age_s)) in (1..).zip(jobs) {
        let mut job = job(n, class, team);
        job.estimate_s = *estimate_s;
        let at_ms = time_of_day_ms() - (*age_s * 1000.0) as u64;
        cluster.add_job(Arc::new(JobRecord { spec: job, accepted_ms: at_ms }), now);
    }
    cluster
}

/// Numbers of the waiting jobs in the order of the queue.
fn queue_order(cluster: &ClusterState, now: Instant) -> Vec<u32> {
    let number = |id: &JobId| id.trim_start_matches("run-").parse().unwrap();
    plan::queue(cluster, now).iter().map(|t| number(t.id)).collect()
}

#[test]
fn prioritized_classes_and_teams_are_queued_first() {
    // Jobs 1 and 2 have the class `big`, jobs 3 and 4 `small`; a shorter estimate gives a higher return.
    let jobs = [
        ("big", "red", 20.0, 0.0),
        ("big", "blue", 40.0, 50.0),
        ("small", "blue", 30.0, 0.0),
        ("small", "blue", 30.0, 95.0),
    ];
    type Case = (&'static str, &'static [&'static str], &'static [&'static str], &'static [u32]);
    let cases: [Case; 6] = [
        ("none prioritized: by return", &[], &[], &[1, 3, 4, 2]),
        ("a prioritized class is first, its late job by return", &["small"], &[], &[3, 1, 4, 2]),
        ("another prioritized class", &["big"], &[], &[1, 2, 3, 4]),
        ("both classes prioritized: by return", &["big", "small"], &[], &[1, 3, 2, 4]),
        ("a prioritized team", &[], &["blue"], &[3, 2, 1, 4]),
        ("a class without jobs", &["none"], &[], &[1, 3, 4, 2]),
    ];
    for (name, classes, teams, want) in cases {
        let now = Instant::now();
        // Guarantees are removed because teams short of theirs precede all ranks.
        let mut cluster = cluster_with_waiting(&jobs, now);
        cluster.settings.params.teams.iter_mut().for_each(|t| t.cpus = 0.0);
        cluster.underserved = prioritized(classes, teams);
        assert_eq!(queue_order(&cluster, now), want, "{name}");
    }
}

// Seeds are fixed so that a failure points to a change of the code and not to chance.
proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// With no class or team below the floor, the queue is in the LibraSLA paper's order for any set of waiting jobs.
    #[test]
    fn jobs_are_ordered_by_return_when_none_is_below_the_floor(
        jobs in prop::collection::vec((0..3usize, 1.0..300.0f64, 0.0..400.0f64), 1..30),
    ) {
        let now = Instant::now();
        let classes = ["small", "big", "other"];
        let jobs: Vec<_> = jobs.iter().map(|(c, run, age)| (classes[*c], "blue", *run, *age)).collect();
        let cluster = cluster_with_waiting(&jobs, now);
        let task_return = |n: u32| {
            let (.., run, age) = jobs[n as usize - 1];
            let (budget, deadline) = (priority_weight(spec().urgency) * run, run * 4.0);
            let delay = (age + run - deadline).max(0.0);
            ((budget - delay * budget / deadline) / run / deadline).max(0.0)
        };
        let order = queue_order(&cluster, now);
        prop_assert_eq!(order.len(), jobs.len());
        for pair in order.windows(2) {
            prop_assert!(task_return(pair[0]) >= task_return(pair[1]) - 1e-4, "{:?}", pair);
        }
    }
}

/// Simulation of the cluster state with machines that execute its commands, in steps of one second.
struct World {
    start: Instant,
    /// Seconds since the start.
    t: u32,
    cluster: ClusterState,
    accounting: FairShareAccounting,
    /// Running tasks: machine, task, attempt, and the second at which it ends.
    running: Vec<(String, TaskKey, u64, u32)>,
    /// Run time of the tasks of each class, in seconds.
    run_times_s: HashMap<String, u32>,
    /// Names of the machines, and whether they are spot machines.
    machines: Vec<(String, bool)>,
    /// Sequence number of the heartbeats.
    seq: u64,
    /// Number of jobs submitted.
    job_count: u32,
    /// By class: when each job was submitted, and whether it was done in time.
    submitted: HashMap<String, Vec<(u32, bool)>>,
    /// Index of each job in the list of its class in `submitted`.
    indexes: HashMap<JobId, usize>,
}

impl World {
    fn new(machines: usize, properties: Properties) -> Self {
        let start = Instant::now();
        let settings = settings();
        let accounting = FairShareAccounting::new(&settings, &properties, start);
        let mut cluster = ClusterState::new(7, settings, properties, start);
        cluster.loaded = true;
        let machines = (0..machines).map(|n| (format!("m{n:02}"), false)).collect();
        let mut world = Self {
            start,
            t: 0,
            cluster,
            accounting,
            running: Vec::new(),
            run_times_s: HashMap::from([("small".into(), 20), ("big".into(), 40)]),
            machines,
            seq: 1,
            job_count: 0,
            submitted: HashMap::new(),
            indexes: HashMap::new(),
        };
        world.step(|_| true);
        world
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_secs(u64::from(self.t))
    }

    fn submit(&mut self, class: &str, cpus: f64, gang: u64) {
        self.job_count += 1;
        let mut job = job(self.job_count, class, "blue");
        (job.cpus, job.estimate_s) = (cpus, f64::from(self.run_times_s[class]));
        if gang > 1 {
            (job.shape, job.tasks) = (Shape::Gang, gang);
        }
        let now = self.now();
        self.accounting.record_submission(&job, Duration::ZERO, now);
        let submitted = self.submitted.entry(class.into()).or_default();
        self.indexes.insert(job.id.clone(), submitted.len());
        submitted.push((self.t, false));
        self.cluster.add_job(record(job), now);
    }

    /// Simulates one second: machines for which `is_up` holds report their tasks, and waiting tasks are placed.
    fn step(&mut self, is_up: impl Fn(&str) -> bool) {
        self.t += 1;
        self.seq += 1;
        let (now, t) = (self.now(), self.t);
        for (machine, spot) in self.machines.clone() {
            if !is_up(&machine) {
                self.running.retain(|(m, ..)| *m != machine);
                continue;
            }
            let attempt_report = |task: &TaskKey, attempt, ends| {
                let has_ended = ends <= t;
                let (status, cause) = if has_ended {
                    (AttemptStatus::Exited, Some(ExitCause::Done))
                } else {
                    (AttemptStatus::Running, None)
                };
                AttemptReport { task: task.clone(), attempt, status, cause, saved: None }
            };
            let attempts = self.running.iter().filter(|(m, ..)| *m == machine);
            let attempts = attempts.map(|(_, task, attempt, ends)| attempt_report(task, *attempt, *ends)).collect();
            self.cluster.take_heartbeat(
                heartbeat(&machine, spot, self.seq, attempts),
                MessageKind::Heartbeat,
                None,
                now,
            );
            self.running.retain(|(m, .., ends)| *m != machine || *ends > t);
        }
        self.update_accounting();
        if t.is_multiple_of(2) {
            self.cluster.reservations =
                crate::scheduling::reservations::choose_reservations(&self.cluster, &catalog(), now);
        }
        let placed = plan::place(&mut self.cluster, &catalog(), now);
        self.cluster.bind_placements(placed, now);
        let (ends, shards) = self.cluster.next_writes(&TransactionLimits::of_changes(10_000), now);
        self.cluster.record_stored_shards(&shards, u64::from(t));
        for job in ends {
            let age = self
                .cluster
                .job(&job.spec.id)
                .map_or(Duration::ZERO, |j| now.saturating_duration_since(j.submitted_at));
            self.accounting.record_end(&job, Some(End::Done), age, now);
            let promised_s = if job.spec.class == "small" { 100.0 } else { 200.0 };
            if age.as_secs_f64() <= promised_s {
                let index = self.indexes[&job.spec.id];
                self.submitted.get_mut(&job.spec.class).unwrap()[index].1 = true;
            }
            self.cluster.end_job(&job.spec.id, Some(End::Done), now);
        }
        for (machine, _) in self.machines.clone().iter().filter(|(m, _)| is_up(m)) {
            for command in self.cluster.heartbeat_response_commands(machine, now) {
                if let WorkerCommand::Launch { task, attempt } = command {
                    let run_s = self.cluster.job(&task.job).map_or(1, |j| self.run_times_s[&j.record.spec.class]);
                    if !self.running.iter().any(|(.., key, a, _)| *key == task && *a == attempt) {
                        self.running.push((machine.clone(), task, attempt, t + run_s));
                    }
                }
            }
        }
    }

    fn update_accounting(&mut self) {
        let now = self.now();
        crate::scheduling::service_report::update_accounting(&mut self.accounting, &mut self.cluster, now);
    }

    /// Share of the class's jobs submitted from `from` until `to` that were done in time, and the number of these jobs.
    fn in_time_share_between(&self, class: &str, from: u32, to: u32) -> (f64, usize) {
        let in_time: Vec<bool> =
            self.submitted[class].iter().filter(|(t, _)| (from..to).contains(t)).map(|(_, kept)| *kept).collect();
        (in_time.iter().filter(|kept| **kept).count() as f64 / in_time.len().max(1) as f64, in_time.len())
    }

    /// Share of all jobs of the class that were done in time.
    fn in_time_share(&self, class: &str) -> f64 {
        self.in_time_share_between(class, 0, u32::MAX).0
    }

    /// Asserts that no machine has room for a waiting task of an array.
    fn assert_work_conserving(&self) {
        for (_, job) in self.cluster.jobs().filter(|(_, j)| !j.waiting.is_empty() && !j.spec().is_gang()) {
            for machine in self.cluster.machines.values() {
                let free = 8.0 - machine.allocated().cpus;
                assert!(free + 1e-6 < job.spec().cpus, "{} has room at second {}", machine.id, self.t);
            }
        }
    }
}

/// Simulates the class `flood` arriving at `times` its usual rate beside another class at its usual rate. `gang` is the
/// number of tasks of a job of the class `big`; with single tasks no machine may stand idle while a waiting task fits.
fn simulate_flood(flood: &str, times: u32, gang: u64, floor: f64, seed: u64) -> World {
    simulate_flood_with(flood, times, gang, floor, seed, Intents::default())
}

fn simulate_flood_with(flood: &str, times: u32, gang: u64, floor: f64, seed: u64, intents: Intents) -> World {
    use rand::{Rng, SeedableRng, rngs::StdRng};
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world =
        World::new(10, Properties { min_served_ratio: floor, served_window: s(120.0), ..Properties::default() });
    world.cluster.set_intents(intents);
    for t in 0..1500u32 {
        if t >= 300 && world.cluster.job_count() == 0 {
            break;
        }
        if t < 300 {
            for (class, cpus, gang, every_s) in [("small", 4.0, 1, 4), ("big", 4.0, gang, 8 * gang as u32)] {
                let times = if class == flood && (20..280).contains(&t) { times } else { 1 };
                for _ in 0..times {
                    if rng.random_ratio(1, every_s) {
                        world.submit(class, cpus, gang);
                    }
                }
            }
        }
        world.step(|_| true);
        if gang == 1 {
            world.assert_work_conserving();
        }
    }
    world
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 12, rng_seed: RngSeed::Fixed(23), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn class_stays_above_its_floor_while_another_class_floods(
        seed in any::<u64>(), which in 0..2usize, times in 3..7u32, gang in 1..3u64,
    ) {
        let classes = ["small", "big"];
        let world = simulate_flood(classes[which], times, gang, 0.75, seed);
        // As in the accounting: the objectives ask for nine tenths, and by offered work a class is entitled to the same
        // service as all. Judged over 300 s because shorter windows show a miss of the longest promise too late.
        let served = |class| {
            let (share, n) = world.in_time_share_between(class, 0, 300);
            ((share / 0.9).min(1.0), n as f64)
        };
        let ((flood, flooding), (other, n)) = (served(classes[which]), served(classes[1 - which]));
        let all = (other * n + flood * flooding) / (n + flooding).max(1.0);
        prop_assert!(n < 10.0 || other >= 0.75 * all, "{}: {other} of {n}, all {all}", classes[1 - which]);
        prop_assert_eq!(world.cluster.job_count(), 0, "no job may be left open");
    }
}

/// Without the floor, a flood of a class with higher returns starves a class with lower returns.
#[test]
fn floor_serves_a_low_return_class_in_a_flood_of_high_return_work() {
    let mean_share = |floor| {
        let shares: Vec<f64> =
            (0..4).map(|seed| simulate_flood("small", 6, 1, floor, seed).in_time_share("big")).collect();
        shares.iter().sum::<f64>() / shares.len() as f64
    };
    let (without, with) = (mean_share(0.0), mean_share(0.75));
    assert!(with >= 0.55 && with > without + 0.05, "share in time {without} without the floor, {with} with it");
}

/// A job that is too late for all of its promises waits behind jobs that can be in time, and would starve while more of
/// those arrive than the machines can run. Without a share of the cores as credit, it never starts.
#[test]
fn late_job_starts_by_core_credit_under_lasting_overload() {
    let started_after = |credit_share: f64| {
        let mut world =
            World::new(2, Properties { late_core_share: credit_share, min_served_ratio: 0.0, ..Properties::default() });
        world.submit("big", 8.0, 1);
        let late = JobId::from("run-000001");
        world.cluster.machines.values_mut().for_each(|m| m.state = crate::scheduling::cluster::MachineState::Draining);
        (0..420).for_each(|_| world.step(|_| true));
        world.cluster.machines.values_mut().for_each(|m| m.state = crate::scheduling::cluster::MachineState::Up);
        for t in 0..300 {
            // In every second more work arrives than all machines can run.
            (0..2).for_each(|_| world.submit("small", 8.0, 1));
            world.step(|_| true);
            if world.cluster.job(&late).is_none_or(|j| j.waiting.is_empty()) {
                return Some(t);
            }
        }
        None
    };
    assert_eq!(started_after(0.0), None);
    let started = started_after(0.05);
    assert!(started.is_some_and(|t| t < 240), "started after {started:?} s");
}

#[test]
fn core_credit_is_earned_by_other_work_and_spent_by_late_work() {
    // (name, placements as (cores, late), cores that the oldest late job needs, credit)
    type Case = (&'static str, &'static [(f64, bool)], Option<f64>, f64);
    let cases: [Case; 5] = [
        ("no late job: no credit", &[(100.0, false)], None, 0.0),
        ("a share of the cores of other work", &[(100.0, false)], Some(8.0), 10.0),
        ("spent by late work", &[(100.0, false), (8.0, true)], Some(8.0), 2.0),
        ("never below zero", &[(10.0, false), (8.0, true)], Some(8.0), 0.0),
        ("limited by what the oldest late job needs", &[(9000.0, false)], Some(480.0), 480.0),
    ];
    for (name, placed, needed_cores, want) in cases {
        let mut core_credit = CoreCredit::default();
        placed.iter().for_each(|(cores, late)| core_credit.record_placement(*cores, *late, 0.1));
        core_credit.cap(needed_cores);
        assert!((core_credit.cores() - want).abs() < 1e-9, "{name}: {}", core_credit.cores());
    }
}

/// A task that was lost twice with its machine is placed on the machine least likely to be lost, here the on-demand
/// machine, even where another machine holds its image.
#[test]
fn task_lost_twice_is_placed_on_an_on_demand_machine() {
    for (lost, want) in [(0, "cheap"), (1, "cheap"), (2, "steady")] {
        let now = Instant::now();
        let mut cluster = ClusterState::new(7, settings(), Properties::default(), now);
        cluster.loaded = true;
        for (machine, spot) in [("cheap", true), ("steady", false)] {
            cluster.take_heartbeat(heartbeat(machine, spot, 1, vec![]), MessageKind::Heartbeat, None, now);
        }
        let stored = vec![(0, 1, vec![crate::jobs::record::StoredTask::Waiting(lost)])];
        cluster.load_job(record(job(1, "small", "blue")), stored, now);
        let placed = plan::place(&mut cluster, &catalog(), now);
        assert_eq!(&*placed[0].machine, want, "task lost {lost} times");
    }
}

fn level_of(levels: &[ServiceLevel], name: &str) -> ServiceLevel {
    levels.iter().find(|level| level.name == name).cloned().unwrap()
}

fn open_job<'a>(spec: &'a JobSpec, promises: &'a [Promise], age: f64, unstarted_share: f64) -> OpenJob<'a> {
    OpenJob {
        spec,
        promises,
        age: s(age),
        run_time: s(10.0),
        has_waiting_tasks: unstarted_share > 0.0,
        unstarted_share,
        is_waiting_large_gang: false,
    }
}

#[test]
fn service_level_counts_kept_and_missed_promises_within_the_window() {
    let now = Instant::now();
    let at = |t: f64| now + s(t);
    let properties = Properties { served_window: s(100.0), ..Properties::default() };
    let mut accounting = FairShareAccounting::new(&settings(), &properties, now);
    let one = job(1, "small", "red");
    let promises = promises_of(&settings().params.objectives, &one, &Agreement::of(&one, s(10.0), 4.0));
    for n in 0..10 {
        accounting.record_submission(&one, Duration::ZERO, at(0.0));
        // Six start in time and four late; eight are done in time and two late.
        accounting.record_event(
            AccountingEvent::TasksStarted(1.0),
            &one,
            &promises,
            s(if n < 6 { 10.0 } else { 40.0 }),
            at(1.0),
        );
        accounting.record_end(&record(one.clone()), Some(End::Done), s(if n < 8 { 50.0 } else { 150.0 }), at(2.0));
    }
    accounting.record_end(&record(one.clone()), Some(End::Cancelled), s(50.0), at(2.0));
    accounting.record_event(AccountingEvent::StartLost, &one, &promises, s(5.0), at(2.0));
    let level = level_of(accounting.update([].into_iter(), at(3.0)), "small");
    assert_eq!((level.offered, level.done, level.cancelled, level.lost_starts, level.overdue), (10, 10, 1, 1, 0));
    let waits = open_job(&one, &promises, 120.0, 0.5);
    let level = level_of(accounting.update([waits].into_iter(), at(3.0)), "small");
    assert_eq!(
        (level.start_promises, level.overdue),
        (PromiseCounts { kept: 6.0, missed: 4.5 }, 1),
        "an open job has missed the start of half its tasks"
    );
    assert!(
        (level.served - 6.0 / 10.5 / 0.8).abs() < 1e-9,
        "the least kept promise, relative to the share asked for: {}",
        level.served
    );
    assert!(level.below_floor, "served 0.71, floor 0.75");
    assert_eq!(
        level_of(accounting.service_levels(), "red").served,
        level.served,
        "the team is served like its only class"
    );
    assert!(accounting.update([].into_iter(), at(200.0)).is_empty(), "counts expire after the window");
}

/// A class or team below the floor is prioritized only if it also gets less than its offered work entitles it to.
#[test]
fn subjects_below_the_floor_are_prioritized_only_below_their_entitlement() {
    let now = Instant::now();
    let properties = Properties::default();
    // (name, (class, team, done in time, done late)..., below the floor, prioritized)
    type Served<'a> = (&'a str, &'a str, usize, usize);
    type Case<'a> = (&'a str, &'a [Served<'a>], &'a [&'a str], &'a [&'a str]);
    let cases: [Case; 5] = [
        ("all above the floor", &[("small", "red", 19, 1), ("big", "blue", 19, 1)], &[], &[]),
        (
            "a flood below the floor by its own load",
            &[("small", "red", 50, 50), ("big", "blue", 9, 1)],
            &["red", "small"],
            &[],
        ),
        ("a class starved by a flood", &[("small", "red", 85, 15), ("big", "blue", 4, 6)], &["big", "blue"], &["big"]),
        ("a starved team", &[("small", "red", 80, 20), ("small", "blue", 4, 6)], &["blue"], &["blue"]),
        ("too few promises judged", &[("small", "red", 80, 20), ("big", "blue", 0, 5)], &[], &[]),
    ];
    for (name, served, below_floor, prioritized) in cases {
        let mut accounting = FairShareAccounting::new(&settings(), &properties, now);
        for (class, team, in_time, late) in served {
            let one = job(1, class, team);
            for n in 0..in_time + late {
                accounting.record_submission(&one, Duration::ZERO, now);
                accounting.record_end(
                    &record(one.clone()),
                    Some(End::Done),
                    s(if n < *in_time { 50.0 } else { 300.0 }),
                    now,
                );
            }
        }
        let levels = accounting.update([].into_iter(), now).to_vec();
        let names = |selected: fn(&&ServiceLevel) -> bool| {
            let mut names: Vec<String> = levels.iter().filter(selected).map(|level| level.name.clone()).collect();
            names.sort();
            names
        };
        assert_eq!(names(|level| level.below_floor), below_floor, "{name}: below the floor");
        assert_eq!(names(|level| level.prioritized), prioritized, "{name}: prioritized");
    }
}

#[test]
fn entry_count_is_bounded_for_any_number_of_class_names() {
    let now = Instant::now();
    let mut accounting = FairShareAccounting::new(&settings(), &Properties::default(), now);
    for n in 0..20_000 {
        let one = job(n, &format!("class-{n}"), "red");
        accounting.record_submission(&one, Duration::ZERO, now + s(f64::from(n)));
        accounting.record_submission(&job(n, &format!("other-{n}"), "red"), Duration::ZERO, now);
    }
    assert!(
        accounting.entry_count() <= MAX_NAMES_PER_SLICE * 2 * WINDOW_SLICES as usize,
        "{}",
        accounting.entry_count()
    );
}

/// Two controllers see the same submissions and ends, and the leader sends its starts to the other. After a change of
/// the leader, and after one back, both have the same service levels and no start counts twice.
#[test]
fn successor_inherits_the_starts_and_counts_none_twice() {
    let now = Instant::now();
    let at = |t: f64| now + s(t);
    let properties = Properties::default();
    let mut accountings = [0, 1].map(|_| FairShareAccounting::new(&settings(), &properties, now));
    let one = job(1, "small", "red");
    let promises = promises_of(&settings().params.objectives, &one, &Agreement::of(&one, s(10.0), 4.0));
    let mut leader = 0;
    for round in 0..4 {
        let t = f64::from(round) * 40.0;
        for n in 0..10 {
            accountings.iter_mut().for_each(|a| a.record_submission(&one, Duration::ZERO, at(t)));
            accountings[leader].record_event(
                AccountingEvent::TasksStarted(1.0),
                &one,
                &promises,
                s(if n < 3 { 10.0 } else { 60.0 }),
                at(t + 1.0),
            );
            accountings
                .iter_mut()
                .for_each(|a| a.record_end(&record(one.clone()), Some(End::Done), s(50.0), at(t + 2.0)));
        }
        // An open job that has missed its start: both controllers see it, and it counts once.
        let late_job = || [open_job(&one, &promises, 120.0, 1.0)].into_iter();
        let levels = accountings[leader].update(late_job(), at(t + 5.0)).to_vec();
        let successor = 1 - leader;
        accountings[successor].inherit_starts(&levels, at(t + 5.0));
        // Starts that a replaced leader sent earlier and that arrive late are ignored.
        accountings[successor].inherit_starts(&levels, at(t));
        let inherited = accountings[successor].update(late_job(), at(t + 5.0)).to_vec();
        assert_eq!(
            level_of(&inherited, "small").start_promises,
            level_of(&levels, "small").start_promises,
            "round {round}"
        );
        assert_eq!(inherited, levels, "round {round}");
        assert_eq!(level_of(&levels, "small").start_promises.kept, 3.0 * f64::from(round + 1), "round {round}");
        assert!(
            level_of(&inherited, "small").below_floor && !level_of(&inherited, "small").prioritized,
            "the only class is entitled to no more than it gets"
        );
        leader = successor;
    }
}
