//! Machines that hear nothing, and copies of heartbeats that come late.

use super::*;
use crate::jobs::record::StoredTask;

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Copies of heartbeats that come late: only what is newer by (agent epoch, seq) counts, and a successor gives no work
/// to a machine that it knows from an old heartbeat alone, though it answers it.
#[test]
fn late_copies_of_reports_by_cases() {
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
        ("nobody else tells of it", &|_| {}, 3, false),
        ("the worker has heard the successor", &|_| {}, 9, true),
        ("rented or listed", &|cluster| cluster.expect_machine("m", &kind, None, secs(60), now), 3, true),
        (
            "returned by this leader",
            &|cluster| {
                cluster.expect_machine("m", &kind, None, secs(60), now);
                cluster.remove_machine(&"m".into(), now);
            },
            9,
            false,
        ),
    ];
    for (name, known, fencing_token, want) in cases {
        let mut cluster = successor();
        known(&mut cluster);
        take(&mut cluster, copy(5, fencing_token), now);
        assert_eq!(place(&mut cluster) > 0, want, "{name}");
    }
    // Copies of older heartbeats keep no machine from being silent, and many of such machines excuse nobody.
    let mut cluster = successor();
    for seq in [9, 3, 9, 8] {
        for m in ["m", "x", "y", "z"] {
            let old = Heartbeat { machine: m.into(), ..copy(seq, 3) };
            cluster.take_heartbeat(old, MessageKind::Heartbeat, None, now + secs(if seq == 9 { 0 } else { 11 }));
        }
    }
    assert!(!cluster.most_machines_lost(now + secs(12)), "nobody was lost");
    cluster.tick(now + secs(13));
    assert!(
        cluster.machines.values().all(|m| m.state == MachineState::Terminating),
        "to be returned, should they exist"
    );
    // Nor does a agent epoch that is over come back.
    let mut cluster = successor();
    let done = Heartbeat { agent_epoch: 2, ..copy(1, 9) };
    take(&mut cluster, done, now);
    take(&mut cluster, Heartbeat { agent_epoch: 1, notice_s: Some(1.0), ..copy(99, 9) }, now);
    assert!(cluster.machines["m"].recall_at.is_none(), "a notice of an earlier session");
}

/// A machine whose reports arrive and that hears nothing was given its tasks again every lease.
#[test]
fn a_machine_that_hears_nothing_gets_no_work_and_is_returned_alone() {
    for (name, inbound_lost, of, zones, returned) in [
        ("one of twenty", 1, 20, 1, true),
        ("two of twenty", 2, 20, 1, true),
        ("three of twenty", 3, 20, 1, false),
        ("three of sixty", 3, 60, 1, true),
        ("three of sixty, all of a zone", 3, 60, 20, false),
    ] {
        let start = Instant::now();
        let mut cluster = ClusterState::new(7, example(), Properties::default(), start);
        cluster.loaded = true;
        let zone = |m: u64| format!("z{}", m / (of / zones));
        let mut agent_epoch = 1;
        for t in 0..60u64 {
            let now = start + secs(t);
            if t > 0 && t % 25 == 0 {
                agent_epoch += 1;
            }
            for m in (0..of).filter(|m| t % if *m < inbound_lost { 5 } else { 3 } == 0) {
                let agent_epoch = if m < inbound_lost { agent_epoch } else { 1 };
                let heartbeat = heartbeat(&format!("m{m:02}"), "c8", &zone(m), false, t + 1, vec![]);
                cluster.take_heartbeat(Heartbeat { agent_epoch, ..heartbeat }, MessageKind::Heartbeat, None, now);
                cluster.heartbeat_response_commands(&format!("m{m:02}"), now);
            }
            cluster.tick(now);
            let hears = cluster.machines.values().filter(|m| !m.inbound_lost).count() as u64;
            assert_eq!(hears, if t < 25 { of } else { of - inbound_lost }, "{name}: at {t} s");
        }
        let out = cluster.machines.values().filter(|m| m.state == MachineState::Terminating).count() as u64;
        assert_eq!(out, if returned { inbound_lost } else { 0 }, "{name}");
        assert_eq!(cluster.most_machines_lost(start + secs(60)), inbound_lost * 3 >= of, "{name}");
        // It hears again: it is well with the next heartbeat.
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

/// What an earlier leader has stored and may yet launch is proven gone by nothing but a return where the worker
/// never learns the fencing token: the work goes on elsewhere, however many are partitioned one way.
#[test]
fn what_only_a_return_proves_gone_is_not_kept_for_ever() {
    let start = Instant::now();
    let mut cluster = ClusterState::new(9, example(), Properties::default(), start);
    let mut job = spec();
    (job.tasks, job.team) = (2, "blue".into());
    let bound = (0..2).map(|i| StoredTask::Bound(1, format!("m{i}"))).collect();
    cluster.load_job(Arc::new(JobRecord { spec: job, at_ms: time_of_day_ms() }), vec![(0, 5, bound)], start);
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
    let out: Vec<&str> =
        cluster.machines.values().filter(|m| m.state == MachineState::Terminating).map(|m| &*m.id).collect();
    assert_eq!(out, ["m0", "m1"], "those that hold something, and no others");
}
