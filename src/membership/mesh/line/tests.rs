//! Tests of the format of lines between controllers.

use serde_json::json;

use super::*;

fn peers() -> Vec<Peer> {
    vec![Peer { node: "node-1".into(), addr: "127.0.0.1:3".into() }]
}

fn complete_line() -> Value {
    json!({
        "node": "node-1", "store_serves": true,
        "wants": [{"owner": true, "per_second": 2.5}, {"owner": true, "per_second": 1.0}],
        "counts": [["run-000001", {"running": 2, "done": 1}]],
        "served": [],
        "watermark": {"token": 7, "revision": 50}, "acknowledged": 40
    })
}

fn read(value: &Value) -> Result<Line, LineError> {
    Line::read(format!("{value}\n").as_bytes(), &peers())
}

#[test]
fn malformed_lines_and_lines_of_strangers_are_rejected() {
    let is_undecodable = |outcome: &Result<Line, LineError>| matches!(outcome, Err(LineError::Undecodable(_)));
    let long = vec![b' '; MAX_LINE_BYTES as usize];
    let deep = format!("{}\n", "[".repeat(100_000));
    let texts: [&[u8]; 9] = [
        b"\n",
        b"hello\n",
        b"GET / HTTP/1.1\r\n",
        b"\xff\xfe\x00\n",
        b"{\"node\":\"node-1\"}\n",
        b"{\"store_serves\":true}\n",
        b"{\"node\":7,\"store_serves\":true}\n",
        b"{\"node\":\"node-1\",\"store_serves\":true,\"acknowledged\":1e999}\n",
        deep.as_bytes(),
    ];
    for text in texts {
        let outcome = Line::read(text, &peers());
        assert!(is_undecodable(&outcome), "{outcome:?}");
    }
    assert!(matches!(Line::read(&long, &peers()), Err(LineError::TooLong)));
    assert!(matches!(Line::read(b"{\"node\":", &peers()), Err(LineError::Unfinished)));
    let stranger = json!({"node": "node-9", "store_serves": true});
    assert!(matches!(read(&stranger), Err(LineError::UnknownPeer(node)) if node == "node-9"));
}

/// Earlier builds send fewer fields and later ones more: the fields that both know count, and no line is lost.
#[test]
fn lines_of_other_builds_keep_their_known_fields() {
    let default = || (0, None, 0);
    let decoded = |line: &Line| (line.counts.len(), line.watermark.map(|w| w.revision), line.acknowledged);
    let with = |field: &str, value: Value| {
        let mut line = complete_line();
        line[field] = value;
        line
    };
    let level = json!({"whose": "Planet", "name": "x"});
    for (name, line, want) in [
        ("this build", complete_line(), (1, Some(50), 40)),
        ("required fields only", json!({"node": "node-1", "store_serves": true}), default()),
        ("a field of a later build", with("weather", json!({"wind": [1]})), (1, Some(50), 40)),
        ("a watermark of another form", with("watermark", json!({"token": "7"})), (1, None, 40)),
        ("a watermark without its fencing token", with("watermark", json!({"revision": 50})), (1, None, 40)),
        ("a negative fencing token", with("watermark", json!({"token": -7, "revision": 50})), (1, None, 40)),
        ("an acknowledgement of another form", with("acknowledged", json!([40])), (1, Some(50), 0)),
        ("demands of another form", with("wants", json!({"a": 1})), (1, Some(50), 40)),
        ("more demands", with("wants", json!([{}, {}, {}])), (1, Some(50), 40)),
        ("service levels of another form", with("served", json!([level])), (1, Some(50), 40)),
        ("counts of another form", with("counts", json!({"run-000001": 2})), (0, Some(50), 40)),
        (
            "one count of another form",
            with("counts", json!([["run-000001", {}], ["run-000002", {"running": 1, "done": 0}]])),
            (1, Some(50), 40),
        ),
    ] {
        let line = read(&line).unwrap_or_else(|problem| panic!("{name}: {problem}"));
        assert_eq!(decoded(&line), want, "{name}");
        assert!(line.store_serves && line.service_levels.is_empty(), "{name}");
    }
}

/// The memory for counts is bounded: only counts of well-formed job ids are accepted, and no more than the limit per
/// line.
#[test]
fn counts_are_accepted_only_for_valid_ids_up_to_the_limit() {
    let count = json!({"running": 1, "done": 0});
    let long = format!("run-{}", "1".repeat(100_000));
    let mut line = complete_line();
    line["counts"] = json!([["run-000001", count], [long, count], ["../x", count], ["", count]]);
    assert_eq!(read(&line).unwrap().counts.len(), 1);
    let many: Vec<Value> = (0..MAX_COUNTS + 5).map(|n| json!([format!("run-{n}"), count])).collect();
    line["counts"] = json!(many);
    assert_eq!(read(&line).unwrap().counts.len(), MAX_COUNTS);
}

/// Lines of the fixtures, which other versions send and read, are decoded and encoded to the same bytes. Lines marked
/// as only read come from other builds.
#[test]
fn fixture_lines_are_decoded_and_encoded_to_the_same_bytes() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/formats/peers.json");
    let entries: Vec<Value> = serde_json::from_str(&std::fs::read_to_string(file).unwrap()).unwrap();
    assert!(!entries.is_empty());
    let peers = [Peer { node: "node-a".into(), addr: "127.0.0.1:3".into() }];
    for entry in entries {
        let text = entry["line"].as_str().unwrap();
        let line = Line::read(format!("{text}\n").as_bytes(), &peers).unwrap();
        let wanted = match entry["use"].as_str() {
            Some("both") => text,
            Some("read") => entry["same_as"].as_str().unwrap(),
            other => panic!("use {other:?}"),
        };
        assert_eq!(serde_json::to_string(&line).unwrap(), wanted, "{}", entry["name"]);
    }
}
