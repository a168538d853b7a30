use super::*;
use crate::jobs::tests::spec;

fn record(n: u64) -> Arc<JobRecord> {
    let mut spec = spec();
    spec.id = format!("run-{n}").into();
    Arc::new(JobRecord { spec, accepted_ms: 5 })
}

#[test]
fn acknowledged_write_is_stored_according_to_its_keys() {
    let shard = AcknowledgedWrite::Shard("run-1".into(), 0, 9);
    for (case, write, failed, stored) in [
        ("accepted, open", AcknowledgedWrite::Accepted(record(1)), vec!["c/o/run-1"], true),
        ("accepted, finished since", AcknowledgedWrite::Accepted(record(1)), vec!["h/d/run-1"], true),
        ("accepted, no key", AcknowledgedWrite::Accepted(record(1)), vec!["c/o/run-2"], false),
        ("open, cancelled since", AcknowledgedWrite::Open("run-1".into()), vec!["h/w/run-1"], true),
        ("finished", AcknowledgedWrite::Ended(record(1), End::Done), vec!["h/d/run-1"], true),
        ("finished, open again", AcknowledgedWrite::Ended(record(1), End::Done), vec!["c/o/run-1"], false),
        ("shard at its version", shard.clone(), vec![], true),
        ("shard at another version", shard, vec!["t/run-1/00000"], false),
    ] {
        assert_eq!(write.is_stored(&failed.into_iter().collect()), stored, "{case}");
    }
}

/// Guards against lost writes that are passed over: a comparison that failed is made again, in smaller parts.
#[test]
fn batch_that_could_not_be_compared_comes_next() {
    let mut audit = Audit::default();
    (0..9).for_each(|n| audit.remember(AcknowledgedWrite::Accepted(record(n))));
    let batch = audit.next_batch(24, Vec::new);
    assert_eq!(batch.len(), 8);
    audit.return_batch(batch.clone());
    let again: Vec<_> = (0..4).flat_map(|_| audit.next_batch(6, Vec::new)).collect();
    assert_eq!(again, batch);
}

#[test]
fn write_missing_twice_is_lost_and_audit_size_is_bounded() {
    let mut audit = Audit::default();
    (0..600).for_each(|n| audit.remember(AcknowledgedWrite::Accepted(record(n))));
    let leader_writes = || vec![AcknowledgedWrite::Open("run-9000".into())];
    let first = audit.next_batch(6, leader_writes);
    assert_eq!(first.len(), 2, "three conditions each");
    assert_eq!(first[0], AcknowledgedWrite::Accepted(record(88)), "the oldest were forgotten");
    assert!(audit.find_lost(first, &["c/o/run-89".into()]).is_empty(), "they were missing only once");
    let second = audit.next_batch(6, Vec::new);
    assert_eq!(second[0], AcknowledgedWrite::Accepted(record(88)), "suspects go first");
    assert_eq!(audit.find_lost(second, &["c/o/run-90".into()]), [AcknowledgedWrite::Accepted(record(88))]);
    let mut compared_keys = HashSet::new();
    while let Some(last) =
        audit.next_batch(96, Vec::new).into_iter().map(|write| (compared_keys.insert(write.key()), write)).last()
    {
        if matches!(last.1, AcknowledgedWrite::Open(_)) {
            break;
        }
    }
    assert!(compared_keys.contains("c/o/run-9000"), "the leader's writes are compared as well");
    assert!(audit.remembered() <= MAX_REMEMBERED_WRITES * 2 + 2);
}

/// Suspects used to be added to the round again at every call, so that it grew without bound when the store had lost
/// everything.
#[test]
fn audit_size_is_bounded_when_the_store_lost_everything() {
    let mut audit = Audit::default();
    (0..MAX_REMEMBERED_WRITES as u64).for_each(|n| audit.remember(AcknowledgedWrite::Accepted(record(n))));
    let mut lost = 0;
    for _ in 0..500 {
        let batch = audit.next_batch(96, Vec::new);
        assert!(!batch.is_empty() && batch.len() <= 32);
        lost += audit.find_lost(batch, &[]).len();
        assert!(audit.remembered() <= MAX_REMEMBERED_WRITES * 3, "{}", audit.remembered());
    }
    assert!(lost >= MAX_REMEMBERED_WRITES, "all lost writes are found: {lost}");
}
