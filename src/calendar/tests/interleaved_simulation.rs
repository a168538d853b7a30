//! Seeded interleavings of three controllers, users and the store, with two windows under way: the real
//! watch cache, registry and driver. Leaders are lost between any two of decided, sent and answered, copies come
//! late, clocks differ and step back, and at times nobody looks for longer than a window.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Instant;

use rand::Rng;
use serde_json::json;

use super::{HOUR, MIDNIGHT, job, window};
use crate::calendar::Window;
use crate::calendar::spec::{Day, WindowSpec};
use crate::calendar::status::{ClaimEnd, InstanceOutcome, WindowStatus};
use crate::calendar::step::{GRACE_MS, latest_start_ms};
use crate::declarations::DeclarationKind;
use crate::declarations::driver::refresh_intents;
use crate::declarations::records::{spec_key, status_key};
use crate::declarations::table::KindOperations;
use crate::declarations::tests::simulation::{Controller, SentTransaction, SimulationHarness};
use crate::jobs::record::{JobRecord, StoredTask, open_key};
use crate::jobs::{End, JobId};
use crate::store::Change;

static KINDS: [KindOperations; 1] = [KindOperations::of::<Window>()];
const NAMES: [&str; 2] = ["one", "two"];

/// What the simulation leaves out.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Without {
    Nothing,
    /// The condition on the status that was read.
    WindowStatus,
    /// Waiting for what is stored: whoever was accepted may begin at once.
    Turns,
}

struct Simulation {
    /// Each controller keeps what it knows of ends; lost with the process, asked for again.
    harness: SimulationHarness<HashMap<JobId, End>>,
    specs: BTreeMap<&'static str, WindowSpec>,
    leader: usize,
    without: Without,
    now_ms: u64,
    jobs: usize,
    begun: BTreeSet<JobId>,
    over: BTreeMap<JobId, End>,
    ended: BTreeMap<(String, Day), InstanceOutcome>,
    claimed: HashMap<JobId, (String, Day, u32)>,
    broken: Vec<String>,
}

impl Simulation {
    fn new(seed: u64, without: Without) -> Self {
        let start = MIDNIGHT + 6 * HOUR - 120_000;
        let turns = |closes: &str, turns| window(json!({"closes": closes, "turns": turns, "declared_ms": start}));
        let specs =
            BTreeMap::from([("one", turns("06:40", json!(["roster", "plan"]))), ("two", turns("07:10", json!([])))]);
        let stored =
            specs.iter().map(|(name, s)| (spec_key(DeclarationKind::Window, name), serde_json::to_value(s).unwrap()));
        let mut harness = SimulationHarness::new(seed, &KINDS, &stored.collect::<Vec<_>>());
        (0..3).for_each(|n| harness.controllers[n].skew_ms = (n as i64 - 1) * 900);
        let mut simulation = Self {
            harness,
            specs,
            leader: 0,
            without,
            now_ms: start,
            jobs: 0,
            begun: BTreeSet::new(),
            over: BTreeMap::new(),
            ended: BTreeMap::new(),
            claimed: HashMap::new(),
            broken: Vec::new(),
        };
        simulation.write_leader_record(0);
        simulation
    }

    fn follow(&mut self, at: usize) {
        self.harness.update_watch_cache(at, true);
        let Controller { watch_cache, leader, kind_state, .. } = &mut self.harness.controllers[at];
        let Some((cluster, _)) = leader.as_mut() else { return };
        let gone: Vec<JobId> =
            cluster.jobs().map(|(id, _)| id).filter(|id| watch_cache.open_job(id).is_none()).cloned().collect();
        gone.iter().for_each(|id| cluster.end_job(id, kind_state.get(id).copied(), Instant::now()));
        watch_cache.open_jobs().for_each(|(_, record)| cluster.add_job(record.clone(), Instant::now()));
    }

    /// Another leads, or the same process anew.
    fn write_leader_record(&mut self, at: usize) {
        self.harness.write_leader_record(at);
        let Controller { watch_cache, leader, kind_state, .. } = &mut self.harness.controllers[at];
        kind_state.clear();
        let (cluster, _) = leader.as_mut().unwrap();
        for (id, record) in watch_cache.open_jobs() {
            cluster.add_job(record.clone(), Instant::now());
            if self.begun.contains(id) {
                cluster.load_shard(id, 0, 1, vec![StoredTask::Bound(1, "host-1".into())], Instant::now());
            }
        }
        self.leader = at;
    }

