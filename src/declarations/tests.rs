//! Seeded interleavings of operators, leaders and the store: the real watch cache, registry and driver, with a
//! kind that only counts up to what its spec says. Transactions come late, twice or unanswered, leaders
//! are replaced and go on without knowing, and are paused between any two of output, sent and answered.

pub mod simulation;

use std::collections::{BTreeMap, HashMap};
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Waker};

use hollylanding_emulator::world::store::Store;
use rand::Rng;
use serde::{Deserialize, Serialize};
use serde_json::json;

use self::simulation::{SentTransaction, SimulationHarness};
use super::driver::JobEnds;
use super::events::{DeclarationEvent, NoEvent, StatusEvent};
use super::operator::stored::{SpecWrite, StoredDeclarations, Transaction};
use super::records::{OPERATORS_KEY, spec_key, status_key};
use super::run::{DeclarationContext, run_declarations};
use super::table::KindOperations;
use super::{DeclarationKind, DeclarationLogic, DeclarationView, KnownNames, NamedSpec, SpecError};
use crate::jobs::JobId;
use crate::jobs::record::{CACHED_PREFIX, CACHED_START_AFTER, LEADER_RECORD_KEY};
use crate::scheduling::ClusterState;
use crate::scheduling::intents::Intents;
use crate::store::budget::RequestPriority;
use crate::store::watch_cache::WatchCache;
use crate::store::{Change, CompareAndSwapOutcome, Condition, StoreError};

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Goal {
    pub goal: u64,
}

/// How far it has come, and under which fencing token.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Counted {
    pub at: u64,
    pub by: u64,
}

impl StatusEvent for Counted {
    fn log(&self, _: &str) {}
}

/// An event as one line: a declaration's name, and what has happened to it.
fn line(event: &DeclarationEvent) -> String {
    match event {
        DeclarationEvent::Removed { name, .. } => format!("{name} removed"),
        DeclarationEvent::StatusTooLarge { name, .. } => format!("{name} too large"),
        DeclarationEvent::StatusChanged { name, event } => format!("{name} {event:?}"),
    }
}

/// Counts up to its goal, and asks for as much as is stored: jobs named after it are not to be placed.
pub struct Toy<const OF: usize>;

impl<const OF: usize> DeclarationLogic for Toy<OF> {
    const KIND: DeclarationKind = DeclarationKind::ALL[OF];
    type Spec = Goal;
    type Status = Counted;
    type Event = Counted;

    fn check_spec(spec: &Goal, _: &KnownNames) -> Result<(), SpecError> {
        if spec.goal > 0 { Ok(()) } else { Err(SpecError::new("goal", "0 is nothing to count to")) }
    }
    fn next_status(_: &str, spec: &Goal, status: &Counted, view: &DeclarationView) -> Option<Counted> {
        (status.at < spec.goal).then_some(Counted { at: status.at + 1, by: view.fencing_token })
    }
    fn add_intents(name: &str, _: &Goal, status: &Counted, _: &DeclarationView, intents: &mut Intents) {
        intents.deferred_jobs.insert(format!("{name}-{}", status.at).as_str().into());
    }
    fn describe(_: &str, spec: &Goal, status: &Counted, _: u64) -> Vec<String> {
        vec![format!("{} of {}", status.at, spec.goal)]
    }
    fn status_events(_: &Counted, after: &Counted) -> Vec<Counted> {
        vec![after.clone()]
    }
}

/// Another kind by the same rules, which wants a change each time it is asked.
pub struct Restless;

impl DeclarationLogic for Restless {
    const KIND: DeclarationKind = DeclarationKind::Rollout;
    type Spec = Goal;
    type Status = Counted;
    type Event = NoEvent;

    fn check_spec(_: &Goal, _: &KnownNames) -> Result<(), SpecError> {
        Ok(())
    }
    fn next_status(_: &str, _: &Goal, status: &Counted, view: &DeclarationView) -> Option<Counted> {
        Some(Counted { at: status.at + 1, by: view.fencing_token })
    }
    fn add_intents(_: &str, _: &Goal, _: &Counted, _: &DeclarationView, _: &mut Intents) {}
    fn describe(_: &str, _: &Goal, _: &Counted, _: u64) -> Vec<String> {
        Vec::new()
    }
    fn status_events(_: &Counted, _: &Counted) -> Vec<NoEvent> {
        Vec::new()
    }
}

