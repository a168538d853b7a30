//! Transactions of the election and leadership that are carried out after newer ones, or whose answer never
//! comes, against the emulator's store: fixed steps.

use std::time::Duration;

use crate::protocol::state::CompareAndSwap;
use hollylanding_emulator::world::store::Store;

use super::super::*;
use crate::jobs::record::CACHED;
use crate::records::leadership::TakeoverRequest;
use crate::store::watch_cache::WatchCache;

const NOW: Duration = Duration::ZERO;

fn lease_holder(incarnation: &str) -> LeaseHolder {
    LeaseHolder { node: "a".into(), incarnation: incarnation.into() }
}

fn leader(incarnation: &str) -> LeaderRecord {
    LeaderRecord { node: "a".into(), incarnation: incarnation.into(), teams: Vec::new() }
}

/// As the service takes it: none where the lease is over or a condition fails.
fn send(store: &mut Store, conditions: &[Condition], changes: &[Change]) -> Option<u64> {
    store.compare_and_swap(&CompareAndSwap::new(conditions, changes), NOW).ok()?.ok()
}

fn take_lease(store: &mut Store, me: &str) -> (u64, u64) {
    let lease = store.grant(3000, NOW).unwrap();
    let (condition, change) = lease_acquisition(&lease_holder(me), lease);
    (lease, send(store, &[condition], &[change]).unwrap())
}

fn become_leader(store: &mut Store, me: &str) -> Option<u64> {
    let (conditions, change) = leader_record_write(&leader(me), store.version(LEASE_HOLDER), store.version(LEADER));
    send(store, &conditions, &[change])
}

fn watch_cache() -> WatchCache {
    let mut watch_cache = WatchCache::default();
    let loading = watch_cache.begin_reload();
    watch_cache.finish_reload(loading);
    watch_cache
}

fn hear(watch_cache: &mut WatchCache, store: &Store) {
    watch_cache.apply_watch(&store.watch(CACHED, watch_cache.revision()).unwrap());
}

/// What `run` does next, by the watch cache and by the fencing token of the cluster state, if there is one.
fn next(me: &str, watch_cache: &WatchCache, held: Option<u64>) -> Step {
    let assigned = watch_cache.leader_record().map(|(a, fencing_token)| (a.incarnation.as_str(), *fencing_token));
    let leads = watch_cache.lease_holder().map(|(l, _)| l.incarnation.as_str());
    next_step(ElectionObservations {
        me,
        lease_holder: leads,
        lease_holder_gone: false,
        leader: assigned.map(|(o, _)| o),
        new_fencing_token_wanted: own_record_unanswered(me, assigned, held),
        renewal_due: false,
    })
}

/// Nobody led any more, for as long as the assigned controller lived: it found itself assigned, and took
/// that for done. The same of a fencing token that was raised and not heard: nothing it stored was taken.
#[test]
fn an_assignment_without_an_answer_is_written_anew_and_heard() {
    for held in [None, Some(())] {
        let mut store = Store::default();
        let mut watch_cache = watch_cache();
        take_lease(&mut store, "a1");
        // A cluster state that leads already raises its fencing token.
        let held = held.map(|()| become_leader(&mut store, "a1").unwrap());
        hear(&mut watch_cache, &store);
        // Carried out, and nobody hears of it but by the watch.
        let (conditions, change) =
            leader_record_write(&leader("a1"), store.version(LEASE_HOLDER), store.version(LEADER));
        let own_record_unanswered = send(&mut store, &conditions, std::slice::from_ref(&change)).unwrap();
        hear(&mut watch_cache, &store);
        assert_eq!(next("a1", &watch_cache, held), Step::WriteLeaderRecord, "held {held:?}");
        let fencing_token = become_leader(&mut store, "a1").unwrap();
        hear(&mut watch_cache, &store);
        assert_eq!(next("a1", &watch_cache, Some(fencing_token)), Step::Wait, "and once only");
        assert!(
            fencing_token > own_record_unanswered,
            "no process leads twice under one token: names of rentals rest on it"
        );
        assert_eq!(send(&mut store, &conditions, &[change]), None, "a later copy is refused");
    }
    assert!(
        !own_record_unanswered("a1", Some(("a1", 5)), Some(5))
            && !own_record_unanswered("a1", Some(("a1", 5)), Some(7)),
        "heard ahead"
    );
    assert!(
        !own_record_unanswered("a1", Some(("b1", 5)), None) && !own_record_unanswered("a1", None, None),
        "another's, or none"
    );
}