    fn evaluate(&mut self, at: usize) {
        let Some(output) = self.harness.evaluate(at, self.now_ms, |ends, id| ends.get(id).copied()) else { return };
        for id in output.unknown_ends {
            if let Some(end) = self.over.get(&id).filter(|_| self.harness.rng.random_ratio(1, 2)) {
                self.harness.controllers[at].kind_state.insert(id, *end);
            }
        }
    }

    fn send(&mut self, at: usize) {
        let without = self.without;
        if let Some(sent) = self.harness.send(at, |c| without == Without::WindowStatus && c.path.starts_with("c/t/"))
            && let Some(revision) = self.apply(&sent)
        {
            self.harness.mark_stored(at, revision);
        }
    }

    fn status(&self, name: &str) -> WindowStatus {
        let stored = self.harness.store.value(&status_key(DeclarationKind::Window, name));
        stored.map(|value| serde_json::from_value(value.clone()).unwrap()).unwrap_or_default()
    }

    /// Every rule that a stored change can break.
    fn apply(&mut self, (conditions, changes): &SentTransaction) -> Option<u64> {
        let before = NAMES.map(|name| self.status(name));
        let revision = self.harness.store.apply_if(conditions, changes).ok()?;
        for (name, before) in NAMES.into_iter().zip(before) {
            let after = self.status(name);
            for ended in after.missed.iter().chain(&after.last) {
                let known = self.ended.entry((name.to_owned(), ended.day)).or_insert(ended.outcome);
                if *known != ended.outcome {
                    self.broken.push(format!("{name} {}: ended twice", ended.day));
                }
            }
            if after.last_day() < before.last_day() {
                self.broken.push(format!("{name}: opened again"));
            }
            let Some(now) = &after.current else { continue };
            for claim in &now.claims {
                let has = (name.to_owned(), now.day, claim.turn);
                if *self.claimed.entry(claim.job.clone()).or_insert_with(|| has.clone()) != has {
                    self.broken.push(format!("{name}: {} has two turns", claim.job));
                }
            }
            let was = before.current.filter(|was| was.day == now.day);
            if was.is_some_and(|was| was.turn > now.turn || was.claims.len() > now.claims.len()) {
                self.broken.push(format!("{name}: a turn or a claim was taken back"));
            }
        }
        Some(revision)
    }

    fn submit(&mut self) {
        if self.jobs < 16 {
            let class = ["plan", "roster"][self.harness.rng.random_range(0..2)];
            let record: JobRecord = JobRecord::clone(&job(self.jobs, class, self.now_ms));
            self.jobs += 1;
            let value = serde_json::to_value(&record).unwrap();
            self.harness.store.apply_if(&[], &[Change::write(open_key(&record.spec.id), value)]).unwrap();
        }
    }

    /// The leader places a job that it may: the lesser turn first.
    fn begin(&mut self) {
        let Controller { watch_cache, leader, kind_state, skew_ms, .. } = &mut self.harness.controllers[self.leader];
        let Some((cluster, _)) = leader.as_mut() else { return };
        if cluster.intents_outdated {
            let now_ms = self.now_ms.saturating_add_signed(*skew_ms);
            refresh_intents(
                &KINDS,
                cluster,
                watch_cache.registry(),
                &|id| kind_state.get(id).copied(),
                Instant::now(),
                now_ms,
            );
        }
        let may = |id: &&JobId| self.without == Without::Turns || !cluster.intents.deferred_jobs.contains(*id);
        let number = |id: &JobId| cluster.intents.window_turns.get(id).map(|t| t.position);
        let open = cluster.jobs().filter(|(id, j)| j.ended.is_none() && !self.begun.contains(*id)).map(|(id, _)| id);
        let Some(id) = open.filter(may).min_by_key(|id| (number(id), (*id).clone())).cloned() else { return };
        cluster.load_shard(&id, 0, 1, vec![StoredTask::Bound(1, "host-1".into())], Instant::now());
        self.begun.insert(id.clone());
        // Out of turn: another of its window waits for an earlier turn that has not been passed over.
        for name in NAMES {
            let Some(instance) = self.status(name).current else { continue };
            let Some(mine) = instance.claims.iter().find(|claim| claim.job == id) else { continue };
            let waits =
                |turn: u32, job: &JobId| turn < mine.turn && !self.begun.contains(job) && !self.over.contains_key(job);
            if mine.turn > instance.turn && instance.claims.iter().any(|c| waits(c.turn, &c.job)) {
                self.broken.push(format!("{name}: {id} begins out of turn"));
            }
        }
    }

