use super::*;
use crate::jobs::tests::spec;

fn record(n: u64) -> Arc<JobRecord> {
    let mut spec = spec();
    spec.id = format!("run-{n}").into();
    Arc::new(JobRecord { spec, at_ms: 5 })
}

#[test]
fn what_must_stand_by_cases() {
    let shard = Held::Shard("run-1".into(), 0, 9);
    for (name, held, failed, stands) in [
        ("accepted, open", Held::Accepted(record(1)), vec!["c/o/run-1"], true),
        ("accepted, done since", Held::Accepted(record(1)), vec!["h/d/run-1"], true),
        ("accepted, nowhere", Held::Accepted(record(1)), vec!["c/o/run-2"], false),
        ("open, withdrawn since", Held::Open("run-1".into()), vec!["h/w/run-1"], true),
        ("done", Held::Ended(record(1), End::Done), vec!["h/d/run-1"], true),
        ("done, open again", Held::Ended(record(1), End::Done), vec!["c/o/run-1"], false),
        ("chunk as it was", shard.clone(), vec![], true),
        ("chunk of another version", shard, vec!["t/run-1/00000"], false),
    ] {
        assert_eq!(held.stands(&failed.into_iter().collect()), stands, "{name}");
    }
}

#[test]
fn missing_twice_is_lost_and_everything_is_bounded() {
    let mut audit = Audit::default();
    (0..600).for_each(|n| audit.note(Held::Accepted(record(n))));
    let stored = || vec![Held::Open("run-9000".into())];
    let first = audit.next(6, stored);
    assert_eq!(first.len(), 2, "three conditions each");
    assert_eq!(first[0], Held::Accepted(record(88)), "the oldest were forgotten");
    assert!(audit.compared(first, &["c/o/run-89".into()]).is_empty(), "missing once");
    let second = audit.next(6, Vec::new);
    assert_eq!(second[0], Held::Accepted(record(88)), "suspects go first");
    assert_eq!(audit.compared(second, &["c/o/run-90".into()]), [Held::Accepted(record(88))]);
    let mut rest = HashSet::new();
    while let Some(last) = audit.next(96, Vec::new).into_iter().map(|h| (rest.insert(h.name()), h)).last() {
        if matches!(last.1, Held::Open(_)) {
            break;
        }
    }
    assert!(rest.contains("c/o/run-9000"), "what the leader stored has its turn");
    assert!(audit.remembered() <= REMEMBERED * 2 + 2);
}

/// Suspects were put into the turn again at every call: a store that had lost everything made it
/// grow without end.
#[test]
fn a_store_that_has_lost_everything_makes_nothing_grow() {
    let mut audit = Audit::default();
    (0..REMEMBERED as u64).for_each(|n| audit.note(Held::Accepted(record(n))));
    let mut lost = 0;
    for _ in 0..500 {
        let batch = audit.next(96, Vec::new);
        assert!(!batch.is_empty() && batch.len() <= 32);
        lost += audit.compared(batch, &[]).len();
        assert!(audit.remembered() <= REMEMBERED * 3, "{}", audit.remembered());
    }
    assert!(lost >= REMEMBERED, "and all of it is found: {lost}");
}
