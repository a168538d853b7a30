//! Tests of watermarks between controllers: whose word counts, and when one is stored.

use std::time::{Duration, Instant};

use hollylanding_emulator::world::store::Store;

use super::super::election::watermark_write;
use super::super::mesh::accepted_watermark;
use super::{UnconfirmedCancellations, WatermarkStall, own_watermark};
use crate::jobs::record::{LEADER, WATERMARK};
use crate::records::leadership::{LeaderRecord, Watermark};
use crate::store::Change;

fn leader_record(node: &str, version: u64) -> (LeaderRecord, u64) {
    (LeaderRecord { node: node.into(), incarnation: "1".into(), teams: Vec::new() }, version)
}

#[test]
fn whose_watermark_counts_by_cases() {
    let told = |fencing_token| Some(Watermark { fencing_token, revision: 50 });
    for (name, from, told, known, want) in [
        ("the leader's", "a", told(7), Some(("a", 7)), Some(50)),
        ("a build that tells none", "a", None, Some(("a", 7)), None),
        ("one that is leader no more", "a", told(7), Some(("b", 9)), None),
        ("one whose assignment was not heard of here", "b", told(9), Some(("a", 7)), None),
        ("a token that never was", "a", told(8), Some(("a", 7)), None),
        ("another's under the leader's token", "b", told(7), Some(("a", 7)), None),
        ("nobody leads, as far as is known", "a", told(7), None, None),
    ] {
        let known = known.map(|(node, version)| leader_record(node, version));
        assert_eq!(accepted_watermark(from, told, known.as_ref()), want, "{name}");
    }
}

/// One that was replaced and follows the store would confirm what its successor has not heard of.
#[test]
fn who_tells_a_watermark_by_cases() {
    let assigned = |incarnation: &str, version| {
        let (leader_record, version) = leader_record("a", version);
        (LeaderRecord { incarnation: incarnation.into(), ..leader_record }, version)
    };
    for (name, cluster, known, tells) in [
        ("the leader", Some((7, 50)), Some(assigned("1", 7)), true),
        ("its cluster state is not loaded", None, Some(assigned("1", 7)), false),
        ("another was assigned", Some((7, 50)), Some(assigned("2", 9)), false),
        ("another process of its name was", Some((7, 50)), Some(assigned("0", 7)), false),
        ("assigned again, and not heard of it", Some((7, 50)), Some(assigned("1", 9)), false),
        ("nobody is", Some((7, 50)), None, false),
    ] {
        let want = tells.then_some(Watermark { fencing_token: 7, revision: 50 });
        assert_eq!(own_watermark("1", cluster, known.as_ref()), want, "{name}");
    }
}

/// Nothing is stored where every controller acknowledges in time; where one does not, one change a second at
/// the most, however many are cancelled.
#[test]
fn the_watermark_is_stored_only_for_those_who_do_not_hear_it() {
    for (name, acknowledges_after, stores) in [
        ("all hear", Some(1000), 0),
        ("a late line", Some(2400), 0),
        ("one that hears nothing for a while", Some(4000), 2),
        ("one that is ended", None, 8),
    ] {
        let start = Instant::now();
        let mut unconfirmed = UnconfirmedCancellations::default();
        let mut stored = 0;
        for ms in (0..10_000u64).step_by(100) {
            let now = start + Duration::from_millis(ms);
            // Ten a second in the first half second.
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
    // Once it is stored it is not stored again.
    let start = Instant::now();
    let mut unconfirmed = UnconfirmedCancellations::default();
    unconfirmed.observe_end(5, start);
    assert!(unconfirmed.take_store_due(start + Duration::from_secs(3)));
    unconfirmed.record_confirmed(5, start + Duration::from_secs(3));
    assert!(!unconfirmed.take_store_due(start + Duration::from_secs(60)));
}

/// A controller that was replaced cannot store what its cluster state holds: it may lack what its successor has
/// confirmed.
#[test]
fn only_under_its_assignment_is_a_watermark_stored() {
    let mut store = Store::default();
    let write_leader_record = [Change::write(LEADER, serde_json::json!("a"))];
    let fencing_token = store.apply_if(&[], &write_leader_record).unwrap();
    let (condition, change) = watermark_write(Watermark { fencing_token, revision: 3 });
    store.apply_if(std::slice::from_ref(&condition), std::slice::from_ref(&change)).unwrap();
    let stored: Watermark = serde_json::from_value(store.value(WATERMARK).unwrap().clone()).unwrap();
    assert_eq!(stored, Watermark { fencing_token, revision: 3 });
    store.apply_if(&[], &write_leader_record).unwrap();
    assert!(store.apply_if(&[condition], &[change]).is_err(), "nor does a late copy");
}

/// Operators hear of a watermark that does not advance once it has for a while, and no more than once a minute.
#[test]
fn a_watermark_that_stands_still_is_told_of() {
    let s = Duration::from_secs;
    let start = Instant::now();
    let mut lag = WatermarkStall::default();
    let mut told = Vec::new();
    for second in 0..200 {
        // It moves on every 5 s at first, does not advance from 30 to 150 s, and then nothing waits.
        let watermark = second.min(30) / 5;
        let waiting = usize::from(second < 150);
        if let Some(long) = lag.due_for_log(waiting, watermark, start + s(second)) {
            told.push((second, long.as_secs()));
        }
    }
    assert_eq!(told, [(40, 10), (100, 70)]);
}

/// Found by tests/lost_writes.rs: an end that was put back stands at a later revision than the watermark that was
/// stored for it, and a controller that hears nobody never told of it again.
#[test]
fn a_controller_that_falls_behind_is_told_through_the_store_without_any_cancellation() {
    let s = Duration::from_secs;
    // (name, what is acknowledged at a second, how often it is stored in a minute)
    type Case = (&'static str, fn(u64) -> u64, usize);
    let cases: [Case; 4] = [
        ("all keep up", |second| 100 + second, 0),
        ("nothing changes", |_| 1000, 0),
        ("one is not heard", |_| 0, 5),
        ("one was not heard for 15 s", |second| if second < 15 { 0 } else { 100 + second }, 1),
    ];
    for (name, acknowledged, stores) in cases {
        let start = Instant::now();
        let mut unconfirmed = UnconfirmedCancellations::default();
        let due =
            |second: &u64| unconfirmed.peer_lags(acknowledged(*second), (101 + *second).min(1000), start + s(*second));
        assert_eq!((0..60).filter(due).count(), stores, "{name}");
    }
}
