//! A rollout on the real cluster state: what its intents change of placing, renting, stopping and sparing.

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

struct Bench {
    cluster: ClusterState,
    registry: DeclarationRegistry,
    catalog: Catalog,
    now: Instant,
    seq: u64,
    version: u64,
}

impl Bench {
    /// Machines of 8 cores, m0 to m3, in two zones; services of 4 replicas that take 2 cores each.
    fn new() -> Self {
        let of = MachineType { zones: vec!["a".into(), "b".into()], ..machine_type("c8", 8.0, 0.0, 1.0) };
        let now = Instant::now();
        let mut cluster = ClusterState::new(7, example(), Properties::default(), now);
        cluster.loaded = true;
        let mut bench = Self {
            cluster,
            registry: DeclarationRegistry::default(),
            catalog: Catalog { types: vec![of] },
            now,
            seq: 0,
            version: 0,
        };
        bench.heartbeat();
        bench
    }

    fn add(&mut self, n: u32, change: impl FnOnce(&mut JobSpec)) {
        let mut job =
            JobSpec { id: format!("run-{n}").into(), shape: Shape::Service, tasks: 4, cpus: 2.0, ..job_spec() };
        (job.estimate_s, job.checkpoint_s, job.team) = (5000.0, 10.0, "blue".into());
        change(&mut job);
        self.cluster.add_job(Arc::new(JobRecord { spec: job, accepted_ms: time_of_day_ms() }), self.now);
    }

    fn put(&mut self, path: &str, value: Value) {
        self.version += 1;
        assert!(self.registry.put_key(path, &value, self.version));
    }

    fn declare(&mut self, name: &str, change: Value) {
        let mut spec = json!({"old": "run-1", "new": "run-2", "replicas": 4, "hold_s": 5, "surge": 1});
        spec.as_object_mut().unwrap().extend(change.as_object().unwrap().clone());
        self.put(&spec_key(DeclarationKind::Rollout, name), spec);
    }

    /// All machines say that what is bound to them runs, but what was told to stop, which is gone.
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
        let now_ms = 1_000_000 + (now - self.cluster.machines["m0"].rented_at).as_millis() as u64;
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