    fn end(&mut self) {
        let open = self.begun.iter().filter(|id| !self.over.contains_key(*id)).cloned().collect::<Vec<_>>();
        if open.is_empty() {
            return;
        }
        let id = open[self.harness.rng.random_range(0..open.len())].clone();
        let end = if self.harness.rng.random_ratio(1, 6) { End::Cancelled } else { End::Done };
        self.harness.store.apply_if(&[], &[Change::Drop { drop: open_key(&id) }]).unwrap();
        self.harness.controllers[self.leader].kind_state.insert(id.clone(), end);
        self.over.insert(id, end);
    }

    fn step(&mut self) {
        let at = self.harness.rng.random_range(0..3);
        match self.harness.rng.random_range(0..40) {
            0 => self.write_leader_record(at),
            1..3 => self.submit(),
            3..7 => self.begin(),
            7..9 => self.end(),
            9..18 => self.follow(self.leader),
            18..25 => self.evaluate(self.leader),
            25 => self.evaluate(at),
            26..33 => self.send(self.leader),
            33 => self.send(at),
            34 if !self.harness.delayed.is_empty() => {
                let sent = self.harness.take_delayed();
                self.apply(&sent);
            }
            35 => self.now_ms -= self.harness.rng.random_range(0..20) * 1000,
            36 if self.harness.rng.random_ratio(1, 12) => self.now_ms += self.harness.rng.random_range(1..30) * HOUR,
            _ => self.now_ms += self.harness.rng.random_range(0..60) * 1000,
        }
    }

    /// Whoever leads last goes on alone, two days on.
    fn settle(&mut self) {
        self.write_leader_record(0);
        for round in 0..160 {
            self.now_ms += if round < 40 { HOUR } else { 1000 };
            self.follow(0);
            self.evaluate(0);
            self.send(0);
            if let Some(sent) = self.harness.delayed.pop() {
                self.apply(&sent);
            }
        }
        for (name, spec) in &self.specs {
            let mut due = spec.next_instance(None, spec.declared_ms.unwrap());
            while let Some(span) = due.filter(|s| latest_start_ms(self.now_ms, 120.0) >= s.closes_ms + GRACE_MS) {
                if !self.ended.contains_key(&((*name).to_owned(), span.day)) {
                    self.broken.push(format!("{name} {} slipped past", span.day));
                }
                due = spec.next_instance(Some(span.day), 0);
            }
        }
    }
}

fn simulate(seed: u64, without: Without) -> Simulation {
    let mut simulation = Simulation::new(seed, without);
    (0..700).for_each(|_| simulation.step());
    simulation.settle();
    simulation
}

/// Each window ends once, in order; none slips past; turns and claims are never given twice or taken
/// back, and nothing begins before its turn is stored, whoever leads and whatever comes late.
#[test]
fn no_window_is_skipped_while_leaders_change() {
    let (mut met, mut claims, mut over) = (0, 0, 0);
    for seed in 0..120 {
        let simulation = simulate(seed, Without::Nothing);
        assert!(simulation.broken.is_empty(), "seed {seed}: {:?}", simulation.broken);
        met += simulation.ended.values().filter(|end| **end == InstanceOutcome::Met).count();
        claims += simulation.claimed.len();
        let stored = |name| simulation.status(name).current.map_or(Vec::new(), |i| i.claims);
        over += NAMES.iter().flat_map(|n| stored(n)).filter(|c| matches!(c.end, Some(ClaimEnd::Done(_)))).count();
    }
    // The simulations come to what they are to guard.
    assert!(met > 20 && claims > 120, "{met} met, {claims} claims, {over} over");
}

/// The simulations find what breaks without the condition on the status, and without waiting for turns.
#[test]
fn simulation_breaks_without_conditions_or_turns() {
    for without in [Without::WindowStatus, Without::Turns] {
        let found = (0..60).find(|seed| !simulate(*seed, without).broken.is_empty());
        assert!(found.is_some(), "{without:?}");
    }
}
