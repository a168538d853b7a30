//! Tests of the stored forms of jobs.

use super::*;

#[test]
fn shards_and_shard_keys_round_trip_and_invalid_ones_are_rejected() {
    let tasks = vec![
        StoredTask::Untouched,
        StoredTask::Waiting(3),
        StoredTask::Bound(4, "host-000231".into()),
        StoredTask::Done,
    ];
    assert_eq!(decode_shard(&encode_shard(&tasks, false)).unwrap(), tasks);
    assert_eq!(
        parse_shard_key(&shard_key("run-000012", 7 * TASKS_PER_SHARD)),
        Some(("run-000012", 7 * TASKS_PER_SHARD))
    );
    for invalid in ["c/j/run-1", "t/run-1", "t/run-1/x", "t/run-1/00000-000", "t/run-1/00000-192", "t/run-1/00000-7"] {
        assert_eq!(parse_shard_key(invalid), None, "{invalid}");
    }
    for invalid in [serde_json::json!({}), serde_json::json!([[1]]), serde_json::json!([-2])] {
        assert_eq!(decode_shard(&invalid), None, "{invalid}");
    }
}
