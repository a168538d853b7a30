//! A shard that a new leader cannot read hides what runs, and costs its own job's progress at the most.

use super::simulation::*;
use super::world::*;
use super::*;
use crate::jobs::record::StoredTask;
use crate::protocol::workers::ExitCause;
use crate::scheduling::cluster::TeamUsage;

/// Past any rest, by the example's settings and the default election lease.
const PAST_THE_REST: f64 = 120.0;
/// Where the attempts of tasks that were hidden begin, at the least.
const HIDDEN_ATTEMPTS: u64 = 1 << 32;

/// A leader that comes now and cannot read the first job's shard.
fn leader_with_unreadable(world: &mut World) -> ClusterState {
    let mut cluster = world.elect_unloaded_leader();
    let (version, _) = world.shard.clone().unwrap();
    cluster.add_job(world.record.clone(), world.now);
    cluster.load_unreadable_shard(&JOB.into(), 0, version, world.now);
    cluster
}

fn successor_cannot_read(simulation: &mut Simulation) {
    simulation.cluster = leader_with_unreadable(&mut simulation.world);
    simulation.cluster.finish_load(simulation.world.now);
    simulation.load_machine_list();
}

fn attempts(cluster: &ClusterState) -> Vec<u64> {
    cluster.job(&JOB.into()).unwrap().tasks.iter().map(|task| task.attempt).collect()
}

/// What ends the rest of a job, one condition at a time. The machine's heartbeats are of the first moment.
#[test]
fn a_job_rests_until_nothing_hidden_can_run() {
    let attempt_report = |job: &str, status| AttemptReport {
        task: TaskKey { job: job.into(), index: 0 },
        attempt: 1,
        status,
        cause: (status == AttemptStatus::Exited).then_some(ExitCause::Stopped),
        saved: None,
    };
    let ours = |attempts| Some((0, attempts));
    let earlier = |attempts| Some((1, attempts));
    let cases = [
        ("heard, nothing runs", ours(vec![]), false, PAST_THE_REST, false),
        ("before the lease of an unknown machine has ended", ours(vec![]), false, 30.0, true),
        ("never heard", None, false, PAST_THE_REST, true),
        ("heard by the token of an earlier leader", earlier(vec![]), false, PAST_THE_REST, true),
        ("never heard, and returned", None, true, PAST_THE_REST, false),
        ("a hidden task runs", ours(vec![attempt_report(JOB, AttemptStatus::Running)]), false, PAST_THE_REST, true),
        ("a hidden task saves", ours(vec![attempt_report(JOB, AttemptStatus::Saving)]), false, PAST_THE_REST, true),
        (
            "a hidden task has exited",
            ours(vec![attempt_report(JOB, AttemptStatus::Exited)]),
            false,
            PAST_THE_REST,
            false,
        ),
        (
            "another job's task runs",
            ours(vec![attempt_report("run-000099", AttemptStatus::Running)]),
            false,
            PAST_THE_REST,
            false,
        ),
    ];
    for (name, heard, returned, after_s, rests) in cases {
        let mut world = World::new(&["m1"], |j| j.tasks = 2);
        world.shard = Some((5, vec![StoredTask::Untouched; 2]));
        let mut cluster = leader_with_unreadable(&mut world);
        let kind = MachineKind { type_name: "c8".into(), zone: "a".into(), spot: false };
        cluster.expect_machine("m1", &kind, Some("127.0.0.1:9"), secs(900.0), world.now);
        cluster.finish_load(world.now);
        if let Some((below, attempts)) = heard {
            let fencing_token = cluster.first_fencing_token - below;
            let heartbeat = Heartbeat { fencing_token, ..heartbeat("m1", "c8", "a", false, 1, attempts) };
            cluster.take_heartbeat(heartbeat, MessageKind::Heartbeat, None, world.now);
        }
        if returned {
            cluster.remove_machine(&"m1".into(), world.now);
        }
        let now = world.now + secs(after_s);
        cluster.tick(now);
        let job = cluster.job(&JOB.into()).unwrap();
        assert_eq!((cluster.is_suspended(&JOB.into()), now < job.not_before), (rests, rests), "{name}");
        let stored = cluster.next_writes(9, now).1;
        let expected: Vec<u64> = if rests { vec![] } else { vec![5] };
        assert_eq!(
            stored.iter().map(|write| write.version).collect::<Vec<_>>(),
            expected,
            "{name}: stored at its stamp"
        );
    }
}

/// What runs unseen is stopped where it is reported, or ends with its lease, and starts anew only then; the world
/// panics where a task runs twice.
#[test]
fn what_an_unreadable_shard_hides_never_runs_twice() {
    type Trouble = fn(&mut Simulation);
    let faults: [(&str, Trouble); 4] = [
        ("none", |_| ()),
        ("its machine is paused", |simulation| simulation.paused = vec!["m1"]),
        ("its reports are lost", |simulation| simulation.outbound_lost = vec!["m1"]),
        ("it hears nothing", |simulation| simulation.inbound_lost = vec!["m1"]),
    ];
    for (shape, tasks) in [(Shape::Array, 3), (Shape::Gang, 2)] {
        for (name, trouble) in faults {
            let name = format!("{shape:?}, {name}");
            let mut simulation = Simulation::new(&[("m1", "a"), ("m2", "a")], |j| {
                (j.shape, j.tasks, j.estimate_s) = (shape, tasks, 900.0);
            });
            simulation.world.bind_waiting(&mut simulation.cluster, "m1");
            simulation.exchange_heartbeat("m1");
            simulation.exchange_heartbeat("m1");
            assert_eq!(simulation.live_tasks(&JOB.into()).len() as u64, tasks, "{name}");
            trouble(&mut simulation);
            simulation.places_tasks = true;
            successor_cannot_read(&mut simulation);
            simulation.run(15.0);
            // A second one reads the same, since nothing was stored over it.
            assert!(simulation.cluster.is_suspended(&JOB.into()), "{name}");
            successor_cannot_read(&mut simulation);
            simulation.run(PAST_THE_REST);
            assert_eq!(simulation.live_tasks(&JOB.into()).len() as u64, tasks, "{name}: it runs again");
            let all = attempts(&simulation.cluster);
            assert!(all.iter().all(|attempt| *attempt > HIDDEN_ATTEMPTS), "{name}: {all:?}");
            // And once more: what may have been given out meanwhile is not given out again.
            simulation.paused.clear();
            simulation.outbound_lost.clear();
            simulation.inbound_lost.clear();
            successor_cannot_read(&mut simulation);
            simulation.run(PAST_THE_REST);
            let later = attempts(&simulation.cluster);
            assert!(later.iter().zip(&all).all(|(later, earlier)| later > earlier), "{name}: {all:?}, {later:?}");
        }
    }
}

