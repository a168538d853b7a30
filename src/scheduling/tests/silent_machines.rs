//! Which silent machines are terminated, and which are kept because the leader itself may have been cut off or paused.

use super::*;
use crate::fleet::scale_in::find_surplus_machines;
use crate::machine_kinds::MachineKind;
use crate::process_pause::ProcessPause;
use crate::store::TransactionLimits;

/// Regression test for incident ab99: a leader that was cut off from its workers, or had been paused, took the whole
/// fleet for dead and terminated it.
#[test]
fn fleet_that_falls_silent_together_is_not_terminated() {
    let secs = Duration::from_secs;
    let names = ["m1", "m2", "m3", "m4", "m5", "m6"];
    let machines: Vec<_> = names.iter().map(|n| (*n, "c8", "a", false)).collect();
    // (name, machines that keep reporting, whether the leader was paused, machines terminating after 13 s)
    for (name, reporting, paused, expected) in
        [("one of six", 5, false, 1), ("all together", 0, false, 0), ("one, seen after a pause", 5, true, 0)]
    {
        let now = Instant::now();
        let mut cluster = cluster_with(&machines, now);
        for t in 1..=13 {
            for machine in &names[..reporting] {
                cluster.take_heartbeat(
                    heartbeat(machine, "c8", "a", false, t + 1, vec![]),
                    MessageKind::Heartbeat,
                    None,
                    now + secs(t),
                );
            }
            if paused && t == 13 {
                cluster.adjust_for_pause(ProcessPause { began: now, ended: now + secs(13) });
            }
            if !paused || t == 13 {
                cluster.tick(now + secs(t));
            }
        }
        let terminating = cluster.machines.values().filter(|m| m.state == MachineState::Terminating).count();
        assert_eq!(terminating, expected, "{name}");
        assert_eq!(cluster.most_machines_lost(now + secs(13)), reporting == 0, "{name}");
    }
}

/// Regression test (seen on fa-lima-fleet): a zone was cut off when the leader was replaced, and after 12 s the new
/// leader terminated all 767 machines there, since only machines that it had heard from itself counted as a mass loss.
/// Such a leader also never handed over when it was the one cut off.
#[test]
fn inherited_machines_that_fall_silent_together_are_not_terminated() {
    use crate::jobs::record::StoredTask;
    let secs = Duration::from_secs;
    // (name, how many of six inherited machines report, machines terminating after 13, 27 and 51 s)
    for (name, reporting, expected) in [("one of six", 5, [1, 1, 1]), ("half", 3, [0, 0, 3]), ("all", 0, [0, 0, 6])] {
        let now = Instant::now();
        let mut cluster = ClusterState::new(9, example(), Properties::default(), now);
        let mut job = spec();
        (job.tasks, job.team) = (6, "blue".into());
        let bound = (0..6).map(|i| StoredTask::Bound(1, format!("m{i}"))).collect();
        cluster.load_job(Arc::new(JobRecord { spec: job, accepted_ms: time_of_day_ms() }), vec![(0, 5, bound)], now);
        cluster.finish_load(now);
        let lease = cluster.settings.params.workers.lease();
        assert_eq!(lease, secs(24));
        let mut t = 0;
        for (after_s, expected_terminating) in [13, 27, 51].into_iter().zip(expected) {
            while t < after_s {
                t += 1;
                for machine in 0..reporting {
                    let heartbeat = heartbeat(&format!("m{machine}"), "c8", "a", false, t + 1, vec![]);
                    cluster.take_heartbeat(heartbeat, MessageKind::Heartbeat, None, now + secs(t));
                }
                cluster.tick(now + secs(t));
            }
            let terminating = cluster.machines.values().filter(|m| m.state == MachineState::Terminating).count();
            assert_eq!(terminating, expected_terminating, "{name}, after {after_s} s");
            assert_eq!(cluster.most_machines_lost(now + secs(after_s)), reporting < 5, "{name}: would hand over");
        }
    }
}

/// Regression test (seen on fa-lima-fleet): a leader that no worker could reach terminated 682 idle machines as never
/// having come up, although the cloud listed them as running.
#[test]
fn machine_that_the_cloud_lists_as_running_is_not_surplus_as_never_up() {
    let secs = Duration::from_secs;
    let now = Instant::now();
    let mut cluster = ClusterState::new(9, example(), Properties::default(), now);
    cluster.loaded = true;
    let kind = MachineKind { type_name: "c8".into(), zone: "a".into(), spot: false };
    for name in ["starting", "running"] {
        cluster.expect_machine(name, &kind, None, secs(900), now);
    }
    cluster.record_listed_up("running", now);
    let surplus: Vec<String> = find_surplus_machines(&cluster, &catalog(), now + secs(13))
        .into_iter()
        .map(|machine| machine.id.to_string())
        .collect();
    assert_eq!(surplus, ["starting"]);
    (1..=13).for_each(|t| cluster.tick(now + secs(t)));
    assert_eq!(
        cluster.machines["running"].state,
        MachineState::Terminating,
        "it is terminated as a single silent machine"
    );
}

/// A leader that was paused for half a minute received nothing in that time. It must not count the pause towards the
/// idle time of machines, nor towards the time for which cancelled tasks are not proven gone.
#[test]
fn process_pause_of_the_leader_makes_no_machine_surplus_or_overdue() {
    let secs = Duration::from_secs;
    let now = Instant::now();
    let mut cluster = cluster_with(&[("m1", "c8", "a", false), ("m2", "c8", "a", false)], now);
    add_job(&mut cluster, 1, now, |j| j.cpus = 8.0);
    let first = plan::place(&mut cluster, &catalog(), now);
    cluster.bind_placements(first, now);
    let (_, shards) = cluster.next_writes(&TransactionLimits::of_changes(10), now);
    cluster.record_stored_shards(&shards, 1);
    cluster.heartbeat_response_commands("m1", now);
    let pause_start = now + secs(110);
    for machine in ["m1", "m2"] {
        cluster.take_heartbeat(
            heartbeat(machine, "c8", "a", false, 2, vec![]),
            MessageKind::Heartbeat,
            None,
            pause_start,
        );
    }
    cluster.end_job(&"run-000001".into(), Some(crate::jobs::End::Cancelled), pause_start);
    let pause_end = pause_start + secs(30);
    // Before the adjustment for the pause: idle for 120 s, and 30 of 49 s since the cancellation.
    assert_eq!(find_surplus_machines(&cluster, &catalog(), pause_end).len(), 1);
    assert_eq!(cluster.overdue_machines(pause_end).len(), 1);
    cluster.adjust_for_pause(ProcessPause { began: pause_start, ended: pause_end });
    cluster.tick(pause_end);
    assert!(find_surplus_machines(&cluster, &catalog(), pause_end).is_empty());
    assert!(
        cluster.overdue_machines(pause_end).is_empty()
            && cluster.machines.values().all(|m| m.state == MachineState::Up)
    );
    // After a few more seconds without a report, the machine is overdue for its cancelled task.
    assert_eq!(cluster.overdue_machines(pause_end + secs(6)).len(), 1);
}
