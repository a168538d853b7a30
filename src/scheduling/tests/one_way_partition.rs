//! Machines behind a one-way partition, whose heartbeats arrive but which receive nothing, and heartbeat copies that
//! arrive late.

use super::*;
use crate::jobs::record::StoredTask;

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Only a heartbeat that is newer by (agent epoch, seq) counts, and a successor gives no work to a machine that it knows
/// only from an old heartbeat, although it answers it.
#[test]
fn late_heartbeat_copies_are_ignored_and_bring_a_machine_no_work() {
    let now = Instant::now();
    let place = |cluster: &mut ClusterState| {
        add_job(cluster, 1, now, |j| (j.tasks, j.team) = (2, "blue".into()));
        plan::place(cluster, &catalog(), now).len()
    };
    let successor = || {
        let mut cluster = ClusterState::new(9, example(), Properties::default(), now);
        cluster.loaded = true;
        cluster
    };
    let copy =
        |seq: u64, fencing_token: u64| Heartbeat { fencing_token, ..heartbeat("m", "c8", "a", false, seq, vec![]) };
    let take = |cluster: &mut ClusterState, heartbeat: Heartbeat, at: Instant| {
        cluster.take_heartbeat(heartbeat, MessageKind::Heartbeat, None, at);
        cluster.heartbeat_response_commands("m", at);
    };
    type Known<'a> = &'a dyn Fn(&mut ClusterState);
    let kind = MachineKind { type_name: "c8".into(), zone: "a".into(), spot: false };
    let cases: [(&str, Known, u64, bool); 4] = [
        ("known from the copy alone", &|_| {}, 3, false),
        ("the worker has seen the successor's token", &|_| {}, 9, true),
        ("rented or listed", &|cluster| cluster.expect_machine("m", &kind, None, secs(60), now), 3, true),
        (
            "terminated by this leader",
            &|cluster| {
                cluster.expect_machine("m", &kind, None, secs(60), now);
                cluster.remove_machine(&"m".into(), now);
            },
            9,
            false,
        ),
    ];
    for (name, known, fencing_token, gets_work) in cases {
        let mut cluster = successor();
        known(&mut cluster);
        take(&mut cluster, copy(5, fencing_token), now);
        assert_eq!(place(&mut cluster) > 0, gets_work, "{name}");
    }
    // Copies of older heartbeats do not keep a machine from counting as silent, and many such machines do not count as
    // a mass loss that would put off terminations.
    let mut cluster = successor();
    for seq in [9, 3, 9, 8] {
        for m in ["m", "x", "y", "z"] {
            let old = Heartbeat { machine: m.into(), ..copy(seq, 3) };
            cluster.take_heartbeat(old, MessageKind::Heartbeat, None, now + secs(if seq == 9 { 0 } else { 11 }));
        }
    }
    assert!(!cluster.most_machines_lost(now + secs(12)), "no machine was lost");
    cluster.tick(now + secs(13));
    assert!(
        cluster.machines.values().all(|m| m.state == MachineState::Terminating),
        "all are terminated, in case they exist"
    );
    // An agent epoch that has ended does not come back either.
    let mut cluster = successor();
    let done = Heartbeat { agent_epoch: 2, ..copy(1, 9) };
    take(&mut cluster, done, now);
    take(&mut cluster, Heartbeat { agent_epoch: 1, notice_s: Some(1.0), ..copy(99, 9) }, now);
    assert!(cluster.machines["m"].recall_at.is_none(), "a notice of an earlier agent epoch");
}