/// A team's limit holds with tasks that nobody can see, and they count no longer than they may run.
#[test]
fn hidden_tasks_count_for_their_team_while_they_may_run() {
    let mut world = World::new(&["m1"], |j| (j.tasks, j.cpus) = (3, 2.0));
    world.shard = Some((5, vec![StoredTask::Untouched; 3]));
    let mut cluster = leader_with_unreadable(&mut world);
    cluster.finish_load(world.now);
    let team = world.record.spec.team.clone();
    assert_eq!(cluster.team_usage[&team], TeamUsage { cpus: 6.0, gpus: 0.0 });
    cluster.tick(world.now + secs(PAST_THE_REST));
    assert_eq!(cluster.team_usage[&team], TeamUsage::default());
}

/// A task that a worker reports as done is not reaped before that is stored, and does not start again.
#[test]
fn a_hidden_task_that_is_reported_done_is_done() {
    let mut simulation = Simulation::new(&[("m1", "a"), ("m2", "a")], |j| (j.tasks, j.estimate_s) = (2, 900.0));
    simulation.world.bind_waiting(&mut simulation.cluster, "m1");
    simulation.exchange_heartbeat("m1");
    simulation.exchange_heartbeat("m1");
    simulation.world.exit_task("m1", 0, 1, ExitCause::Done);
    simulation.places_tasks = true;
    successor_cannot_read(&mut simulation);
    simulation.run(PAST_THE_REST);
    assert_eq!(simulation.live_tasks(&JOB.into()).iter().map(|(index, _)| *index).collect::<Vec<_>>(), [1]);
    assert_eq!(simulation.cluster.job(&JOB.into()).unwrap().done, 1);
}

/// A shard is unreadable, its task is started once more, and that shard is unreadable as well: no attempt comes twice.
#[test]
fn attempts_after_an_unreadable_shard_are_never_given_out_again() {
    for (name, version) in [("a young store", 1), ("an old store", 1 << 40)] {
        let mut world = World::new(&["m1"], |j| j.tasks = 1);
        world.version = version;
        // All that an earlier leader can have started by then.
        let mut last = version;
        world.shard = Some((version, vec![StoredTask::Bound(last, "m1".into())]));
        for round in 0..3 {
            let mut cluster = leader_with_unreadable(&mut world);
            world.version = world.shard.as_ref().unwrap().0;
            cluster.finish_load(world.now);
            cluster.tick(world.now + secs(PAST_THE_REST));
            cluster.take_heartbeat(
                heartbeat("m1", "c8", "a", false, 1, vec![]),
                MessageKind::Heartbeat,
                None,
                world.now,
            );
            // Every change of the store is a start of this task.
            world.bind_waiting(&mut cluster, "m1");
            let attempt = attempts(&cluster)[0];
            assert!(attempt > last.max(HIDDEN_ATTEMPTS), "{name}, round {round}: {attempt} after {last}");
            last = attempt;
        }
    }
}

/// A revision near the end of all numbers overflows nothing.
#[test]
fn the_last_revision_overflows_no_attempt() {
    let mut world = World::new(&["m1"], |j| j.tasks = 1);
    world.shard = Some((u64::MAX, vec![StoredTask::Untouched]));
    let cluster = leader_with_unreadable(&mut world);
    assert!(attempts(&cluster)[0].checked_add(1).is_some());
}

/// A gang of which a part can be read has lost its attempt: that part is stopped, and not what an array has left.
#[test]
fn the_readable_part_of_a_gang_is_stopped() {
    for (shape, halting) in [(Shape::Gang, Some(0)), (Shape::Array, None)] {
        let now = Instant::now();
        let job = JobSpec { id: JOB.into(), shape, tasks: 193, ..spec() };
        let mut cluster = ClusterState::new(7, example(), Properties::default(), now);
        let bound = vec![StoredTask::Bound(1, "m1".into()); 192];
        cluster.load_job(Arc::new(JobRecord { spec: job, at_ms: u64::MAX }), vec![(0, 5, bound)], now);
        cluster.load_unreadable_shard(&JOB.into(), 1, 5, now);
        cluster.finish_load(now);
        let job = cluster.job(&JOB.into()).unwrap();
        assert_eq!(job.bound.len(), 192, "{shape:?}: nothing is proven gone yet");
        assert!(job.bound.iter().all(|i| job.binding(*i).unwrap().halt_grace_s == halting), "{shape:?}");
        assert_eq!(attempts(&cluster)[192], HIDDEN_ATTEMPTS + 5, "{shape:?}");
    }
}
