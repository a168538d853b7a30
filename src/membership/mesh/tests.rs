use super::*;

/// How long another has been answered tells an outage that has just ended from one of this controller's
/// own: by its word of the moment every owner let its workers go at the end of every outage.
#[test]
fn since_when_the_others_can_answer() {
    let (t, s) = (Instant::now(), Duration::from_secs);
    let mut heard = Heard::default();
    for (at, node, serves, want) in [
        (0, "b", true, (1, Some(0))),
        (1, "b", true, (1, Some(1))),
        (2, "c", false, (2, Some(2))),
        (3, "b", false, (2, None)),
        (4, "b", true, (2, Some(0))),
        (5, "b", true, (2, Some(1))),
        // Not heard for a while: whatever it said before is void.
        (20, "b", true, (1, Some(0))),
    ] {
        heard.told(node.into(), serves, Default::default(), 0, t + s(at));
        assert_eq!(heard.others(t + s(at)), (want.0, want.1.map(s)), "{node} at {at}");
    }
    assert!(heard.hears("b", t + s(23)) && !heard.hears("b", t + s(24)) && !heard.hears("c", t + s(20)));
}
