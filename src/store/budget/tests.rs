use super::*;

#[test]
fn lower_priority_calls_leave_a_reserve() {
    let now = Instant::now();
    let mut bucket = TokenBucket::new(10.0, 10.0, now);
    assert!(bucket.take(5.0, RequestPriority::Background, now).is_err() || bucket.tokens >= 5.0);
    let mut bucket = TokenBucket::new(10.0, 10.0, now);
    assert!(bucket.take(8.0, RequestPriority::Placement, now).is_ok());
    assert!(bucket.take(1.0, RequestPriority::Placement, now).is_err(), "placements must leave their reserve");
    assert!(bucket.take(0.1, RequestPriority::Query, now).is_err(), "queries must leave a larger reserve");
    assert_eq!(bucket.refill_time(5.0), Duration::from_millis(500));
    assert!(bucket.take(2.0, RequestPriority::Critical, now).is_ok(), "critical calls may use the whole bucket");
    let wait = bucket.take(1.0, RequestPriority::Critical, now).unwrap_err();
    assert_eq!(wait, Duration::from_millis(100));
    assert!(bucket.take(1.0, RequestPriority::Critical, now + wait).is_ok());
    assert!(bucket.take(15.0, RequestPriority::Critical, now + Duration::from_secs(5)).is_ok());
    assert!(
        bucket.take(1.0, RequestPriority::Critical, now + Duration::from_secs(5)).is_err(),
        "the number of tokens is negative"
    );
}
