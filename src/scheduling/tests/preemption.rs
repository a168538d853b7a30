//! Tests of preemption: which tasks are stopped for other jobs.

use super::*;
use crate::scheduling::preempt;
use crate::store::TransactionLimits;

#[test]
fn job_of_higher_urgency_preempts_lower_and_not_equal_urgency() {
    let now = Instant::now();
    let mut cluster = cluster_with(&[("m1", "c8", "a", false)], now);
    add_job(&mut cluster, 1, now, |j| (j.cpus, j.estimate_s) = (8.0, 100.0));
    let first = plan::place(&mut cluster, &catalog(), now);
    cluster.bind_placements(first, now);
    // The task is stored and its launch is sent, so that it has to be stopped and cannot just be unbound.
    let (_, shards) = cluster.next_writes(&TransactionLimits::of_changes(10), now);
    cluster.record_stored_shards(&shards, 1);
    assert_eq!(cluster.heartbeat_response_commands("m1", now).len(), 1);
    add_job(&mut cluster, 2, now, |j| j.cpus = 8.0);
    let later = now + Duration::from_secs(5);
    preempt::preempt(&mut cluster, &catalog(), later);
    let halting = |cluster: &ClusterState| cluster.job(&"run-000001".into()).unwrap().binding(0).unwrap().halt_grace_s;
    assert_eq!(halting(&cluster), None, "a job of equal urgency does not preempt");
    add_job(&mut cluster, 3, now, |j| (j.cpus, j.urgency) = (8.0, Urgency::High));
    cluster.take_heartbeat(heartbeat("m1", "c8", "a", false, 2, vec![]), MessageKind::Heartbeat, None, later);
    preempt::preempt(&mut cluster, &catalog(), later + Duration::from_secs(4));
    assert_eq!(halting(&cluster), Some(1));
}

/// Regression test (seen on deti-klima-ops with a guest): for a gang, all idle tasks on its machines were stopped,
/// although one task of the gang fits on a machine beside most of them. Preempting for one machine at a time was not
/// enough for the gang either.
#[test]
fn gang_preempts_on_all_its_machines_at_once_and_no_more_tasks_than_needed() {
    let now = Instant::now();
    let machines: Vec<_> = ["m1", "m2", "m3"].iter().map(|n| (*n, "c8", "a", false)).collect();
    let mut cluster = cluster_with(&machines, now);
    add_job(&mut cluster, 1, now, |j| (j.tasks, j.cpus, j.urgency, j.checkpoint_s) = (24, 1.0, Urgency::Idle, 5.0));
    let first = plan::place(&mut cluster, &catalog(), now);
    assert_eq!(first.len(), 24, "idle work uses the spare capacity");
    cluster.bind_placements(first, now);
    let (_, shards) = cluster.next_writes(&TransactionLimits::of_changes(10), now);
    cluster.record_stored_shards(&shards, 1);
    for machine in ["m1", "m2", "m3"] {
        cluster.heartbeat_response_commands(machine, now);
    }
    add_job(&mut cluster, 2, now, |j| (j.shape, j.tasks, j.cpus, j.same_zone) = (Shape::Gang, 2, 5.0, true));
    preempt::preempt(&mut cluster, &catalog(), now);
    let stopped = |cluster: &ClusterState| {
        let job = cluster.job(&"run-000001".into()).unwrap();
        (0..24).filter(|i| job.binding(*i).is_some_and(|b| b.halt_grace_s.is_some())).count()
    };
    assert_eq!(
        (stopped(&cluster), cluster.preemption_reservations.len()),
        (10, 2),
        "five tasks on each of two machines"
    );
    preempt::preempt(&mut cluster, &catalog(), now + Duration::from_secs(1));
    assert_eq!(stopped(&cluster), 10, "preemption for the gang is under way already");
    // More idle work gets nothing of what is reserved for the gang or being freed for it.
    add_job(&mut cluster, 3, now, |j| (j.tasks, j.urgency) = (4, Urgency::Idle));
    assert!(plan_placements(&mut cluster, now + Duration::from_secs(1)).is_empty());
}
