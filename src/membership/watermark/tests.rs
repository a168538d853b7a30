//! Tests of watermarks between controllers: which are accepted, and when confirmations are stored.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use hollylanding_emulator::world::store::Store;

use super::super::confirmation_write;
use super::super::mesh::accepted_watermark;
use super::{UnconfirmedCancellations, WatermarkStall, own_watermark};
use crate::jobs::JobId;
use crate::jobs::record::{LEADER_RECORD_KEY, WATERMARK_KEY};
use crate::records::leadership::{ConfirmedCancellations, LeaderRecord, Watermark};
use crate::store::Change;

fn leader_record(node: &str, version: u64) -> (LeaderRecord, u64) {
    (
        LeaderRecord { node: node.into(), incarnation: "1".into(), teams: Vec::new(), stored_confirmations: None },
        version,
    )
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

fn id(number: u64) -> JobId {
    format!("run-{number:06}").into()
}

/// Confirmations of everything up to a revision, except for the held jobs of these numbers.
fn confirmed(through: u64, held: &[u64]) -> ConfirmedCancellations {
    let held: BTreeSet<JobId> = held.iter().map(|number| id(*number)).collect();
    let revision = if held.is_empty() { through } else { 1 };
    ConfirmedCancellations { watermark: Watermark { fencing_token: 1, revision }, through, held }
}

/// The leader stores at most five changes a second, however many jobs are cancelled, and none that confirms nothing.
#[test]
fn confirmations_are_stored_together_and_only_if_they_confirm_a_cancellation() {
    // (name, whether a write is applied, writes within ten seconds)
    for (name, is_applied, stores) in [("writes are applied", true, 3), ("writes are lost", false, 50)] {
        let start = Instant::now();
        let mut unconfirmed = UnconfirmedCancellations::default();
        let mut stored = confirmed(99, &[]);
        let mut writes = 0;
        for ms in (0..10_000u64).step_by(100) {
            let now = start + Duration::from_millis(ms);
            // Ten cancellations a second during the first half second.
            if ms < 500 {
                unconfirmed.observe_end(&id(ms / 100), 100 + ms / 100);
            }
            let offered = confirmed(100 + ms / 100, &[]);
            if unconfirmed.take_store_due(Some(&stored), &offered, now) {
                writes += 1;
                stored = if is_applied { offered } else { stored };
            }
        }
        assert_eq!(writes, stores, "{name}");
    }
    // (name, end observed, stored, offered, whether it is stored)
    type Case<'a> = (&'a str, Option<(u64, u64)>, Option<ConfirmedCancellations>, ConfirmedCancellations, bool);
    let cases: [Case; 8] = [
        ("nothing ended", None, Some(confirmed(90, &[])), confirmed(100, &[]), false),
        ("a cancellation", Some((1, 95)), Some(confirmed(90, &[])), confirmed(100, &[]), true),
        ("nothing was ever stored", Some((1, 95)), None, confirmed(100, &[]), true),
        ("the cancellation is held", Some((1, 95)), Some(confirmed(90, &[])), confirmed(100, &[1]), false),
        ("another one is held", Some((1, 95)), Some(confirmed(90, &[])), confirmed(100, &[2]), true),
        ("not in the cluster state yet", Some((1, 105)), Some(confirmed(90, &[])), confirmed(100, &[]), false),
        ("a held one is released", None, Some(confirmed(90, &[1, 2])), confirmed(90, &[2]), true),
        ("confirmed already", Some((1, 85)), Some(confirmed(90, &[])), confirmed(100, &[]), false),
    ];
    for (name, end, stored, offered, due) in cases {
        let mut unconfirmed = UnconfirmedCancellations::default();
        if let Some((number, revision)) = end {
            unconfirmed.observe_end(&id(number), revision);
        }
        assert_eq!(unconfirmed.take_store_due(stored.as_ref(), &offered, Instant::now()), due, "{name}");
    }
}

/// A successor does not know which of the ends that it has loaded are confirmed, and an end that is known to be done
/// needs no confirmation.
#[test]
fn confirmations_are_stored_after_a_load_and_not_for_jobs_that_are_done() {
    let now = Instant::now();
    let mut unconfirmed = UnconfirmedCancellations::after_load(80);
    assert!(!unconfirmed.take_store_due(Some(&confirmed(90, &[])), &confirmed(100, &[]), now), "stored already");
    let mut unconfirmed = UnconfirmedCancellations::after_load(80);
    assert!(unconfirmed.take_store_due(Some(&confirmed(70, &[])), &confirmed(80, &[7]), now));
    let mut unconfirmed = UnconfirmedCancellations::default();
    unconfirmed.observe_end(&id(1), 95);
    unconfirmed.forget(|ended| *ended == id(1));
    assert!(!unconfirmed.take_store_due(Some(&confirmed(90, &[])), &confirmed(100, &[]), now));
    // A reload of the watch cache shows several ends at one revision.
    let mut unconfirmed = UnconfirmedCancellations::default();
    (1..=2).for_each(|number| unconfirmed.observe_end(&id(number), 95));
    unconfirmed.forget(|ended| *ended == id(2));
    assert!(unconfirmed.take_store_due(Some(&confirmed(90, &[])), &confirmed(100, &[]), now));
}

/// A deposed leader confirms nothing, since its cluster state may lack what its successor knows; and a write that is
/// applied late takes back no confirmation that was stored since.
#[test]
fn confirmations_are_stored_only_under_the_leader_record_and_in_order() {
    let mut store = Store::default();
    let write_leader_record = [Change::write(LEADER_RECORD_KEY, serde_json::json!("a"))];
    let fencing_token = store.apply_if(&[], &write_leader_record).unwrap();
    let confirming = |through, held: &[u64]| {
        let confirmed = confirmed(through, held);
        ConfirmedCancellations { watermark: Watermark { fencing_token, ..confirmed.watermark }, ..confirmed }
    };
    let (late_conditions, late_change) = confirmation_write(&confirming(3, &[1]), 0);
    let (conditions, change) = confirmation_write(&confirming(3, &[]), 0);
    let version = store.apply_if(&conditions, &[change]).unwrap();
    assert!(store.apply_if(&late_conditions, &[late_change]).is_err(), "a late write of the same leader is refused");
    let stored: ConfirmedCancellations = serde_json::from_value(store.value(WATERMARK_KEY).unwrap().clone()).unwrap();
    assert_eq!(stored, confirming(3, &[]));
    store.apply_if(&[], &write_leader_record).unwrap();
    let (conditions, change) = confirmation_write(&confirming(4, &[]), version);
    assert!(store.apply_if(&conditions, &[change]).is_err(), "a write of a deposed leader is refused");
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
