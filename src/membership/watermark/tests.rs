//! Tests of watermarks between controllers: which are accepted, and when one is stored.

use std::time::{Duration, Instant};

use hollylanding_emulator::world::store::Store;

use super::super::election::watermark_write;
use super::super::mesh::accepted_watermark;
use super::{UnconfirmedCancellations, WatermarkStall, own_watermark};
use crate::jobs::record::{LEADER_RECORD_KEY, WATERMARK_KEY};
use crate::records::leadership::{LeaderRecord, Watermark};
use crate::store::Change;

fn leader_record(node: &str, version: u64) -> (LeaderRecord, u64) {
    (LeaderRecord { node: node.into(), incarnation: "1".into(), teams: Vec::new() }, version)
}

#[test]
fn watermark_is_accepted_only_from_the_known_leader() {
    let watermark = |fencing_token| Some(Watermark { fencing_token, revision: 50 });
    for (name, from, received, known, want) in [
        ("the leader's", "a", watermark(7), Some(("a", 7)), Some(50)),
        ("a build that sends none", "a", None, Some(("a", 7)), None),
        ("a deposed leader's", "a", watermark(7), Some(("b", 9)), None),
        ("a leader whose record is not known here yet", "b", watermark(9), Some(("a", 7)), None),
        ("a fencing token that never existed", "a", watermark(8), Some(("a", 7)), None),
        ("another controller's under the leader's token", "b", watermark(7), Some(("a", 7)), None),
        ("no leader known", "a", watermark(7), None, None),
    ] {
        let known = known.map(|(node, version)| leader_record(node, version));
        assert_eq!(accepted_watermark(from, received, known.as_ref()), want, "{name}");
    }
}

/// A deposed leader that follows the store would otherwise confirm cancellations that its successor doesn't know.
#[test]
fn only_the_leader_by_its_own_record_sends_a_watermark() {
    let record_of = |incarnation: &str, version| {
        let (leader_record, version) = leader_record("a", version);
        (LeaderRecord { incarnation: incarnation.into(), ..leader_record }, version)
    };
    for (name, cluster, known, sends) in [
        ("the leader", Some((7, 50)), Some(record_of("1", 7)), true),
        ("the cluster state is not loaded", None, Some(record_of("1", 7)), false),
        ("another process leads", Some((7, 50)), Some(record_of("2", 9)), false),
        ("an earlier process of the same name leads", Some((7, 50)), Some(record_of("0", 7)), false),
        (
            "the record was written again, and the answer is not known yet",
            Some((7, 50)),
            Some(record_of("1", 9)),
            false,
        ),
        ("no leader known", Some((7, 50)), None, false),
    ] {
        let want = sends.then_some(Watermark { fencing_token: 7, revision: 50 });
        assert_eq!(own_watermark("1", cluster, known.as_ref()), want, "{name}");
    }
}

/// Nothing is stored if every controller acknowledges in time. Otherwise at most one change a second is stored, however
/// many jobs are cancelled.
#[test]
fn watermark_is_stored_only_for_controllers_that_do_not_acknowledge_it() {
    for (name, acknowledges_after, stores) in [
        ("all acknowledge", Some(1000), 0),
        ("a late acknowledgement", Some(2400), 0),
        ("one acknowledges after 4 s", Some(4000), 2),
        ("one has ended", None, 8),
    ] {
        let start = Instant::now();
        let mut unconfirmed = UnconfirmedCancellations::default();
        let mut stored = 0;
        for ms in (0..10_000u64).step_by(100) {
            let now = start + Duration::from_millis(ms);
            // Ten cancellations a second during the first half second.
            if ms < 500 {
                unconfirmed.observe_end(100 + ms / 100, now);
            }
            if acknowledges_after.is_some_and(|after| ms >= after) {
                unconfirmed.record_confirmed(200, now);
            }
            stored += u64::from(unconfirmed.take_store_due(now));
        }
        assert_eq!(stored, stores, "{name}");
    }
    // After a successful write the watermark is not stored again.
    let start = Instant::now();
    let mut unconfirmed = UnconfirmedCancellations::default();
    unconfirmed.observe_end(5, start);
    assert!(unconfirmed.take_store_due(start + Duration::from_secs(3)));
    unconfirmed.record_confirmed(5, start + Duration::from_secs(3));
    assert!(!unconfirmed.take_store_due(start + Duration::from_secs(60)));
}

/// A deposed leader can't store the watermark of its cluster state, which may lack what its successor has confirmed.
#[test]
fn watermark_is_stored_only_under_its_leader_record() {
    let mut store = Store::default();
    let write_leader_record = [Change::write(LEADER_RECORD_KEY, serde_json::json!("a"))];
    let fencing_token = store.apply_if(&[], &write_leader_record).unwrap();
    let (condition, change) = watermark_write(Watermark { fencing_token, revision: 3 });
    store.apply_if(std::slice::from_ref(&condition), std::slice::from_ref(&change)).unwrap();
    let stored: Watermark = serde_json::from_value(store.value(WATERMARK_KEY).unwrap().clone()).unwrap();
    assert_eq!(stored, Watermark { fencing_token, revision: 3 });
    store.apply_if(&[], &write_leader_record).unwrap();
    assert!(store.apply_if(&[condition], &[change]).is_err(), "a late copy is refused");
}

/// A watermark that doesn't advance for a while is logged, at most once a minute.
#[test]
fn stalled_watermark_is_logged_at_most_once_a_minute() {
    let s = Duration::from_secs;
    let start = Instant::now();
    let mut stall = WatermarkStall::default();
    let mut logged = Vec::new();
    for second in 0..200 {
        // The watermark advances every 5 s until 30 s and not after; cancellations wait for it until 150 s.
        let watermark = second.min(30) / 5;
        let waiting = usize::from(second < 150);
        if let Some(stalled_for) = stall.due_for_log(waiting, watermark, start + s(second)) {
            logged.push((second, stalled_for.as_secs()));
        }
    }
    assert_eq!(logged, [(40, 10), (100, 70)]);
}

/// An end that was written again after its loss has a later revision than the watermark that was stored for it, and a
/// controller that receives no lines never confirmed it. First observed in tests/lost_writes.rs.
#[test]
fn watermark_is_stored_for_a_lagging_controller_without_any_cancellation() {
    let s = Duration::from_secs;
    // (name, watermark acknowledged at a second, writes of the watermark within a minute)
    type Case = (&'static str, fn(u64) -> u64, usize);
    let cases: [Case; 4] = [
        ("all keep up", |second| 100 + second, 0),
        ("watermark unchanged", |_| 1000, 0),
        ("one never acknowledges", |_| 0, 5),
        ("one acknowledges after 15 s", |second| if second < 15 { 0 } else { 100 + second }, 1),
    ];
    for (name, acknowledged, stores) in cases {
        let start = Instant::now();
        let mut unconfirmed = UnconfirmedCancellations::default();
        let due = |second: &u64| {
            unconfirmed.take_store_due_for_lag(acknowledged(*second), (101 + *second).min(1000), start + s(*second))
        };
        assert_eq!((0..60).filter(due).count(), stores, "{name}");
    }
}
