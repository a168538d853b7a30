//! Simulations in which two or three faults coincide, mostly just after something was stored, acted on or answered.

use std::time::{Duration, Instant};

use rand::Rng;

use super::users::{Tally, Users};
use super::workers::UnheardAnswers;
use super::world::World;
use super::{LEADER_LEASE, WORKER_LEASE};
use crate::jobs::JobId;
use crate::jobs::record::open_key;

/// Number of fault kinds that are drawn at random: all kinds below it. The other kinds only occur within sequences.
const DRAWN_FAULT_KINDS: usize = 17;
const STORE_OUTAGE: usize = 0;
const STORE_OUTAGE_AGAIN: usize = 1;
const LEADER_REFUSED: usize = 2;
const FOLLOWER_REFUSED: usize = 3;
const SLOW_STORE: usize = 4;
const FOLLOWER_UNREACHABLE: usize = 5;
const TAKEOVER: usize = 6;
const RESTART_OF_ALL: usize = 7;
const LEADER_PAUSE: usize = 8;
const WORKERS_HANG: usize = 9;
const LEADER_REFUSED_THEN_OUTAGE: usize = 10;
const HANG_THEN_LEADER_PAUSE: usize = 11;
const HANG_THEN_TAKEOVER: usize = 12;
const TAKEOVER_THEN_LEADER_REFUSED: usize = 13;
const ZONE_PARTITION: usize = 14;
const OUTBOUND_PARTITION: usize = 15;
const TEN_TAKEOVERS: usize = 16;
const LONG_STORE_OUTAGE: usize = 20;
const CANCELLATION: usize = 21;
const LEADER_FAILURE: usize = 22;

impl World {
    /// Creates a world with users, with this number of machines and a first leader.
    pub(super) fn with_users(seed: u64, machines: usize) -> Self {
        let mut world = Self::new(seed, machines);
        let leader_records = std::mem::take(&mut world.users.leader_records);
        world.users = Users::new(true, world.now);
        world.users.leader_records = leader_records;
        world.max_jobs = machines * 5;
        world
    }

