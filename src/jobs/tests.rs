//! Tests of the checks of job descriptions, and a valid description that tests of other modules start from.

use super::*;

/// A valid job array of one task of class `c` and team `blue`: one core, 1 GB, 10 s, spot machines allowed.
pub fn spec() -> JobSpec {
    JobSpec {
        id: "run-000001".into(),
        class: "c".into(),
        team: "blue".into(),
        shape: Shape::Array,
        urgency: Urgency::Normal,
        tasks: 1,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "i".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        same_zone: false,
        spread: false,
        spot: true,
        estimate_s: 10.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        due_s: None,
    }
}

#[test]
fn check_accepts_valid_and_refuses_invalid_descriptions() {
    type Change = fn(&mut JobSpec);
    let cases: [(&str, Change, bool); 9] = [
        ("valid", |_| (), true),
        ("the largest number of tasks", |j| j.tasks = 100_000, true),
        ("no task", |j| j.tasks = 0, false),
        ("too many tasks", |j| j.tasks = 100_001, false),
        ("a negative number", |j| j.cpus = -1.0, false),
        ("not a number", |j| j.memory_gb = f64::NAN, false),
        ("an infinite number", |j| j.due_s = Some(f64::INFINITY), false),
        ("an id of another form", |j| j.id = "job-1".into(), false),
        ("a path in the id", |j| j.id = "run-1/2".into(), false),
    ];
    for (name, change, valid) in cases {
        let mut job = spec();
        change(&mut job);
        assert_eq!(job.check().is_ok(), valid, "{name}");
    }
}

#[test]
fn required_fields_must_be_present_and_nullable_ones_may_be_missing() {
    let complete = serde_json::to_value(spec()).unwrap();
    for (field, required) in [
        ("uid", true),
        ("legs", true),
        ("cpus", true),
        ("borrowed", true),
        ("stowS", true),
        ("fleets", false),
        ("yard", false),
        ("dueS", false),
    ] {
        let mut incomplete = complete.clone();
        incomplete.as_object_mut().unwrap().remove(field);
        let decoded = crate::protocol::decode::<JobSpec>(&crate::protocol::encode(&incomplete));
        assert_eq!(decoded.is_err(), required, "{field}");
    }
}
