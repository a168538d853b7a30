//! Load of malformed stored values, which no build has written: which are accepted and which rejected.

use serde_json::{Value, json};

use super::ended_jobs::decode_ended_job;
use super::*;
use crate::jobs::End;
use crate::jobs::record::{ATTEMPT_NUMBER_LIMIT, EndedRecord, StoredTask, decode_shard, encode_shard, ended_key};
use crate::jobs::tests::spec;
use crate::store::client::KeyValue;

fn item(path: &str, value: Value) -> KeyValue {
    KeyValue { path: path.to_owned(), value, version: 7 }
}

#[test]
fn shards_with_malformed_keys_or_tasks_are_rejected() {
    let good = json!([0, 3, -1, [1, "m1"]]);
    let cases = [
        ("valid", "t/run-000001/00000", good.clone(), Some(true)),
        ("a later shard", "t/run-000001/00012", good.clone(), Some(true)),
        ("not a list", "t/run-000001/00000", json!({"what": 7}), Some(false)),
        ("one malformed task", "t/run-000001/00000", json!([0, ["m1", 1]]), Some(false)),
        ("the largest u64 as attempt number", "t/run-000001/00000", json!([[u64::MAX, "m1"]]), Some(false)),
        ("an attempt number too large to store", "t/run-000001/00000", json!([i64::MAX]), Some(false)),
        ("the lowest rejected attempt number", "t/run-000001/00000", json!([ATTEMPT_NUMBER_LIMIT]), Some(false)),
        ("the highest accepted attempt number", "t/run-000001/00000", json!([ATTEMPT_NUMBER_LIMIT - 1]), Some(true)),
        ("malformed job id", "t/a.b/00000", good.clone(), None),
        ("empty job id", "t//00000", good.clone(), None),
        ("shard number not a number", "t/run-000001/later", good.clone(), None),
        ("signed shard number", "t/run-000001/+0000", good.clone(), None),
        ("shard number without leading zeros", "t/run-000001/0", good, None),
    ];
    for (name, path, value, readable) in cases {
        let shard = Shard::from_item(item(path, value));
        assert_eq!(shard.map(|shard| shard.tasks.is_some()), readable, "{name}");
    }
}

/// A task with the highest accepted attempt number can be started again, and its next attempt is accepted as well.
#[test]
fn next_attempt_after_highest_accepted_one_is_accepted() {
    for value in
        [json!([[u64::MAX, "m1"]]), json!([[ATTEMPT_NUMBER_LIMIT - 2, "m1"]]), json!([ATTEMPT_NUMBER_LIMIT - 2])]
    {
        for task in decode_shard(&value).into_iter().flatten() {
            let (StoredTask::Waiting(attempt) | StoredTask::Bound(attempt, _)) = task else { panic!("{value}") };
            let next = vec![StoredTask::Waiting(attempt + 1)];
            assert_eq!(decode_shard(&encode_shard(&next, false)), Some(next), "{value}");
        }
    }
}

#[test]
fn invalid_ended_jobs_are_rejected() {
    type Change = fn(&mut JobRecord);
    let cases: [(&str, Change, bool); 6] = [
        ("valid", |_| (), true),
        ("malformed id", |r| r.spec.id = "a.b".into(), false),
        ("another job's id", |r| r.spec.id = "run-000002".into(), false),
        ("no tasks", |r| r.spec.tasks = 0, false),
        ("too many tasks", |r| r.spec.tasks = u64::MAX, false),
        ("estimate out of range", |r| r.spec.estimate_s = f64::MAX, false),
    ];
    for (name, change, good) in cases {
        let mut job = JobRecord { spec: spec(), accepted_ms: 5 };
        change(&mut job);
        let id = job.spec.id.clone();
        let key_of = if name == "another job's id" { "run-000001" } else { &*id };
        let key = ended_key(key_of, End::Cancelled);
        let value = serde_json::to_value(EndedRecord { job, ended_ms: 9, restored: false }).unwrap();
        let read = decode_ended_job(key_of, &key, &item(&key, value));
        assert_eq!(read.is_some(), good, "{name}");
    }
    for value in [json!(["x"]), json!({"spec": 7, "at_ms": 1}), Value::Null] {
        let key = ended_key("run-000001", End::Cancelled);
        assert!(decode_ended_job("run-000001", &key, &item(&key, value.clone())).is_none(), "{value}");
    }
}

/// Guards against a successor that takes a confirmed cancellation for unconfirmed, because its record was lost and stored
/// again at a later revision, or was first stored under another key by an earlier build.
#[test]
fn revision_of_an_end_is_exact_only_for_a_record_that_was_stored_once() {
    let job = JobRecord { spec: spec(), accepted_ms: 5 };
    let id = job.spec.id.clone();
    let key = ended_key(&id, End::Cancelled);
    let ended = |restored| serde_json::to_value(EndedRecord { job: job.clone(), ended_ms: 9, restored }).unwrap();
    let unknown = RevisionBounds { after: 0, at_most: 7 };
    for (name, value, expected) in [
        ("stored once", ended(false), RevisionBounds::exact(7)),
        ("stored again", ended(true), unknown),
        ("of an earlier build", serde_json::to_value(&job).unwrap(), unknown),
    ] {
        let read = decode_ended_job(&id, &key, &item(&key, value)).expect(name);
        assert_eq!(read.revisions, expected, "{name}");
    }
}
