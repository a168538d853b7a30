//! Seeded interleavings of operators, leaders and the store, with the real watch cache, registry and driver and a kind
//! whose status counts up to the goal in its specification. Transactions arrive late, arrive twice or stay unanswered;
//! leaders are replaced and continue without knowing, and are paused between evaluating, sending and being answered.

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

/// Specification of the counting kinds.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Goal {
    pub goal: u64,
}

/// Status of the counting kinds: the count, and the fencing token of the leader that wrote it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Counted {
    #[serde(rename = "at")]
    pub count: u64,
    #[serde(rename = "by")]
    pub fencing_token: u64,
}

impl StatusEvent for Counted {
    fn log(&self, _: &str) {}
}

/// Formats an event as one line: the declaration's name and the change.
fn event_line(event: &DeclarationEvent) -> String {
    match event {
        DeclarationEvent::Removed { name, .. } => format!("{name} removed"),
        DeclarationEvent::StatusTooLarge { name, .. } => format!("{name} too large"),
        DeclarationEvent::StatusChanged { name, event } => format!("{name} {event:?}"),
    }
}

/// A kind whose status counts up to its goal. Its intent defers a job named after the declaration and the stored count.
pub struct CounterKind<const KIND_INDEX: usize>;

impl<const KIND_INDEX: usize> DeclarationLogic for CounterKind<KIND_INDEX> {
    const KIND: DeclarationKind = DeclarationKind::ALL[KIND_INDEX];
    type Spec = Goal;
    type Status = Counted;
    type Event = Counted;

    fn check_spec(spec: &Goal, _: &KnownNames) -> Result<(), SpecError> {
        if spec.goal > 0 { Ok(()) } else { Err(SpecError::new("goal", "0 is not a positive number")) }
    }
    fn next_status(_: &str, spec: &Goal, status: &Counted, view: &DeclarationView) -> Option<Counted> {
        (status.count < spec.goal).then_some(Counted { count: status.count + 1, fencing_token: view.fencing_token })
    }
    fn add_intents(name: &str, _: &Goal, status: &Counted, _: &DeclarationView, intents: &mut Intents) {
        intents.deferred_jobs.insert(format!("{name}-{}", status.count).as_str().into());
    }
    fn describe(_: &str, spec: &Goal, status: &Counted, _: u64) -> Vec<String> {
        vec![format!("{} of {}", status.count, spec.goal)]
    }
    fn status_events(_: &Counted, after: &Counted) -> Vec<Counted> {
        vec![after.clone()]
    }
}

/// A kind whose status changes at each evaluation.
pub struct AlwaysChanging;

impl DeclarationLogic for AlwaysChanging {
    const KIND: DeclarationKind = DeclarationKind::Rollout;
    type Spec = Goal;
    type Status = Counted;
    type Event = NoEvent;

    fn check_spec(_: &Goal, _: &KnownNames) -> Result<(), SpecError> {
        Ok(())
    }
    fn next_status(_: &str, _: &Goal, status: &Counted, view: &DeclarationView) -> Option<Counted> {
        Some(Counted { count: status.count + 1, fencing_token: view.fencing_token })
    }
    fn add_intents(_: &str, _: &Goal, _: &Counted, _: &DeclarationView, _: &mut Intents) {}
    fn describe(_: &str, _: &Goal, _: &Counted, _: u64) -> Vec<String> {
        Vec::new()
    }
    fn status_events(_: &Counted, _: &Counted) -> Vec<NoEvent> {
        Vec::new()
    }
}

type HeatCounter = CounterKind<1>;

static COUNTER: [KindOperations; 1] = [KindOperations::of::<HeatCounter>()];
static CHANGING_AND_COUNTER: [KindOperations; 2] =
    [KindOperations::of::<AlwaysChanging>(), KindOperations::of::<HeatCounter>()];
