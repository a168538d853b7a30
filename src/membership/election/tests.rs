//! Tests of the steps of the election.

use hollylanding_emulator::world::store::Store;

mod late;

use super::*;

#[test]
fn next_step_follows_from_lease_holder_leader_and_renewal() {
    for (name, lease_holder, predecessor, leader, raise, due, want) in [
        ("nobody holds the lease", None, false, Some("b"), false, false, Step::Campaign),
        ("another holds the lease", Some("b"), false, Some("b"), true, true, Step::Wait),
        ("a predecessor holds the lease", Some("a0"), true, Some("a0"), false, true, Step::Expire),
        ("a predecessor holds the lease, another leads", Some("a0"), true, Some("b"), false, false, Step::Expire),
        ("a predecessor led, another holds the lease", Some("b"), false, Some("a0"), false, false, Step::Wait),
        (
            "this process holds the lease, another leads",
            Some("a"),
            true,
            Some("b"),
            false,
            true,
            Step::WriteLeaderRecord,
        ),
        ("this process holds the lease, nobody leads", Some("a"), true, None, false, false, Step::WriteLeaderRecord),
        ("fencing token to raise", Some("a"), true, Some("a"), true, false, Step::WriteLeaderRecord),
        ("renewal due", Some("a"), true, Some("a"), false, true, Step::Renew),
        ("this process holds the lease and leads", Some("a"), true, Some("a"), false, false, Step::Wait),
    ] {
        assert_eq!(
            next_step(ElectionObservations {
                me: "a",
                lease_holder,
                lease_holder_gone: predecessor,
                leader,
                new_fencing_token_wanted: raise,
                renewal_due: due
            }),
            want,
            "{name}"
        );
    }
}

/// A write of the leader record that was applied but not answered left a lease holder that didn't lead for as long as
/// it held the lease: the record named it, so it saw nothing to do.
#[test]
fn unanswered_leader_record_is_written_again() {
    for (name, leader_record, fencing_token, want) in [
        ("nobody leads", None, None, Step::WriteLeaderRecord),
        ("another leads", Some(("b", 20)), None, Step::WriteLeaderRecord),
        ("answered", Some(("a", 20)), Some(20), Step::Wait),
        ("applied, not answered", Some(("a", 20)), None, Step::WriteLeaderRecord),
        ("raised, not answered", Some(("a", 21)), Some(20), Step::WriteLeaderRecord),
        ("raised, the watch cache is behind", Some(("a", 20)), Some(21), Step::Wait),
    ] {
        let leader = leader_record.map(|(leader, _)| leader);
        let unanswered = own_record_unanswered("a", leader_record, fencing_token);
        assert_eq!(
            next_step(ElectionObservations {
                me: "a",
                lease_holder: Some("a"),
                lease_holder_gone: true,
                leader,
                new_fencing_token_wanted: unanswered,
                renewal_due: false
            }),
            want,
            "{name}"
        );
    }
}

/// Milliseconds of simulated time without a live lease holder. `a` holds the lease, ends `since_renewal` ms after its
/// last renewal and restarts `away` ms later, while `b` waits for the lease. A check of the store takes 20 ms, a start
/// 150 ms. `revokes` says whether `a` revokes its predecessor's lease.
fn time_without_lease_holder(revokes: bool, away: u64, since_renewal: u64) -> u64 {
    const LIFE: u64 = 3000;
    let ms = Duration::from_millis;
    let lease_holder =
        |node: &str, incarnation: &str| LeaseHolder { node: node.into(), incarnation: incarnation.into() };
    let stored_lease_holder = |store: &Store| {
        store.value(LEASE_HOLDER_KEY).map(|v| serde_json::from_value::<LeaseHolder>(v.clone()).unwrap())
    };
    let mut store = Store::default();
    let lease = store.grant(LIFE, ms(0)).unwrap();
    let (condition, change) = lease_acquisition(&lease_holder("a", "a0"), lease);
    store.apply_if(&[condition], &[change]).unwrap();
    let restarted_at = since_renewal + away + 150;
    let mut removal = None;
    for now in (since_renewal..10_000).step_by(20) {
        store.expire_leases(ms(now));
        for me in [lease_holder("b", "b0"), lease_holder("a", "a1")] {
            if me.node == "a" && now < restarted_at {
                continue;
            }
            let found = stored_lease_holder(&store);
            let is_predecessor = revokes && found.as_ref().is_some_and(|l| l.node == me.node);
            let found = found.map(|l| l.incarnation);
            match next_step(ElectionObservations {
                me: &me.incarnation,
                lease_holder: found.as_deref(),
                lease_holder_gone: is_predecessor,
                leader: Some("a0"),
                new_fencing_token_wanted: false,
                renewal_due: false,
            }) {
                Step::Expire => {
                    removal = Some(lease_removal(store.version(LEASE_HOLDER_KEY)));
                    let (condition, change) = removal.clone().unwrap();
                    store.apply_if(&[condition], &[change]).unwrap();
                }
                Step::Campaign => {
                    let lease = store.grant(LIFE, ms(now)).unwrap();
                    let (condition, change) = lease_acquisition(&me, lease);
                    store.apply_if(&[condition], &[change]).unwrap();
                    // A late copy of the removal must not remove the new lease holder.
                    assert!(removal.is_none_or(|(c, change)| store.apply_if(&[c], &[change]).is_err()));
                    return now - since_renewal;
                }
                step => assert_eq!(step, Step::Wait),
            }
        }
    }
    u64::MAX
}

/// A controller that held the lease and restarts within a fraction of a second doesn't wait until its predecessor's
/// lease expires.
#[test]
fn restarted_lease_holder_revokes_the_lease_of_its_predecessor_at_once() {
    let mut saved_ms = Vec::new();
    for away in [50, 100, 200, 500] {
        for since_renewal in [0, 400, 740] {
            let [with, without] = [true, false].map(|revokes| time_without_lease_holder(revokes, away, since_renewal));
            assert!(with <= away + 150 + 60, "{with} ms without a lease holder after {away} ms away");
            saved_ms.push(without - with);
        }
    }
    assert!(saved_ms.iter().all(|ms| (1500..=2850).contains(ms)), "saved {saved_ms:?} ms");
}