/// What a late copy does, one line a case: what is sent late, what has come since, whether it is refused.
#[test]
fn late_copies_by_cases() {
    type Sent = (Vec<Condition>, Vec<Change>);
    type Make = fn(&mut Store) -> Sent;
    type Newer = fn(&mut Store);
    fn naming_now(store: &mut Store) -> Sent {
        let (conditions, change) =
            leader_record_write(&leader("a1"), store.version(LEASE_HOLDER), store.version(LEADER));
        (conditions.into(), vec![change])
    }
    fn candidacy_now(store: &mut Store) -> Sent {
        let lease = store.grant(3000, NOW).unwrap();
        let (condition, change) = lease_acquisition(&lease_holder("a1"), lease);
        (vec![condition], vec![change])
    }
    fn expiry_now(store: &mut Store) -> Sent {
        let (condition, change) = lease_removal(store.version(LEASE_HOLDER));
        (vec![condition], vec![change])
    }
    fn takeover_request_now(store: &mut Store) -> Sent {
        let takeover_request = TakeoverRequest { node: "b".into(), fencing_token: store.version(LEADER), machines: 3 };
        let (conditions, changes) = takeover_request.transaction();
        (conditions.into(), changes.into())
    }
    fn again(store: &mut Store) {
        store.drop_leases();
        take_lease(store, "a1");
    }
    fn b_holds_the_lease(store: &mut Store) {
        store.drop_leases();
        take_lease(store, "b1");
    }
    fn b_leads(store: &mut Store) {
        b_holds_the_lease(store);
        become_leader(store, "b1").unwrap();
    }
    fn a_raises(store: &mut Store) {
        become_leader(store, "a1").unwrap();
    }
    fn b_requests_takeover(store: &mut Store) {
        let (conditions, changes) = takeover_request_now(store);
        send(store, &conditions, &changes).unwrap();
    }
    let cases: [(&str, Make, Newer, bool); 11] = [
        ("assignment, raised since", naming_now, a_raises, true),
        ("assignment, another leads since", naming_now, b_leads, true),
        ("assignment, another holds the lease and does not lead yet", naming_now, b_holds_the_lease, true),
        ("assignment, nobody holds the lease", naming_now, Store::drop_leases, true),
        ("assignment, takes the lease again and nobody has led between", naming_now, again, true),
        ("candidacy, another holds the lease", candidacy_now, b_holds_the_lease, true),
        ("candidacy, nobody holds the lease and its lease is over", candidacy_now, Store::drop_leases, true),
        ("expiry, its successor holds the lease", expiry_now, b_holds_the_lease, true),
        ("expiry, nobody holds the lease", expiry_now, Store::drop_leases, true),
        ("takeover request, another leads", takeover_request_now, b_leads, true),
        ("takeover request, after another's for the same leader", takeover_request_now, b_requests_takeover, false),
    ];
    for (name, make, newer, refused) in cases {
        let mut store = Store::default();
        take_lease(&mut store, "a1");
        become_leader(&mut store, "a1").unwrap();
        let (conditions, changes) = make(&mut store);
        newer(&mut store);
        assert_eq!(send(&mut store, &conditions, &changes).is_none(), refused, "{name}");
    }
}

/// An expiry leaves the lease that its lease holder hung on: a candidacy from before it can make that one hold the
/// lease once more, on a lease that nobody renews, and its successor expires it again.
#[test]
fn a_candidacy_after_an_expiry_leads_until_its_lease_ends_and_owns_nothing() {
    let mut store = Store::default();
    let lease = store.grant(3000, NOW).unwrap();
    let (condition, change) = lease_acquisition(&lease_holder("a1"), lease);
    let late = ([condition], [change]);
    send(&mut store, &late.0, &late.1).unwrap();
    let fencing_token = become_leader(&mut store, "a1").unwrap();
    let (condition, change) = lease_removal(store.version(LEASE_HOLDER));
    send(&mut store, &[condition], &[change]).unwrap();
    assert!(send(&mut store, &late.0, &late.1).is_some());
    let mut watch_cache = watch_cache();
    hear(&mut watch_cache, &store);
    assert_eq!(
        next_step(ElectionObservations {
            me: "a2",
            lease_holder: Some("a1"),
            lease_holder_gone: true,
            leader: Some("a1"),
            new_fencing_token_wanted: false,
            renewal_due: false
        }),
        Step::Expire
    );
    store.end_leases(Duration::from_millis(3100));
    hear(&mut watch_cache, &store);
    assert_eq!((next("a2", &watch_cache, None), store.version(LEADER)), (Step::Campaign, fencing_token));
}