static COUNTERS_OF_ALL_KINDS: [KindOperations; 4] = [
    KindOperations::of::<CounterKind<0>>(),
    KindOperations::of::<HeatCounter>(),
    KindOperations::of::<CounterKind<2>>(),
    KindOperations::of::<CounterKind<3>>(),
];

/// The condition that the simulation omits from each transaction.
#[derive(Debug, Clone, Copy, PartialEq)]
enum OmittedCondition {
    Nothing,
    LeaderRecord,
    Spec,
    Status,
    Operators,
}

struct Simulation {
    /// Each controller counts the event lines that it logged.
    harness: SimulationHarness<HashMap<String, usize>>,
    omitted: OmittedCondition,
    /// The stored count by name.
    stored: BTreeMap<String, u64>,
    /// The event line of every stored change, each of which has to be logged.
    expected_lines: Vec<String>,
    violations: Vec<String>,
}

const NAMES: [&str; 4] = ["a", "b", "c", "d"];

impl Simulation {
    fn new(seed: u64, omitted: OmittedCondition) -> Self {
        // Loads the watch caches before anything is declared: the first load records no changes.
        let mut harness =
            SimulationHarness::new(seed, &COUNTER, &[("c/upgraded".to_owned(), json!({"old_kept": false}))]);
        (0..3).for_each(|index| harness.update_watch_cache(index, true));
        harness.write_leader_record(0);
        Self { harness, omitted, stored: BTreeMap::new(), expected_lines: Vec::new(), violations: Vec::new() }
    }

    fn evaluate(&mut self, index: usize) {
        let Some(output) = self.harness.evaluate(index, 0, |_, _| None) else { return };
        let controller = &mut self.harness.controllers[index];
        for event in output.events {
            *controller.kind_state.entry(event_line(&event)).or_default() += 1;
        }
        // Intents follow from the statuses in this controller's watch cache, never from writes that are not stored.
        let (registry, (cluster, _)) = (controller.watch_cache.registry(), controller.leader.as_ref().unwrap());
        for NamedSpec { name, .. } in registry.specs::<HeatCounter>().filter(|_| controller.watch_cache.is_ready()) {
            let count = registry.status::<HeatCounter>(name).map_or(0, |status| status.value.count);
            assert!(
                cluster.intents.deferred_jobs.contains(format!("{name}-{count}").as_str()),
                "intent of a status that is not stored"
            );
        }
    }

    fn send(&mut self, index: usize) {
        let omitted = self.omitted;
        let is_omitted = |c: &Condition| match omitted {
            OmittedCondition::Nothing | OmittedCondition::Operators => false,
            OmittedCondition::LeaderRecord => c.path == LEADER_RECORD_KEY,
            OmittedCondition::Spec => c.path.starts_with("c/s/"),
            OmittedCondition::Status => c.path.starts_with("c/t/"),
        };
        if let Some(sent) = self.harness.send(index, is_omitted)
            && let Some(revision) = self.apply(&sent)
            && self.harness.rng.random_ratio(3, 4)
        {
            self.harness.mark_stored(index, revision);
        }
    }

