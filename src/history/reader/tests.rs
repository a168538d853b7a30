use serde_json::{Value, json};

use super::*;
use crate::jobs::End;

/// An end that cannot be decoded must only make queries about its own job fail; their users retry.
#[test]
fn earlier_builds_end_is_decoded_or_answered_as_unavailable() {
    let cases: [(Value, JobQueryAnswer); 6] = [
        (json!({"end": "done"}), JobQueryAnswer::Ended(End::Done)),
        (json!({"end": "withdrawn", "later": 1}), JobQueryAnswer::Ended(End::Cancelled)),
        (json!({"end": "lost"}), JobQueryAnswer::Unavailable),
        (json!({}), JobQueryAnswer::Unavailable),
        (json!(null), JobQueryAnswer::Unavailable),
        (json!("done"), JobQueryAnswer::Unavailable),
    ];
    let mut log_limit = LogLimit::default();
    for (value, expected) in cases {
        let item = KeyValue { path: old_end_key("run-000001"), value: value.clone(), version: 1 };
        assert_eq!(decode_old_end(&item, &mut log_limit), expected, "{value}");
    }
}
