//! A shard that a new leader cannot read hides which tasks run. At most the progress of its own job may be lost.

use super::simulation::*;
use super::world::*;
use super::*;
use crate::jobs::record::StoredTask;
use crate::protocol::workers::ExitCause;
use crate::scheduling::cluster::TeamUsage;
use crate::store::TransactionLimits;

/// Longer than any suspension of a job, with the example's settings and the default election lease.
const AFTER_SUSPENSION_S: f64 = 120.0;
/// Lower bound of the attempt numbers of tasks whose shard was unreadable.
const MIN_HIDDEN_ATTEMPT: u64 = 1 << 32;

/// Returns the cluster state of a new leader that cannot read the first job's shard, before its load is finished.
fn leader_with_unreadable_shard(world: &mut World) -> ClusterState {
    let mut cluster = world.elect_unloaded_leader();
    let (version, _) = world.shard.clone().unwrap();
    cluster.add_job(world.record.clone(), world.now);
    cluster.load_unreadable_shard(&JOB.into(), 0, version, world.now);
    cluster
}

/// Replaces the leader by one that cannot read the first job's shard.
fn fail_over_with_unreadable_shard(simulation: &mut Simulation) {
    simulation.cluster = leader_with_unreadable_shard(&mut simulation.world);
    simulation.cluster.finish_load(simulation.world.now);
    simulation.load_machine_list();
}

fn attempts(cluster: &ClusterState) -> Vec<u64> {
    cluster.job(&JOB.into()).unwrap().tasks.iter().map(|task| task.attempt).collect()
}

/// The conditions that end the suspension of a job with an unreadable shard, one at a time. The machine's heartbeat
/// arrives at the start.
#[test]
fn job_with_an_unreadable_shard_is_suspended_until_no_hidden_task_can_run() {
    let attempt_report = |job: &str, status| AttemptReport {
        task: TaskKey { job: job.into(), index: 0 },
        attempt: 1,
        status,
        cause: (status == AttemptStatus::Exited).then_some(ExitCause::Stopped),
        saved: None,
    };
    let with_own_token = |attempts| Some((0, attempts));
    let with_earlier_token = |attempts| Some((1, attempts));
    // (name, heartbeat, whether the machine is terminated, seconds until the check, whether the job is suspended)
    let cases = [
        ("reported, nothing runs", with_own_token(vec![]), false, AFTER_SUSPENSION_S, false),
        ("before the lease of an unknown machine has ended", with_own_token(vec![]), false, 30.0, true),
        ("never heard", None, false, AFTER_SUSPENSION_S, true),
        ("reported with the token of an earlier leader", with_earlier_token(vec![]), false, AFTER_SUSPENSION_S, true),
        ("never heard, and terminated", None, true, AFTER_SUSPENSION_S, false),
        (
            "a hidden task runs",
            with_own_token(vec![attempt_report(JOB, AttemptStatus::Running)]),
            false,
            AFTER_SUSPENSION_S,
            true,
        ),
        (
            "a hidden task saves",
            with_own_token(vec![attempt_report(JOB, AttemptStatus::Saving)]),
            false,
            AFTER_SUSPENSION_S,
            true,
        ),
        (
            "a hidden task has exited",
            with_own_token(vec![attempt_report(JOB, AttemptStatus::Exited)]),
            false,
            AFTER_SUSPENSION_S,
            false,
        ),
        (
            "another job's task runs",
            with_own_token(vec![attempt_report("run-000099", AttemptStatus::Running)]),
            false,
            AFTER_SUSPENSION_S,
            false,
        ),
    ];
    for (name, reported, terminated, after_s, suspended) in cases {
        let mut world = World::new(&["m1"], |j| j.tasks = 2);
        world.shard = Some((5, vec![StoredTask::Untouched; 2]));
        let mut cluster = leader_with_unreadable_shard(&mut world);
        let kind = MachineKind { type_name: "c8".into(), zone: "a".into(), spot: false };
        cluster.expect_machine("m1", &kind, Some("127.0.0.1:9"), secs(900.0), world.now);
        cluster.finish_load(world.now);
        if let Some((tokens_behind, attempts)) = reported {
            let fencing_token = cluster.first_fencing_token - tokens_behind;
            let heartbeat = Heartbeat { fencing_token, ..heartbeat("m1", "c8", "a", false, 1, attempts) };
            cluster.take_heartbeat(heartbeat, MessageKind::Heartbeat, None, world.now);
        }
        if terminated {
            cluster.remove_machine(&"m1".into(), world.now);
        }
        let now = world.now + secs(after_s);
        cluster.tick(now);
        let job = cluster.job(&JOB.into()).unwrap();
        assert_eq!((cluster.is_suspended(&JOB.into()), now < job.not_before), (suspended, suspended), "{name}");
        let stored = cluster.next_writes(&TransactionLimits::of_changes(9), now).1;
        let expected: Vec<u64> = if suspended { vec![] } else { vec![5] };
        assert_eq!(
            stored.iter().map(|write| write.shard.version).collect::<Vec<_>>(),
            expected,
            "{name}: stored on the condition of the unreadable shard's revision"
        );
    }
}

