//! Tests of election transactions that are applied after newer ones, or whose answers are lost, against the emulator's
//! store with fixed steps.

use std::time::Duration;

use crate::protocol::state::CompareAndSwap;
use hollylanding_emulator::world::store::Store;

use super::super::*;
use crate::jobs::record::CACHED_PREFIX;
use crate::records::leadership::TakeoverRequest;
use crate::store::watch_cache::WatchCache;

const NOW: Duration = Duration::ZERO;

fn lease_holder(incarnation: &str) -> LeaseHolder {
    LeaseHolder { node: "a".into(), incarnation: incarnation.into() }
}

fn leader(incarnation: &str) -> LeaderRecord {
    LeaderRecord { node: "a".into(), incarnation: incarnation.into(), teams: Vec::new(), stored_confirmations: None }
}

/// Applies a transaction as the state service does; none if the lease has ended or a condition fails.
fn send(store: &mut Store, conditions: &[Condition], changes: &[Change]) -> Option<u64> {
    store.compare_and_swap(&CompareAndSwap::new(conditions, changes), NOW).ok()?.ok()
}

/// Takes the election lease, and returns the lease and the version of the lease holder's key.
fn take_lease(store: &mut Store, me: &str) -> (u64, u64) {
    let lease = store.grant(3000, NOW).unwrap();
    let (condition, change) = lease_acquisition(&lease_holder(me), lease);
    (lease, send(store, &[condition], &[change]).unwrap())
}

fn become_leader(store: &mut Store, me: &str) -> Option<u64> {
    let (conditions, change) =
        leader_record_write(&leader(me), store.version(LEASE_HOLDER_KEY), store.version(LEADER_RECORD_KEY));
    send(store, &conditions, &[change])
}

fn watch_cache() -> WatchCache {
    let mut watch_cache = WatchCache::default();
    let loading = watch_cache.begin_reload();
    watch_cache.finish_reload(loading);
    watch_cache
}

fn apply_watch(watch_cache: &mut WatchCache, store: &Store) {
    watch_cache.apply_watch(&store.watch(CACHED_PREFIX, watch_cache.revision()).unwrap());
}

/// Next step of `run` by the watch cache and by the fencing token of the cluster state, if there is one.
fn next(me: &str, watch_cache: &WatchCache, fencing_token: Option<u64>) -> Step {
    let leader_record = watch_cache.leader_record().map(|(leader, version)| (leader.incarnation.as_str(), *version));
    let lease_holder = watch_cache.lease_holder().map(|(holder, _)| holder.incarnation.as_str());
    next_step(ElectionObservations {
        me,
        lease_holder,
        lease_holder_gone: false,
        leader: leader_record.map(|(leader, _)| leader),
        new_fencing_token_wanted: own_record_unanswered(me, leader_record, fencing_token),
        renewal_due: false,
    })
}

/// A lost answer to the write of the leader record left the cluster without a leader for as long as the named
/// controller lived: the record named it, so it considered the write done. Likewise, after a raise of the fencing token
/// with a lost answer, every write of the leader was refused.
#[test]
fn leader_record_with_lost_answer_is_written_again_once() {
    for held in [None, Some(())] {
        let mut store = Store::default();
        let mut watch_cache = watch_cache();
        take_lease(&mut store, "a1");
        // A cluster state that leads already raises its fencing token.
        let held = held.map(|()| become_leader(&mut store, "a1").unwrap());
        apply_watch(&mut watch_cache, &store);
        // The write is applied, and is observed through the watch only.
        let (conditions, change) =
            leader_record_write(&leader("a1"), store.version(LEASE_HOLDER_KEY), store.version(LEADER_RECORD_KEY));
        let unanswered_token = send(&mut store, &conditions, std::slice::from_ref(&change)).unwrap();
        apply_watch(&mut watch_cache, &store);
        assert_eq!(next("a1", &watch_cache, held), Step::WriteLeaderRecord, "token held {held:?}");
        let fencing_token = become_leader(&mut store, "a1").unwrap();
        apply_watch(&mut watch_cache, &store);
        assert_eq!(next("a1", &watch_cache, Some(fencing_token)), Step::Wait, "the record is written again only once");
        assert!(
            fencing_token > unanswered_token,
            "no process leads twice under one token: names of rentals depend on it"
        );
        assert_eq!(send(&mut store, &conditions, &[change]), None, "a late copy is refused");
    }
    assert!(
        !own_record_unanswered("a1", Some(("a1", 5)), Some(5))
            && !own_record_unanswered("a1", Some(("a1", 5)), Some(7)),
        "answered, or the answer came before the watch"
    );
    assert!(
        !own_record_unanswered("a1", Some(("b1", 5)), None) && !own_record_unanswered("a1", None, None),
        "the leader record of another process, or none"
    );
}

