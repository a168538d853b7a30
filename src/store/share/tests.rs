use super::*;

const FIXED_SHARES: FixedShares = FixedShares { leader: 0.7, others: 0.25 };

#[test]
fn shares_follow_demand_and_stay_within_the_limit() {
    // (case, demands of the leader and two others, expected shares of a limit of 20)
    for (case, demands, expected) in [
        ("no demand", [0.0, 0.0, 0.0], [14.0, 2.5, 2.5]),
        ("one controller accepts many jobs", [9.0, 1.5, 0.5], [12.0, 4.5, 2.5]),
        ("all demand more than the limit", [20.0, 20.0, 20.0], [9.5, 4.75, 4.75]),
        ("demand of the leader alone", [30.0, 0.0, 0.0], [14.0, 2.5, 2.5]),
    ] {
        let share_of = |controller: usize| {
            let mut all: Vec<LimitDemand> = demands
                .iter()
                .enumerate()
                .map(|(n, demand)| LimitDemand { leader: n == 0, per_second: *demand })
                .collect();
            all.rotate_left(controller);
            share_by_demand(20.0, FIXED_SHARES, &all)
        };
        let shares = [share_of(0), share_of(1), share_of(2)];
        for (share, expected) in shares.iter().zip(expected) {
            assert!((share - expected).abs() < 0.06, "{case}: share {share}, expected {expected}");
        }
        assert!(shares.iter().sum::<f64>() <= 20.0 * ALLOCATED_FRACTION + 1e-9, "{case}: shares exceed the allocation");
    }
    let leaders = [LimitDemand { leader: true, per_second: 9.0 }; 3];
    assert!(
        3.0 * share_by_demand(20.0, FIXED_SHARES, &leaders) <= 20.0 * ALLOCATED_FRACTION + 1e-9,
        "several controllers consider themselves the leader"
    );
    assert_eq!(
        share_by_demand(20.0, FIXED_SHARES, &[LimitDemand { leader: true, per_second: 1.0 }]),
        19.0,
        "single controller"
    );
}

#[test]
fn measured_rate_decays_without_requests() {
    let now = Instant::now();
    let mut meter = RateMeter::new(now);
    (0..40).for_each(|n| meter.count(1.0, now + Duration::from_millis(n * 250)));
    let steady = meter.per_second(now + Duration::from_secs(10));
    assert!((3.0..4.5).contains(&steady), "{steady}");
    assert!(meter.per_second(now + Duration::from_secs(40)) < 0.01);
}
