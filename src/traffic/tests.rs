use super::*;

#[test]
fn what_passed_is_told_once() {
    let traffic = Traffic::default();
    traffic.count(CallKind::Later);
    traffic.add(CallKind::StoreChange, 24);
    traffic.count(CallKind::Later);
    assert_eq!(traffic.take(), [("store_changes", 24), ("later", 2)]);
    assert_eq!(traffic.take(), []);
}