type Heat = Toy<1>;

static TOYS: [KindOperations; 1] = [KindOperations::of::<Heat>()];
static BOTH: [KindOperations; 2] = [KindOperations::of::<Restless>(), KindOperations::of::<Heat>()];
static ALL: [KindOperations; 4] = [
    KindOperations::of::<Toy<0>>(),
    KindOperations::of::<Heat>(),
    KindOperations::of::<Toy<2>>(),
    KindOperations::of::<Toy<3>>(),
];

/// What the simulation leaves out of each transaction's conditions.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Without {
    Nothing,
    LeaderRecord,
    Spec,
    Status,
    Operators,
}

struct Simulation {
    /// Each controller keeps every line that it told, and how often.
    harness: SimulationHarness<HashMap<String, usize>>,
    without: Without,
    /// How far each name has come in the store, and every line that is owed for it.
    stored: BTreeMap<String, u64>,
    lines: Vec<String>,
    broken: Vec<String>,
}

const NAMES: [&str; 4] = ["a", "b", "c", "d"];

impl Simulation {
    fn new(seed: u64, without: Without) -> Self {
        // Read whole before anything is declared: a first reading tells nothing.
        let mut harness = SimulationHarness::new(seed, &TOYS, &[("c/upgraded".to_owned(), json!({"old_kept": false}))]);
        (0..3).for_each(|at| harness.update_watch_cache(at, true));
        harness.write_leader_record(0);
        Self { harness, without, stored: BTreeMap::new(), lines: Vec::new(), broken: Vec::new() }
    }

    fn evaluate(&mut self, at: usize) {
        let Some(output) = self.harness.evaluate(at, 0, |_, _| None) else { return };
        let controller = &mut self.harness.controllers[at];
        for event in output.events {
            *controller.kind_state.entry(line(&event)).or_default() += 1;
        }
        // What is asked for is what this controller's watch cache has, never what is only decided.
        let (registry, (cluster, _)) = (controller.watch_cache.registry(), controller.leader.as_ref().unwrap());
        for NamedSpec { name, .. } in registry.specs::<Heat>().filter(|_| controller.watch_cache.is_ready()) {
            let at = registry.status::<Heat>(name).map_or(0, |status| status.value.at);
            assert!(
                cluster.intents.deferred_jobs.contains(format!("{name}-{at}").as_str()),
                "asks for what is not stored"
            );
        }
    }

    fn send(&mut self, at: usize) {
        let without = self.without;
        let left_out = |c: &Condition| match without {
            Without::Nothing | Without::Operators => false,
            Without::LeaderRecord => c.path == LEADER_RECORD_KEY,
            Without::Spec => c.path.starts_with("c/s/"),
            Without::Status => c.path.starts_with("c/t/"),
        };
        if let Some(sent) = self.harness.send(at, left_out)
            && let Some(revision) = self.apply(&sent)
            && self.harness.rng.random_ratio(3, 4)
        {
            self.harness.mark_stored(at, revision);
        }
    }

    /// Every rule that the store can show broken.
    fn apply(&mut self, sent: &SentTransaction) -> Option<u64> {
        if sent.1.iter().any(|change| matches!(change, Change::Write { write, .. } if write == OPERATORS_KEY)) {
            if self.harness.store.apply_if(&sent.0, &sent.1).is_ok() {
                self.broken.push(format!("written again: {:?}", sent.1));
            }
            return None;
        }
        let before: Vec<bool> = NAMES.map(|name| self.harness.store.has(&spec_key(DeclarationKind::Heat, name))).into();
        let fencing_token = self.harness.store.version(LEADER_RECORD_KEY);
        let revision = self.harness.store.apply_if(&sent.0, &sent.1).ok()?;
        for change in &sent.1 {
            match change {
                Change::Write { write, value, .. } => {
                    let name = write.rsplit('/').next().unwrap();
                    let status: Counted = serde_json::from_value(value.clone()).unwrap();
                    if status.by != fencing_token {
                        self.broken.push(format!("{name}: by {} and not {fencing_token}", status.by));
                    }
                    if !before[NAMES.iter().position(|n| *n == name).unwrap()] {
                        self.broken.push(format!("{name}: no spec"));
                    }
                    let was = self.stored.insert(name.to_owned(), status.at).unwrap_or(0);
                    if status.at != was + 1 {
                        self.broken.push(format!("{name}: {} after {was}", status.at));
                    }
                    self.lines.push(format!("{name} {status:?}"));
                }
                Change::Drop { drop } => {
                    let name = drop.rsplit('/').next().unwrap();
                    if before[NAMES.iter().position(|n| *n == name).unwrap()] {
                        self.broken.push(format!("{name}: dropped while declared"));
                    }
                    self.stored.remove(name);
                }
            }
        }
        Some(revision)
    }