    /// Draws combined faults and begins those that are due.
    pub(super) fn draw_combined_faults(&mut self) {
        if self.rng.random_bool(0.01) {
            self.cancel_random_job();
        }
        if std::mem::take(&mut self.users.fault_trigger) && self.rng.random_bool(0.15) || self.rng.random_bool(0.003) {
            for _ in 0..self.rng.random_range(2..4) {
                let at = self.now + Duration::from_millis(self.rng.random_range(0..5000));
                let kind = self.rng.random_range(0..DRAWN_FAULT_KINDS);
                self.users.planned_faults.push((at, kind));
            }
        }
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.users.planned_faults).into_iter().partition(|(at, _)| *at <= now);
        self.users.planned_faults = later;
        let due: Vec<_> = due;
        for (_, kind) in due {
            self.trace(&format!("fault {kind}"));
            self.begin_fault(kind);
        }
    }

    /// Plans faults of these kinds, each up to 1.5 s after the one before it.
    fn plan_sequence(&mut self, kinds: &[usize]) {
        let mut at = self.now;
        for kind in kinds {
            at += self.random_ms(50..1500);
            self.users.planned_faults.push((at, *kind));
        }
    }

    /// Starts an outage of the store for all controllers. It ends a refusal of a single follower no later than itself.
    pub(super) fn start_store_outage(&mut self, duration: Duration) {
        self.users.store_outage = Some((self.now, self.now + duration));
        self.users.tally.outages += 1;
        for follower in &mut self.users.followers {
            follower.store_refused_until = follower.store_refused_until.min(self.now + duration);
        }
    }

    /// Lets the store refuse the leader alone, which still reaches the other controllers.
    pub(super) fn refuse_leader_at_store(&mut self, duration: Duration) {
        let (now, current) = (self.now, self.leader);
        if let Some(leader) = self.leaders[current].as_mut().filter(|o| o.store_partition.is_none()) {
            leader.store_partition = Some((now, now + duration));
            leader.membership.reaches_peers = true;
            self.users.tally.leader_refusals += 1;
        }
    }

    /// Prints a line of the trace, if a single seed is simulated.
    pub(super) fn trace(&self, event: &str) {
        if std::env::var("MEETINGS_SEED").is_ok() {
            println!("{:7.1} {event}", (self.now - self.start).as_secs_f64());
        }
    }

    /// Lets a machine hang. In a world with users it continues within its lease, or with a new agent epoch, as the
    /// protocol allows: a successor that cannot load its cluster state in an outage knows no machine to terminate.
    /// Machines hang for longer in worlds without users and in the tests with fixed steps below.
    pub(super) fn hang_worker(&mut self, w: usize, until: Instant) {
        let hang_allowed = self.workers[w].hangs_until + Duration::from_secs(20) <= self.now;
        if !self.users.enabled || hang_allowed {
            let lease = self.workers[w].lease_renewed_at + WORKER_LEASE;
            self.workers[w].hangs_until = if self.users.enabled { until.min(lease) } else { until };
        }
    }

    /// Counts the machines on which a task of the job is live.
    fn count_machines_running(&self, id: &JobId) -> usize {
        self.workers
            .iter()
            .filter(|w| w.attempts.iter().any(|l| l.task.job == *id && w.has_live_attempt(&l.task)))
            .count()
    }

    /// Steps until the job runs on this number of machines, then lets no running task exit by itself before the
    /// returned time.
    fn run_without_end(&mut self, id: &JobId, machines: usize) -> Instant {
        let mut steps = 0;
        while self.count_machines_running(id) < machines {
            self.step();
            steps += 1;
            assert!(steps < 600, "the job never ran on {machines} machines");
        }
        let far_future = self.now + Duration::from_secs(100_000);
        self.workers.iter_mut().for_each(|w| w.task_ends_at.values_mut().for_each(|at| *at = far_future));
        (0..20).for_each(|_| self.step());
        far_future
    }

    /// Draws a duration from a range of milliseconds.
    fn random_ms(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    /// Begins a fault of this kind.
    fn begin_fault(&mut self, kind: usize) {
        match kind {
            STORE_OUTAGE | STORE_OUTAGE_AGAIN => self.begin_random_outage(),
            LEADER_REFUSED => {
                let duration = self.random_ms(1000..20_000);
                self.refuse_leader_at_store(duration);
            }
            FOLLOWER_REFUSED => self.refuse_follower_at_store(),
            SLOW_STORE => self.users.store_slow_until = self.now + self.random_ms(1000..20_000),
            FOLLOWER_UNREACHABLE => self.isolate_follower(),
            TAKEOVER => self.begin_takeover(),
            RESTART_OF_ALL => self.restart_all_controllers(),
            LEADER_PAUSE => self.pause_leader(),
            // Sequences of faults with a cancellation.
            LEADER_REFUSED_THEN_OUTAGE => self.plan_sequence(&[LEADER_REFUSED, CANCELLATION, LONG_STORE_OUTAGE]),
            HANG_THEN_LEADER_PAUSE => {
                self.plan_sequence(&[CANCELLATION, WORKERS_HANG, LEADER_PAUSE, LONG_STORE_OUTAGE])
            }
            HANG_THEN_TAKEOVER => self.plan_sequence(&[CANCELLATION, WORKERS_HANG, TAKEOVER, LONG_STORE_OUTAGE]),
            TAKEOVER_THEN_LEADER_REFUSED => {
                self.plan_sequence(&[TAKEOVER, CANCELLATION, LEADER_REFUSED, LONG_STORE_OUTAGE])
            }
            ZONE_PARTITION => self.partition_zone(),
            OUTBOUND_PARTITION => self.partition_outbound(),
            TEN_TAKEOVERS => self.plan_ten_takeovers(),
            LEADER_FAILURE => self.fail_leader(),
            LONG_STORE_OUTAGE => self.begin_long_outage(),
            CANCELLATION => self.cancel_random_job(),
            _ => self.hang_workers_with_ended_tasks(),
        }
    }

    /// Begins a short or a long outage of the store.
    fn begin_random_outage(&mut self) {
        let now = self.now;
        let long = self.rng.random_bool(0.4);
        let duration = if long { self.random_ms(50_000..75_000) } else { self.random_ms(1000..20_000) };
        // Between outages the store has to be available for long enough to store anything.
        if !self.store_is_out() && now - self.users.store_back_at > Duration::from_secs(15) {
            self.start_store_outage(duration);
        }
    }

    /// Lets the store refuse one follower.
    fn refuse_follower_at_store(&mut self) {
        let now = self.now;
        let f = self.rng.random_range(0..self.users.followers.len());
        self.users.followers[f].store_refused_until = now + self.random_ms(1000..20_000);
    }

    /// Breaks the peer connections between one follower and the leaders.
    fn isolate_follower(&mut self) {
        let now = self.now;
        let f = self.rng.random_range(0..self.users.followers.len());
        self.users.followers[f].unreachable_until = now + self.random_ms(1000..40_000);
    }

    /// Lets another controller lead, and at times one more within 1.5 s.
    fn begin_takeover(&mut self) {
        let now = self.now;
        self.take_over();
        self.users.tally.takeovers += 1;
        if self.rng.random_bool(0.3) {
            let at = now + self.random_ms(100..1500);
            self.users.planned_faults.push((at, TAKEOVER));
        }
    }

    /// Ends all controllers; one is back and can lead within the election lease of the last leader or after it.
    fn restart_all_controllers(&mut self) {
        let now = self.now;
        let lease = LEADER_LEASE.as_millis() as u64;
        self.leaders.iter_mut().for_each(|leader| *leader = None);
        (0..self.users.followers.len()).for_each(|f| self.restart_follower(f));
        let restart_delay =
            if self.rng.random_bool(0.5) { self.random_ms(50..1000) } else { self.random_ms(lease..20_000) };
        self.next_leader_from = now + restart_delay;
        self.users.tally.full_restarts += 1;
    }

    /// Pauses the leader's process; its knowledge is unproven when it continues.
    fn pause_leader(&mut self) {
        let now = self.now;
        let until = now + self.random_ms(500..12_000);
        if let Some(leader) = self.leaders[self.leader].as_mut().filter(|o| o.pause.is_none()) {
            leader.pause = Some((now, until));
            let current = self.leader;
            self.workers.iter_mut().for_each(|w| w.unheard_answers = UnheardAnswers::none(current));
        }
    }

    /// Partitions a zone with the leader and half of the machines. Its successor may confirm cancellations and then
    /// fails.
    fn partition_zone(&mut self) {
        let now = self.now;
        let (current, until) = (self.leader, now + self.random_ms(20_000..90_000));
        if let Some(leader) = self.leaders[current].as_mut().filter(|o| o.store_partition.is_none()) {
            leader.store_partition = Some((now, until));
            leader.membership.reaches_peers = false;
            for worker in self.workers.iter_mut().step_by(2) {
                (worker.preferred_leader, worker.partitioned_until) = (Some(current), until);
            }
            self.users.tally.zone_partitions += 1;
            self.plan_sequence(&[TAKEOVER, CANCELLATION, CANCELLATION, LEADER_FAILURE, LONG_STORE_OUTAGE]);
        }
    }

    /// Partitions half of the machines one way: their heartbeats reach no controller.
    fn partition_outbound(&mut self) {
        let now = self.now;
        let until = now + self.random_ms(5000..60_000);
        let first = self.rng.random_range(0..2);
        self.workers.iter_mut().skip(first).step_by(2).for_each(|w| w.outbound_lost_until = until);
        self.users.tally.outbound_partitions += 1;
    }

    /// Plans ten takeovers within two minutes; not all leaders have the time to load their cluster state.
    fn plan_ten_takeovers(&mut self) {
        let now = self.now;
        let mut at = now;
        for _ in 0..10 {
            at += self.random_ms(1000..22_000);
            self.users.planned_faults.push((at, TAKEOVER));
        }
    }

    /// Ends the leader; the next election follows once its lease has expired.
    fn fail_leader(&mut self) {
        let now = self.now;
        self.leaders[self.leader] = None;
        self.next_leader_from = now + LEADER_LEASE;
    }

    /// Begins an outage of the store that outlasts the cancellation deadline.
    fn begin_long_outage(&mut self) {
        let now = self.now;
        let duration = self.random_ms(50_000..75_000);
        if !self.store_is_out() && now - self.users.store_back_at > Duration::from_secs(5) {
            self.start_store_outage(duration);
        }
    }

    /// Lets the machines with live tasks of ended jobs hang.
    fn hang_workers_with_ended_tasks(&mut self) {
        let now = self.now;
        let until = now + self.random_ms(1000..40_000);
        for w in self.workers_with_ended_tasks() {
            self.hang_worker(w, until);
        }
    }
}

