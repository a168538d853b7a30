//! Tests of rollouts on the real cluster state: effect of the intents on placement, scale-out, stops and drains.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::declarations::records::{spec_key, status_key};
use crate::declarations::{DeclarationKind, DeclarationLogic, DeclarationRegistry, DeclarationView};
use crate::fleet::drain::choose_drains;
use crate::fleet::scale_out::{CapacityRefusals, plan_scale_out};
use crate::jobs::record::{JobRecord, time_of_day_ms};
use crate::jobs::tests::spec as job_spec;
use crate::jobs::{JobSpec, Shape};
use crate::machine_kinds::tests::machine_type;
use crate::machine_kinds::{Catalog, MachineType};
use crate::protocol::workers::{AttemptReport, AttemptStatus, Heartbeat, TaskKey};
use crate::rollouts::Rollout;
use crate::rollouts::status::{RolloutPhase, RolloutStatus};
use crate::scheduling::cluster::ClusterState;
use crate::scheduling::intents::{Intents, ReplicaIntent};
use crate::scheduling::messages::MessageKind;
use crate::scheduling::plan;
use crate::settings::Properties;
use crate::settings::tests::example;

/// A cluster state with declared rollouts, driven without a leader task.
struct TestCluster {
    cluster: ClusterState,
    registry: DeclarationRegistry,
    catalog: Catalog,
    now: Instant,
    seq: u64,
    version: u64,
}

impl TestCluster {
    /// Creates four machines with 8 cores each, m0 to m3, in two zones.
    fn new() -> Self {
        let of = MachineType { zones: vec!["a".into(), "b".into()], ..machine_type("c8", 8.0, 0.0, 1.0) };
        let now = Instant::now();
        let mut cluster = ClusterState::new(7, example(), Properties::default(), now);
        cluster.loaded = true;
        let mut test_cluster = Self {
            cluster,
            registry: DeclarationRegistry::default(),
            catalog: Catalog { types: vec![of] },
            now,
            seq: 0,
            version: 0,
        };
        test_cluster.heartbeat();
        test_cluster
    }

    /// Submits a service with 4 replicas of 2 cores each, as changed by `change`.
    fn add_service(&mut self, n: u32, change: impl FnOnce(&mut JobSpec)) {
        let mut job =
            JobSpec { id: format!("run-{n}").into(), shape: Shape::Service, tasks: 4, cpus: 2.0, ..job_spec() };
        (job.estimate_s, job.checkpoint_s, job.team) = (5000.0, 10.0, "blue".into());
        change(&mut job);
        self.cluster.add_job(Arc::new(JobRecord { spec: job, accepted_ms: time_of_day_ms() }), self.now);
    }

    fn put_record(&mut self, path: &str, value: Value) {
        self.version += 1;
        assert!(self.registry.put_key(path, &value, self.version));
    }

    fn declare(&mut self, name: &str, change: Value) {
        let mut spec = json!({"old": "run-1", "new": "run-2", "replicas": 4, "hold_s": 5, "surge": 1});
        spec.as_object_mut().unwrap().extend(change.as_object().unwrap().clone());
        self.put_record(&spec_key(DeclarationKind::Rollout, name), spec);
    }

    /// Sends a heartbeat from every machine: all bound replicas are running, except those ordered to stop, which are
    /// gone.
    fn heartbeat(&mut self) {
        self.seq += 1;
        for n in 0..4 {
            let id = format!("m{n}");
            let bound = self.cluster.machines.get(id.as_str()).map(|m| m.bound.clone()).unwrap_or_default();
            let runs = |key: &TaskKey| {
                let job = self.cluster.job(&key.job).unwrap();
                let attempt = job.tasks[key.index as usize].attempt;
                let stops = job.binding(key.index).unwrap().halt_grace_s.is_some();
                let attempt_report = AttemptReport {
                    task: key.clone(),
                    attempt,
                    status: AttemptStatus::Running,
                    cause: None,
                    saved: None,
                };
                (!stops).then_some(attempt_report)
            };
            let heartbeat = Heartbeat {
                machine: id,
                addr: "127.0.0.1:9".into(),
                type_name: "c8".into(),
                zone: ["a", "b"][n % 2].into(),
                spot: false,
                agent_epoch: 1,
                seq: self.seq,
                fencing_token: 7,
                notice_s: None,
                attempts: bound.iter().filter_map(runs).collect(),
            };
            self.cluster.take_heartbeat(heartbeat, MessageKind::Heartbeat, Some(&self.catalog), self.now);
        }
    }

    fn with_view<T>(&self, f: impl FnOnce(&DeclarationView) -> T) -> T {
        let (cluster, registry, now) = (&self.cluster, &self.registry, self.now);
        let now_ms = 1_000_000 + (now - self.cluster.machines["m0"].provisioned_at).as_millis() as u64;
        f(&DeclarationView {
            cluster,
            job_end: &|_| None,
            registry,
            now,
            now_ms,
            fencing_token: 7,
            settings: &cluster.settings,
            jobs_by_window: Default::default(),
            unknown_ends: Default::default(),
        })
    }

