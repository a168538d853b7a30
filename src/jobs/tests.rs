//! Checks of job descriptions, and a description that tests of other modules start from.

use super::*;

/// An array of one task of class `c` and team `blue`: one core, 1 GB, 10 s, spot machines allowed.
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
fn checks_by_cases() {
    type Change = fn(&mut JobSpec);
    let cases: [(&str, Change, bool); 9] = [
        ("good", |_| (), true),
        ("most tasks", |j| j.tasks = 100_000, true),
        ("no task", |j| j.tasks = 0, false),
        ("too many tasks", |j| j.tasks = 100_001, false),
        ("negative", |j| j.cpus = -1.0, false),
        ("not a number", |j| j.memory_gb = f64::NAN, false),
        ("infinite", |j| j.due_s = Some(f64::INFINITY), false),
        ("another form of id", |j| j.id = "job-1".into(), false),
        ("a path in the id", |j| j.id = "run-1/2".into(), false),
    ];
    for (name, change, good) in cases {
        let mut job = spec();
        change(&mut job);
        assert_eq!(job.check().is_ok(), good, "{name}");
    }
}

#[test]
fn missing_and_nullable_fields() {
    let whole = serde_json::to_value(spec()).unwrap();
    for (field, needed) in [
        ("uid", true),
        ("legs", true),
        ("cpus", true),
        ("borrowed", true),
        ("stowS", true),
        ("fleets", false),
        ("yard", false),
        ("dueS", false),
    ] {
        let mut cut = whole.clone();
        cut.as_object_mut().unwrap().remove(field);
        let read = crate::protocol::decode::<JobSpec>(&crate::protocol::encode(&cut));
        assert_eq!(read.is_err(), needed, "{field}");
    }
}