    /// Operators write as the command line does; copies of what they wrote come late, too.
    fn operate(&mut self) {
        let name = NAMES[self.harness.rng.random_range(0..NAMES.len())].to_owned();
        let mut stored = StoredDeclarations {
            operators_version: self.harness.store.version(OPERATORS_KEY),
            ..StoredDeclarations::default()
        };
        for prefix in ["c/s/heat/", "c/t/heat/"] {
            self.harness.store.page(prefix, "", usize::MAX).items.into_iter().for_each(|item| stored.add_item(item));
        }
        let stands = self.harness.store.has(&spec_key(DeclarationKind::Heat, &name));
        let goal = self.stored.get(&name).copied().unwrap_or(0) + self.harness.rng.random_range(1..4);
        let spec = if stands && self.harness.rng.random_ratio(1, 3) { None } else { Some(json!({"goal": goal})) };
        let marker = json!(self.harness.rng.random::<u64>());
        let write = SpecWrite { name, spec };
        let Transaction { mut conditions, changes } =
            Transaction::new(DeclarationKind::Heat, &stored, &[write], &marker);
        conditions.retain(|c| self.without != Without::Operators || c.path != OPERATORS_KEY);
        if self.harness.store.apply_if(&conditions, &changes).is_ok() && self.harness.rng.random_ratio(1, 3) {
            self.harness.delayed.push((conditions, changes));
        }
    }

    fn step(&mut self) {
        let at = self.harness.rng.random_range(0..3);
        match self.harness.rng.random_range(0..20) {
            0 => self.harness.write_leader_record(at),
            1..4 => self.operate(),
            4..9 => self.harness.update_watch_cache(at, false),
            9..14 => self.evaluate(at),
            14..18 => self.send(at),
            18 if !self.harness.delayed.is_empty() => {
                let sent = self.harness.take_delayed();
                self.apply(&sent);
            }
            _ if self.harness.rng.random_ratio(1, 10) => self.harness.store.discard_log(),
            _ => {}
        }
    }

    /// The last leader goes on alone, and late copies come all the same.
    fn settle(&mut self) {
        self.harness.write_leader_record(0);
        for _ in 0..60 {
            self.harness.update_watch_cache(0, true);
            self.evaluate(0);
            self.send(0);
            if let Some(sent) = self.harness.delayed.pop() {
                self.apply(&sent);
            }
        }
        self.harness.update_watch_cache(0, true);
        self.evaluate(0);
    }
}

fn simulate(seed: u64, without: Without) -> Simulation {
    let mut simulation = Simulation::new(seed, without);
    for _ in 0..250 {
        simulation.step();
    }
    simulation.settle();
    simulation
}

/// A status is written by who leads, from the spec and the status as they stand, and counts on by one
/// each time; every change is told, and by nobody twice; all of it goes on to its end.
#[test]
fn statuses_advance_once_each_while_leaders_change() {
    for seed in 0..150 {
        let simulation = simulate(seed, Without::Nothing);
        assert!(simulation.broken.is_empty(), "seed {seed}: {:?}", simulation.broken);
        for name in NAMES {
            let (spec, status) = (spec_key(DeclarationKind::Heat, name), status_key(DeclarationKind::Heat, name));
            let goal = simulation.harness.store.value(&spec).map(|v| v["goal"].as_u64().unwrap());
            let at = simulation.harness.store.value(&status).map(|v| v["at"].as_u64().unwrap());
            assert_eq!(goal, at, "seed {seed}: {name} is not where it is meant to be");
        }
        for controller in &simulation.harness.controllers {
            let often = |line: &String| simulation.lines.iter().filter(|l| *l == line).count();
            let twice: Vec<_> =
                controller.kind_state.iter().filter(|(l, n)| !l.ends_with("removed") && **n > often(l)).collect();
            assert!(twice.is_empty(), "seed {seed}: told twice: {twice:?}");
        }
        // A change that was stored over before anybody who leads had heard of it is told by who reads
        // anew only as far as it still shows.
        let told = |line: &String| simulation.harness.controllers.iter().any(|c| c.kind_state.contains_key(line));
        let untold: Vec<&String> = simulation.lines.iter().filter(|line| !told(line)).collect();
        assert!(untold.len() * 20 <= simulation.lines.len(), "seed {seed}: {untold:?} of {}", simulation.lines.len());
    }
}