    /// Runs one round like the leader's task: intents from the stored statuses, next statuses, then placement. Returns
    /// the placed tasks.
    fn run_round(&mut self) -> Vec<String> {
        let names: Vec<String> = self.registry.names_of_kind(DeclarationKind::Rollout).map(str::to_owned).collect();
        let mut intents = Intents::default();
        let next: Vec<(String, Option<RolloutStatus>)> = self.with_view(|view| {
            let of = |name: &String| {
                let spec = view.registry.spec::<Rollout>(name).unwrap().value;
                let status = view.registry.status::<Rollout>(name).map(|status| status.value).unwrap_or_default();
                Rollout::add_intents(name, &spec, &status, view, &mut intents);
                (name.clone(), Rollout::next_status(name, &spec, &status, view))
            };
            names.iter().map(of).collect()
        });
        self.cluster.set_intents(intents);
        for (name, status) in next {
            if let Some(status) = status {
                self.put_record(&status_key(DeclarationKind::Rollout, &name), serde_json::to_value(status).unwrap());
            }
        }
        let placed = plan::place(&mut self.cluster, &self.catalog, self.now);
        let names = placed.iter().map(|p| format!("{}/{}", p.task.job, p.task.index)).collect();
        self.cluster.bind_placements(placed, self.now);
        names
    }

    fn status(&self, name: &str) -> RolloutStatus {
        self.registry.status::<Rollout>(name).unwrap().value
    }

    fn running(&self, n: u32) -> u64 {
        self.cluster.task_counts(&format!("run-{n}").as_str().into()).running
    }

    fn advance(&mut self, seconds: u64) {
        self.now += Duration::from_secs(seconds);
        self.heartbeat();
    }
}

/// All old replicas are replaced, with no fewer than four running at any time.
#[test]
fn rollout_replaces_all_replicas_without_capacity_gap() {
    let mut test_cluster = TestCluster::new();
    test_cluster.add_service(1, |_| ());
    assert_eq!(test_cluster.run_round().len(), 4);
    test_cluster.declare("r", json!({"steps": [1, 0.5]}));
    // The new job is submitted after the declaration: before its step no replica is placed and no machine rented.
    test_cluster.add_service(2, |_| ());
    assert!(test_cluster.run_round().is_empty());
    let refusals = CapacityRefusals::default();
    assert!(
        plan_scale_out(&test_cluster.cluster, &test_cluster.catalog, &refusals, &HashMap::new(), test_cluster.now)
            .is_empty()
    );
    let mut phases = Vec::new();
    for _ in 0..120 {
        test_cluster.advance(1);
        test_cluster.run_round();
        let phase = test_cluster.status("r").phase;
        if phases.last() != Some(&phase) {
            phases.push(phase);
        }
        let (old, new) = (test_cluster.running(1), test_cluster.running(2));
        assert!(old + new >= 4 && old + new <= 5, "{old} and {new} run, {phase:?}");
        // Replicas of a rollout in progress are not moved to drain a machine.
        let drains = choose_drains(&test_cluster.cluster, &test_cluster.catalog, test_cluster.now);
        assert!(phase == RolloutPhase::Done || drains.iter().all(|d| d.moves.is_empty()), "{drains:?}");
    }
    assert_eq!((test_cluster.running(1), test_cluster.running(2)), (0, 4), "{phases:?}");
    assert_eq!(phases.last(), Some(&RolloutPhase::Done));
    assert!(test_cluster.cluster.has_job(&"run-1".into()), "the old job must stay open, held at zero replicas");
    // After the old job is cancelled and the rollout removed, the new job is treated like any other.
    test_cluster.cluster.end_job(&"run-1".into(), None, test_cluster.now);
    test_cluster.advance(1);
    assert!(test_cluster.run_round().is_empty());
    test_cluster.registry.remove_key(&spec_key(DeclarationKind::Rollout, "r"), 1000);
    assert!(test_cluster.run_round().is_empty() && test_cluster.cluster.intents.is_empty());
}

