use super::*;
use crate::judge::{Verdict, Violation};
use std::time::Duration;

#[test]
fn page_contains_the_verdict_escapes_texts_and_is_self_contained() {
    let sizes = Sizes::parse(crate::sizes::DEFAULT).unwrap();
    let violation = Violation {
        rule: Rule::RanTwice,
        at: Duration::from_secs(3),
        what: "a <b> & c".into(),
        history: vec!["first".into()],
    };
    let outcome = Outcome {
        verdict: Verdict { violations: vec![violation], expected: 4, delivered: 4, ..Verdict::default() },
        samples: (0..9).map(|n| Sample { at_s: f64::from(n), running: 3, ..Sample::default() }).collect(),
        faults: vec![Note { at_s: 2.0, what: "DropLeases".into() }],
        accepted_ms: hdrhistogram::Histogram::new(3).unwrap(),
        jobs: 2,
        unexpected_exits: 0,
        recovery_time: None,
        failed_commands: vec![],
        rate_limited_requests: 0,
        machine_cost: 0.5,
        duration_s: 9.0,
    };
    let page = page("half", &sizes, &outcome).unwrap();
    for part in ["rules: broken: ran_twice", "a &lt;b&gt; &amp; c", "first", "DropLeases"] {
        assert!(page.contains(part), "{part}");
    }
    assert_eq!(page.matches("<svg").count(), 4, "the page must contain four inline plots");
    assert!(!page.contains("<script") && !page.contains("href="), "the page must not load external content");
}
