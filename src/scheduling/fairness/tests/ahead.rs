//! Tests of the intent that prioritizes classes and teams (`PriorityBoost`), on the cluster state in simulated time: what the
//! prioritized work gains, and what is left to other work.

use std::collections::BTreeMap;

use super::*;
use crate::jobs::Urgency;
use crate::scheduling::intents::{Intents, PriorityBoost};
use crate::scheduling::preempt;

fn priority_boost_intents(classes: &[&str], max_core_share: f64) -> Intents {
    let names = ClassTeamSet::from_subjects(classes.iter().map(|name| (Subject::Class, *name)));
    Intents { priority_boost: Some(PriorityBoost { names, max_core_share }), ..Intents::default() }
}

/// Seconds that the jobs of a class waited until none of their tasks was waiting any more.
struct Waits {
    /// Waits of all jobs.
    all: Vec<u32>,
    /// Waits of the gangs of five tasks.
    largest: Vec<u32>,
}

/// Simulates the class `hot` at its usual rate during a flood of another class. A fifth of its jobs are gangs of five
/// tasks, which need a quarter of all cores. With `max_core_share` the class is prioritized up to this share of the cores.
fn simulate_hot_class(max_core_share: Option<f64>, hot: &str, flood: &str, seed: u64) -> (World, Waits) {
    use rand::{Rng, SeedableRng, rngs::StdRng};
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = World::new(10, Properties { served_window: s(120.0), ..Properties::default() });
    if let Some(part) = max_core_share {
        world.cluster.set_intents(priority_boost_intents(&[hot], part));
    }
    let mut waiting: BTreeMap<JobId, (u32, bool)> = BTreeMap::new();
    let mut waits = Waits { all: Vec::new(), largest: Vec::new() };
    for t in 0..1500u32 {
        if t >= 300 && world.cluster.job_count() == 0 {
            break;
        }
        if t < 300 {
            let times = if (20..280).contains(&t) { 5 } else { 1 };
            (0..times).for_each(|_| {
                if rng.random_ratio(1, 30) {
                    world.submit(flood, 4.0, 8)
                }
            });
            if rng.random_ratio(1, 10) {
                let largest = rng.random_ratio(1, 5);
                world.submit(hot, 4.0, if largest { 5 } else { 1 });
                waiting.insert(format!("run-{:06}", world.job_count).as_str().into(), (t, largest));
            }
        }
        world.step(|_| true);
        waiting.retain(|id, (submitted, largest)| {
            let still_waiting = world.cluster.job(id).is_some_and(|job| !job.waiting.is_empty());
            if !still_waiting {
                waits.all.push(t - *submitted);
                waits.largest.extend(largest.then_some(t - *submitted));
            }
            still_waiting
        });
    }
    (world, waits)
}

fn mean(waits: &[u32]) -> f64 {
    waits.iter().sum::<u32>() as f64 / waits.len().max(1) as f64
}

/// Prioritized work starts sooner in a flood of another class, its largest gangs included, and the flooding class loses
/// no more than that; no job is left open. Fails if either the order of the queue or the reservations ignore the intent.
#[test]
fn prioritized_class_and_its_largest_gangs_start_sooner_in_a_flood() {
    for (hot, flood) in [("big", "small"), ("small", "big")] {
        let (mut off, mut on) = (Waits { all: vec![], largest: vec![] }, Waits { all: vec![], largest: vec![] });
        let (mut served_off, mut served_on) = (0.0, 0.0);
        for seed in 0..6 {
            for (max_core_share, waits, served) in
                [(None, &mut off, &mut served_off), (Some(0.5), &mut on, &mut served_on)]
            {
                let (world, seed_waits) = simulate_hot_class(max_core_share, hot, flood, seed);
                assert_eq!(world.cluster.job_count(), 0, "no job may be left open");
                waits.all.extend(seed_waits.all);
                waits.largest.extend(seed_waits.largest);
                *served += world.in_time_share(flood) / 6.0;
            }
        }
        let figures = format!(
            "{hot}: mean wait {:.1} -> {:.1} s, longest {} -> {} s, largest gangs {:.1} -> {:.1} s; \
             {flood} in time {served_off:.2} -> {served_on:.2}",
            mean(&off.all),
            mean(&on.all),
            off.all.iter().max().unwrap(),
            on.all.iter().max().unwrap(),
            mean(&off.largest),
            mean(&on.largest),
        );
        assert!(mean(&on.all) < mean(&off.all) * 0.7, "{figures}");
        assert!(mean(&on.largest) < mean(&off.largest) * 0.9, "{figures}");
        assert!(on.all.iter().max() < off.all.iter().max(), "{figures}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 12, rng_seed: RngSeed::Fixed(29), failure_persistence: None, ..ProptestConfig::default() })]

    /// However much of the prioritized class arrives, the other class stays above its floor.
    #[test]
    fn other_class_stays_above_its_floor_while_a_class_is_prioritized(
        seed in any::<u64>(), which in 0..2usize, times in 3..7u32, gang in 1..3u64, max_core_share in 0.1..0.9f64,
    ) {
        let classes = ["small", "big"];
        let hot = priority_boost_intents(&[classes[which]], max_core_share);
        let world = simulate_flood_with(classes[which], times, gang, 0.75, seed, hot);
        let served = |class| {
            let (share, n) = world.in_time_share_between(class, 0, 300);
            ((share / 0.9).min(1.0), n as f64)
        };
        let ((flood, flooding), (other, n)) = (served(classes[which]), served(classes[1 - which]));
        let all = (other * n + flood * flooding) / (n + flooding).max(1.0);
        prop_assert!(n < 10.0 || other >= 0.75 * all, "{}: {other} of {n}, all {all}", classes[1 - which]);
        prop_assert_eq!(world.cluster.job_count(), 0, "no job may be left open");
    }
}

/// PROTOCOL, "Preemption": the intent changes nothing about which work may be preempted; work of the same urgency is not.
#[test]
fn prioritized_work_preempts_only_idle_work() {
    for (running, prioritized, want) in [
        (Urgency::Normal, true, 0),
        (Urgency::Normal, false, 0),
        (Urgency::High, true, 0),
        (Urgency::Idle, true, 1),
        (Urgency::Idle, false, 1),
    ] {
        let now = Instant::now();
        let mut cluster = ClusterState::new(7, settings(), Properties::default(), now);
        cluster.loaded = true;
        cluster.take_heartbeat(heartbeat("m1", false, 1, vec![]), MessageKind::Heartbeat, None, now);
        let mut runs = job(1, "other", "blue");
        (runs.cpus, runs.urgency) = (8.0, running);
        cluster.add_job(record(runs), now);
        let placed = plan::place(&mut cluster, &catalog(), now);
        cluster.bind_placements(placed, now);
        let mut hot = job(2, "hot", "blue");
        hot.cpus = 8.0;
        cluster.add_job(Arc::new(JobRecord { spec: hot, accepted_ms: time_of_day_ms() - 60_000 }), now);
        if prioritized {
            cluster.set_intents(priority_boost_intents(&["hot"], 0.9));
        }
        preempt::preempt(&mut cluster, &catalog(), now);
        let preempted = cluster.job(&"run-000001".into()).unwrap().binding(0).unwrap().halt_grace_s.is_some();
        assert_eq!(usize::from(preempted), want, "{running:?}, prioritized {prioritized}");
    }
}
