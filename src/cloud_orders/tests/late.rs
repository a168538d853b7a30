//! Orders to the cloud that are stored after newer transactions, against the emulator's store: fixed steps.

use hollylanding_emulator::world::store::Store;

use super::*;

fn rental() -> ProvisioningRequest {
    ProvisioningRequest {
        request: unique_name("me", 1, 1),
        type_name: "g8".into(),
        zone: "a".into(),
        spot: false,
        count: 12,
    }
}

fn write_leader_record(store: &mut Store) -> u64 {
    store.apply_if(&[], &[Change::write(LEADER_RECORD_KEY, serde_json::json!("me"))]).unwrap()
}

fn open(store: &Store) -> InheritedOrders {
    let read = |(path, value, version): (&str, &serde_json::Value, u64)| {
        CloudOrder::from_key_value(&KeyValue { path: path.into(), value: value.clone(), version }).unwrap()
    };
    InheritedOrders::group(store.under(CLOUD_ORDERS).map(read).collect(), 100)
}

/// The key was free again once the order was carried out, and a copy that came late made it anew: a successor
/// asked for the machines once more, got those that had been refused before, and waited for those that had
/// gone long ago.
#[test]
fn late_copy_does_not_reopen_a_completed_order() {
    for action in [CloudAction::Provision(vec![rental()]), CloudAction::Terminate(vec!["host-000007".into()])] {
        let mut store = Store::default();
        let fencing_token = write_leader_record(&mut store);
        let order = CloudOrder::new("me", fencing_token, 1, action);
        // The first try is not answered, and the second is applied.
        let late = HashMap::from([(order.key.clone(), fencing_token)]);
        let (conditions, changes) = (order.conditions(fencing_token), [order.change()]);
        store.apply_if(&conditions, &changes).unwrap();
        let cleans = OrderCleanUp::new(std::slice::from_ref(&order.key), &late, fencing_token);
        store.apply_if(&cleans.conditions, &cleans.changes).unwrap();
        assert!(store.apply_if(&conditions, &changes).is_err(), "the first try comes late");
        let inherited = open(&store);
        assert!(inherited.provisioning.is_empty() && inherited.terminations.is_empty(), "{inherited:?}");
        // Whoever leads under the next fencing token drops it, and neither copy gets past that fencing token.
        let next = write_leader_record(&mut store);
        let drops = OrderCleanUp::new(&inherited.completed, &late, next);
        assert_eq!(drops.changes, [Change::Drop { drop: order.key.clone() }]);
        store.apply_if(&drops.conditions, &drops.changes).unwrap();
        assert!(store.apply_if(&conditions, &changes).is_err());
        assert!(store.apply_if(&cleans.conditions, &cleans.changes).is_err());
        assert_eq!(store.under(CLOUD_ORDERS).count(), 0);
    }
}

/// One change each as ever: an order of which every try was answered is dropped at once.
#[test]
fn clean_up_deletes_or_marks_by_cases() {
    let key = "d/me-7-1".to_owned();
    let late = |under: u64| HashMap::from([(key.clone(), under)]);
    let cases = [
        ("every try was answered", HashMap::new(), true),
        ("a try under this token may come", late(7), false),
        ("a try under an earlier token may come", late(6), true),
    ];
    for (case, late, drops) in cases {
        let OrderCleanUp { conditions, changes } = OrderCleanUp::new(std::slice::from_ref(&key), &late, 7);
        assert_eq!(conditions, [Condition::at(LEADER_RECORD_KEY, 7)]);
        assert_eq!(changes == [Change::Drop { drop: key.clone() }], drops, "{case}");
        assert_eq!(changes.len(), 1, "{case}");
    }
}

/// A copy of a drop takes nothing but what was carried out, and none of a leader that was replaced counts.
#[test]
fn late_clean_up_deletes_only_completed_orders() {
    let mut store = Store::default();
    let fencing_token = write_leader_record(&mut store);
    let orders: Vec<CloudOrder> = (1..=2)
        .map(|n| CloudOrder::new("me", fencing_token, n, CloudAction::Terminate(vec![format!("m{n}")])))
        .collect();
    store.apply_if(&orders[0].conditions(fencing_token), &[orders[0].change()]).unwrap();
    let drops = OrderCleanUp::new(std::slice::from_ref(&orders[0].key), &HashMap::new(), fencing_token);
    store.apply_if(&drops.conditions, &drops.changes).unwrap();
    store.apply_if(&orders[1].conditions(fencing_token), &[orders[1].change()]).unwrap();
    assert!(store.apply_if(&drops.conditions, &drops.changes).is_ok(), "again, under the same token");
    let newer = TerminationCall { keys: vec![orders[1].key.clone()], machines: vec!["m2".to_owned()] };
    assert_eq!(open(&store).terminations, [newer], "the newer one stands");
    write_leader_record(&mut store);
    assert!(store.apply_if(&drops.conditions, &drops.changes).is_err(), "replaced");
    assert!(store.apply_if(&orders[0].conditions(fencing_token), &[orders[0].change()]).is_err());
}