#[test]
fn rules_hold_under_combined_faults() {
    let mut tally = Tally::default();
    for seed in seeds() {
        println!("seed {seed}");
        let mut world = World::with_users(seed, 6);
        if seed % 4 == 0 {
            // Room for the ids of two held cancellations.
            world.users.max_held_bytes = 30;
        }
        world.simulate(2400);
        tally += world.users.tally;
    }
    println!("{tally:?}");
    assert!(tally.confirmed > 100 && tally.unanswered_questions > 500 && tally.confirmed_by_leader > 30, "{tally:?}");
    assert!(tally.answered_as_open > 500 && tally.answered_while_held > 30 && tally.confirmed_again > 500, "{tally:?}");
    assert!(tally.outages > 80 && tally.outages_past_deadline > 30, "{tally:?}");
    assert!(tally.stored_confirmations > 30 && tally.late_confirmations > 30, "{tally:?}");
    assert!(
        tally.heartbeats_before_load > 100 && tally.stop_only_answers > 20 && tally.unanswered_heartbeats > 100,
        "{tally:?}"
    );
    assert!(tally.zone_partitions > 20 && tally.outbound_partitions > 20, "{tally:?}");
    assert!(tally.leader_refusals > 40 && tally.full_restarts > 40 && tally.takeovers > 40, "{tally:?}");
}

