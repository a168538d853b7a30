//! Tests of the detection of a leader that workers can't reach.

use super::*;

fn heartbeat(agent_epoch: u64, number: u64) -> MessageSequence {
    MessageSequence { agent_epoch, number }
}

#[test]
fn takeover_is_requested_after_three_workers_come_back() {
    let t = Instant::now();
    let s = Duration::from_secs;
    let mut unreachable_leader = UnreachableLeader::default();
    for machine in ["a", "b", "c", "d"] {
        assert_eq!(
            unreachable_leader.record_redirect(machine, heartbeat(1, 5), t),
            None,
            "a first redirect is no return"
        );
    }
    assert_eq!(unreachable_leader.record_redirect("a", heartbeat(1, 6), t + s(2)), None);
    assert_eq!(unreachable_leader.record_redirect("b", heartbeat(1, 6), t + s(2)), None);
    assert_eq!(unreachable_leader.record_redirect("c", heartbeat(2, 1), t + s(3)), Some(3));
    assert_eq!(
        unreachable_leader.record_redirect("d", heartbeat(1, 6), t + s(4)),
        None,
        "the interval between takeover requests has not passed"
    );
    assert_eq!(
        unreachable_leader.record_redirect("a", heartbeat(1, 9), t + s(60)),
        None,
        "earlier redirects no longer count"
    );
}

/// Late copies of heartbeats, repeated and out of order, used to be taken for workers that come back.
#[test]
fn late_heartbeat_copies_do_not_count_as_returns() {
    let t = Instant::now();
    let mut unreachable_leader = UnreachableLeader::default();
    for (after_ms, seq) in [(0, 9), (600, 9), (1300, 7), (2000, 8), (2700, 9)] {
        for machine in ["a", "b", "c", "d"] {
            assert_eq!(
                unreachable_leader.record_redirect(machine, heartbeat(1, seq), t + Duration::from_millis(after_ms)),
                None,
                "heartbeat {seq}"
            );
        }
    }
    // Late copies do not extend the time for which a machine is tracked.
    assert_eq!(unreachable_leader.record_redirect("e", heartbeat(1, 1), t + RETURN_LIMIT), None);
    assert_eq!(unreachable_leader.machine_count(), 1);
}