    /// Intents by what is stored, then the next statuses, as the leader's task does; then a plan.
    fn turn(&mut self) -> Vec<String> {
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
                self.put(&status_key(DeclarationKind::Rollout, &name), serde_json::to_value(status).unwrap());
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

    fn pass(&mut self, seconds: u64) {
        self.now += Duration::from_secs(seconds);
        self.heartbeat();
    }
}

/// From nothing of the new version to nothing of the old one, with no fewer than four at any moment.
#[test]
fn a_rollout_on_the_cluster_state() {
    let mut bench = Bench::new();
    bench.add(1, |_| ());
    assert_eq!(bench.turn().len(), 4);
    bench.declare("r", json!({"steps": [1, 0.5]}));
    // Submitted after it was declared: nothing of it is placed, and nothing rented, before its step.
    bench.add(2, |_| ());
    assert!(bench.turn().is_empty());
    let refusals = CapacityRefusals::default();
    assert!(plan_scale_out(&bench.cluster, &bench.catalog, &refusals, &HashMap::new(), bench.now).is_empty());
    let mut phases = Vec::new();
    for _ in 0..120 {
        bench.pass(1);
        bench.turn();
        let phase = bench.status("r").phase;
        if phases.last() != Some(&phase) {
            phases.push(phase);
        }
        let (old, new) = (bench.running(1), bench.running(2));
        assert!(old + new >= 4 && old + new <= 5, "{old} and {new} run, {phase:?}");
        // What a rollout moves is not moved to spare a machine as well.
        let moved = choose_drains(&bench.cluster, &bench.catalog, bench.now);
        assert!(phase == RolloutPhase::Done || moved.iter().all(|d| d.moves.is_empty()), "{moved:?}");
    }
    assert_eq!((bench.running(1), bench.running(2)), (0, 4), "{phases:?}");
    assert_eq!(phases.last(), Some(&RolloutPhase::Done));
    assert!(bench.cluster.has_job(&"run-1".into()), "held at no replicas, and known");
    // Cancelled as its user would, and removed: the new job is as any other.
    bench.cluster.end_job(&"run-1".into(), None, bench.now);
    bench.pass(1);
    assert!(bench.turn().is_empty());
    bench.registry.remove_key(&spec_key(DeclarationKind::Rollout, "r"), 1000);
    assert!(bench.turn().is_empty() && bench.cluster.intents.is_empty());
}

/// Refused, or kept from beginning, by what the cluster state says of the jobs and the team.
#[test]
fn rollouts_that_may_not_begin_by_cases() {
    type Change = fn(&mut JobSpec);
    let blue: fn(&mut Bench) = |_| ();
    // The team's limit is 20 cores.
    let red: Change = |j| j.team = "red".into();
    type Case = (&'static str, Change, Value, fn(&mut Bench), RolloutPhase, &'static str);
    let cases: [Case; 8] = [
        ("good", |_| (), json!({}), blue, RolloutPhase::Growing, ""),
        ("no service", |j| j.shape = Shape::Array, json!({}), blue, RolloutPhase::Refused, "new: run-2 is no service"),
        ("too few", |j| j.tasks = 3, json!({}), blue, RolloutPhase::Refused, "replicas: 4 are asked, and run-2 has 3"),
        ("too many", |j| j.tasks = 600, json!({}), blue, RolloutPhase::Refused, "new: run-2 has 600 replicas"),
        ("room in the limit", red, json!({"surge": 2}), blue, RolloutPhase::Growing, ""),
        (
            "larger ones",
            |j| (j.team, j.cpus) = ("red".into(), 5.0),
            json!({}),
            blue,
            RolloutPhase::Planned,
            "surge: 1 more than 4",
        ),
        ("not there", |_| (), json!({"new": "run-9"}), blue, RolloutPhase::Planned, "waits for run-9"),
        (
            "a job of another's",
            |_| (),
            json!({}),
            |bench| bench.declare("a", json!({"old": "run-2", "new": "run-3"})),
            RolloutPhase::Refused,
            "rollout a has one of its jobs",
        ),
    ];
    for (name, change, with, before, want, reason) in cases {
        let mut bench = Bench::new();
        bench.add(1, |job| job.team = "red".into());
        bench.add(2, change);
        before(&mut bench);
        bench.declare("r", with);
        bench.turn();
        let status = bench.status("r");
        assert!(status.phase == want && status.reason.contains(reason), "{name}: {:?} {}", status.phase, status.reason);
    }
}

/// Whatever order they are heard of in, one of two that share a job goes on; who has begun keeps it.
#[test]
fn two_rollouts_that_share_a_job() {
    let mut bench = Bench::new();
    (1..4).for_each(|n| bench.add(n, |_| ()));
    bench.declare("b", json!({}));
    bench.turn();
    bench.declare("a", json!({"old": "run-2", "new": "run-3"}));
    // The operator's word makes the one that has begun the later one to be written.
    bench.declare("b", json!({"wanted": "paused", "word": 1}));
    bench.turn();
    bench.turn();
    assert_eq!((bench.status("a").phase, bench.status("b").phase), (RolloutPhase::Refused, RolloutPhase::Paused));
    // Both begun, each before the other was heard of.
    let begun = json!({"phase": "growing", "old": "run-2", "new": "run-3"});
    bench.put(&status_key(DeclarationKind::Rollout, "a"), begun);
    bench.turn();
    assert_eq!((bench.status("a").phase, bench.status("b").phase), (RolloutPhase::Growing, RolloutPhase::Refused));
}

/// What is asked of one job's replicas, each by itself.
#[test]
fn replicas_stop_stay_and_are_not_placed() {
    let mut bench = Bench::new();
    bench.add(1, |job| (job.tasks, job.cpus) = (3, 3.0));
    // Two fill the first machine.
    assert_eq!(bench.turn().len(), 3);
    for gone in ["m2", "m3"] {
        bench.cluster.remove_machine(&gone.into(), bench.now);
    }
    bench.pass(1);
    let ask = |stop: &[u32], stay| {
        let of = ReplicaIntent {
            max_bound: 3,
            stop: stop.iter().copied().collect(),
            keep_in_place: stay,
            prioritized: false,
        };
        Intents { replicas: [("run-1".into(), of)].into(), ..Intents::default() }
    };
    bench.cluster.set_intents(ask(&[0], false));
    bench.pass(100);
    assert_eq!(bench.running(1), 2, "stopped, and only that one");
    assert!(plan::place(&mut bench.cluster, &bench.catalog, bench.now).is_empty(), "and not placed again");
    let moved =
        |bench: &Bench| choose_drains(&bench.cluster, &bench.catalog, bench.now).iter().any(|d| !d.moves.is_empty());
    assert!(moved(&bench), "the two others fit on one machine");
    bench.cluster.set_intents(ask(&[0], true));
    assert!(!moved(&bench));
    bench.cluster.set_intents(ask(&[0, 1], true));
    bench.pass(1);
    bench.cluster.set_intents(ask(&[0], true));
    let placed = plan::place(&mut bench.cluster, &bench.catalog, bench.now);
    assert_eq!(placed.iter().map(|p| p.task.index).collect::<Vec<_>>(), [1], "only the one that may");
}
