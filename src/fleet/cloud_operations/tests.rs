//! Tests of the clean-up of orders whose writes may still be applied.

use super::*;
use crate::cloud_orders::{CLOUD_ORDER_PREFIX, OrderCleanUp, unique_name};
use crate::store::Change;

/// An order that was marked as completed is deleted under a later fencing token, and only once.
#[test]
fn marked_orders_are_deleted_under_the_next_fencing_token() {
    let (written, inherited) = ("d/me-7-1".to_owned(), "d/me-7-2".to_owned());
    let mut operations =
        CloudOperations { completed: vec![written.clone(), inherited.clone()], ..CloudOperations::default() };
    operations.write_tokens.insert(written.clone(), 7);
    let keys = operations.orders_to_clean_up(7).to_vec();
    assert_eq!(keys, [written.clone(), inherited]);
    operations.record_clean_up(&keys, 7);
    assert!(operations.orders_to_clean_up(7).is_empty(), "no order is left to clean up under this token");
    assert_eq!(operations.orders_to_clean_up(9), std::slice::from_ref(&written));
    assert_eq!(
        OrderCleanUp::new(std::slice::from_ref(&written), &operations.write_tokens, 9).changes,
        [Change::Drop { drop: written.clone() }]
    );
    operations.record_clean_up(&[written], 9);
    assert!(
        operations.orders_to_clean_up(10).is_empty()
            && operations.write_tokens.is_empty()
            && operations.marked.is_empty()
    );
}

/// In a long term the number of marked orders is bounded by what one fencing token may leave, and does not grow with the
/// number of orders.
#[test]
fn marked_orders_stay_bounded_in_a_long_term() {
    let (mut fencing_token, mut token_raises, mut max_marked) = (7, 0, 0);
    let mut operations = CloudOperations::default();
    for number in 1..=1000 {
        let key = format!("{CLOUD_ORDER_PREFIX}{}", unique_name("me", fencing_token, number));
        operations.write_tokens.insert(key.clone(), fencing_token);
        operations.completed.push(key);
        let keys: Vec<String> = operations.orders_to_clean_up(fencing_token).iter().take(24).cloned().collect();
        operations.record_clean_up(&keys, fencing_token);
        max_marked = max_marked.max(operations.marked.len());
        if operations.needs_higher_fencing_token() {
            fencing_token += 1;
            token_raises += 1;
        }
    }
    assert!(max_marked <= MAX_MARKED_ORDERS + 24, "{max_marked} marked orders");
    assert!(
        operations.write_tokens.len() <= MAX_MARKED_ORDERS * 2 + 24,
        "{} write tokens",
        operations.write_tokens.len()
    );
    assert!(token_raises <= 1000 / MAX_MARKED_ORDERS + 1, "{token_raises} higher tokens");
}