/// Cases of late copies: the transaction that is applied late, what has happened since, and whether it is refused.
#[test]
fn late_copies_are_refused_except_takeover_requests_for_the_same_leader() {
    type Sent = (Vec<Condition>, Vec<Change>);
    type Make = fn(&mut Store) -> Sent;
    type Newer = fn(&mut Store);
    fn leader_record_now(store: &mut Store) -> Sent {
        let (conditions, change) =
            leader_record_write(&leader("a1"), store.version(LEASE_HOLDER_KEY), store.version(LEADER_RECORD_KEY));
        (conditions.into(), vec![change])
    }
    fn campaign_now(store: &mut Store) -> Sent {
        let lease = store.grant(3000, NOW).unwrap();
        let (condition, change) = lease_acquisition(&lease_holder("a1"), lease);
        (vec![condition], vec![change])
    }
    fn revocation_now(store: &mut Store) -> Sent {
        let (condition, change) = lease_removal(store.version(LEASE_HOLDER_KEY));
        (vec![condition], vec![change])
    }
    fn takeover_request_now(store: &mut Store) -> Sent {
        let takeover_request =
            TakeoverRequest { node: "b".into(), fencing_token: store.version(LEADER_RECORD_KEY), machines: 3 };
        let (conditions, changes) = takeover_request.transaction();
        (conditions.into(), changes.into())
    }
    fn a_takes_the_lease_again(store: &mut Store) {
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
        ("leader record, token raised since", leader_record_now, a_raises, true),
        ("leader record, another leads since", leader_record_now, b_leads, true),
        ("leader record, another holds the lease and does not lead yet", leader_record_now, b_holds_the_lease, true),
        ("leader record, nobody holds the lease", leader_record_now, Store::drop_leases, true),
        (
            "leader record, the same process holds the lease again and nobody led in between",
            leader_record_now,
            a_takes_the_lease_again,
            true,
        ),
        ("campaign, another holds the lease", campaign_now, b_holds_the_lease, true),
        ("campaign, nobody holds the lease and its lease has ended", campaign_now, Store::drop_leases, true),
        ("revocation, the successor holds the lease", revocation_now, b_holds_the_lease, true),
        ("revocation, nobody holds the lease", revocation_now, Store::drop_leases, true),
        ("takeover request, another leads", takeover_request_now, b_leads, true),
        ("takeover request, another for the same leader since", takeover_request_now, b_requests_takeover, false),
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

/// A revocation removes the lease holder's key but not the lease of the state service. A late copy of the former
/// holder's campaign can therefore restore the key, on a lease that nobody renews; the successor revokes it again.
#[test]
fn late_campaign_after_a_revocation_holds_the_lease_until_it_ends_without_leading() {
    let mut store = Store::default();
    let lease = store.grant(3000, NOW).unwrap();
    let (condition, change) = lease_acquisition(&lease_holder("a1"), lease);
    let late_campaign = ([condition], [change]);
    send(&mut store, &late_campaign.0, &late_campaign.1).unwrap();
    let fencing_token = become_leader(&mut store, "a1").unwrap();
    let (condition, change) = lease_removal(store.version(LEASE_HOLDER_KEY));
    send(&mut store, &[condition], &[change]).unwrap();
    assert!(send(&mut store, &late_campaign.0, &late_campaign.1).is_some());
    let mut watch_cache = watch_cache();
    apply_watch(&mut watch_cache, &store);
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
    store.expire_leases(Duration::from_millis(3100));
    apply_watch(&mut watch_cache, &store);
    assert_eq!((next("a2", &watch_cache, None), store.version(LEADER_RECORD_KEY)), (Step::Campaign, fencing_token));
}

/// A late renewal lengthens a lease by at most its life. A lease that has ended stays ended, and a late release or
/// grant doesn't affect the key of the present lease holder.
#[test]
fn late_lease_calls_do_not_affect_the_present_lease_holder() {
    let s = Duration::from_secs;
    let mut store = Store::default();
    let (old, _) = take_lease(&mut store, "a1");
    store.renew(old, s(2)).unwrap();
    store.expire_leases(s(4));
    assert!(store.has(LEASE_HOLDER_KEY), "a late renewal lengthens the lease by its life");
    store.expire_leases(s(5));
    assert!(!store.has(LEASE_HOLDER_KEY));
    let lease = store.grant(3000, s(5)).unwrap();
    let (condition, change) = lease_acquisition(&lease_holder("b1"), lease);
    let version = send(&mut store, &[condition], &[change]).unwrap();
    assert!(store.renew(old, s(5)).is_err() && store.release(old).is_err());
    store.grant(3000, s(5)).unwrap();
    assert_eq!(store.version(LEASE_HOLDER_KEY), version);
}

/// The answer to a transaction may arrive after the watch has reported newer ones. If the answer replaced those in the
/// watch cache, they would never be reported again, and this controller alone would believe that it leads or holds the
/// lease.
#[test]
fn answer_older_than_the_watch_changes_neither_lease_holder_nor_leader() {
    let mut store = Store::default();
    let mut watch_cache = watch_cache();
    let (_, version) = take_lease(&mut store, "a1");
    let fencing_token = become_leader(&mut store, "a1").unwrap();
    store.drop_leases();
    apply_watch(&mut watch_cache, &store);
    watch_cache.note_lease_holder(lease_holder("a1"), version);
    assert!(watch_cache.lease_holder().is_none(), "the lease has ended since");
    take_lease(&mut store, "b1");
    let newer = become_leader(&mut store, "b1").unwrap();
    apply_watch(&mut watch_cache, &store);
    assert!(!watch_cache.note_leader_record(leader("a1"), fencing_token), "an older leader record is ignored");
    assert_eq!(
        watch_cache.leader_record().map(|(leader, version)| (leader.incarnation.as_str(), *version)),
        Some(("b1", newer))
    );
    // An answer ahead of the watch counts, and an older watch response does not revert it.
    let before = store.watch(CACHED_PREFIX, watch_cache.revision()).unwrap();
    let fencing_token = become_leader(&mut store, "b1").unwrap();
    assert!(watch_cache.note_leader_record(leader("b1"), fencing_token));
    watch_cache.apply_watch(&before);
    assert_eq!(watch_cache.leader_record().map(|(_, version)| *version), Some(fencing_token));
    apply_watch(&mut watch_cache, &store);
    assert!(
        watch_cache.note_leader_record(leader("b1"), fencing_token),
        "an answer that the watch has already reported counts as well"
    );
}

/// A page read before this controller's leader record was written restores the previous leader in the watch cache for a
/// moment. The controller is deposed only by newer fencing tokens, its writes meanwhile are refused, and the watch
/// continues from the revision of the first page, so that it reports the leader record again.
#[test]
fn page_older_than_the_leader_record_deposes_nobody_and_is_corrected_by_the_watch() {
    let mut store = Store::default();
    take_lease(&mut store, "b1");
    let before = become_leader(&mut store, "b1").unwrap();
    let old = store.page(CACHED_PREFIX, "", 100);
    store.drop_leases();
    take_lease(&mut store, "a1");
    let mut watch_cache = watch_cache();
    apply_watch(&mut watch_cache, &store);
    let mut loading = watch_cache.begin_reload();
    watch_cache.apply_page(&mut loading, &old);
    let fencing_token = become_leader(&mut store, "a1").unwrap();
    assert!(watch_cache.note_leader_record(leader("a1"), fencing_token));
    watch_cache.finish_reload(loading);
    let cached_leader =
        watch_cache.leader_record().map(|(leader, version)| (leader.incarnation.clone(), *version)).unwrap();
    assert_eq!(cached_leader, ("b1".to_owned(), before), "the page restores the previous leader");
    assert!(before < fencing_token, "the previous fencing token is older than the one held");
    assert_eq!(next("a1", &watch_cache, Some(fencing_token)), Step::Wait, "the other process seems to hold the lease");
    let lease_holder_version = watch_cache.lease_holder().map_or(0, |(_, version)| *version);
    let (conditions, change) = leader_record_write(&leader("a1"), lease_holder_version, before);
    assert_eq!(send(&mut store, &conditions, &[change]), None);
    apply_watch(&mut watch_cache, &store);
    assert_eq!(watch_cache.leader_record().map(|(_, version)| *version), Some(fencing_token));
    assert_eq!(next("a1", &watch_cache, Some(fencing_token)), Step::Wait, "this process holds the lease and leads");
}