    /// Applies a transaction at the store and records every violated invariant.
    fn apply(&mut self, sent: &SentTransaction) -> Option<u64> {
        if sent.1.iter().any(|change| matches!(change, Change::Write { write, .. } if write == OPERATORS_KEY)) {
            if self.harness.store.apply_if(&sent.0, &sent.1).is_ok() {
                self.violations.push(format!("operators' write applied twice: {:?}", sent.1));
            }
            return None;
        }
        let has_spec: Vec<bool> =
            NAMES.map(|name| self.harness.store.has(&spec_key(DeclarationKind::Heat, name))).into();
        let fencing_token = self.harness.store.version(LEADER_RECORD_KEY);
        let revision = self.harness.store.apply_if(&sent.0, &sent.1).ok()?;
        for change in &sent.1 {
            match change {
                Change::Write { write, value, .. } => {
                    let name = write.rsplit('/').next().unwrap();
                    let status: Counted = serde_json::from_value(value.clone()).unwrap();
                    if status.fencing_token != fencing_token {
                        self.violations
                            .push(format!("{name}: written with token {}, not {fencing_token}", status.fencing_token));
                    }
                    if !has_spec[NAMES.iter().position(|n| *n == name).unwrap()] {
                        self.violations.push(format!("{name}: written without a specification"));
                    }
                    let previous = self.stored.insert(name.to_owned(), status.count).unwrap_or(0);
                    if status.count != previous + 1 {
                        self.violations.push(format!("{name}: count {} after {previous}", status.count));
                    }
                    self.expected_lines.push(format!("{name} {status:?}"));
                }
                Change::Drop { drop } => {
                    let name = drop.rsplit('/').next().unwrap();
                    if has_spec[NAMES.iter().position(|n| *n == name).unwrap()] {
                        self.violations.push(format!("{name}: status deleted while declared"));
                    }
                    self.stored.remove(name);
                }
            }
        }
        Some(revision)
    }

    /// Writes a specification as an operator's verb does; copies of applied writes may arrive late.
    fn write_spec(&mut self) {
        let name = NAMES[self.harness.rng.random_range(0..NAMES.len())].to_owned();
        let mut stored = StoredDeclarations {
            operators_version: self.harness.store.version(OPERATORS_KEY),
            ..StoredDeclarations::default()
        };
        for prefix in ["c/s/heat/", "c/t/heat/"] {
            self.harness.store.page(prefix, "", usize::MAX).items.into_iter().for_each(|item| stored.add_item(item));
        }
        let is_declared = self.harness.store.has(&spec_key(DeclarationKind::Heat, &name));
        let goal = self.stored.get(&name).copied().unwrap_or(0) + self.harness.rng.random_range(1..4);
        let spec = if is_declared && self.harness.rng.random_ratio(1, 3) { None } else { Some(json!({"goal": goal})) };
        let marker = json!(self.harness.rng.random::<u64>());
        let write = SpecWrite { name, spec };
        let Transaction { mut conditions, changes } =
            Transaction::new(DeclarationKind::Heat, &stored, &[write], &marker);
        conditions.retain(|c| self.omitted != OmittedCondition::Operators || c.path != OPERATORS_KEY);
        if self.harness.store.apply_if(&conditions, &changes).is_ok() && self.harness.rng.random_ratio(1, 3) {
            self.harness.delayed.push((conditions, changes));
        }
    }

    fn step(&mut self) {
        let index = self.harness.rng.random_range(0..3);
        match self.harness.rng.random_range(0..20) {
            0 => self.harness.write_leader_record(index),
            1..4 => self.write_spec(),
            4..9 => self.harness.update_watch_cache(index, false),
            9..14 => self.evaluate(index),
            14..18 => self.send(index),
            18 if !self.harness.delayed.is_empty() => {
                let sent = self.harness.take_delayed();
                self.apply(&sent);
            }
            _ if self.harness.rng.random_ratio(1, 10) => self.harness.store.discard_log(),
            _ => {}
        }
    }