/// A lease that is renewed late lives at most once its time longer; one that has ended stays ended, and a
/// late release or grant touches no key of whoever holds the lease since.
#[test]
fn late_calls_about_leases_move_nobody_who_leads_since() {
    let s = Duration::from_secs;
    let mut store = Store::default();
    let (old, _) = take_lease(&mut store, "a1");
    store.renew(old, s(2)).unwrap();
    store.end_leases(s(4));
    assert!(store.has(LEASE_HOLDER), "renewed late, once its time longer");
    store.end_leases(s(5));
    assert!(!store.has(LEASE_HOLDER));
    let lease = store.grant(3000, s(5)).unwrap();
    let (condition, change) = lease_acquisition(&lease_holder("b1"), lease);
    let version = send(&mut store, &[condition], &[change]).unwrap();
    assert!(store.renew(old, s(5)).is_err() && store.release(old).is_err());
    store.grant(3000, s(5)).unwrap();
    assert_eq!(store.version(LEASE_HOLDER), version);
}

/// The answer to a transaction may come after the watch has told of newer ones: the watch cache would never be
/// told of those again, and this controller would lead or hold the lease for itself alone.
#[test]
fn an_answer_that_the_watch_has_overtaken_makes_nobody_own_or_lead() {
    let mut store = Store::default();
    let mut watch_cache = watch_cache();
    let (_, version) = take_lease(&mut store, "a1");
    let fencing_token = become_leader(&mut store, "a1").unwrap();
    store.drop_leases();
    hear(&mut watch_cache, &store);
    watch_cache.note_lease_holder(lease_holder("a1"), version);
    assert!(watch_cache.lease_holder().is_none(), "its lease has ended since");
    take_lease(&mut store, "b1");
    let newer = become_leader(&mut store, "b1").unwrap();
    hear(&mut watch_cache, &store);
    assert!(!watch_cache.note_leader_record(leader("a1"), fencing_token), "nothing to lead by");
    assert_eq!(watch_cache.leader_record().map(|(a, version)| (a.incarnation.as_str(), *version)), Some(("b1", newer)));
    // Ahead of the watch it counts as ever, and a watch from before does not take it back.
    let before = store.watch(CACHED, watch_cache.revision()).unwrap();
    let fencing_token = become_leader(&mut store, "b1").unwrap();
    assert!(watch_cache.note_leader_record(leader("b1"), fencing_token));
    watch_cache.apply_watch(&before);
    assert_eq!(watch_cache.leader_record().map(|(_, version)| *version), Some(fencing_token));
    hear(&mut watch_cache, &store);
    assert!(watch_cache.note_leader_record(leader("b1"), fencing_token), "and heard of by the watch first");
}

/// A page that was read before this controller's leader record stood brings back, for a moment, who led before.
/// It is deposed by newer fencing tokens only, what it tries meanwhile is refused, and the first page's revision is
/// where the watch goes on, which tells of the leader record again.
#[test]
fn a_page_older_than_an_assignment_deposes_nobody_and_is_put_right() {
    let mut store = Store::default();
    take_lease(&mut store, "b1");
    let before = become_leader(&mut store, "b1").unwrap();
    let old = store.page(CACHED, "", 100);
    store.drop_leases();
    take_lease(&mut store, "a1");
    let mut watch_cache = watch_cache();
    hear(&mut watch_cache, &store);
    let mut loading = watch_cache.begin_reload();
    watch_cache.apply_page(&mut loading, &old);
    let fencing_token = become_leader(&mut store, "a1").unwrap();
    assert!(watch_cache.note_leader_record(leader("a1"), fencing_token));
    watch_cache.finish_reload(loading);
    let accepted_watermark = watch_cache.leader_record().map(|(a, version)| (a.incarnation.clone(), *version)).unwrap();
    assert_eq!(accepted_watermark, ("b1".to_owned(), before), "for a moment");
    assert!(before < fencing_token, "which is no newer than the token that is held");
    assert_eq!(next("a1", &watch_cache, Some(fencing_token)), Step::Wait, "the other seems to hold the lease");
    let leads = watch_cache.lease_holder().map_or(0, |(_, version)| *version);
    let (conditions, change) = leader_record_write(&leader("a1"), leads, before);
    assert_eq!(send(&mut store, &conditions, &[change]), None);
    hear(&mut watch_cache, &store);
    assert_eq!(watch_cache.leader_record().map(|(_, version)| *version), Some(fencing_token));
    assert_eq!(next("a1", &watch_cache, Some(fencing_token)), Step::Wait, "holds the lease and leads");
}
