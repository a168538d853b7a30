use super::*;

#[test]
fn shards_and_keys_read_back() {
    let tasks = vec![
        StoredTask::Untouched,
        StoredTask::Waiting(3),
        StoredTask::Bound(4, "host-000231".into()),
        StoredTask::Done,
    ];
    assert_eq!(decode_shard(&encode_shard(&tasks)).unwrap(), tasks);
    assert_eq!(parse_shard_key(&shard_key("run-000012", 7)), Some(("run-000012", 7)));
    for bad in ["c/j/run-1", "t/run-1", "t/run-1/x"] {
        assert_eq!(parse_shard_key(bad), None, "{bad}");
    }
    for bad in [serde_json::json!({}), serde_json::json!([[1]]), serde_json::json!([-2])] {
        assert_eq!(decode_shard(&bad), None, "{bad}");
    }
}
