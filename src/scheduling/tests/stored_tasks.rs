//! Task shards: how writes are batched, and a takeover that loads thousands of tasks.

use super::*;
use crate::jobs::record::{StoredTask, shard_bytes};
use crate::scheduling::cluster::{FoundShard, QueuePosition, ShardWrite};
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
    use crate::jobs::record::TASKS_PER_SHARD;
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

/// The limits of a state service that takes values of 1 KiB, and 24 changes.
const SMALL_VALUES: TransactionLimits = TransactionLimits { max_changes: 24, max_value_bytes: 1024 };

/// A cluster with a bound job of 150 tasks whose only shard is stored at version 1, in more than 1 KiB.
fn cluster_with_a_large_shard(now: Instant) -> ClusterState {
    let mut cluster = cluster_of_c8(20, now);
    add_job(&mut cluster, 1, now, |job| job.tasks = 150);
    let decisions = plan::place(&mut cluster, &catalog(), now);
    cluster.bind_placements(decisions, now);
    let (_, shards) = cluster.next_writes(&TransactionLimits::of_changes(10), now);
    cluster.record_stored_shards(&shards, 1);
    cluster
}

/// The numbers of the first tasks and the versions of all values of these writes.
fn values_of(writes: &[ShardWrite]) -> Vec<(u64, u64)> {
    writes.iter().flat_map(ShardWrite::values).map(|value| (value.first_task, value.version)).collect()
}

/// Guards against a task that is stored under no key: a shard that is too large is split in one write, and counts as
/// split only once that is stored.
#[test]
fn shard_larger_than_a_value_may_be_is_split_in_one_write() {
    let now = Instant::now();
    let mut cluster = cluster_with_a_large_shard(now);
    let id = cluster.jobs().map(|(id, _)| id.clone()).next().unwrap();
    cluster.rewrite_lost_shard(&id, 0, 1, 2);
    for attempt in 0..2 {
        let (_, writes) = cluster.next_writes(&SMALL_VALUES, now);
        assert_eq!((writes.len(), values_of(&writes)), (1, vec![(0, 2), (75, 0)]), "attempt {attempt}");
        assert!(writes[0].values().all(|value| value.is_part && shard_bytes(&value.tasks) <= 1024));
        cluster.requeue_writes(&[], &writes, QueuePosition::First);
    }
    let (_, writes) = cluster.next_writes(&SMALL_VALUES, now);
    cluster.record_stored_shards(&writes, 9);
    assert_eq!(cluster.job(&id).unwrap().stored_shards().collect::<Vec<_>>(), [(0, 9), (75, 9)]);
    cluster.rewrite_lost_shard(&id, 75, 9, 11);
    let (_, writes) = cluster.next_writes(&SMALL_VALUES, now);
    assert_eq!(values_of(&writes), [(75, 11)], "a part is written alone");
}

/// Guards against bindings that count as stored and are not: the transaction that splits a shard was rejected, and only
/// some of its keys hold what was to be written.
#[test]
fn rejected_split_counts_as_stored_only_if_all_its_keys_are() {
    let now = Instant::now();
    for (name, last_is_stored) in [("an earlier copy was applied", true), ("another one was", false)] {
        let mut cluster = cluster_with_a_large_shard(now);
        let id = cluster.jobs().map(|(id, _)| id.clone()).next().unwrap();
        cluster.rewrite_lost_shard(&id, 0, 1, 2);
        let (_, writes) = cluster.next_writes(&SMALL_VALUES, now);
        let mut found: Vec<FoundShard> =
            writes[0].values().map(|value| FoundShard { version: 7, tasks: Some(value.tasks.clone()) }).collect();
        if !last_is_stored {
            found[1].tasks = Some(vec![StoredTask::Waiting(3); 75]);
        }
        cluster.resolve_rejected_shard(&writes[0], &found);
        cluster.requeue_writes(&[], &writes, QueuePosition::First);
        let (_, again) = cluster.next_writes(&SMALL_VALUES, now);
        let wanted = if last_is_stored { vec![] } else { vec![(0, 7), (75, 7)] };
        assert_eq!(values_of(&again), wanted, "{name}: written again at the versions found");
    }
}

/// Guards against writes that wait for ever behind one that cannot be made small enough.
#[test]
fn write_that_cannot_be_parted_holds_up_no_other() {
    let now = Instant::now();
    let mut cluster = cluster_with_a_large_shard(now);
    let id = cluster.jobs().map(|(id, _)| id.clone()).next().unwrap();
    cluster.rewrite_lost_shard(&id, 0, 1, 2);
    add_job(&mut cluster, 2, now, |job| job.tasks = 3);
    let decisions = plan::place(&mut cluster, &catalog(), now);
    cluster.bind_placements(decisions, now);
    // Four parts, and two changes allowed.
    let limits = TransactionLimits { max_changes: 2, max_value_bytes: 512 };
    let mut stored = 0;
    for round in 0..4 {
        let (_, writes) = cluster.next_writes(&limits, now);
        if writes.iter().any(|write| write.change_count() > limits.max_changes) {
            assert_eq!(writes.len(), 1, "round {round}");
            cluster.requeue_writes(&[], &writes, QueuePosition::Last);
        } else {
            stored += writes.len();
            cluster.record_stored_shards(&writes, 20 + round);
        }
    }
    assert_eq!(stored, 1, "the shard of the second job");
}
