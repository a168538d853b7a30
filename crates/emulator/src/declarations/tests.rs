use super::*;
use serde_json::json;

/// Each row but the first violates a rule of windows by one more status or by the start time of the job.
#[test]
fn window_violations_are_found_by_case() {
    let claim = |job: &str| json!([{"job": job, "turn": 1}]);
    let current =
        |turn: u64, job: &str| json!({"current": {"day": 3, "closes_ms": 1000, "turn": turn, "claims": claim(job)}});
    let ended = |how: &str| json!({"last": {"day": 3, "outcome": how}});
    for (name, more, ran_s, want) in [
        ("valid", vec![ended("met")], 5, ""),
        ("window without an end", vec![], 5, "never ended"),
        ("two outcomes", vec![ended("met"), ended("missed")], 5, "ended as"),
        ("continues after its end", vec![ended("met"), current(1, "run-1")], 5, "goes on"),
        ("turn given to two jobs", vec![current(1, "run-2"), ended("met")], 5, "was given to"),
        ("job ran before its turn", vec![ended("met")], 2, "had come"),
    ] {
        let mut declared = DeclarationRules::default();
        let mut violations = Vec::new();
        let first = [current(0, "run-1"), current(1, "run-1")];
        for (n, status) in first.into_iter().chain(more).enumerate() {
            let at = Duration::from_secs(3 + n as u64);
            violations.extend(declared.check_status(at, "window", "w", &Value::Null, &status));
        }
        violations.extend(declared.check_end(60_000, |job| (&**job == "run-1").then(|| Duration::from_secs(ran_s))));
        assert_eq!(violations.len(), usize::from(!want.is_empty()), "{name}: {violations:?}");
        assert!(violations.iter().all(|w| w.contains(want)), "{name}: {violations:?}");
    }
}
