//! Tests of rollout specifications, and the base specification used by tests of other modules.

use super::*;

/// Returns a specification that replaces `run-1` with `run-2`: four replicas, steps 1 and 0.5, surge 1.
pub fn spec() -> RolloutSpec {
    let text = r#"{"old":"run-1","new":"run-2","replicas":4,"steps":[1,0.5],"hold_s":20,"ready_s":10,"surge":1}"#;
    serde_json::from_str(text).unwrap()
}

/// An invalid specification must be rejected with the field's name before anything is stored.
#[test]
fn invalid_specs_are_rejected_with_the_field() {
    type Change = fn(&mut RolloutSpec);
    let cases: [(&str, Change, Option<&str>); 16] = [
        ("valid", |_| (), None),
        ("no steps", |s| s.steps.clear(), None),
        ("in place, gap allowed", |s| (s.surge, s.allow_gap) = (0, true), None),
        ("in place, gap not allowed", |s| s.surge = 0, Some("surge")),
        ("malformed job ID", |s| s.old = "job-1".into(), Some("old")),
        ("same job twice", |s| s.new = s.old.clone(), Some("new")),
        ("no replicas", |s| s.replicas = 0, Some("replicas")),
        ("too many replicas", |s| s.replicas = 513, Some("replicas")),
        ("more surge than replicas", |s| s.surge = 5, Some("surge")),
        ("fractional replica count", |s| s.steps = vec![1.5], Some("steps")),
        ("step above the replica count", |s| s.steps = vec![5.0], Some("steps")),
        ("step without additional replicas", |s| s.steps = vec![0.1, 0.2], Some("steps")),
        ("descending steps", |s| s.steps = vec![3.0, 0.5], Some("steps")),
        ("hold time is not a number", |s| s.hold_s = f64::NAN, Some("hold_s")),
        ("a single machine as failure criterion", |s| s.bad.failures = 1, Some("bad.failures")),
        ("no time to start", |s| s.bad.not_running_s = 0.0, Some("bad.not_running_s")),
    ];
    for (name, change, want) in cases {
        let mut spec = spec();
        change(&mut spec);
        assert_eq!(spec.check().err().map(|error| error.field).as_deref(), want, "{name}");
    }
    assert_eq!(spec().step_targets(), [1, 2, 4]);
    assert_eq!(RolloutSpec { steps: vec![4.0], ..spec() }.step_targets(), [4]);
    assert!(
        serde_json::from_str::<RolloutSpec>(r#"{"old":"run-1","new":"run-2","replicas":1,"hold_s":1,"surg":1}"#)
            .is_err()
    );
}