/// Hidden tasks are stopped where they are reported, or end with their lease, and start again only then. The world
/// panics if a task runs twice.
#[test]
fn tasks_hidden_by_an_unreadable_shard_never_run_twice() {
    type Fault = fn(&mut Simulation);
    let faults: [(&str, Fault); 4] = [
        ("none", |_| ()),
        ("its machine is paused", |simulation| simulation.paused = vec!["m1"]),
        ("its heartbeats are lost", |simulation| simulation.outbound_lost = vec!["m1"]),
        ("it receives nothing", |simulation| simulation.inbound_lost = vec!["m1"]),
    ];
    for (shape, tasks) in [(Shape::Array, 3), (Shape::Gang, 2)] {
        for (name, inject_fault) in faults {
            let name = format!("{shape:?}, {name}");
            let mut simulation = Simulation::new(&[("m1", "a"), ("m2", "a")], |j| {
                (j.shape, j.tasks, j.estimate_s) = (shape, tasks, 900.0);
            });
            simulation.world.bind_waiting(&mut simulation.cluster, "m1");
            simulation.exchange_heartbeat("m1");
            simulation.exchange_heartbeat("m1");
            assert_eq!(simulation.live_tasks(&JOB.into()).len() as u64, tasks, "{name}");
            inject_fault(&mut simulation);
            simulation.places_tasks = true;
            fail_over_with_unreadable_shard(&mut simulation);
            simulation.run(15.0);
            // A second successor finds the same unreadable shard, since nothing was stored over it.
            assert!(simulation.cluster.is_suspended(&JOB.into()), "{name}");
            fail_over_with_unreadable_shard(&mut simulation);
            simulation.run(AFTER_SUSPENSION_S);
            assert_eq!(simulation.live_tasks(&JOB.into()).len() as u64, tasks, "{name}: it runs again");
            let all = attempts(&simulation.cluster);
            assert!(all.iter().all(|attempt| *attempt > MIN_HIDDEN_ATTEMPT), "{name}: {all:?}");
            // After another takeover, attempts that may have been assigned meanwhile are not assigned again.
            simulation.paused.clear();
            simulation.outbound_lost.clear();
            simulation.inbound_lost.clear();
            fail_over_with_unreadable_shard(&mut simulation);
            simulation.run(AFTER_SUSPENSION_S);
            let later = attempts(&simulation.cluster);
            assert!(later.iter().zip(&all).all(|(later, earlier)| later > earlier), "{name}: {all:?}, {later:?}");
        }
    }
}

/// Hidden tasks count for their team's limit exactly as long as they may run.
#[test]
fn hidden_tasks_count_for_their_team_while_they_may_run() {
    let mut world = World::new(&["m1"], |j| (j.tasks, j.cpus) = (3, 2.0));
    world.shard = Some((5, vec![StoredTask::Untouched; 3]));
    let mut cluster = leader_with_unreadable_shard(&mut world);
    cluster.finish_load(world.now);
    let team = world.record.spec.team.clone();
    assert_eq!(cluster.team_usage[&team], TeamUsage { cpus: 6.0, gpus: 0.0 });
    cluster.tick(world.now + secs(AFTER_SUSPENSION_S));
    assert_eq!(cluster.team_usage[&team], TeamUsage::default());
}