    /// Lets the last leader finish alone while delayed copies still arrive.
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

fn simulate(seed: u64, omitted: OmittedCondition) -> Simulation {
    let mut simulation = Simulation::new(seed, omitted);
    for _ in 0..250 {
        simulation.step();
    }
    simulation.settle();
    simulation
}

/// Only the leader writes a status, based on the stored specification and status, and each write advances it by one.
/// Every change is logged, by no controller twice, and every declaration reaches its goal.
#[test]
fn statuses_advance_one_step_per_write_while_leaders_change() {
    for seed in 0..150 {
        let simulation = simulate(seed, OmittedCondition::Nothing);
        assert!(simulation.violations.is_empty(), "seed {seed}: {:?}", simulation.violations);
        for name in NAMES {
            let (spec, status) = (spec_key(DeclarationKind::Heat, name), status_key(DeclarationKind::Heat, name));
            let goal = simulation.harness.store.value(&spec).map(|v| v["goal"].as_u64().unwrap());
            let count = simulation.harness.store.value(&status).map(|v| v["at"].as_u64().unwrap());
            assert_eq!(goal, count, "seed {seed}: {name} has not reached its goal");
        }
        for controller in &simulation.harness.controllers {
            let expected_count = |line: &String| simulation.expected_lines.iter().filter(|l| *l == line).count();
            let repeated: Vec<_> = controller
                .kind_state
                .iter()
                .filter(|(l, n)| !l.ends_with("removed") && **n > expected_count(l))
                .collect();
            assert!(repeated.is_empty(), "seed {seed}: logged twice: {repeated:?}");
        }
        // A change that was overwritten before any leader observed it is not logged: after a reload a controller
        // records only the difference that remains.
        let is_logged = |line: &String| simulation.harness.controllers.iter().any(|c| c.kind_state.contains_key(line));
        let unlogged: Vec<&String> = simulation.expected_lines.iter().filter(|line| !is_logged(line)).collect();
        assert!(
            unlogged.len() * 20 <= simulation.expected_lines.len(),
            "seed {seed}: {unlogged:?} of {}",
            simulation.expected_lines.len()
        );
    }
}

/// Each condition of a transaction is necessary: without it the same simulations violate an invariant.
#[test]
fn simulation_violates_invariants_without_any_of_the_conditions() {
    for omitted in
        [OmittedCondition::LeaderRecord, OmittedCondition::Spec, OmittedCondition::Status, OmittedCondition::Operators]
    {
        let failing_seed = (0..60).find(|seed| !simulate(*seed, omitted).violations.is_empty());
        assert!(failing_seed.is_some(), "{omitted:?}");
    }
}

/// Counts the pages that a controller reads to load its watch cache.
fn count_pages(store: &Store) -> usize {
    let (mut page, mut pages) = (store.page(CACHED_PREFIX, CACHED_START_AFTER, 250), 1);
    while page.more {
        page = store.page(CACHED_PREFIX, &page.items[page.items.len() - 1].path, 250);
        pages += 1;
    }
    pages
}

/// Creates a harness in which controller 0 is the leader.
fn harness_with_leader(
    kinds: &'static [KindOperations],
    stored: &[(String, serde_json::Value)],
) -> SimulationHarness<()> {
    let mut harness = SimulationHarness::new(0, kinds, stored);
    harness.write_leader_record(0);
    harness
}

/// Runs one second of a leader without faults, in which two statuses are stored.
fn run_second(harness: &mut SimulationHarness<()>, n: usize) {
    let output = harness.evaluate(0, 0, |(), _| None).unwrap();
    assert_eq!(output.writes.len(), 2, "in second {n}");
    let (conditions, changes) = harness.take_transaction(0, |_| false).unwrap();
    let revision = harness.store.apply_if(&conditions, &changes).unwrap();
    harness.mark_stored(0, revision);
}

/// Declarations that change at each evaluation must not starve others: the writes are round-robin.
#[test]
fn declarations_that_change_each_second_delay_no_other() {
    let entries: Vec<(String, serde_json::Value)> = (0..20)
        .map(|n| (spec_key(DeclarationKind::Rollout, &format!("r{n:02}")), json!({"goal": 1})))
        .chain((0..5).map(|n| (spec_key(DeclarationKind::Heat, &format!("h{n}")), json!({"goal": 2}))))
        .collect();
    let mut harness = harness_with_leader(&CHANGING_AND_COUNTER, &entries);
    for n in 0..40 {
        run_second(&mut harness, n);
        assert!(
            harness.evaluate(0, 0, |(), _| None).unwrap().writes.is_empty(),
            "the last write is not in the watch cache yet"
        );
        harness.update_watch_cache(0, true);
    }
    let stored_count = |kind: DeclarationKind, name: &str| {
        harness.store.value(&status_key(kind, name)).map_or(0, |v| v["at"].as_u64().unwrap())
    };
    assert!(
        (0..5).all(|n| stored_count(DeclarationKind::Heat, &format!("h{n}")) == 2),
        "all counters have reached their goal"
    );
    let always_changing: Vec<u64> =
        (0..20).map(|n| stored_count(DeclarationKind::Rollout, &format!("r{n:02}"))).collect();
    assert!(always_changing.iter().all(|n| (3..=4).contains(n)), "the others are written in turn: {always_changing:?}");
}

/// Undecodable entries written by other clients are logged, block no other declaration and are never overwritten.
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
    let mut harness = harness_with_leader(&COUNTER, &entries.map(|(path, value)| (path.to_owned(), value)));
    let output = harness.evaluate(0, 0, |(), _| None).unwrap();
    let names: Vec<&str> = output.writes.iter().map(|w| w.name.as_str()).collect();
    assert_eq!(names, ["good"]);
    let registry = harness.controllers[0].watch_cache.registry();
    assert_eq!(registry.entry_count(), 5, "the oversized value and the unknown kind are not registered");
    assert!(registry.raw_spec(DeclarationKind::Heat, "bad").is_some(), "undecodable values are kept");
    let (cluster, _) = harness.controllers[0].leader.as_ref().unwrap();
    assert_eq!(cluster.intents.deferred_jobs.len(), 1, "undecodable declarations add no intents");
}

