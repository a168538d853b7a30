use super::*;

#[test]
fn what_passed_is_told_once() {
    let traffic = Traffic::default();
    traffic.count(Passage::Later);
    traffic.add(Passage::StoreChange, 24);
    traffic.count(Passage::Later);
    assert_eq!(traffic.take(), [("store_changes", 24), ("later", 2)]);
    assert_eq!(traffic.take(), []);
}
