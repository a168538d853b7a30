//! Task shards: how writes are batched, and a takeover that loads thousands of tasks.

use super::*;
use crate::store::TransactionLimits;

/// Tasks of an array end one by one. Their ends are stored together after a short delay, while starts are stored at
/// once.
#[test]
fn ends_of_tasks_are_batched_into_few_writes() {
    let now = Instant::now();
    let mut cluster = cluster_of_c8(20, now);
    add_job(&mut cluster, 1, now, |j| j.tasks = 150);
    let decisions = plan::place(&mut cluster, &catalog(), now);
    cluster.bind_placements(decisions.clone(), now);
    let (_, shards) = cluster.next_writes(&TransactionLimits::of_changes(10), now);
    assert_eq!(shards.len(), 1, "all starts are stored in one shard at once");
    cluster.record_stored_shards(&shards, 1);
    let mut writes = 0;
    for (n, placement) in decisions.iter().enumerate().take(100) {
        let at = now + Duration::from_millis(50 * n as u64);
        let attempt_report = AttemptReport {
            task: placement.task.clone(),
            attempt: 1,
            status: AttemptStatus::Exited,
            cause: Some(crate::workers::ExitCause::Done),
            saved: None,
        };
        cluster.take_heartbeat(
            heartbeat(&placement.machine, "c8", "a", false, 2 + n as u64, vec![attempt_report]),
            MessageKind::Heartbeat,
            None,
            at,
        );
        if cluster.has_due_writes(at) {
            let (_, shards) = cluster.next_writes(&TransactionLimits::of_changes(10), at);
            writes += shards.len();
            cluster.record_stored_shards(&shards, 2 + n as u64);
        }
    }
    assert!((1..=4).contains(&writes), "the ends of 5 s took {writes} writes");
}

/// A new leader loads thousands of bindings. Its running totals equal freshly computed ones, nothing is placed again,
/// and the number of direct commands sent at once is limited.
#[test]
fn takeover_of_thousands_of_tasks_keeps_totals_and_limits_commands() {
    use crate::jobs::record::{StoredTask, TASKS_PER_SHARD};
    let now = Instant::now();
    let mut cluster = ClusterState::new(9, example(), Properties::default(), now);
    for n in 0..10u64 {
        let mut job = spec();
        (job.id, job.tasks, job.team) = (format!("run-{n:06}").into(), 600, "blue".into());
        let shard = |shard: u64| {
            let tasks = shard * TASKS_PER_SHARD..((shard + 1) * TASKS_PER_SHARD).min(600);
            let bound = tasks.map(|i| StoredTask::Bound(1, format!("host-{:06}", (n * 600 + i) % 1000)));
            (shard * TASKS_PER_SHARD, 5, bound.collect())
        };
        let shards = (0..600u64.div_ceil(TASKS_PER_SHARD)).map(shard).collect();
        cluster.load_job(Arc::new(JobRecord { spec: job, accepted_ms: time_of_day_ms() }), shards, now);
    }
    cluster.loaded = true;
    assert_eq!((cluster.machines.len(), cluster.team_usage["blue"].cpus), (1000, 6000.0));
    assert!(cluster.machines.values().all(|m| m.allocated() == cluster.recomputed_allocation(m) && m.bound.len() == 6));
    assert!(plan::place(&mut cluster, &catalog(), now).is_empty(), "all tasks are bound, and no machine has reported");
    let commands = cluster.direct_commands(now).len();
    assert!(commands <= 700 / 8, "{commands} commands at once");
}
