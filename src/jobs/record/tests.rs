use super::*;

#[test]
fn chunks_and_keys_read_back() {
    let tasks = vec![Stored::Untouched, Stored::Waiting(3), Stored::Bound(4, "host-000231".into()), Stored::Done];
    assert_eq!(decode_chunk(&encode_chunk(&tasks)).unwrap(), tasks);
    assert_eq!(parse_chunk_key(&chunk_key("run-000012", 7)), Some(("run-000012", 7)));
    for bad in ["c/j/run-1", "t/run-1", "t/run-1/x"] {
        assert_eq!(parse_chunk_key(bad), None, "{bad}");
    }
    for bad in [serde_json::json!({}), serde_json::json!([[1]]), serde_json::json!([-2])] {
        assert_eq!(decode_chunk(&bad), None, "{bad}");
    }
}
