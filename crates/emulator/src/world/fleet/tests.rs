use super::*;
use hollylanding_protocol::jobs::{Shape, Urgency};
use hollylanding_protocol::workers::{AttemptStatus, Heartbeat, WorkerCommand, WorkerCommands};

const PARAMS: Params =
    Params { lease: Duration::from_secs(24), gang_wait: Duration::from_secs(35), gang_peer: Duration::from_secs(8) };

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn key(job: &str, index: u32) -> TaskKey {
    TaskKey { job: job.into(), index }
}

fn upload(id: &str, change: impl Fn(&mut Upload)) -> Upload {
    let spec = JobSpec {
        id: id.into(),
        class: "c".into(),
        team: "t".into(),
        shape: Shape::Array,
        urgency: Urgency::Normal,
        tasks: 4,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "i".into(),
        image_gb: 2.0,
        types: None,
        zone: None,
        same_zone: false,
        spread: false,
        spot: true,
        estimate_s: 100.0,
        checkpoint_s: 10.0,
        save_s: 3.0,
        due_s: None,
    };
    let mut upload = Upload { spec, run: s(100.0), broken: false };
    change(&mut upload);
    upload
}

fn gang(id: &str) -> Upload {
    upload(id, |u| (u.spec.shape, u.spec.tasks) = (Shape::Gang, 2))
}

/// A fleet of machines with two cores that fetch images at 1 GB/s.
fn fleet(machines: usize, uploads: Vec<Upload>) -> Fleet {
    let mut fleet = Fleet::new(PARAMS);
    let machine_type = MachineType {
        name: "m".into(),
        cpus: 2.0,
        gpus: 0.0,
        memory_gb: 8.0,
        fetch_gb_per_s: 1.0,
        cache_gb: Some(4.0),
        price: 1.0,
        spot_price: 0.5,
        boot_s: 1.0,
        zones: vec!["a".into()],
    };
    for n in 0..machines {
        let machine = Machine {
            addr: "127.0.0.1:9".into(),
            machine_type: machine_type.clone(),
            zone: "a".into(),
            spot: false,
            speed: 1.0,
        };
        fleet.add_machine(&format!("m{n}"), machine, s(0.0));
    }
    uploads.into_iter().for_each(|u| fleet.upload(u));
    fleet
}

fn launch(job: &str, index: u32, attempt: u64) -> WorkerCommand {
    WorkerCommand::Launch { task: key(job, index), attempt }
}

fn halt(job: &str, index: u32, attempt: u64, grace_s: u64) -> WorkerCommand {
    WorkerCommand::Halt { task: key(job, index), attempt, grace_s }
}

fn command(
    fleet: &mut Fleet,
    name: &str,
    fencing_token: u64,
    agent_epoch: u64,
    orders: Vec<WorkerCommand>,
    at: f64,
) -> (bool, Heartbeat) {
    fleet
        .command(name, &WorkerCommands { fencing_token, agent_epoch: Some(agent_epoch), orders }, s(at))
        .expect("the worker must answer")
}

/// Sends a heartbeat of every worker and its response every second, which keeps the leases alive.
fn run_with_heartbeats(fleet: &mut Fleet, from: f64, to: f64) {
    let mut at = from;
    while at <= to {
        for name in fleet.machine_names().cloned().collect::<Vec<_>>() {
            if let Some(heartbeat) = fleet.heartbeat(&name, s(at)) {
                let nothing =
                    WorkerCommands { fencing_token: heartbeat.fencing_token, agent_epoch: None, orders: vec![] };
                fleet.answer(&name, heartbeat.agent_epoch, s(at), &nothing, s(at));
            }
        }
        at += 1.0;
    }
}

fn state(
    fleet: &mut Fleet,
    name: &str,
    index: u32,
    at: f64,
) -> Option<(AttemptStatus, Option<ExitCause>, Option<bool>)> {
    let heartbeat = fleet.heartbeat(name, s(at))?;
    heartbeat.attempts.iter().rev().find(|l| l.task.index == index).map(|l| (l.status, l.cause, l.saved))
}

fn ended(cause: ExitCause) -> Option<(AttemptStatus, Option<ExitCause>, Option<bool>)> {
    Some((AttemptStatus::Exited, Some(cause), None))
}

