//! Tests of what users may hear of cancellations.

use std::time::Instant;

use hollylanding_emulator::world::store::Store;

use crate::history::end_cache::EndCache;
use crate::history::job_transactions;
use crate::history::query_queue::QueryQueue;
use crate::history::visibility::{EndVisibility, HiddenCancellations, end_visibility};
use crate::jobs::record::{JobRecord, LEADER_RECORD_KEY};
use crate::jobs::tests::spec;
use crate::jobs::{End, JobId};
use crate::store::Change;

fn id(n: usize) -> JobId {
    format!("run-{n:06}").into()
}

/// The one rule by which any path tells of an end.
#[test]
fn what_users_may_hear_by_cases() {
    use EndVisibility::*;
    for (name, end, shown, version, watermark, want) in [
        ("done needs no leader", End::Done, false, None, 0, Visible),
        ("withdrawn, the leader has not heard", End::Cancelled, false, Some(9), 8, NotYet),
        ("withdrawn, the leader has just heard", End::Cancelled, false, Some(9), 9, Visible),
        ("withdrawn long ago", End::Cancelled, false, Some(9), 900, Visible),
        ("withdrawn, no leader was ever heard of", End::Cancelled, false, Some(9), 0, NotYet),
        ("withdrawn, nobody knows when", End::Cancelled, false, None, 900, Unknown),
        ("told before, whatever is known now", End::Cancelled, true, None, 0, Visible),
    ] {
        assert_eq!(end_visibility(end, shown, version, watermark), want, "{name}");
    }
}

/// What was told once is told for ever, and what was not is hidden from every path alike, whether it came by
/// a transaction's answer, a watch, a comparison or a page of ends.
#[test]
fn hidden_until_the_watermark_and_never_again() {
    let mut queries: QueryQueue<()> = QueryQueue::new(4);
    queries.note_cancellation(&id(1), 10);
    queries.note_cancellation(&id(2), 20);
    // By a comparison, which tells no version.
    queries.enqueue(&id(3), (), Instant::now()).unwrap();
    let batch = queries.next_batch(Instant::now()).due;
    queries.resolve(batch, &["h/w/run-000003".to_owned()]);
    let seen = |queries: &mut QueryQueue<()>| [1, 2, 3].map(|n| queries.end_visibility(&id(n), End::Cancelled));
    use EndVisibility::*;
    assert_eq!(seen(&mut queries), [NotYet, NotYet, Unknown]);
    queries.advance_watermark(15);
    queries.advance_watermark(5);
    assert_eq!(queries.watermark(), 15, "an older watermark that comes late takes nothing back");
    assert_eq!(seen(&mut queries), [Visible, NotYet, Unknown]);
    // A later and looser bound does not hide what an earlier one shows.
    queries.note_cancellation(&id(1), 999);
    queries.note_cancellation(&id(2), 15);
    queries.note_cancellation(&id(3), 16);
    assert_eq!(seen(&mut queries), [Visible, Visible, NotYet]);
    queries.mark_visible(&id(3));
    assert_eq!(seen(&mut queries), [Visible, Visible, Visible]);
    assert_eq!(
        queries.hidden_cancellations(),
        HiddenCancellations { remembered: 0, above_watermark: 0 },
        "nothing is kept of what is shown"
    );
}

/// Ids that do not fit beside the packed ends are judged by their versions, each time.
#[test]
fn long_ids_are_hidden_alike() {
    let mut queries: QueryQueue<()> = QueryQueue::new(4);
    let long: JobId = "run-18446744073709551615".into();
    queries.note_cancellation(&long, 7);
    assert_eq!(queries.end_visibility(&long, End::Cancelled), EndVisibility::NotYet);
    assert_eq!(queries.hidden_cancellations(), HiddenCancellations { remembered: 1, above_watermark: 1 });
    queries.advance_watermark(7);
    assert_eq!(queries.hidden_cancellations(), HiddenCancellations { remembered: 1, above_watermark: 0 });
    assert_eq!(queries.end_visibility(&long, End::Cancelled), EndVisibility::Visible);
    assert_eq!(queries.end_visibility(&long, End::Cancelled), EndVisibility::Visible);
}

/// A flood of cancellations that nobody confirms is bounded; what is forgotten is asked for, not told.
#[test]
fn what_is_forgotten_is_unknown_and_never_told() {
    let mut queries: QueryQueue<()> = QueryQueue::new(4);
    (0..20_000).for_each(|n| queries.note_cancellation(&id(n), 100));
    assert_eq!(queries.hidden_cancellations(), HiddenCancellations { remembered: 8192, above_watermark: 8192 });
    assert_eq!(queries.end_visibility(&id(0), End::Cancelled), EndVisibility::Unknown);
    assert_eq!(queries.end_visibility(&id(19_999), End::Cancelled), EndVisibility::NotYet);
}

/// The mark that an end may be told shares its slot with the end, and goes with it.
#[test]
fn an_end_that_gives_way_takes_its_mark_along() {
    let mut ends = EndCache::default();
    ends.insert("run-99999999999999999", End::Cancelled);
    ends.mark_visible("run-99999999999999999");
    ends.mark_visible("run-1");
    assert!(!ends.is_visible("run-1"), "nothing is shown that is not held");
    ends.insert("run-1", End::Cancelled);
    assert!(!ends.is_visible("run-1") && ends.is_visible("run-99999999999999999"));
    assert_eq!(ends.get("run-99999999999999999"), Some(End::Cancelled));
    ends.insert("run-99999999999999999", End::Cancelled);
    assert!(ends.is_visible("run-99999999999999999"), "noted again, it stays shown");
    for n in 0..2 * EndCache::capacity() {
        ends.insert(&id(n), End::Cancelled);
        assert!(!ends.is_visible(&id(n)), "{n}");
    }
}

/// A leader tells its users at once, so its cancellation has to fail where another was assigned before it: that
/// one's cluster state may be read, and lack it.
#[test]
fn what_an_leader_tells_at_once_is_stored_only_under_its_assignment() {
    for (name, replaced, leader, stands) in [
        ("it leads", false, true, true),
        ("replaced without knowing", true, true, false),
        ("a follower's, whoever leads", true, false, true),
    ] {
        let mut store = Store::default();
        let write_leader_record = [Change::write(LEADER_RECORD_KEY, serde_json::json!("a"))];
        let fencing_token = store.apply_if(&[], &write_leader_record).unwrap();
        let record = JobRecord { spec: spec(), at_ms: 5 };
        let accept = job_transactions::accept_job(&record, false);
        store.apply_if(&accept.conditions, &accept.changes).unwrap();
        if replaced {
            store.apply_if(&[], &write_leader_record).unwrap();
        }
        let cancellation = job_transactions::cancel_job(&record, leader.then_some(fencing_token), 9);
        let outcome = store.apply_if(&cancellation.conditions, &cancellation.changes);
        assert_eq!(outcome.is_ok(), stands, "{name}");
        assert_eq!(store.has("h/w/run-000001"), stands, "{name}");
    }
}