/// Regression test: a machine behind a one-way partition, whose heartbeats arrive but which receives nothing, was given
/// its tasks again after every lease. It must get no work, and is terminated unless many machines are affected.
#[test]
fn machine_behind_a_one_way_partition_gets_no_work_and_is_terminated_alone() {
    for (name, inbound_lost, total, zones, terminated) in [
        ("one of twenty", 1, 20, 1, true),
        ("two of twenty", 2, 20, 1, true),
        ("three of twenty", 3, 20, 1, false),
        ("three of sixty", 3, 60, 1, true),
        ("three of sixty, all of a zone", 3, 60, 20, false),
    ] {
        let start = Instant::now();
        let mut cluster = ClusterState::new(7, example(), Properties::default(), start);
        cluster.loaded = true;
        let zone = |m: u64| format!("z{}", m / (total / zones));
        let mut agent_epoch = 1;
        for t in 0..60u64 {
            let now = start + secs(t);
            if t > 0 && t % 25 == 0 {
                agent_epoch += 1;
            }
            for m in (0..total).filter(|m| t % if *m < inbound_lost { 5 } else { 3 } == 0) {
                let agent_epoch = if m < inbound_lost { agent_epoch } else { 1 };
                let heartbeat = heartbeat(&format!("m{m:02}"), "c8", &zone(m), false, t + 1, vec![]);
                cluster.take_heartbeat(Heartbeat { agent_epoch, ..heartbeat }, MessageKind::Heartbeat, None, now);
                cluster.heartbeat_response_commands(&format!("m{m:02}"), now);
            }
            cluster.tick(now);
            let reachable = cluster.machines.values().filter(|m| !m.inbound_lost).count() as u64;
            assert_eq!(reachable, if t < 25 { total } else { total - inbound_lost }, "{name}: at {t} s");
        }
        let terminating = cluster.machines.values().filter(|m| m.state == MachineState::Terminating).count() as u64;
        assert_eq!(terminating, if terminated { inbound_lost } else { 0 }, "{name}");
        assert_eq!(cluster.most_machines_lost(start + secs(60)), inbound_lost * 3 >= total, "{name}");
        // The partition heals: the machine counts as reachable with its next heartbeat, here the reply to a command.
        let now = start + secs(61);
        cluster.take_heartbeat(
            Heartbeat { agent_epoch, ..heartbeat("m00", "c8", &zone(0), false, 99, vec![]) },
            MessageKind::CommandReply,
            None,
            now,
        );
        assert!(!cluster.machines["m00"].inbound_lost);
    }
}

/// Where a worker never learns the fencing token, only the machine's termination proves that a task which an earlier
/// leader has stored and may still launch is gone. Such machines must be terminated, however many are behind a one-way
/// partition, so that the work can go on elsewhere.
#[test]
fn machines_are_terminated_where_only_that_proves_a_stored_task_gone() {
    let start = Instant::now();
    let mut cluster = ClusterState::new(9, example(), Properties::default(), start);
    let mut job = spec();
    (job.tasks, job.team) = (2, "blue".into());
    let bound = (0..2).map(|i| StoredTask::Bound(1, format!("m{i}"))).collect();
    cluster.load_job(Arc::new(JobRecord { spec: job, accepted_ms: time_of_day_ms() }), vec![(0, 5, bound)], start);
    cluster.finish_load(start);
    let kind = MachineKind { type_name: "c8".into(), zone: "a".into(), spot: false };
    for t in 0..70u64 {
        let now = start + secs(t);
        for m in (0..4).filter(|_| t % 5 == 0) {
            cluster.expect_machine(&format!("m{m}"), &kind, None, secs(900), start);
            let heartbeat = Heartbeat {
                fencing_token: 3,
                agent_epoch: 1 + t / 25,
                ..heartbeat(&format!("m{m}"), "c8", "a", false, t + 1, vec![])
            };
            cluster.take_heartbeat(heartbeat, MessageKind::Heartbeat, None, now);
            cluster.heartbeat_response_commands(&format!("m{m}"), now);
        }
        cluster.tick(now);
    }
    let terminating: Vec<&str> =
        cluster.machines.values().filter(|m| m.state == MachineState::Terminating).map(|m| &*m.id).collect();
    assert_eq!(terminating, ["m0", "m1"], "only the machines with bound tasks");
}