/// A hidden task that a worker reports as done is not reaped before that is stored, and does not start again.
#[test]
fn hidden_task_that_is_reported_done_does_not_run_again() {
    let mut simulation = Simulation::new(&[("m1", "a"), ("m2", "a")], |j| (j.tasks, j.estimate_s) = (2, 900.0));
    simulation.world.bind_waiting(&mut simulation.cluster, "m1");
    simulation.exchange_heartbeat("m1");
    simulation.exchange_heartbeat("m1");
    simulation.world.exit_task("m1", 0, 1, ExitCause::Done);
    simulation.places_tasks = true;
    fail_over_with_unreadable_shard(&mut simulation);
    simulation.run(AFTER_SUSPENSION_S);
    assert_eq!(simulation.live_tasks(&JOB.into()).iter().map(|(index, _)| *index).collect::<Vec<_>>(), [1]);
    assert_eq!(simulation.cluster.job(&JOB.into()).unwrap().done, 1);
}

/// A shard is unreadable, its task is started again, and the new shard is unreadable as well. No attempt number may be
/// used twice.
#[test]
fn attempts_after_an_unreadable_shard_are_never_assigned_again() {
    for (name, version) in [("a store at revision 1", 1), ("a store at revision 2^40", 1 << 40)] {
        let mut world = World::new(&["m1"], |j| j.tasks = 1);
        world.version = version;
        // The highest attempt that an earlier leader can have started by this revision.
        let mut last = version;
        world.shard = Some((version, vec![StoredTask::Bound(last, "m1".into())]));
        for round in 0..3 {
            let mut cluster = leader_with_unreadable_shard(&mut world);
            world.version = world.shard.as_ref().unwrap().0;
            cluster.finish_load(world.now);
            cluster.tick(world.now + secs(AFTER_SUSPENSION_S));
            cluster.take_heartbeat(
                heartbeat("m1", "c8", "a", false, 1, vec![]),
                MessageKind::Heartbeat,
                None,
                world.now,
            );
            // In the worst case, every revision of the store is a start of this task.
            world.bind_waiting(&mut cluster, "m1");
            let attempt = attempts(&cluster)[0];
            assert!(attempt > last.max(MIN_HIDDEN_ATTEMPT), "{name}, round {round}: {attempt} after {last}");
            last = attempt;
        }
    }
}

/// The attempt number that is derived from the highest possible revision leaves room for the next attempt.
#[test]
fn highest_revision_overflows_no_attempt() {
    let mut world = World::new(&["m1"], |j| j.tasks = 1);
    world.shard = Some((u64::MAX, vec![StoredTask::Untouched]));
    let cluster = leader_with_unreadable_shard(&mut world);
    assert!(attempts(&cluster)[0].checked_add(1).is_some());
}

/// A gang of which only a part can be read has lost its attempt, so its readable tasks are stopped. Those of an array go
/// on.
#[test]
fn readable_tasks_of_a_gang_with_an_unreadable_shard_are_stopped() {
    for (shape, halting) in [(Shape::Gang, Some(0)), (Shape::Array, None)] {
        let now = Instant::now();
        let job = JobSpec { id: JOB.into(), shape, tasks: 193, ..spec() };
        let mut cluster = ClusterState::new(7, example(), Properties::default(), now);
        let bound = vec![StoredTask::Bound(1, "m1".into()); 192];
        cluster.load_job(Arc::new(JobRecord { spec: job, accepted_ms: u64::MAX }), vec![(0, 5, bound)], now);
        cluster.load_unreadable_shard(&JOB.into(), 192, 5, now);
        cluster.finish_load(now);
        let job = cluster.job(&JOB.into()).unwrap();
        assert_eq!(job.bound.len(), 192, "{shape:?}: no task is proven gone yet");
        assert!(job.bound.iter().all(|i| job.binding(*i).unwrap().halt_grace_s == halting), "{shape:?}");
        assert_eq!(attempts(&cluster)[192], MIN_HIDDEN_ATTEMPT + 5, "{shape:?}");
    }
}
