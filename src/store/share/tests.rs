use super::*;

const PARTS: FixedShares = FixedShares { leader: 0.7, others: 0.25 };

#[test]
fn shares_follow_demand_within_the_limit() {
    // (name, wants of leader and two others, their shares of a limit of 20)
    for (name, wants, want) in [
        ("nobody wants anything", [0.0, 0.0, 0.0], [14.0, 2.5, 2.5]),
        ("one that accepts many", [9.0, 1.5, 0.5], [12.0, 4.5, 2.5]),
        ("all want more than there is", [20.0, 20.0, 20.0], [9.5, 4.75, 4.75]),
        ("the leader alone", [30.0, 0.0, 0.0], [14.0, 2.5, 2.5]),
    ] {
        let of = |me: usize| {
            let mut all: Vec<LimitDemand> =
                wants.iter().enumerate().map(|(n, w)| LimitDemand { leader: n == 0, per_second: *w }).collect();
            all.rotate_left(me);
            share_by_demand(20.0, PARTS, &all)
        };
        let got = [of(0), of(1), of(2)];
        for (got, want) in got.iter().zip(want) {
            assert!((got - want).abs() < 0.06, "{name}: {got} and not {want}");
        }
        assert!(got.iter().sum::<f64>() <= 20.0 * ALLOCATED_PART + 1e-9, "{name}: more than there is");
    }
    let both = [LimitDemand { leader: true, per_second: 9.0 }; 3];
    assert!(
        3.0 * share_by_demand(20.0, PARTS, &both) <= 20.0 * ALLOCATED_PART + 1e-9,
        "several believe that they lead"
    );
    assert_eq!(share_by_demand(20.0, PARTS, &[LimitDemand { leader: true, per_second: 1.0 }]), 19.0, "alone");
}

#[test]
fn demand_fades() {
    let now = Instant::now();
    let mut meter = RateMeter::new(now);
    (0..40).for_each(|n| meter.count(1.0, now + Duration::from_millis(n * 250)));
    let steady = meter.per_second(now + Duration::from_secs(10));
    assert!((3.0..4.5).contains(&steady), "{steady}");
    assert!(meter.per_second(now + Duration::from_secs(40)) < 0.01);
}