/// A rollout is refused or stays planned if its jobs or the team's limits do not permit it.
#[test]
fn unsuitable_rollouts_are_refused_or_stay_planned() {
    type Change = fn(&mut JobSpec);
    let no_setup: fn(&mut TestCluster) = |_| ();
    // The team's limit is 20 cores.
    let in_team_red: Change = |j| j.team = "red".into();
    type Case = (&'static str, Change, Value, fn(&mut TestCluster), RolloutPhase, &'static str);
    let cases: [Case; 8] = [
        ("suitable", |_| (), json!({}), no_setup, RolloutPhase::Growing, ""),
        (
            "not a service",
            |j| j.shape = Shape::Array,
            json!({}),
            no_setup,
            RolloutPhase::Refused,
            "new: run-2 is no service",
        ),
        (
            "too few replicas",
            |j| j.tasks = 3,
            json!({}),
            no_setup,
            RolloutPhase::Refused,
            "replicas: 4 are asked, and run-2 has 3",
        ),
        (
            "too many replicas",
            |j| j.tasks = 600,
            json!({}),
            no_setup,
            RolloutPhase::Refused,
            "new: run-2 has 600 replicas",
        ),
        ("surge within the limit", in_team_red, json!({"surge": 2}), no_setup, RolloutPhase::Growing, ""),
        (
            "replicas too large for the limit",
            |j| (j.team, j.cpus) = ("red".into(), 5.0),
            json!({}),
            no_setup,
            RolloutPhase::Planned,
            "surge: 1 more than 4",
        ),
        ("unknown new job", |_| (), json!({"new": "run-9"}), no_setup, RolloutPhase::Planned, "waits for run-9"),
        (
            "job held by another rollout",
            |_| (),
            json!({}),
            |test_cluster| test_cluster.declare("a", json!({"old": "run-2", "new": "run-3"})),
            RolloutPhase::Refused,
            "rollout a has one of its jobs",
        ),
    ];
    for (name, change, spec_change, setup, want, reason) in cases {
        let mut test_cluster = TestCluster::new();
        test_cluster.add_service(1, |job| job.team = "red".into());
        test_cluster.add_service(2, change);
        setup(&mut test_cluster);
        test_cluster.declare("r", spec_change);
        test_cluster.run_round();
        let status = test_cluster.status("r");
        assert!(status.phase == want && status.reason.contains(reason), "{name}: {:?} {}", status.phase, status.reason);
    }
}

/// Of two rollouts that share a job exactly one proceeds, regardless of the order in which they become known. One that
/// has begun keeps the job.
#[test]
fn only_one_of_two_rollouts_sharing_a_job_proceeds() {
    let mut test_cluster = TestCluster::new();
    (1..4).for_each(|n| test_cluster.add_service(n, |_| ()));
    test_cluster.declare("b", json!({}));
    test_cluster.run_round();
    test_cluster.declare("a", json!({"old": "run-2", "new": "run-3"}));
    // The operator's request makes the rollout that has begun the one written last.
    test_cluster.declare("b", json!({"wanted": "paused", "word": 1}));
    test_cluster.run_round();
    test_cluster.run_round();
    assert_eq!(
        (test_cluster.status("a").phase, test_cluster.status("b").phase),
        (RolloutPhase::Refused, RolloutPhase::Paused)
    );
    // Both have begun, each before the other was known.
    let begun_status = json!({"phase": "growing", "old": "run-2", "new": "run-3"});
    test_cluster.put_record(&status_key(DeclarationKind::Rollout, "a"), begun_status);
    test_cluster.run_round();
    assert_eq!(
        (test_cluster.status("a").phase, test_cluster.status("b").phase),
        (RolloutPhase::Growing, RolloutPhase::Refused)
    );
}

/// Each part of a replica intent takes effect: stopping, keeping in place, and blocking placement.
#[test]
fn replica_intents_stop_keep_and_block_replicas() {
    let mut test_cluster = TestCluster::new();
    test_cluster.add_service(1, |job| (job.tasks, job.cpus) = (3, 3.0));
    // Two of the replicas fill the first machine.
    assert_eq!(test_cluster.run_round().len(), 3);
    for removed in ["m2", "m3"] {
        test_cluster.cluster.remove_machine(&removed.into(), test_cluster.now);
    }
    test_cluster.advance(1);
    let intents = |stop: &[u32], keep_in_place| {
        let intent =
            ReplicaIntent { max_bound: 3, stop: stop.iter().copied().collect(), keep_in_place, prioritized: false };
        Intents { replicas: [("run-1".into(), intent)].into(), ..Intents::default() }
    };
    test_cluster.cluster.set_intents(intents(&[0], false));
    test_cluster.advance(100);
    assert_eq!(test_cluster.running(1), 2, "only the replica named in `stop` must stop");
    assert!(
        plan::place(&mut test_cluster.cluster, &test_cluster.catalog, test_cluster.now).is_empty(),
        "the stopped replica must not be placed again"
    );
    let moves_tasks = |test_cluster: &TestCluster| {
        choose_drains(&test_cluster.cluster, &test_cluster.catalog, test_cluster.now)
            .iter()
            .any(|d| !d.moves.is_empty())
    };
    assert!(moves_tasks(&test_cluster), "the other two replicas fit on one machine");
    test_cluster.cluster.set_intents(intents(&[0], true));
    assert!(!moves_tasks(&test_cluster));
    test_cluster.cluster.set_intents(intents(&[0, 1], true));
    test_cluster.advance(1);
    test_cluster.cluster.set_intents(intents(&[0], true));
    let placed = plan::place(&mut test_cluster.cluster, &test_cluster.catalog, test_cluster.now);
    assert_eq!(placed.iter().map(|p| p.task.index).collect::<Vec<_>>(), [1], "only the allowed replica must be placed");
}
