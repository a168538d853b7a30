use super::*;

#[test]
fn repeated_lines_are_logged_once_per_minute() {
    let start = Instant::now();
    let mut limit = LogLimit::default();
    let logged: Vec<u64> = (0..200).filter(|second| limit.due(start + Duration::from_secs(*second))).collect();
    assert_eq!(logged, [0, 60, 120, 180]);
}
