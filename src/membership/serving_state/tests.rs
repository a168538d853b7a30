use super::*;

const NOW: Duration = Duration::ZERO;

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn what_each_may_say_by_cases() {
    use ServingState::*;
    let (health, leader) = (FreshnessLimits::for_health_check(0), FreshnessLimits::for_leadership(s(3)));
    // (name, proof, refused for, heard of two others, one answering for, towards users, towards workers)
    for (name, proof, refused, heard, answering, users, workers) in [
        ("all well", Some(1), 0, 2, Some(99), Fresh, Fresh),
        ("all well, the others are ended", Some(1), 0, 0, None, Fresh, Fresh),
        ("refused for a moment", Some(1), 1, 2, Some(99), Fresh, Fresh),
        ("refused, the others are not", Some(3), 3, 2, Some(99), Superseded, Fresh),
        ("for longer than the election lease", Some(7), 7, 2, Some(99), Superseded, Superseded),
        ("served, but cannot prove anything", Some(5), 0, 2, Some(99), Superseded, Fresh),
        ("the same, for longer", Some(6), 0, 2, Some(99), Superseded, Superseded),
        ("back from a process pause", None, 0, 2, Some(99), Superseded, Superseded),
        ("the state service is out", Some(40), 40, 2, None, Outage, Outage),
        ("it is back, another was told sooner", Some(40), 40, 2, Some(1), Outage, Outage),
        ("for longer, and no lease can be over yet", Some(40), 40, 2, Some(2), Superseded, Outage),
        ("for as long as a lease", Some(40), 40, 2, Some(3), Superseded, Superseded),
        ("it is out, and one controller is ended", Some(40), 40, 1, None, Isolated, Isolated),
        ("a zone is cut off with two of three in it", Some(40), 40, 1, None, Isolated, Isolated),
        ("cut off from all", Some(40), 40, 0, None, Isolated, Isolated),
        ("cut off from the state service, hears one", Some(40), 40, 1, Some(99), Superseded, Superseded),
    ] {
        let (proof, answering) = (proof.map(s), answering.map(s));
        let seen = Observations { proof, refused: s(refused), peers: 2, heard, answering };
        assert_eq!((seen.serving_state(health), seen.serving_state(leader)), (users, workers), "{name}");
    }
    let alone = Observations { proof: Some(s(40)), refused: s(40), peers: 0, heard: 0, answering: None };
    assert_eq!(alone.serving_state(leader), Outage, "the only controller there is");
}

/// A controller that flaps is kept out for up to a minute by the load balancer, at each of its removals
/// longer: that is more than users have after the last trouble.
#[test]
fn health_does_not_flap() {
    let start = Instant::now();
    let mut health = HealthCheck::default();
    let (mut removals, mut last) = (0, true);
    // Refused for 8 s of every 10, for ten minutes.
    for second in 0..600 {
        let refused = s((second % 10).min(8));
        let seen = Observations { proof: Some(refused), refused, peers: 2, heard: 2, answering: Some(s(99)) };
        let well = health.judge(true, seen, start + s(second));
        assert!(last || !well || second % 10 < 2, "whoever is out stays out until it can answer: {second} s");
        removals += u32::from(last && !well);
        last = well;
    }
    assert!((5..=20).contains(&removals), "at most four in two minutes, and not twelve: {removals}");
    let sound = Observations { proof: Some(NOW), refused: NOW, peers: 2, heard: 2, answering: Some(s(99)) };
    assert!(health.judge(true, sound, start + s(601)), "and back at once");
    let lost = Observations { proof: Some(s(25)), refused: s(25), ..sound };
    assert!(!health.judge(true, lost, start + s(626)), "whatever was before, it is out after 20 s");
    assert!(!health.judge(false, sound, start + s(627)), "not before all is read");
}

/// A worker asks controllers in turn, as the protocol has it. Whoever can find a successor does so before
/// that takes it for silent; whoever cannot never loses its lease by looking.
#[test]
fn machines_find_the_successor_or_are_held() {
    let lease = s(24);
    for (name, successor_from, cost_of_others, found_by) in [
        ("a successor at once", Some(0), 0, Some(3)),
        ("a successor that others know", Some(0), 4, Some(6)),
        ("a successor later", Some(60), 4, Some(95)),
        ("nobody, others refuse", None, 0, None),
        ("nobody, others do not answer", None, 4, None),
    ] {
        let start = Instant::now();
        let mut leader_searches = LeaderSearches::default();
        let (mut at, mut node, mut answered) = (0u64, 0, 0);
        let mut found = None;
        while at < 200 && found.is_none() {
            match node {
                0 if leader_searches.must_hold("m", 2, lease, start + s(at)) => {
                    answered = at;
                    at += 1;
                    continue;
                }
                0 => {}
                1 => at += cost_of_others,
                _ if successor_from.is_some_and(|from| at >= from) => found = Some(at),
                _ => at += cost_of_others,
            }
            assert!(s(at - answered) < lease, "{name}: its lease ended at {at} s");
            (node, at) = ((node + 1) % 3, at + 1);
        }
        assert_eq!(found.is_some(), found_by.is_some(), "{name}");
        assert!(found <= found_by, "{name}: {found:?}");
        assert_eq!(leader_searches.remembered(), 1);
    }
    assert!(LeaderSearches::default().must_hold("m", 4, lease, Instant::now()), "a round would outlast its lease");
}
