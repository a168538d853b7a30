//! Tests of the clean-up of orders whose writes were not answered.

use super::*;
use crate::cloud_orders::{CLOUD_ORDERS, OrderCleanUp, unique_name};
use crate::store::Change;

/// What was marked as done waits for a later fencing token, and is then dropped once.
#[test]
fn marked_orders_are_deleted_under_the_next_fencing_token() {
    let (unsure, sure) = ("d/me-7-1".to_owned(), "d/me-7-2".to_owned());
    let mut operations =
        CloudOperations { completed: vec![unsure.clone(), sure.clone()], ..CloudOperations::default() };
    operations.unanswered.insert(unsure.clone(), 7);
    let keys = operations.orders_to_clean_up(7).to_vec();
    assert_eq!(keys, [unsure.clone(), sure]);
    operations.record_clean_up(&keys, 7);
    assert!(operations.orders_to_clean_up(7).is_empty(), "nothing more under this token");
    assert_eq!(operations.orders_to_clean_up(9), std::slice::from_ref(&unsure));
    assert_eq!(
        OrderCleanUp::new(std::slice::from_ref(&unsure), &operations.unanswered, 9).changes,
        [Change::Drop { drop: unsure.clone() }]
    );
    operations.record_clean_up(&[unsure], 9);
    assert!(
        operations.orders_to_clean_up(10).is_empty()
            && operations.unanswered.is_empty()
            && operations.marked.is_empty()
    );
}

/// Every try of every order goes unanswered, for as long as one leader stays: the marks are as many as one fencing
/// token may leave, and not one for each order.
#[test]
fn marked_orders_stay_bounded_in_a_long_term() {
    let (mut fencing_token, mut raises, mut most) = (7, 0, 0);
    let mut operations = CloudOperations::default();
    for number in 1..=1000 {
        let key = format!("{CLOUD_ORDERS}{}", unique_name("me", fencing_token, number));
        operations.unanswered.insert(key.clone(), fencing_token);
        operations.completed.push(key);
        let keys: Vec<String> = operations.orders_to_clean_up(fencing_token).iter().take(24).cloned().collect();
        operations.record_clean_up(&keys, fencing_token);
        most = most.max(operations.marked.len());
        if operations.needs_higher_fencing_token() {
            fencing_token += 1;
            raises += 1;
        }
    }
    assert!(most <= MOST_MARKED + 24, "{most} marks");
    assert!(operations.unanswered.len() <= MOST_MARKED * 2 + 24, "{} orders in mind", operations.unanswered.len());
    assert!(raises <= 1000 / MOST_MARKED + 1, "{raises} tokens");
}