/// Returns the seeds to simulate: all, or the one in `MEETINGS_SEED`, which is also traced.
fn seeds() -> std::ops::Range<u64> {
    match std::env::var("MEETINGS_SEED").ok().and_then(|seed| seed.parse().ok()) {
        Some(seed) => seed..seed + 1,
        None => 0..56,
    }
}

/// Fixed steps of the first case of combined faults from the operators: the store refuses the leader alone, a follower
/// stores a cancellation, and two seconds later the store is out for all controllers, past the cancellation deadline,
/// while workers send heartbeats to the leader. The cancellation must not be confirmed before the leader can know it.
#[test]
fn cancellation_is_not_confirmed_while_the_store_refuses_the_leader_and_then_all() {
    let mut world = World::with_users(1, 3);
    world.fault_free = true;
    world.submit_job();
    let id = world.records.keys().next().expect("submitted").clone();
    let live = |world: &World| world.count_machines_running(&id);
    world.run_without_end(&id, 1);
    world.refuse_leader_at_store(Duration::from_secs(14));
    (0..5).for_each(|_| world.step());
    let sent = crate::history::job_transactions::cancel_job(&world.records[&id], None, 0, usize::MAX);
    world.apply_transaction(&sent.conditions, &sent.changes).expect("the store serves the follower");
    (0..15).for_each(|_| world.step());
    world.start_store_outage(Duration::from_secs(68));
    for _ in 0..670 {
        world.step();
        assert!(!world.cancelled_since.contains_key(&id), "confirmed while the leader cannot know of it");
    }
    assert!(live(&world) > 0, "the leader cannot know of the cancellation and lets the job run");
    assert!(!world.store.has(&open_key(&id)));
    let mut steps = 0;
    while live(&world) > 0 || !world.cancelled_since.contains_key(&id) {
        world.step();
        steps += 1;
        assert!(steps < 600, "not confirmed or still running a minute after the outage");
    }
}

