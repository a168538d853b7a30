use super::*;

#[test]
fn valid_properties_are_parsed_and_invalid_ones_rejected_by_name() {
    let read = Properties::parse(b"# ours\nmachines.idle.seconds = 7.5\nmachines.silence.seconds:9\n").unwrap();
    assert_eq!(read.idle_timeout, Duration::from_millis(7500));
    assert_eq!(read.silence_timeout, Duration::from_secs(9));
    for (text, want) in [
        ("machines.idel.seconds=3", "machines.idel.seconds: unknown property"),
        ("machines.idle.seconds=soon", "machines.idle.seconds: \"soon\""),
        ("machines.idle.seconds=NaN", "machines.idle.seconds: NaN is not between"),
        ("leader.lease.seconds=inf", "leader.lease.seconds: inf is not between"),
        ("leader.lease.seconds=0", "leader.lease.seconds: 0 is not between"),
        ("machines.idle.seconds=-1", "machines.idle.seconds: -1 is not between"),
    ] {
        let problem = Properties::parse(text.as_bytes()).unwrap_err().to_string();
        assert!(problem.contains(want), "{problem}");
    }
}
