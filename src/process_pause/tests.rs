use super::*;

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

#[test]
fn what_is_void_by_cases() {
    let lease = s(3.0);
    for (name, length, pause, leadership, requests) in [
        ("a busy turn", 0.9, false, false, false),
        ("just noticed", 2.1, true, false, true),
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
            "{name}: told once"
        );
        if let Some(got) = got {
            assert_eq!(got.invalidated(lease), Invalidated { leadership, requests }, "{name}");
        }
    }
}

#[test]
fn absence_is_no_evidence_by_cases() {
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
    // A cancellation has 49 s; without a pause its proof is asked for after 22.
    for (name, at, now, due) in [
        ("withdrawn before, just back", 95.0, 141.0, true),
        ("withdrawn shortly before, workers have not been heard", 120.0, 141.0, false),
        ("the same, 5 s later", 120.0, 145.0, true),
        ("the same, with hardly any time left", 103.0, 141.0, true),
        ("withdrawn since", 141.0, 142.0, true),
    ] {
        assert_eq!(pause.is_proof_due(start + s(at), s(49.0), start + s(now)), due, "{name}");
    }
    assert!(pause.is_stale_request(start + s(140.1)) && !pause.is_stale_request(start + s(140.5)));
}