#[test]
fn launch_is_ignored_or_refused_by_case() {
    let mut fleet = fleet(1, vec![upload("run-1", |_| ()), upload("run-2", |u| u.spec.cpus = 2.0)]);
    command(&mut fleet, "m0", 1, 1, vec![launch("run-1", 0, 1)], 0.0);
    for (name, order, want) in [
        ("same attempt again", launch("run-1", 0, 1), None),
        ("another attempt of a live task", launch("run-1", 0, 2), Some(ExitCause::Busy)),
        ("no room left", launch("run-2", 0, 1), Some(ExitCause::NoRoom)),
        ("unknown job", launch("run-9", 0, 1), Some(ExitCause::Unknown)),
        ("unknown task", launch("run-1", 9, 1), Some(ExitCause::Unknown)),
    ] {
        let WorkerCommand::Launch { task, attempt } = &order else { unreachable!() };
        let (_, heartbeat) = command(&mut fleet, "m0", 1, 1, vec![order.clone()], 0.0);
        let attempt_report = heartbeat.attempts.iter().find(|l| l.task == *task && l.attempt == *attempt).expect(name);
        assert_eq!(attempt_report.cause, want, "{name}");
        let reap = WorkerCommand::Reap { task: task.clone(), attempt: *attempt };
        let (_, heartbeat) = command(&mut fleet, "m0", 1, 1, vec![reap], 0.0);
        assert_eq!(heartbeat.attempts.len(), 1, "{name}: only exited attempts must be reaped");
    }
}

#[test]
fn stale_tokens_epochs_and_late_responses_are_ignored() {
    let mut fleet = fleet(1, vec![upload("run-1", |_| ())]);
    for (name, fencing_token, agent_epoch, accepted) in [
        ("first token", 5, 1, true),
        ("a lower token", 4, 1, false),
        ("equal token", 5, 1, true),
        ("another agent epoch", 6, 2, false),
    ] {
        assert_eq!(command(&mut fleet, "m0", fencing_token, agent_epoch, vec![], 1.0).0, accepted, "{name}");
    }
    let orders =
        |fencing_token| WorkerCommands { fencing_token, agent_epoch: None, orders: vec![launch("run-1", 0, 1)] };
    for (name, agent_epoch, sent, at, fencing_token, accepted) in [
        ("a lower token", 1, 2.0, 2.0, 4, false),
        ("earlier agent epoch", 0, 2.0, 2.0, 5, false),
        ("too late", 1, 2.0, 6.5, 5, false),
        ("in time", 1, 3.0, 6.5, 5, true),
    ] {
        assert_eq!(fleet.answer("m0", agent_epoch, s(sent), &orders(fencing_token), s(at)), accepted, "{name}");
    }
    // The lease runs from the time at which the answered heartbeat was sent; direct commands do not renew it.
    command(&mut fleet, "m0", 5, 1, vec![], 26.0);
    assert_eq!(fleet.heartbeat("m0", s(27.0)).map(|r| (r.agent_epoch, r.attempts.len())), Some((1, 1)));
    assert_eq!(
        fleet.heartbeat("m0", s(27.1)).map(|r| (r.agent_epoch, r.attempts.len())),
        Some((2, 0)),
        "the expired lease must end the epoch and its attempts"
    );
}

