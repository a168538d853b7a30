//! Who goes ahead when asked, on the cluster state itself in counted time: what it gives, and what it leaves to others.

use std::collections::BTreeMap;

use super::*;
use crate::jobs::Urgency;
use crate::scheduling::intents::{Intents, PriorityBoost};
use crate::scheduling::preempt;

fn ahead_intents(classes: &[&str], most_part: f64) -> Intents {
    let names = ClassTeamSet::from_subjects(classes.iter().map(|name| (Subject::Class, *name)));
    Intents { priority_boost: Some(PriorityBoost { names, max_core_share: most_part }), ..Intents::default() }
}

/// How long the jobs of a class waited until all of a gang, or the first of an array, had places; and the
/// largest gangs of them.
struct Waits {
    all: Vec<u32>,
    largest: Vec<u32>,
}

/// A class in ordinary numbers, a fifth of it gangs of five tasks, a quarter of all cores, in the flood of another one.
fn hot_day(asked: Option<f64>, hot: &str, flood: &str, seed: u64) -> (World, Waits) {
    use rand::{Rng, SeedableRng, rngs::StdRng};
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = World::new(10, Properties { served_window: s(120.0), ..Properties::default() });
    if let Some(part) = asked {
        world.cluster.set_intents(ahead_intents(&[hot], part));
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
                waiting.insert(format!("run-{:06}", world.jobs).as_str().into(), (t, largest));
            }
        }
        world.step(|_| true);
        waiting.retain(|id, (came, largest)| {
            let waits_still = world.cluster.job(id).is_some_and(|job| !job.waiting.is_empty());
            if !waits_still {
                waits.all.push(t - *came);
                waits.largest.extend(largest.then_some(t - *came));
            }
            waits_still
        });
    }
    (world, waits)
}

fn mean(waits: &[u32]) -> f64 {
    waits.iter().sum::<u32>() as f64 / waits.len().max(1) as f64
}

/// What the intent is for: work that is asked to go ahead starts sooner in a flood, the largest of it too, and
/// those who flood lose no more than that. Fails where the order, or what is held, does not know of it.
#[test]
fn what_goes_ahead_starts_sooner_the_largest_too() {
    for (hot, flood) in [("big", "small"), ("small", "big")] {
        let (mut off, mut on) = (Waits { all: vec![], largest: vec![] }, Waits { all: vec![], largest: vec![] });
        let (mut served_off, mut served_on) = (0.0, 0.0);
        for seed in 0..6 {
            for (asked, waits, served) in [(None, &mut off, &mut served_off), (Some(0.5), &mut on, &mut served_on)] {
                let (world, more) = hot_day(asked, hot, flood, seed);
                assert_eq!(world.cluster.job_count(), 0, "and nothing is left undone");
                waits.all.extend(more.all);
                waits.largest.extend(more.largest);
                *served += world.part(flood) / 6.0;
            }
        }
        let figures = format!(
            "{hot}: mean {:.1} -> {:.1}, longest {} -> {}, largest {:.1} -> {:.1}; {flood} in time {served_off:.2} -> {served_on:.2}",
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

    /// Whatever goes ahead, and however much of it comes: the other class keeps its floor.
    #[test]
    fn others_keep_their_floor_while_somebody_goes_ahead(
        seed in any::<u64>(), which in 0..2usize, times in 3..7u32, gang in 1..3u64, most_part in 0.1..0.9f64,
    ) {
        let classes = ["small", "big"];
        let hot = ahead_intents(&[classes[which]], most_part);
        let world = flooded_with(classes[which], times, gang, 0.75, seed, hot);
        let served = |class| {
            let (part, n) = world.part_of(class, 0, 300);
            ((part / 0.9).min(1.0), n as f64)
        };
        let ((flood, flooding), (other, n)) = (served(classes[which]), served(classes[1 - which]));
        let all = (other * n + flood * flooding) / (n + flooding).max(1.0);
        prop_assert!(n < 10.0 || other >= 0.75 * all, "{}: {other} of {n}, all {all}", classes[1 - which]);
        prop_assert_eq!(world.cluster.job_count(), 0, "and nothing is left undone");
    }
}

/// PROTOCOL, "Preemption": who may be stopped for whom is as it was. Nobody of the same urgency is.
#[test]
fn nobody_of_the_same_urgency_is_stopped() {
    for (running, asks, want) in [
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
        cluster.add_job(Arc::new(JobRecord { spec: hot, at_ms: time_of_day_ms() - 60_000 }), now);
        if asks {
            cluster.set_intents(ahead_intents(&["hot"], 0.9));
        }
        preempt::preempt(&mut cluster, &catalog(), now);
        let stopped = cluster.job(&"run-000001".into()).unwrap().binding(0).unwrap().halt_grace_s.is_some();
        assert_eq!(usize::from(stopped), want, "{running:?}, asked {asks}");
    }
}
