use super::*;

#[test]
fn sweep_resumes_after_its_last_key_and_pauses_once_complete() {
    let (t, s) = (Instant::now(), Duration::from_secs);
    let mut sweep = EndSweep::default();
    assert_eq!(sweep.next_page(t), None, "no sweep requested");
    sweep.request(t);
    assert_eq!(sweep.next_page(t), Some(None), "the first page begins at the first key");
    assert!(!sweep.finish_page(Some("h/d/run-7".into()), true, t));
    assert_eq!(sweep.next_page(t + s(1)), Some(Some("h/d/run-7")));
    assert_eq!(sweep.next_page(t + s(11)), None, "the request has expired");
    sweep.request(t + s(60));
    assert_eq!(sweep.next_page(t + s(60)), Some(Some("h/d/run-7")), "an interrupted sweep resumes");
    assert!(sweep.finish_page(Some("h/w/run-9".into()), false, t + s(60)), "the last page");
    sweep.request(t + s(80));
    assert_eq!(sweep.next_page(t + s(80)), None, "paused after a complete sweep");
    sweep.request(t + s(91));
    assert_eq!(sweep.next_page(t + s(91)), Some(None));
    let pages = (1..).find(|n| sweep.finish_page(Some(format!("h/d/run-{n}")), true, t + s(91))).unwrap();
    assert_eq!(pages, MAX_PAGES, "a sweep ends at its largest number of pages");
    sweep.request(t + s(130));
    assert_eq!(
        sweep.next_page(t + s(130)),
        Some(Some(&*format!("h/d/run-{pages}"))),
        "the next sweep resumes after the last page"
    );
}