#[test]
fn tasks_fetch_run_save_and_complete() {
    let mut fleet = fleet(2, vec![upload("run-1", |_| ()), upload("run-2", |u| u.broken = true)]);
    command(&mut fleet, "m0", 1, 1, vec![launch("run-1", 0, 1), launch("run-2", 1, 1)], 0.0);
    assert_eq!(state(&mut fleet, "m0", 0, 1.0).unwrap().0, AttemptStatus::Fetching);
    run_with_heartbeats(&mut fleet, 2.0, 32.0);
    assert_eq!(state(&mut fleet, "m0", 0, 32.0).unwrap().0, AttemptStatus::Running);
    assert_eq!(state(&mut fleet, "m0", 1, 32.0), ended(ExitCause::Error));
    // The task has run for 30 s, and the grace period suffices to save that progress.
    command(&mut fleet, "m0", 1, 1, vec![halt("run-1", 0, 1, 3)], 32.0);
    assert_eq!(state(&mut fleet, "m0", 0, 34.0).unwrap().0, AttemptStatus::Saving);
    run_with_heartbeats(&mut fleet, 35.0, 36.0);
    assert_eq!(state(&mut fleet, "m0", 0, 36.0), Some((AttemptStatus::Exited, Some(ExitCause::Stopped), Some(true))));
    // On another machine the task continues from there, and loses the progress since its checkpoint with that machine.
    command(&mut fleet, "m1", 1, 1, vec![launch("run-1", 0, 2)], 36.0);
    run_with_heartbeats(&mut fleet, 37.0, 55.0);
    fleet.remove_machine("m1", s(55.0));
    command(&mut fleet, "m0", 1, 1, vec![launch("run-1", 0, 3)], 55.0);
    run_with_heartbeats(&mut fleet, 56.0, 108.0);
    assert_eq!(
        state(&mut fleet, "m0", 0, 108.0).unwrap().0,
        AttemptStatus::Running,
        "40 of 100 s were in the checkpoint"
    );
    run_with_heartbeats(&mut fleet, 109.0, 117.0);
    assert_eq!(state(&mut fleet, "m0", 0, 117.0), ended(ExitCause::Done));
    assert!(fleet.results().contains(&key("run-1", 0)));
    command(&mut fleet, "m0", 1, 1, vec![launch("run-1", 0, 4)], 117.0);
    run_with_heartbeats(&mut fleet, 118.0, 120.0);
    assert_eq!(state(&mut fleet, "m0", 0, 120.0), ended(ExitCause::Done), "a task with a result must complete at once");
}

#[test]
fn saving_attempt_is_ended_early_only_by_a_halt_without_grace_period() {
    for (name, graces, want) in [
        ("enough time to save", vec![3], Some(true)),
        ("too little time", vec![2], None),
        ("second halt with time", vec![5, 5], Some(true)),
        ("second halt without time", vec![5, 0], None),
    ] {
        let mut fleet = fleet(1, vec![upload("run-1", |_| ())]);
        command(&mut fleet, "m0", 1, 1, vec![launch("run-1", 0, 1)], 0.0);
        run_with_heartbeats(&mut fleet, 1.0, 14.0);
        for grace in graces {
            command(&mut fleet, "m0", 1, 1, vec![halt("run-1", 0, 1, grace)], 14.0);
        }
        run_with_heartbeats(&mut fleet, 15.0, 18.0);
        assert_eq!(
            state(&mut fleet, "m0", 0, 18.0),
            Some((AttemptStatus::Exited, Some(ExitCause::Stopped), want)),
            "{name}"
        );
    }
}

#[test]
fn hanging_worker_keeps_attempts_within_its_lease_and_drops_them_after_it() {
    for (hang_s, agent_epoch) in [(20.0, 1), (40.0, 2)] {
        let mut fleet = fleet(1, vec![upload("run-1", |_| ())]);
        command(&mut fleet, "m0", 1, 1, vec![launch("run-1", 0, 1)], 0.0);
        run_with_heartbeats(&mut fleet, 1.0, 10.0);
        fleet.hang("m0", s(10.0 + hang_s));
        assert!(fleet.heartbeat("m0", s(15.0)).is_none());
        let heartbeat = fleet.heartbeat("m0", s(10.5 + hang_s)).unwrap();
        assert_eq!(
            (heartbeat.agent_epoch, heartbeat.attempts.len()),
            (agent_epoch, 2 - agent_epoch as usize),
            "{hang_s}"
        );
    }
}

