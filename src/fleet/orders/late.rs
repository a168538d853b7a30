//! Orders to the cloud that are stored after newer transactions, against the emulator's store: fixed steps.

use hollylanding_emulator::world::store::Store;

use super::*;
use crate::fleet::dealings::{Dealings, MOST_MARKED};

fn rental() -> ProvisioningRequest {
    ProvisioningRequest { request: name("me", 1, 1), type_name: "g8".into(), zone: "a".into(), spot: false, count: 12 }
}

fn write_leader_record(store: &mut Store) -> u64 {
    store.apply_if(&[], &[Change::write(LEADER, serde_json::json!("me"))]).unwrap()
}

fn open(store: &Store) -> Inherited {
    let read = |(path, value, version): (&str, &serde_json::Value, u64)| {
        CloudOrder::read(&KeyValue { path: path.into(), value: value.clone(), version }).unwrap()
    };
    Inherited::of(store.under(ORDERS).map(read).collect(), 100)
}

/// The key was free again once the order was carried out, and a copy that came late made it anew: a successor
/// asked for the machines once more, got those that had been refused before, and waited for those that had
/// gone long ago.
#[test]
fn an_order_that_was_carried_out_is_not_open_again_by_its_late_copy() {
    for what in [What::Rent(vec![rental()]), What::Return(vec!["host-000007".into()])] {
        let mut store = Store::default();
        let fencing_token = write_leader_record(&mut store);
        let order = CloudOrder::new("me", fencing_token, 1, what);
        // The first try is not answered, and the second is applied.
        let late = HashMap::from([(order.key.clone(), fencing_token)]);
        let (conditions, changes) = (order.conditions(fencing_token), [order.change()]);
        store.apply_if(&conditions, &changes).unwrap();
        let cleans = clean_up(std::slice::from_ref(&order.key), &late, fencing_token);
        store.apply_if(&cleans.0, &cleans.1).unwrap();
        assert!(store.apply_if(&conditions, &changes).is_err(), "the first try comes late");
        let inherited = open(&store);
        assert!(inherited.rentals.is_empty() && inherited.returns.is_empty(), "{inherited:?}");
        // Whoever leads under the next fencing token drops it, and neither copy gets past that fencing token.
        let next = write_leader_record(&mut store);
        let drops = clean_up(&inherited.done, &late, next);
        assert_eq!(drops.1, [Change::Drop { drop: order.key.clone() }]);
        store.apply_if(&drops.0, &drops.1).unwrap();
        assert!(store.apply_if(&conditions, &changes).is_err());
        assert!(store.apply_if(&cleans.0, &cleans.1).is_err());
        assert_eq!(store.under(ORDERS).count(), 0);
    }
}

/// One change each as ever: an order of which every try was answered is dropped at once.
#[test]
fn what_clean_up_writes_by_cases() {
    let key = "d/me-7-1".to_owned();
    let late = |under: u64| HashMap::from([(key.clone(), under)]);
    let cases = [
        ("every try was answered", HashMap::new(), true),
        ("a try under this token may come", late(7), false),
        ("a try under an earlier token may come", late(6), true),
    ];
    for (case, late, drops) in cases {
        let (conditions, changes) = clean_up(std::slice::from_ref(&key), &late, 7);
        assert_eq!(conditions, [Condition::at(LEADER, 7)]);
        assert_eq!(changes == [Change::Drop { drop: key.clone() }], drops, "{case}");
        assert_eq!(changes.len(), 1, "{case}");
    }
}

/// A copy of a drop takes nothing but what was carried out, and none of a leader that was replaced counts.
#[test]
fn a_late_clean_up_by_cases() {
    let mut store = Store::default();
    let fencing_token = write_leader_record(&mut store);
    let orders: Vec<CloudOrder> =
        (1..=2).map(|n| CloudOrder::new("me", fencing_token, n, What::Return(vec![format!("m{n}")]))).collect();
    store.apply_if(&orders[0].conditions(fencing_token), &[orders[0].change()]).unwrap();
    let drops = clean_up(std::slice::from_ref(&orders[0].key), &HashMap::new(), fencing_token);
    store.apply_if(&drops.0, &drops.1).unwrap();
    store.apply_if(&orders[1].conditions(fencing_token), &[orders[1].change()]).unwrap();
    assert!(store.apply_if(&drops.0, &drops.1).is_ok(), "again, under the same token");
    assert_eq!(open(&store).returns, [(vec!["m2".to_owned()], vec![orders[1].key.clone()])], "the newer one stands");
    write_leader_record(&mut store);
    assert!(store.apply_if(&drops.0, &drops.1).is_err(), "replaced");
    assert!(store.apply_if(&orders[0].conditions(fencing_token), &[orders[0].change()]).is_err());
}

/// What was marked as done waits for a later fencing token, and is then dropped once.
#[test]
fn marks_go_with_the_next_token() {
    let (unsure, sure) = ("d/me-7-1".to_owned(), "d/me-7-2".to_owned());
    let mut dealings = Dealings { finished: vec![unsure.clone(), sure.clone()], ..Dealings::default() };
    dealings.late.insert(unsure.clone(), 7);
    let keys = dealings.due_for_clean_up(7).to_vec();
    assert_eq!(keys, [unsure.clone(), sure]);
    dealings.cleaned_up(&keys, 7);
    assert!(dealings.due_for_clean_up(7).is_empty(), "nothing more under this token");
    assert_eq!(dealings.due_for_clean_up(9), std::slice::from_ref(&unsure));
    assert_eq!(clean_up(std::slice::from_ref(&unsure), &dealings.late, 9).1, [Change::Drop { drop: unsure.clone() }]);
    dealings.cleaned_up(&[unsure], 9);
    assert!(dealings.due_for_clean_up(10).is_empty() && dealings.late.is_empty() && dealings.marked.is_empty());
}

/// Every try of every order goes unanswered, for as long as one leader stays: the marks are as many as one fencing
/// token may leave, and not one for each order.
#[test]
fn marks_stay_few_in_a_long_term() {
    let (mut fencing_token, mut raises, mut most) = (7, 0, 0);
    let mut dealings = Dealings::default();
    for number in 1..=1000 {
        let key = format!("{ORDERS}{}", name("me", fencing_token, number));
        dealings.late.insert(key.clone(), fencing_token);
        dealings.finished.push(key);
        let keys: Vec<String> = dealings.due_for_clean_up(fencing_token).iter().take(24).cloned().collect();
        dealings.cleaned_up(&keys, fencing_token);
        most = most.max(dealings.marked.len());
        if dealings.marks_press() {
            fencing_token += 1;
            raises += 1;
        }
    }
    assert!(most <= MOST_MARKED + 24, "{most} marks");
    assert!(dealings.late.len() <= MOST_MARKED * 2 + 24, "{} orders in mind", dealings.late.len());
    assert!(raises <= 1000 / MOST_MARKED + 1, "{raises} tokens");
}
