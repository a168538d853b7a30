//! Tests of what users may hear of cancellations.

use std::time::Instant;

use hollylanding_emulator::world::store::Store;

use crate::history::ends::Ends;
use crate::history::moves;
use crate::history::query_queue::QueryQueue;
use crate::history::visibility::{Visible, visible};
use crate::jobs::record::{JobRecord, LEADER};
use crate::jobs::tests::spec;
use crate::jobs::{End, JobId};
use crate::store::Change;

fn id(n: usize) -> JobId {
    format!("run-{n:06}").into()
}

/// The one rule by which any path tells of an end.
#[test]
fn what_users_may_hear_by_cases() {
    use Visible::*;
    for (name, end, shown, version, watermark, want) in [
        ("done needs no leader", End::Done, false, None, 0, Yes),
        ("withdrawn, the leader has not heard", End::Cancelled, false, Some(9), 8, NotYet),
        ("withdrawn, the leader has just heard", End::Cancelled, false, Some(9), 9, Yes),
        ("withdrawn long ago", End::Cancelled, false, Some(9), 900, Yes),
        ("withdrawn, no leader was ever heard of", End::Cancelled, false, Some(9), 0, NotYet),
        ("withdrawn, nobody knows when", End::Cancelled, false, None, 900, Unknown),
        ("told before, whatever is known now", End::Cancelled, true, None, 0, Yes),
    ] {
        assert_eq!(visible(end, shown, version, watermark), want, "{name}");
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
    queries.ask(&id(3), (), Instant::now()).unwrap();
    let (batch, _) = queries.next_batch(Instant::now());
    queries.answered(batch, &["h/w/run-000003".to_owned()]);
    let seen = |queries: &mut QueryQueue<()>| [1, 2, 3].map(|n| queries.visible(&id(n), End::Cancelled));
    use Visible::*;
    assert_eq!(seen(&mut queries), [NotYet, NotYet, Unknown]);
    queries.advance(15);
    queries.advance(5);
    assert_eq!(queries.watermark(), 15, "an older watermark that comes late takes nothing back");
    assert_eq!(seen(&mut queries), [Yes, NotYet, Unknown]);
    // A later and looser bound does not hide what an earlier one shows.
    queries.note_cancellation(&id(1), 999);
    queries.note_cancellation(&id(2), 15);
    queries.note_cancellation(&id(3), 16);
    assert_eq!(seen(&mut queries), [Yes, Yes, NotYet]);
    queries.show(&id(3));
    assert_eq!(seen(&mut queries), [Yes, Yes, Yes]);
    assert_eq!(queries.hidden(), [0, 0], "nothing is kept of what is shown");
}

/// Ids that do not fit beside the packed ends are judged by their versions, each time.
#[test]
fn long_ids_are_hidden_alike() {
    let mut queries: QueryQueue<()> = QueryQueue::new(4);
    let long: JobId = "run-18446744073709551615".into();
    queries.note_cancellation(&long, 7);
    assert_eq!(queries.visible(&long, End::Cancelled), Visible::NotYet);
    assert_eq!(queries.hidden(), [1, 1]);
    queries.advance(7);
    assert_eq!(queries.hidden(), [1, 0]);
    assert_eq!(queries.visible(&long, End::Cancelled), Visible::Yes);
    assert_eq!(queries.visible(&long, End::Cancelled), Visible::Yes);
}

/// A flood of cancellations that nobody confirms is bounded; what is forgotten is asked for, not told.
#[test]
fn what_is_forgotten_is_unknown_and_never_told() {
    let mut queries: QueryQueue<()> = QueryQueue::new(4);
    (0..20_000).for_each(|n| queries.note_cancellation(&id(n), 100));
    assert_eq!(queries.hidden(), [8192, 8192]);
    assert_eq!(queries.visible(&id(0), End::Cancelled), Visible::Unknown);
    assert_eq!(queries.visible(&id(19_999), End::Cancelled), Visible::NotYet);
}

/// The mark that an end may be told shares its slot with the end, and goes with it.
#[test]
fn an_end_that_gives_way_takes_its_mark_along() {
    let mut ends = Ends::default();
    ends.put("run-99999999999999999", End::Cancelled);
    ends.show("run-99999999999999999");
    ends.show("run-1");
    assert!(!ends.shown("run-1"), "nothing is shown that is not held");
    ends.put("run-1", End::Cancelled);
    assert!(!ends.shown("run-1") && ends.shown("run-99999999999999999"));
    assert_eq!(ends.get("run-99999999999999999"), Some(End::Cancelled));
    ends.put("run-99999999999999999", End::Cancelled);
    assert!(ends.shown("run-99999999999999999"), "noted again, it stays shown");
    for n in 0..2 * Ends::most() {
        ends.put(&id(n), End::Cancelled);
        assert!(!ends.shown(&id(n)), "{n}");
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
        let write_leader_record = [Change::write(LEADER, serde_json::json!("a"))];
        let fencing_token = store.apply_if(&[], &write_leader_record).unwrap();
        let record = JobRecord { spec: spec(), at_ms: 5 };
        let accept = moves::accept(&record, false);
        store.apply_if(&accept.conditions, &accept.changes).unwrap();
        if replaced {
            store.apply_if(&[], &write_leader_record).unwrap();
        }
        let cancellation = moves::cancel(&record, leader.then_some(fencing_token), 9);
        let outcome = store.apply_if(&cancellation.conditions, &cancellation.changes);
        assert_eq!(outcome.is_ok(), stands, "{name}");
        assert_eq!(store.has("h/w/run-000001"), stands, "{name}");
    }
}