/// Each condition is there for a reason, which the same simulations show.
#[test]
fn simulation_breaks_without_any_of_the_conditions() {
    for without in [Without::LeaderRecord, Without::Spec, Without::Status, Without::Operators] {
        let found = (0..60).find(|seed| !simulate(*seed, without).broken.is_empty());
        assert!(found.is_some(), "{without:?}");
    }
}

/// As many as a controller reads.
fn pages(store: &Store) -> usize {
    let (mut page, mut pages) = (store.page(CACHED_PREFIX, CACHED_START_AFTER, 250), 1);
    while page.more {
        page = store.page(CACHED_PREFIX, &page.items[page.items.len() - 1].path, 250);
        pages += 1;
    }
    pages
}

fn leader(kinds: &'static [KindOperations], stored: &[(String, serde_json::Value)]) -> SimulationHarness<()> {
    let mut harness = SimulationHarness::new(0, kinds, stored);
    harness.write_leader_record(0);
    harness
}

/// One second of a leader that nothing befalls: two changes are stored.
fn second(harness: &mut SimulationHarness<()>, n: usize) {
    let output = harness.evaluate(0, 0, |(), _| None).unwrap();
    assert_eq!(output.writes.len(), 2, "in second {n}");
    let (conditions, changes) = harness.take_transaction(0, |_| false).unwrap();
    let revision = harness.store.apply_if(&conditions, &changes).unwrap();
    harness.mark_stored(0, revision);
}

/// Whatever wants a change each second keeps nothing else from its own.
#[test]
fn declarations_that_change_each_second_delay_no_other() {
    let entries: Vec<(String, serde_json::Value)> = (0..20)
        .map(|n| (spec_key(DeclarationKind::Rollout, &format!("r{n:02}")), json!({"goal": 1})))
        .chain((0..5).map(|n| (spec_key(DeclarationKind::Heat, &format!("h{n}")), json!({"goal": 2}))))
        .collect();
    let mut harness = leader(&BOTH, &entries);
    for n in 0..40 {
        second(&mut harness, n);
        assert!(harness.evaluate(0, 0, |(), _| None).unwrap().writes.is_empty(), "not heard yet");
        harness.update_watch_cache(0, true);
    }
    let at = |kind: DeclarationKind, name: &str| {
        harness.store.value(&status_key(kind, name)).map_or(0, |v| v["at"].as_u64().unwrap())
    };
    assert!((0..5).all(|n| at(DeclarationKind::Heat, &format!("h{n}")) == 2), "the few are through");
    let restless: Vec<u64> = (0..20).map(|n| at(DeclarationKind::Rollout, &format!("r{n:02}"))).collect();
    assert!(restless.iter().all(|n| (3..=4).contains(n)), "and the many in turn: {restless:?}");
}

