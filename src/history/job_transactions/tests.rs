use super::*;
use crate::jobs::JobSpec;
use crate::jobs::tests::spec;

/// An ended record that outgrew the open one by more than the reserved size could be too large to be stored.
#[test]
fn ended_record_decodes_and_exceeds_the_open_one_by_at_most_the_reserved_size() {
    let job = JobRecord { spec: spec(), accepted_ms: 5 };
    let [Change::Write { write, value, .. }, Change::Drop { drop }] =
        end_changes(&job, End::Cancelled, u64::MAX, usize::MAX)
    else {
        panic!("a write and a drop");
    };
    assert_eq!((write.as_str(), drop.as_str()), ("h/w/run-000001", "c/o/run-000001"));
    let open = serde_json::to_string(&job).unwrap().len();
    assert!(value.to_string().len() <= open + crate::jobs::record::ENDED_RECORD_EXTRA_BYTES);
    let read: JobRecord = serde_json::from_value(value).unwrap();
    assert_eq!(read.spec, job.spec);
}

/// Guards against a job that can never end: its record fitted into a value when it was accepted, and no longer does.
/// Whatever the user sent, the record of the end is cut to what a value may take, and still decodes.
#[test]
fn record_of_an_end_is_cut_to_the_limit_on_values() {
    let long = |byte: &str| byte.repeat(900);
    let mut spec = spec();
    (spec.class, spec.image) = (long("c"), long("\u{1}"));
    (spec.types, spec.zone) = (Some(vec![long("t"); 3]), Some(long("z")));
    let job = JobRecord { spec, accepted_ms: u64::MAX };
    for (max_bytes, is_cut) in [(usize::MAX, false), (16_384, false), (2048, true), (1024, true)] {
        let [Change::Write { value, .. }, _] = end_changes(&job, End::Done, u64::MAX, max_bytes) else {
            panic!("a write and a drop");
        };
        assert!(value.to_string().len() <= max_bytes, "{max_bytes}");
        let read: EndedRecord = serde_json::from_value(value).unwrap();
        assert_eq!(read.job.spec != job.spec, is_cut, "{max_bytes}");
        let kept = |spec: &JobSpec| (spec.id.clone(), spec.team.clone(), spec.tasks, spec.cpus, spec.gpus, spec.shape);
        assert_eq!((kept(&read.job.spec), read.ended_ms), (kept(&job.spec), u64::MAX), "{max_bytes}");
        assert_eq!(read.job.spec.check(), Ok(()), "a successor loads it");
    }
}

#[test]
fn job_location_is_derived_from_its_key() {
    for (key, expected) in [
        ("c/o/run-1", Some(("run-1", JobLocation::Open))),
        ("h/d/run-1", Some(("run-1", JobLocation::Ended(End::Done)))),
        ("h/w/run-1", Some(("run-1", JobLocation::Ended(End::Cancelled)))),
        ("c/j/run-1", Some(("run-1", JobLocation::EarlierBuild))),
        ("t/run-1/00000", None),
        ("c/owner/0", None),
    ] {
        assert_eq!(locate_job(key), expected, "{key}");
    }
    let keys = ["c/owner/0".to_owned(), "h/w/run-1".to_owned()];
    assert_eq!(find_end(&keys, "run-1"), Some(End::Cancelled));
    assert_eq!(find_end(&keys, "run-2"), None, "another job's end");
}
