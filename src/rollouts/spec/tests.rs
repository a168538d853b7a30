//! Checks of rollout specs, and a spec that tests of other modules start from.

use super::*;

/// Replaces `run-1` by `run-2`, four replicas each, with the steps 1 and 0.5 and a surge of 1.
pub fn spec() -> RolloutSpec {
    let text = r#"{"old":"run-1","new":"run-2","replicas":4,"steps":[1,0.5],"hold_s":20,"ready_s":10,"surge":1}"#;
    serde_json::from_str(text).unwrap()
}

/// A spec is refused by field and value before anything is written.
#[test]
fn specs_by_cases() {
    type Change = fn(&mut RolloutSpec);
    let cases: [(&str, Change, Option<&str>); 16] = [
        ("good", |_| (), None),
        ("no steps", |s| s.steps.clear(), None),
        ("in place, allowed", |s| (s.surge, s.allow_gap) = (0, true), None),
        ("in place", |s| s.surge = 0, Some("surge")),
        ("no id", |s| s.old = "job-1".into(), Some("old")),
        ("the same job", |s| s.new = s.old.clone(), Some("new")),
        ("none asked", |s| s.replicas = 0, Some("replicas")),
        ("too many asked", |s| s.replicas = 513, Some("replicas")),
        ("more surge than replicas", |s| s.surge = 5, Some("surge")),
        ("half a replica", |s| s.steps = vec![1.5], Some("steps")),
        ("more than all", |s| s.steps = vec![5.0], Some("steps")),
        ("a step that adds nothing", |s| s.steps = vec![0.1, 0.2], Some("steps")),
        ("steps going down", |s| s.steps = vec![3.0, 0.5], Some("steps")),
        ("no time", |s| s.hold_s = f64::NAN, Some("hold_s")),
        ("one machine is no evidence", |s| s.bad.failures = 1, Some("bad.failures")),
        ("never in time", |s| s.bad.not_running_s = 0.0, Some("bad.not_running_s")),
    ];
    for (name, change, want) in cases {
        let mut spec = spec();
        change(&mut spec);
        assert_eq!(spec.check().err().map(|error| error.field).as_deref(), want, "{name}");
    }
    assert_eq!(spec().targets(), [1, 2, 4]);
    assert_eq!(RolloutSpec { steps: vec![4.0], ..spec() }.targets(), [4]);
    assert!(
        serde_json::from_str::<RolloutSpec>(r#"{"old":"run-1","new":"run-2","replicas":1,"hold_s":1,"surg":1}"#)
            .is_err()
    );
}
