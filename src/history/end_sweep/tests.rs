use super::*;

#[test]
fn goes_on_where_it_was_and_rests() {
    let (t, s) = (Instant::now(), Duration::from_secs);
    let mut sweep = EndSweep::default();
    assert_eq!(sweep.next_page(t), None, "nobody asks too much");
    sweep.request(t);
    assert_eq!(sweep.next_page(t), Some(None), "from the beginning");
    assert!(!sweep.finish_page(Some("h/d/run-7".into()), true, t));
    assert_eq!(sweep.next_page(t + s(1)), Some(Some("h/d/run-7")));
    assert_eq!(sweep.next_page(t + s(11)), None, "no longer wanted");
    sweep.request(t + s(60));
    assert_eq!(sweep.next_page(t + s(60)), Some(Some("h/d/run-7")), "after an interruption it goes on");
    assert!(sweep.finish_page(Some("h/w/run-9".into()), false, t + s(60)), "the last page");
    sweep.request(t + s(80));
    assert_eq!(sweep.next_page(t + s(80)), None, "rests");
    sweep.request(t + s(91));
    assert_eq!(sweep.next_page(t + s(91)), Some(None));
    let pages = (1..).find(|n| sweep.finish_page(Some(format!("h/d/run-{n}")), true, t + s(91))).unwrap();
    assert_eq!(pages, MAX_PAGES, "no more than can be held");
    sweep.request(t + s(130));
    assert_eq!(sweep.next_page(t + s(130)), Some(Some(&*format!("h/d/run-{pages}"))), "the rest of it next time");
}