/// Other clients may write any number of keys: the registry bounds the entries that it keeps, the specifications that
/// it uses and the changes that it records.
#[test]
fn registry_bounds_entries_used_specs_and_changes() {
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

/// A context with nothing declared. It counts every call that the loop must not make while idle.
#[derive(Default)]
struct IdleContext {
    calls: AtomicUsize,
}

impl DeclarationContext for IdleContext {
    fn is_idle(&self) -> bool {
        true
    }
    fn with_state<T>(&self, _: impl FnOnce(&mut ClusterState, &mut WatchCache, JobEnds) -> T) -> Option<T> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        None
    }
    fn query_job_end(&self, _: &JobId) {}
    fn writable_changes(&self, _: RequestPriority) -> usize {
        self.calls.fetch_add(1, Ordering::Relaxed)
    }
    fn max_value_bytes(&self) -> usize {
        usize::MAX
    }

    async fn compare_and_swap(
        &self,
        _: &[Condition],
        _: &[Change],
        _: RequestPriority,
    ) -> Result<CompareAndSwapOutcome, StoreError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        Err(StoreError::Unanswered)
    }
    async fn refresh_after_conflict(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
    }
    async fn wait_for_change(&self) {
        std::future::pending().await
    }
}

/// While nothing is declared the loop makes no evaluation, no request and sets no timer. A timer would panic here, as
/// the test has no runtime.
#[test]
fn declaration_loop_sleeps_while_nothing_is_declared() {
    let context = Arc::new(IdleContext::default());
    let mut task = std::pin::pin!(run_declarations(context.clone()));
    assert!(task.as_mut().poll(&mut Context::from_waker(Waker::noop())).is_pending());
    assert_eq!(context.calls.load(Ordering::Relaxed), 0);
}

/// Bounds what 1,000 windows, 50 rules, 200 readings and 20 rollouts, with specifications and statuses of half a KiB
/// each, add to a controller's start, and checks the writes per second. A takeover reads none of them, as every
/// controller has them in memory.
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
    let mut harness = harness_with_leader(&COUNTERS_OF_ALL_KINDS, &entries);
    let pages = count_pages(&harness.store);
    assert!(pages <= 11 && bytes < 1_500_000, "{pages} pages, {bytes} bytes");
    for n in 0..20 {
        run_second(&mut harness, n);
        harness.update_watch_cache(0, true);
    }
}
