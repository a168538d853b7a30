use hollylanding_emulator::world::store::Store;

mod late;

use super::*;

#[test]
fn steps_by_cases() {
    for (name, lease_holder, predecessor, leader, raise, due, want) in [
        ("nobody holds the lease", None, false, Some("b"), false, false, Step::Campaign),
        ("another holds the lease", Some("b"), false, Some("b"), true, true, Step::Wait),
        ("its predecessor holds the lease", Some("a0"), true, Some("a0"), false, true, Step::Expire),
        ("its predecessor holds the lease, another leads", Some("a0"), true, Some("b"), false, false, Step::Expire),
        ("its predecessor led, another holds the lease", Some("b"), false, Some("a0"), false, false, Step::Wait),
        ("holds the lease, another leads", Some("a"), true, Some("b"), false, true, Step::WriteLeaderRecord),
        ("holds the lease, nobody leads", Some("a"), true, None, false, false, Step::WriteLeaderRecord),
        ("token to raise", Some("a"), true, Some("a"), true, false, Step::WriteLeaderRecord),
        ("renewal due", Some("a"), true, Some("a"), false, true, Step::Renew),
        ("all well", Some("a"), true, Some("a"), false, false, Step::Wait),
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

/// An leader record that was carried out and not answered left a lease holder that led nothing, for as long as it held
/// the lease: it found itself assigned, and nothing to do.
#[test]
fn an_assignment_that_was_not_answered_is_written_again() {
    for (name, leader_record, fencing_token, want) in [
        ("nobody leads", None, None, Step::WriteLeaderRecord),
        ("another leads", Some(("b", 20)), None, Step::WriteLeaderRecord),
        ("answered", Some(("a", 20)), Some(20), Step::Wait),
        ("carried out, not answered", Some(("a", 20)), None, Step::WriteLeaderRecord),
        ("raised, not answered", Some(("a", 21)), Some(20), Step::WriteLeaderRecord),
        ("raised, the mirror is behind", Some(("a", 20)), Some(21), Step::Wait),
    ] {
        let leader = leader_record.map(|(leader, _)| leader);
        let again = own_record_unanswered("a", leader_record, fencing_token);
        assert_eq!(
            next_step(ElectionObservations {
                me: "a",
                lease_holder: Some("a"),
                lease_holder_gone: true,
                leader,
                new_fencing_token_wanted: again,
                renewal_due: false
            }),
            want,
            "{name}"
        );
    }
}

/// Milliseconds without a lease holder or with one that is gone, in counted time: `a` holds the lease, ends
/// `since_renewal` after its last renewal and is back `away` later; `b` stands by. Every look at the store takes 20 ms,
/// a start 150 ms.
fn without_lease_holder(expires: bool, away: u64, since_renewal: u64) -> u64 {
    const LIFE: u64 = 3000;
    let ms = Duration::from_millis;
    let lease_holder =
        |node: &str, incarnation: &str| LeaseHolder { node: node.into(), incarnation: incarnation.into() };
    let led_by =
        |store: &Store| store.value(LEASE_HOLDER).map(|v| serde_json::from_value::<LeaseHolder>(v.clone()).unwrap());
    let mut store = Store::default();
    let lease = store.grant(LIFE, ms(0)).unwrap();
    let (condition, change) = lease_acquisition(&lease_holder("a", "a0"), lease);
    store.apply_if(&[condition], &[change]).unwrap();
    let up = since_renewal + away + 150;
    let mut expired = None;
    for now in (since_renewal..10_000).step_by(20) {
        store.end_leases(ms(now));
        for me in [lease_holder("b", "b0"), lease_holder("a", "a1")] {
            if me.node == "a" && now < up {
                continue;
            }
            let found = led_by(&store);
            let predecessor = expires && found.as_ref().is_some_and(|l| l.node == me.node);
            let found = found.map(|l| l.incarnation);
            match next_step(ElectionObservations {
                me: &me.incarnation,
                lease_holder: found.as_deref(),
                lease_holder_gone: predecessor,
                leader: Some("a0"),
                new_fencing_token_wanted: false,
                renewal_due: false,
            }) {
                Step::Expire => {
                    expired = Some(lease_removal(store.version(LEASE_HOLDER)));
                    let (condition, change) = expired.clone().unwrap();
                    store.apply_if(&[condition], &[change]).unwrap();
                }
                Step::Campaign => {
                    let lease = store.grant(LIFE, ms(now)).unwrap();
                    let (condition, change) = lease_acquisition(&me, lease);
                    store.apply_if(&[condition], &[change]).unwrap();
                    // A late copy of an expiry must not end whoever holds the lease since.
                    assert!(expired.is_none_or(|(c, change)| store.apply_if(&[c], &[change]).is_err()));
                    return now - since_renewal;
                }
                step => assert_eq!(step, Step::Wait),
            }
        }
    }
    u64::MAX
}

/// Back within a fraction of a second, a process that held the lease need not wait for its predecessor's lease.
#[test]
fn a_lease_holder_that_is_back_at_once_is_replaced_at_once() {
    let mut saved = Vec::new();
    for away in [50, 100, 200, 500] {
        for since_renewal in [0, 400, 740] {
            let [with, without] = [true, false].map(|expires| without_lease_holder(expires, away, since_renewal));
            assert!(with <= away + 150 + 60, "{with} ms after {away}");
            saved.push(without - with);
        }
    }
    assert!(saved.iter().all(|ms| (1500..=2850).contains(ms)), "{saved:?}");
}
