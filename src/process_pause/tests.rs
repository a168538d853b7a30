use super::*;

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

#[test]
fn longer_pauses_invalidate_leadership_and_requests() {
    let lease = s(3.0);
    for (name, length, pause, leadership, requests) in [
        ("a slow turn of the event loop", 0.9, false, false, false),
        ("just long enough", 2.1, true, false, true),
        ("most of the lease", 2.4, true, true, true),
        ("past the lease", 5.0, true, true, true),
        ("a minute", 60.0, true, true, true),
    ] {
        let start = Instant::now();
        let mut pause_detector = PauseDetector::new(start);
        assert_eq!(pause_detector.detect(start + CHECK_INTERVAL), None);
        let got = pause_detector.detect(start + CHECK_INTERVAL + s(length));
        assert_eq!((got.is_some(), pause_detector.pauses()), (pause, u64::from(pause)), "{name}");
        assert_eq!(
            pause_detector.detect(start + CHECK_INTERVAL + s(length) + CHECK_INTERVAL),
            None,
            "{name}: reported once"
        );
        if let Some(got) = got {
            assert_eq!(got.invalidated(lease), Invalidated { leadership, requests }, "{name}");
        }
    }
}

#[test]
fn time_paused_does_not_count_as_silence_or_missing_proof() {
    let start = Instant::now();
    let pause = ProcessPause { began: start + s(100.0), ended: start + s(140.0) };
    for (name, at, as_of) in [
        ("heard just before", 99.0, 139.0),
        ("silent for 10 s before", 90.0, 130.0),
        ("heard since", 141.0, 141.0),
        ("heard within, as the clock has it", 120.0, 140.0),
    ] {
        assert_eq!(pause.shift_instant(start + s(at)), start + s(as_of), "{name}");
    }
    // The cancellation deadline is 49 s; without a pause the proof is required after 22 s.
    for (name, at, now, due) in [
        ("cancelled before, just resumed", 95.0, 141.0, true),
        ("cancelled shortly before, no heartbeats since", 120.0, 141.0, false),
        ("the same, 5 s later", 120.0, 145.0, true),
        ("the same, with hardly any time left", 103.0, 141.0, true),
        ("cancelled since", 141.0, 142.0, true),
    ] {
        assert_eq!(pause.is_proof_due(start + s(at), s(49.0), start + s(now)), due, "{name}");
    }
    assert!(pause.is_stale_request(start + s(140.1)) && !pause.is_stale_request(start + s(140.5)));
}
