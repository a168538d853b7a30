//! Tests of the serving state, the health check and the searches for another leader.

use super::*;

const NOW: Duration = Duration::ZERO;

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn serving_state_follows_from_own_proof_and_peers() {
    use ServingState::*;
    let (health, leader) = (FreshnessLimits::for_health_check(0), FreshnessLimits::for_leadership(s(3)));
    // (name, age of the proof, time refused, peers heard of two, time for which one answers, state towards users,
    // state towards workers)
    for (name, proof, refused, heard, answering, users, workers) in [
        ("fresh, another answers as well", Some(1), 0, 2, Some(99), Fresh, Fresh),
        ("fresh, the others have ended", Some(1), 0, 0, None, Fresh, Fresh),
        ("refused for a moment", Some(1), 1, 2, Some(99), Fresh, Fresh),
        ("refused, another is answered", Some(3), 3, 2, Some(99), Superseded, Fresh),
        (
            "refused for longer than the election lease, another is answered",
            Some(7),
            7,
            2,
            Some(99),
            Superseded,
            Superseded,
        ),
        ("answered, but without a recent proof", Some(5), 0, 2, Some(99), Superseded, Fresh),
        ("answered, but without a proof for longer", Some(6), 0, 2, Some(99), Superseded, Superseded),
        ("after a process pause", None, 0, 2, Some(99), Superseded, Superseded),
        ("outage of the state service", Some(40), 40, 2, None, Outage, Outage),
        ("after an outage, another is answered first", Some(40), 40, 2, Some(1), Outage, Outage),
        ("after an outage, for longer, but less than a lease", Some(40), 40, 2, Some(2), Superseded, Outage),
        ("after an outage, for as long as a lease", Some(40), 40, 2, Some(3), Superseded, Superseded),
        ("outage, and one controller has ended", Some(40), 40, 1, None, Isolated, Isolated),
        ("partition with two of three controllers", Some(40), 40, 1, None, Isolated, Isolated),
        ("cut off from all", Some(40), 40, 0, None, Isolated, Isolated),
        ("cut off from the state service, hears one peer", Some(40), 40, 1, Some(99), Superseded, Superseded),
    ] {
        let (proof, answering) = (proof.map(s), answering.map(s));
        let observations = Observations { proof, refused: s(refused), peers: 2, heard, answering };
        assert_eq!(
            (observations.serving_state(health), observations.serving_state(leader)),
            (users, workers),
            "{name}"
        );
    }
    let alone = Observations { proof: Some(s(40)), refused: s(40), peers: 0, heard: 0, answering: None };
    assert_eq!(alone.serving_state(leader), Outage, "a single controller without peers");
}

/// The load balancer keeps a flapping controller out for longer after each removal, up to a minute, which is more time
/// than users have after the last fault.
#[test]
fn health_check_limits_removals_under_recurring_faults() {
    let start = Instant::now();
    let mut health = HealthCheck::default();
    let (mut removals, mut last) = (0, true);
    // The state service refuses requests for 8 s of every 10 s, for ten minutes.
    for second in 0..600 {
        let refused = s((second % 10).min(8));
        let observations = Observations { proof: Some(refused), refused, peers: 2, heard: 2, answering: Some(s(99)) };
        let healthy = health.is_healthy(true, observations, start + s(second));
        assert!(last || !healthy || second % 10 < 2, "a removed controller stays out until it can answer: {second} s");
        removals += u32::from(last && !healthy);
        last = healthy;
    }
    assert!(
        (5..=20).contains(&removals),
        "{removals} removals; at most four in two minutes are allowed, without limits there are twelve"
    );
    let fresh = Observations { proof: Some(NOW), refused: NOW, peers: 2, heard: 2, answering: Some(s(99)) };
    assert!(health.is_healthy(true, fresh, start + s(601)), "healthy again at once");
    let stale = Observations { proof: Some(s(25)), refused: s(25), ..fresh };
    assert!(!health.is_healthy(true, stale, start + s(626)), "removed after 20 s whatever happened before");
    assert!(!health.is_healthy(false, fresh, start + s(627)), "unhealthy until everything is loaded");
}

/// A worker asks the controllers in turn, as the protocol specifies. A worker that can find a successor does so before
/// the successor considers it silent; one that can't never loses its lease by searching.
#[test]
fn machine_finds_the_successor_or_is_held() {
    let lease = s(24);
    for (name, successor_from, answer_time_s, found_by) in [
        ("a successor at once", Some(0), 0, Some(3)),
        ("a successor that others know", Some(0), 4, Some(6)),
        ("a successor later", Some(60), 4, Some(95)),
        ("no successor, others refuse", None, 0, None),
        ("no successor, others do not answer", None, 4, None),
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
                1 => at += answer_time_s,
                _ if successor_from.is_some_and(|from| at >= from) => found = Some(at),
                _ => at += answer_time_s,
            }
            assert!(s(at - answered) < lease, "{name}: the lease ended at {at} s");
            (node, at) = ((node + 1) % 3, at + 1);
        }
        assert_eq!(found.is_some(), found_by.is_some(), "{name}");
        assert!(found <= found_by, "{name}: {found:?}");
        assert_eq!(leader_searches.machine_count(), 1);
    }
    assert!(LeaderSearches::default().must_hold("m", 4, lease, Instant::now()), "a search would outlast the lease");
}
