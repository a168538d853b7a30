//! Tests of order writes and clean-ups that are applied late, after newer transactions, against the emulator's store.

use hollylanding_emulator::world::store::Store;

use super::*;

fn provisioning_request() -> ProvisioningRequest {
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

fn read_inherited_orders(store: &Store) -> InheritedOrders {
    let decode = |(path, value, version): (&str, &serde_json::Value, u64)| {
        CloudOrder::from_key_value(&KeyValue { path: path.into(), value: value.clone(), version }).unwrap()
    };
    InheritedOrders::group(store.entries_with_prefix(CLOUD_ORDER_PREFIX).map(decode).collect(), 100)
}

/// Regression: the key of a completed order was deleted, and a late copy of the write stored the order again. The
/// successor then requested the machines once more, received machines that had been refused before, and waited for
/// machines that were gone long ago.
#[test]
fn late_copy_does_not_reopen_a_completed_order() {
    for action in
        [CloudAction::Provision(vec![provisioning_request()]), CloudAction::Terminate(vec!["host-000007".into()])]
    {
        let mut store = Store::default();
        let fencing_token = write_leader_record(&mut store);
        let order = CloudOrder::new("me", fencing_token, 1, action);
        let write_tokens = HashMap::from([(order.key.clone(), fencing_token)]);
        let (conditions, changes) = (order.conditions(fencing_token), [order.change()]);
        store.apply_if(&conditions, &changes).unwrap();
        let clean_up = OrderCleanUp::new(std::slice::from_ref(&order.key), &write_tokens, fencing_token);
        store.apply_if(&clean_up.conditions, &clean_up.changes).unwrap();
        assert!(store.apply_if(&conditions, &changes).is_err(), "the write arrives once more");
        let inherited = read_inherited_orders(&store);
        assert!(inherited.provisioning.is_empty() && inherited.terminations.is_empty(), "{inherited:?}");
        // The leader with the next fencing token deletes the key, and neither late write passes its conditions.
        let next_token = write_leader_record(&mut store);
        let deletion = OrderCleanUp::new(&inherited.completed, &write_tokens, next_token);
        assert_eq!(deletion.changes, [Change::Drop { drop: order.key.clone() }]);
        store.apply_if(&deletion.conditions, &deletion.changes).unwrap();
        assert!(store.apply_if(&conditions, &changes).is_err());
        assert!(store.apply_if(&clean_up.conditions, &clean_up.changes).is_err());
        assert_eq!(store.entries_with_prefix(CLOUD_ORDER_PREFIX).count(), 0);
    }
}

/// An order is deleted if no write of it can pass the conditions any more; otherwise it is marked as completed, also if
/// its write was answered, since an answered write can be repeated. Either takes one change.
#[test]
fn clean_up_marks_only_orders_written_under_the_current_token() {
    let key = "d/me-7-1".to_owned();
    let written_under = |write_token: u64| HashMap::from([(key.clone(), write_token)]);
    let cases = [
        ("written by an earlier leader", HashMap::new(), true),
        ("written under the current token", written_under(7), false),
        ("written under an earlier token", written_under(6), true),
    ];
    for (case, write_tokens, is_deleted) in cases {
        let OrderCleanUp { conditions, changes } = OrderCleanUp::new(std::slice::from_ref(&key), &write_tokens, 7);
        assert_eq!(conditions, [Condition::at(LEADER_RECORD_KEY, 7)]);
        assert_eq!(changes == [Change::Drop { drop: key.clone() }], is_deleted, "{case}");
        assert_eq!(changes.len(), 1, "{case}");
    }
}

/// A late copy of a clean-up deletes only the orders that it names, and is rejected once another leader was elected.
#[test]
fn late_clean_up_deletes_only_completed_orders() {
    let mut store = Store::default();
    let fencing_token = write_leader_record(&mut store);
    let orders: Vec<CloudOrder> = (1..=2)
        .map(|n| CloudOrder::new("me", fencing_token, n, CloudAction::Terminate(vec![format!("m{n}")])))
        .collect();
    store.apply_if(&orders[0].conditions(fencing_token), &[orders[0].change()]).unwrap();
    let clean_up = OrderCleanUp::new(std::slice::from_ref(&orders[0].key), &HashMap::new(), fencing_token);
    store.apply_if(&clean_up.conditions, &clean_up.changes).unwrap();
    store.apply_if(&orders[1].conditions(fencing_token), &[orders[1].change()]).unwrap();
    assert!(store.apply_if(&clean_up.conditions, &clean_up.changes).is_ok(), "repeated under the same token");
    let newer_order = TerminationCall { keys: vec![orders[1].key.clone()], machines: vec!["m2".to_owned()] };
    assert_eq!(read_inherited_orders(&store).terminations, [newer_order], "the newer order is still stored");
    write_leader_record(&mut store);
    assert!(store.apply_if(&clean_up.conditions, &clean_up.changes).is_err(), "a newer leader record");
    assert!(store.apply_if(&orders[0].conditions(fencing_token), &[orders[0].change()]).is_err());
}
