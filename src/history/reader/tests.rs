use serde_json::{Value, json};

use super::*;

/// An end that cannot be read costs the questions about its own job, whose users come again.
#[test]
fn ends_of_earlier_builds_by_cases() {
    let cases: [(Value, Verdict); 6] = [
        (json!({"end": "done"}), Verdict::Ended(End::Done)),
        (json!({"end": "withdrawn", "later": 1}), Verdict::Ended(End::Cancelled)),
        (json!({"end": "lost"}), Verdict::Later),
        (json!({}), Verdict::Later),
        (json!(null), Verdict::Later),
        (json!("done"), Verdict::Later),
    ];
    let mut limit = LogLimit::default();
    for (value, want) in cases {
        let item = KeyValue { path: old_end_key("run-000001"), value: value.clone(), version: 1 };
        assert_eq!(read_old_end(&item, &mut limit), want, "{value}");
    }
}
