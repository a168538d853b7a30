use super::*;
use crate::jobs::tests::spec;

fn record(n: u64) -> Arc<JobRecord> {
    let mut spec = spec();
    spec.id = format!("run-{n}").into();
    Arc::new(JobRecord { spec, at_ms: 5 })
}

#[test]
fn acknowledged_writes_are_judged_by_their_keys() {
    let shard = AcknowledgedWrite::Shard("run-1".into(), 0, 9);
    for (name, held, failed, stands) in [
        ("accepted, open", AcknowledgedWrite::Accepted(record(1)), vec!["c/o/run-1"], true),
        ("accepted, done since", AcknowledgedWrite::Accepted(record(1)), vec!["h/d/run-1"], true),
        ("accepted, nowhere", AcknowledgedWrite::Accepted(record(1)), vec!["c/o/run-2"], false),
        ("open, withdrawn since", AcknowledgedWrite::Open("run-1".into()), vec!["h/w/run-1"], true),
        ("done", AcknowledgedWrite::Ended(record(1), End::Done), vec!["h/d/run-1"], true),
        ("done, open again", AcknowledgedWrite::Ended(record(1), End::Done), vec!["c/o/run-1"], false),
        ("chunk as it was", shard.clone(), vec![], true),
        ("chunk of another version", shard, vec!["t/run-1/00000"], false),
    ] {
        assert_eq!(held.is_stored(&failed.into_iter().collect()), stands, "{name}");
    }
}

#[test]
fn a_write_missing_twice_is_lost_and_the_audit_stays_bounded() {
    let mut audit = Audit::default();
    (0..600).for_each(|n| audit.remember(AcknowledgedWrite::Accepted(record(n))));
    let stored = || vec![AcknowledgedWrite::Open("run-9000".into())];
    let first = audit.next_batch(6, stored);
    assert_eq!(first.len(), 2, "three conditions each");
    assert_eq!(first[0], AcknowledgedWrite::Accepted(record(88)), "the oldest were forgotten");
    assert!(audit.find_lost(first, &["c/o/run-89".into()]).is_empty(), "missing once");
    let second = audit.next_batch(6, Vec::new);
    assert_eq!(second[0], AcknowledgedWrite::Accepted(record(88)), "suspects go first");
    assert_eq!(audit.find_lost(second, &["c/o/run-90".into()]), [AcknowledgedWrite::Accepted(record(88))]);
    let mut rest = HashSet::new();
    while let Some(last) = audit.next_batch(96, Vec::new).into_iter().map(|h| (rest.insert(h.key()), h)).last() {
        if matches!(last.1, AcknowledgedWrite::Open(_)) {
            break;
        }
    }
    assert!(rest.contains("c/o/run-9000"), "what the leader stored has its turn");
    assert!(audit.remembered() <= MAX_REMEMBERED * 2 + 2);
}

/// Suspects were put into the turn again at every call: a store that had lost everything made it
/// grow without end.
#[test]
fn a_store_that_has_lost_everything_makes_nothing_grow() {
    let mut audit = Audit::default();
    (0..MAX_REMEMBERED as u64).for_each(|n| audit.remember(AcknowledgedWrite::Accepted(record(n))));
    let mut lost = 0;
    for _ in 0..500 {
        let batch = audit.next_batch(96, Vec::new);
        assert!(!batch.is_empty() && batch.len() <= 32);
        lost += audit.find_lost(batch, &[]).len();
        assert!(audit.remembered() <= MAX_REMEMBERED * 3, "{}", audit.remembered());
    }
    assert!(lost >= MAX_REMEMBERED, "and all of it is found: {lost}");
}