/// The leader confirms a cancellation while all machines hang, as they may through a network fault. Leaders end at
/// these times after the cancellation, before each has waited for long enough, and the last successor still terminates
/// the machines in time. The rule is checked at every step. The seeds decide when a successor has loaded its cluster
/// state; with these no leader terminates the machines before it ends.
fn terminate_hanging_machines_across_takeovers(seed: u64, leader_ends_after_s: &[u64]) {
    let mut world = World::with_users(seed, 6);
    world.fault_free = true;
    (0..3).for_each(|_| world.submit_job());
    let id = world.records.keys().last().expect("submitted").clone();
    let live = |world: &World| world.count_machines_running(&id);
    let far_future = world.run_without_end(&id, 4);
    world.workers.iter_mut().for_each(|w| w.hangs_until = far_future);
    let (leader, confirmed_at) = (world.leader, world.now);
    let fencing_token = world.leaders[leader].as_ref().expect("it leads").cluster.fencing_token;
    let sent = crate::history::job_transactions::cancel_job(&world.records[&id], Some(fencing_token), 0, usize::MAX);
    world.apply_transaction(&sent.conditions, &sent.changes).expect("the store serves the leader");
    world.apply_cancellation(leader, &id, fencing_token);
    for after_s in leader_ends_after_s {
        while world.now < confirmed_at + Duration::from_secs(*after_s) {
            world.step();
        }
        assert!(live(&world) > 0, "machines terminated before the leader ends");
        let leader = world.leader;
        world.leaders[leader] = None;
        world.next_leader_from = world.now + LEADER_LEASE;
    }
    (0..600).for_each(|_| world.step());
    assert_eq!(live(&world), 0);
}

#[test]
fn hanging_machines_with_cancelled_tasks_are_terminated_across_a_takeover() {
    for seed in [3, 11] {
        terminate_hanging_machines_across_takeovers(seed, &[21]);
    }
}

#[test]
fn hanging_machines_with_cancelled_tasks_are_terminated_across_two_takeovers() {
    for seed in [0, 11] {
        terminate_hanging_machines_across_takeovers(seed, &[15, 33]);
    }
}

/// A successor that may confirm a cancellation ends before it has reached the job's machine by an answer or a command.
/// Then the store is out for all controllers, past the cancellation deadline, while the machine sends heartbeats to the
/// deposed leader, which still answers it and does not know of the cancellation.
#[test]
fn cancellation_is_confirmed_safely_when_the_successor_ends_before_the_machine_hears_it() {
    let mut world = World::with_users(1, 3);
    world.fault_free = true;
    world.submit_job();
    let id = world.records.keys().next().expect("submitted").clone();
    world.run_without_end(&id, 1);
    let (deposed, partitioned_until) = (world.leader, world.now + Duration::from_secs(120));
    for worker in &mut world.workers {
        (worker.preferred_leader, worker.partitioned_until) = (Some(deposed), partitioned_until);
    }
    world.refuse_leader_at_store(Duration::from_secs(120));
    world.take_over();
    let sent = crate::history::job_transactions::cancel_job(&world.records[&id], None, 0, usize::MAX);
    world.apply_transaction(&sent.conditions, &sent.changes).expect("the store serves the follower");
    let successor = world.leader;
    while world.leaders[successor].as_ref().is_some_and(|leader| !leader.cluster.loaded) {
        world.step();
    }
    (0..20).for_each(|_| world.step());
    // The successor never returns, and nobody can be elected until the store is back. The rule is checked at every
    // step.
    world.leaders[successor] = None;
    world.next_leader_from = world.now + LEADER_LEASE;
    world.start_store_outage(Duration::from_secs(68));
    (0..1200).for_each(|_| world.step());
    assert!(world.cancelled_since.contains_key(&id), "confirmed once no task of the job can run on");
    assert_eq!(world.count_machines_running(&id), 0);
}