/// What strangers put there stops nothing, is told, and is never written over.
#[test]
fn undecodable_declarations_are_left_as_they_are() {
    let large = "x".repeat(9000);
    let entries = [
        ("c/s/heat/bad", json!({"goal": "much"})),
        ("c/s/heat/good", json!({"goal": 1})),
        ("c/s/heat/large", json!({"goal": 1, "more": large})),
        ("c/s/heat/odd", json!({"goal": 7})),
        ("c/s/later/x", json!({})),
        ("c/s/window/w", json!({"opens": "08:00"})),
        ("c/t/heat/odd", json!("status")),
    ];
    let mut harness = leader(&TOYS, &entries.map(|(path, value)| (path.to_owned(), value)));
    let output = harness.evaluate(0, 0, |(), _| None).unwrap();
    let names: Vec<&str> = output.writes.iter().map(|w| w.name.as_str()).collect();
    assert_eq!(names, ["good"]);
    let registry = harness.controllers[0].watch_cache.registry();
    assert_eq!(registry.entry_count(), 5, "the larger one and the unknown kind are not taken in");
    assert!(registry.raw_spec(DeclarationKind::Heat, "bad").is_some(), "what is unreadable is kept");
    let (cluster, _) = harness.controllers[0].leader.as_ref().unwrap();
    assert_eq!(cluster.intents.deferred_jobs.len(), 1, "nothing is asked for by what cannot be read");
}

/// Strangers may write as much as they like: what is kept is bounded, and what is followed more so.
#[test]
fn registry_is_bounded() {
    let mut registry = super::DeclarationRegistry::default();
    for n in (0..1000).rev() {
        registry.put_key(&spec_key(DeclarationKind::Heat, &format!("h{n:04}")), &json!({"goal": 1}), 1);
    }
    assert_eq!(registry.entry_count(), 100);
    assert_eq!(registry.names_of_kind(DeclarationKind::Heat).count(), 50);
    for n in 0..1000 {
        registry.put_key(&status_key(DeclarationKind::Heat, "h"), &json!({"at": n}), n);
    }
    assert_eq!(registry.take_status_changes().len(), 256);
}

/// A controller that is never asked for anything but whether there is something to do.
#[derive(Default)]
struct Idle {
    touched: AtomicUsize,
}

impl DeclarationContext for Idle {
    fn is_idle(&self) -> bool {
        true
    }
    fn with_state<T>(&self, _: impl FnOnce(&mut ClusterState, &mut WatchCache, JobEnds) -> T) -> Option<T> {
        self.touched.fetch_add(1, Ordering::Relaxed);
        None
    }
    fn query_job_end(&self, _: &JobId) {}
    fn writable_changes(&self, _: RequestPriority) -> usize {
        self.touched.fetch_add(1, Ordering::Relaxed)
    }
    async fn compare_and_swap(
        &self,
        _: &[Condition],
        _: &[Change],
        _: RequestPriority,
    ) -> Result<CompareAndSwapOutcome, StoreError> {
        self.touched.fetch_add(1, Ordering::Relaxed);
        Err(StoreError::Unanswered)
    }
    async fn refresh_after_conflict(&self) {
        self.touched.fetch_add(1, Ordering::Relaxed);
    }
    async fn wait_for_change(&self) {
        std::future::pending().await
    }
}

/// Nothing declared: no look, no request, and no timer, which would need a runtime that is not there.
#[test]
fn task_sleeps_while_nothing_is_declared() {
    let context = Arc::new(Idle::default());
    let mut task = std::pin::pin!(run_declarations(context.clone()));
    assert!(task.as_mut().poll(&mut Context::from_waker(Waker::noop())).is_pending());
    assert_eq!(context.touched.load(Ordering::Relaxed), 0);
}

/// 1,000 windows, 50 rules, 200 readings and 20 rollouts, each of half a KiB with its status: what they
/// add to a controller's start, and what is stored a second. A takeover reads none of it: every
/// controller has it.
#[test]
fn full_registry_is_loaded_and_written_within_bounds() {
    let mut entries = Vec::new();
    for (kind, n) in DeclarationKind::ALL.into_iter().zip([1000, 50, 200, 20]) {
        for name in (0..n).map(|n| format!("{}-{n:04}", kind.as_str())) {
            entries.push((spec_key(kind, &name), json!({"goal": 2, "more": "x".repeat(500)})));
            entries.push((status_key(kind, &name), json!({"at": 1, "by": 1, "more": "x".repeat(500)})));
        }
    }
    let bytes: usize = entries.iter().map(|(path, value)| path.len() + value.to_string().len()).sum();
    let mut harness = leader(&ALL, &entries);
    let pages = pages(&harness.store);
    assert!(pages <= 11 && bytes < 1_500_000, "{pages} pages, {bytes} bytes");
    for n in 0..20 {
        second(&mut harness, n);
        harness.update_watch_cache(0, true);
    }
}
