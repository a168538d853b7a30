use super::*;

#[test]
fn taking_counts_returns_and_resets_them() {
    let traffic = Traffic::default();
    traffic.count(CallKind::Later);
    traffic.add(CallKind::StoreChange, 24);
    traffic.count(CallKind::Later);
    assert_eq!(traffic.take_counts(), [("store_changes", 24), ("later", 2)]);
    assert_eq!(traffic.take_counts(), []);
}