/// In a one-way partition heartbeats arrive but nothing reaches the worker, whose lease expires repeatedly. Copies of
/// heartbeats are delivered in any order, also after the machine is gone.
#[test]
fn one_way_partition_expires_leases_and_heartbeat_copies_outlive_the_machine() {
    let mut fleet = fleet(1, vec![upload("run-1", |_| ())]);
    fleet.partition_inbound("m0", s(60.0));
    fleet.copy_heartbeats("m0", s(30.0), s(10.0), s(50.0));
    let orders = WorkerCommands { fencing_token: 1, agent_epoch: Some(1), orders: vec![launch("run-1", 0, 1)] };
    assert!(fleet.command("m0", &orders, s(0.5)).is_none());
    run_with_heartbeats(&mut fleet, 1.0, 59.0);
    let heartbeat = fleet.heartbeat("m0", s(59.5)).unwrap();
    assert_eq!(
        (heartbeat.agent_epoch, heartbeat.fencing_token, heartbeat.attempts.len()),
        (3, 0, 0),
        "two leases of 24 s"
    );
    fleet.remove_machine("m0", s(59.6));
    assert!(fleet.copies_due(s(10.9)).is_empty());
    let mut copies = Vec::new();
    (11..90).for_each(|at| copies.extend(fleet.copies_due(s(f64::from(at)))));
    assert_eq!((copies.len(), copies.iter().map(|c| c.agent_epoch).max()), (29, Some(2)));
    assert!(copies.windows(2).any(|two| two[0].seq > two[1].seq), "out of order");
}

#[test]
fn gangs_start_complete_and_fail_together() {
    type Script = fn(&mut Fleet);
    let started = |fleet: &mut Fleet| {
        command(fleet, "m0", 1, 1, vec![launch("run-1", 0, 1)], 0.0);
        command(fleet, "m1", 1, 1, vec![launch("run-1", 1, 1)], 5.0);
        run_with_heartbeats(fleet, 5.0, 30.0);
    };
    type Row = (&'static str, Script, f64, Option<(AttemptStatus, Option<ExitCause>, Option<bool>)>);
    let running = Some((AttemptStatus::Running, None, None));
    let rows: [Row; 7] = [
        ("keeps running", |_| (), 31.0, running),
        ("completes together", |_| (), 110.0, ended(ExitCause::Done)),
        ("machine gone, not detected yet", |f| f.remove_machine("m1", s(30.0)), 37.0, running),
        ("machine gone, detected", |f| f.remove_machine("m1", s(30.0)), 40.0, ended(ExitCause::Peers)),
        ("machine hangs", |f| f.hang("m1", s(50.0)), 40.0, ended(ExitCause::Peers)),
        (
            "all members halted in time, progress saved",
            |f| {
                command(f, "m0", 1, 1, vec![halt("run-1", 0, 1, 5)], 30.0);
                command(f, "m1", 1, 1, vec![halt("run-1", 1, 1, 5)], 33.0);
            },
            37.0,
            Some((AttemptStatus::Exited, Some(ExitCause::Stopped), Some(true))),
        ),
        (
            "one member not halted in time",
            |f| drop(command(f, "m0", 1, 1, vec![halt("run-1", 0, 1, 5)], 30.0)),
            40.0,
            ended(ExitCause::Stopped),
        ),
    ];
    for (name, script, until, want) in rows {
        let mut fleet = fleet(2, vec![gang("run-1")]);
        started(&mut fleet);
        script(&mut fleet);
        run_with_heartbeats(&mut fleet, 31.0, until);
        assert_eq!(state(&mut fleet, "m0", 0, until), want, "{name}");
        if name == "one member not halted in time" {
            assert_eq!(state(&mut fleet, "m1", 1, until), ended(ExitCause::Peers), "{name}");
        }
    }
    // A member of a completed gang exits as soon as it has its image, without waiting for the others.
    let mut again = fleet(2, vec![gang("run-1")]);
    started(&mut again);
    run_with_heartbeats(&mut again, 31.0, 110.0);
    command(&mut again, "m0", 1, 1, vec![launch("run-1", 0, 2)], 110.0);
    run_with_heartbeats(&mut again, 111.0, 114.0);
    assert_eq!(state(&mut again, "m0", 0, 114.0), ended(ExitCause::Done));
    let mut alone = fleet(2, vec![gang("run-1")]);
    command(&mut alone, "m0", 1, 1, vec![launch("run-1", 0, 1)], 0.0);
    run_with_heartbeats(&mut alone, 1.0, 36.0);
    assert_eq!(state(&mut alone, "m0", 0, 36.0).unwrap().0, AttemptStatus::Waiting);
    run_with_heartbeats(&mut alone, 37.0, 39.0);
    assert_eq!(state(&mut alone, "m0", 0, 39.0), ended(ExitCause::Alone));
}
