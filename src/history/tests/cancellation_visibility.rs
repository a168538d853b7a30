//! Tests of which cancellations users may be told of.

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

/// Every path that reports an end to a user applies this one rule.
#[test]
fn end_is_visible_if_done_or_cancelled_up_to_the_watermark_or_seen_before() {
    use EndVisibility::*;
    for (case, end, was_visible, version, watermark, expected) in [
        ("done needs no watermark", End::Done, false, None, 0, Visible),
        ("cancelled above the watermark", End::Cancelled, false, Some(9), 8, NotYet),
        ("cancelled at the watermark", End::Cancelled, false, Some(9), 9, Visible),
        ("cancelled far below the watermark", End::Cancelled, false, Some(9), 900, Visible),
        ("cancelled, no watermark known", End::Cancelled, false, Some(9), 0, NotYet),
        ("cancelled at an unknown version", End::Cancelled, false, None, 900, Unknown),
        ("visible before, version and watermark unknown", End::Cancelled, true, None, 0, Visible),
    ] {
        assert_eq!(end_visibility(end, was_visible, version, watermark), expected, "{case}");
    }
}

/// A cancellation that was visible once must stay visible, and one that was not must be hidden alike on every path,
/// whether this controller learned of it by a transaction's result, a watch, a batch of queries or a page of ends.
#[test]
fn cancellation_is_hidden_until_the_watermark_reaches_it_and_visible_ever_after() {
    let mut queries: QueryQueue<()> = QueryQueue::new(4);
    queries.note_cancellation(&id(1), 10);
    queries.note_cancellation(&id(2), 20);
    // A batch of queries shows the cancellation, but not its version.
    queries.enqueue(&id(3), (), Instant::now()).unwrap();
    let batch = queries.next_batch(Instant::now()).due;
    queries.resolve(batch, &["h/w/run-000003".to_owned()]);
    let visibilities = |queries: &mut QueryQueue<()>| [1, 2, 3].map(|n| queries.end_visibility(&id(n), End::Cancelled));
    use EndVisibility::*;
    assert_eq!(visibilities(&mut queries), [NotYet, NotYet, Unknown]);
    queries.advance_watermark(15);
    queries.advance_watermark(5);
    assert_eq!(queries.watermark(), 15, "a lower watermark that arrives late is ignored");
    assert_eq!(visibilities(&mut queries), [Visible, NotYet, Unknown]);
    // A higher version that is noted later does not hide a cancellation that a lower one makes visible.
    queries.note_cancellation(&id(1), 999);
    queries.note_cancellation(&id(2), 15);
    queries.note_cancellation(&id(3), 16);
    assert_eq!(visibilities(&mut queries), [Visible, Visible, NotYet]);
    queries.mark_visible(&id(3));
    assert_eq!(visibilities(&mut queries), [Visible, Visible, Visible]);
    assert_eq!(
        queries.hidden_cancellations(),
        HiddenCancellations { remembered: 0, above_watermark: 0 },
        "no version is kept of a visible cancellation"
    );
}

/// Ids that do not fit into a slot of the end cache have no visible bit: their version decides each time.
#[test]
fn cancellation_with_an_uncacheable_id_is_hidden_until_the_watermark_reaches_it() {
    let mut queries: QueryQueue<()> = QueryQueue::new(4);
    let long_id: JobId = "run-18446744073709551615".into();
    queries.note_cancellation(&long_id, 7);
    assert_eq!(queries.end_visibility(&long_id, End::Cancelled), EndVisibility::NotYet);
    assert_eq!(queries.hidden_cancellations(), HiddenCancellations { remembered: 1, above_watermark: 1 });
    queries.advance_watermark(7);
    assert_eq!(queries.hidden_cancellations(), HiddenCancellations { remembered: 1, above_watermark: 0 });
    assert_eq!(queries.end_visibility(&long_id, End::Cancelled), EndVisibility::Visible);
    assert_eq!(queries.end_visibility(&long_id, End::Cancelled), EndVisibility::Visible);
}

/// The number of versions kept is bounded when many cancellations stay above the watermark. The visibility of an
/// evicted one is unknown, so that its version is read from the store and the cancellation is not reported.
#[test]
fn cancellation_with_an_evicted_version_has_unknown_visibility() {
    let mut queries: QueryQueue<()> = QueryQueue::new(4);
    (0..20_000).for_each(|n| queries.note_cancellation(&id(n), 100));
    assert_eq!(queries.hidden_cancellations(), HiddenCancellations { remembered: 8192, above_watermark: 8192 });
    assert_eq!(queries.end_visibility(&id(0), End::Cancelled), EndVisibility::Unknown);
    assert_eq!(queries.end_visibility(&id(19_999), End::Cancelled), EndVisibility::NotYet);
}

/// The visible bit is part of the slot that holds the end, and must be lost when the end is evicted.
#[test]
fn eviction_of_an_end_clears_its_visible_bit() {
    let mut ends = EndCache::default();
    ends.insert("run-99999999999999999", End::Cancelled);
    ends.mark_visible("run-99999999999999999");
    ends.mark_visible("run-1");
    assert!(!ends.is_visible("run-1"), "an end that is not cached cannot be marked visible");
    ends.insert("run-1", End::Cancelled);
    assert!(!ends.is_visible("run-1") && ends.is_visible("run-99999999999999999"));
    assert_eq!(ends.get("run-99999999999999999"), Some(End::Cancelled));
    ends.insert("run-99999999999999999", End::Cancelled);
    assert!(ends.is_visible("run-99999999999999999"), "the same end inserted again stays visible");
    for n in 0..2 * EndCache::capacity() {
        ends.insert(&id(n), End::Cancelled);
        assert!(!ends.is_visible(&id(n)), "{n}");
    }
}

/// A leader reports its cancellations at once. So a cancellation must fail if another leader has taken over before it
/// is applied: the new leader may already have read its cluster state, without this cancellation.
#[test]
fn leaders_cancellation_is_stored_only_while_its_leader_record_is_current() {
    for (case, replaced, by_leader, stored) in [
        ("current leader", false, true, true),
        ("leader superseded without knowing", true, true, false),
        ("follower, after a change of leader", true, false, true),
    ] {
        let mut store = Store::default();
        let write_leader_record = [Change::write(LEADER_RECORD_KEY, serde_json::json!("a"))];
        let fencing_token = store.apply_if(&[], &write_leader_record).unwrap();
        let record = JobRecord { spec: spec(), accepted_ms: 5 };
        let accept = job_transactions::accept_job(&record, false);
        store.apply_if(&accept.conditions, &accept.changes).unwrap();
        if replaced {
            store.apply_if(&[], &write_leader_record).unwrap();
        }
        let cancellation = job_transactions::cancel_job(&record, by_leader.then_some(fencing_token), 9, usize::MAX);
        let outcome = store.apply_if(&cancellation.conditions, &cancellation.changes);
        assert_eq!(outcome.is_ok(), stored, "{case}");
        assert_eq!(store.has("h/w/run-000001"), stored, "{case}");
    }
}
