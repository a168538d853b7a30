use super::*;
use serde_json::json;

/// Each row breaks a good window on purpose by one more status, or by when its job ran.
#[test]
fn windows_by_cases() {
    let claim = |job: &str| json!([{"job": job, "turn": 1}]);
    let current =
        |turn: u64, job: &str| json!({"current": {"day": 3, "closes_ms": 1000, "turn": turn, "claims": claim(job)}});
    let ended = |how: &str| json!({"last": {"day": 3, "outcome": how}});
    for (name, more, ran_s, want) in [
        ("good", vec![ended("met")], 5, ""),
        ("no end", vec![], 5, "never ended"),
        ("two ends", vec![ended("met"), ended("missed")], 5, "ended as"),
        ("goes on", vec![ended("met"), current(1, "run-1")], 5, "goes on"),
        ("a turn twice", vec![current(1, "run-2"), ended("met")], 5, "was given to"),
        ("too early", vec![ended("met")], 2, "had come"),
    ] {
        let mut declared = DeclarationRules::default();
        let mut wrong = Vec::new();
        let first = [current(0, "run-1"), current(1, "run-1")];
        for (n, status) in first.into_iter().chain(more).enumerate() {
            let at = Duration::from_secs(3 + n as u64);
            wrong.extend(declared.stored(at, "window", "w", &Value::Null, &status));
        }
        wrong.extend(declared.close(60_000, |job| (&**job == "run-1").then(|| Duration::from_secs(ran_s))));
        assert_eq!(wrong.len(), usize::from(!want.is_empty()), "{name}: {wrong:?}");
        assert!(wrong.iter().all(|w| w.contains(want)), "{name}: {wrong:?}");
    }
}
