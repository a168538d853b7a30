use super::*;

fn heartbeat(agent_epoch: u64, number: u64) -> MessageSequence {
    MessageSequence { agent_epoch, number }
}

#[test]
fn only_workers_that_come_back_count() {
    let t = Instant::now();
    let s = Duration::from_secs;
    let mut unreachable_leader = UnreachableLeader::default();
    for machine in ["a", "b", "c", "d"] {
        assert_eq!(unreachable_leader.note(machine, heartbeat(1, 5), t), None, "the first redirect is ordinary");
    }
    assert_eq!(unreachable_leader.note("a", heartbeat(1, 6), t + s(2)), None);
    assert_eq!(unreachable_leader.note("b", heartbeat(1, 6), t + s(2)), None);
    assert_eq!(unreachable_leader.note("c", heartbeat(2, 1), t + s(3)), Some(3));
    assert_eq!(unreachable_leader.note("d", heartbeat(1, 6), t + s(4)), None, "takeover requests keep their distance");
    assert_eq!(unreachable_leader.note("a", heartbeat(1, 9), t + s(60)), None, "long ago does not count");
}

/// Copies of heartbeats that come late, several and out of order, were taken for workers that come back.
#[test]
fn late_copies_are_no_coming_back() {
    let t = Instant::now();
    let mut unreachable_leader = UnreachableLeader::default();
    for (after_ms, seq) in [(0, 9), (600, 9), (1300, 7), (2000, 8), (2700, 9)] {
        for machine in ["a", "b", "c", "d"] {
            assert_eq!(
                unreachable_leader.note(machine, heartbeat(1, seq), t + Duration::from_millis(after_ms)),
                None,
                "{seq}"
            );
        }
    }
    // Nor do they keep a machine in mind.
    assert_eq!(unreachable_leader.note("e", heartbeat(1, 1), t + BACK_WITHIN), None);
    assert_eq!(unreachable_leader.remembered(), 1);
}
