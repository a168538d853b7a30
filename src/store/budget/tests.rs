use super::*;

#[test]
fn calls_of_lower_priority_leave_a_reserve() {
    let t = Instant::now();
    let mut budget = TokenBucket::new(10.0, 10.0, t);
    assert!(budget.take(5.0, RequestPriority::Background, t).is_err() || budget.tokens >= 5.0);
    let mut budget = TokenBucket::new(10.0, 10.0, t);
    assert!(budget.take(8.0, RequestPriority::Placement, t).is_ok());
    assert!(budget.take(1.0, RequestPriority::Placement, t).is_err(), "the reserve is kept");
    assert!(budget.take(0.1, RequestPriority::Query, t).is_err(), "and more of it from questions");
    assert_eq!(budget.refill_time(5.0), Duration::from_millis(500));
    assert!(budget.take(2.0, RequestPriority::Critical, t).is_ok(), "for the urgent");
    let wait = budget.take(1.0, RequestPriority::Critical, t).unwrap_err();
    assert_eq!(wait, Duration::from_millis(100));
    assert!(budget.take(1.0, RequestPriority::Critical, t + wait).is_ok());
    assert!(budget.take(15.0, RequestPriority::Critical, t + Duration::from_secs(5)).is_ok());
    assert!(budget.take(1.0, RequestPriority::Critical, t + Duration::from_secs(5)).is_err(), "a debt");
}
