use super::*;

#[test]
fn reserves_hold_back_the_less_urgent() {
    let t = Instant::now();
    let mut budget = Budget::new(10.0, 10.0, t);
    assert!(budget.take(5.0, Urgent::Last, t).is_err() || budget.held >= 5.0);
    let mut budget = Budget::new(10.0, 10.0, t);
    assert!(budget.take(8.0, Urgent::Second, t).is_ok());
    assert!(budget.take(1.0, Urgent::Second, t).is_err(), "the reserve is kept");
    assert!(budget.take(0.1, Urgent::Asked, t).is_err(), "and more of it from questions");
    assert_eq!(budget.time_for(5.0), Duration::from_millis(500));
    assert!(budget.take(2.0, Urgent::First, t).is_ok(), "for the urgent");
    let wait = budget.take(1.0, Urgent::First, t).unwrap_err();
    assert_eq!(wait, Duration::from_millis(100));
    assert!(budget.take(1.0, Urgent::First, t + wait).is_ok());
    assert!(budget.take(15.0, Urgent::First, t + Duration::from_secs(5)).is_ok());
    assert!(budget.take(1.0, Urgent::First, t + Duration::from_secs(5)).is_err(), "a debt");
}
