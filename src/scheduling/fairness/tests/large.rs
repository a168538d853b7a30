//! Tests of the guarantee for large jobs: the largest gangs of a class start within a configured time.

use super::*;
use crate::protocol::jobs::Urgency;
use crate::scheduling::large::LargeGangs;

/// Shares of gangs that started within 120 s.
struct StartShares {
    largest: f64,
    others: f64,
}

/// Simulates a steady overload by gangs of two tasks and occasional gangs of twelve, on twenty machines that take two
/// tasks each.
fn simulate_overload(gang_start_limit: f64, seed: u64) -> StartShares {
    use rand::{Rng, SeedableRng, rngs::StdRng};
    let mut rng = StdRng::seed_from_u64(seed);
    let properties =
        Properties { gang_start_limit: s(gang_start_limit), served_window: s(120.0), ..Properties::default() };
    let mut world = World::new(20, properties);
    let (mut submitted, mut started): (BTreeMap<JobId, (u32, bool)>, BTreeMap<JobId, u32>) = Default::default();
    for t in 0..600u32 {
        if t < 400 {
            for (gang, every_s) in [(2, 3), (12, 15)] {
                if rng.random_ratio(1, every_s) {
                    world.submit("big", 4.0, gang);
                    submitted.insert(JobId::from(format!("run-{:06}", world.job_count).as_str()), (t, gang > 2));
                }
            }
        }
        world.step(|_| true);
        for (id, job) in world.cluster.jobs().filter(|(_, job)| job.has_run()) {
            if job.ended.is_none() {
                started.entry(id.clone()).or_insert(t);
            }
        }
        world.cluster.jobs().filter(|(id, _)| submitted.contains_key(*id)).for_each(|(id, job)| {
            assert!(job.bound.is_empty() || job.waiting.is_empty(), "{id}: a gang must be placed as a whole");
        });
    }
    let share = |large: bool| {
        let gangs: Vec<_> = submitted.iter().filter(|(_, (at, l))| *l == large && *at < 340).collect();
        let in_time = gangs.iter().filter(|(id, (at, _))| started.get(*id).is_some_and(|s| s - at <= 120)).count();
        in_time as f64 / gangs.len().max(1) as f64
    };
    StartShares { largest: share(true), others: share(false) }
}

/// In simulations of three standard days, half of the largest gangs started after more than six minutes while the small
/// gangs of their class started at once.
#[test]
fn largest_gangs_start_in_time_under_steady_overload() {
    let mean = |gang_start_limit: f64| {
        let shares: Vec<StartShares> = (0..5).map(|seed| simulate_overload(gang_start_limit, seed)).collect();
        let n = shares.len() as f64;
        StartShares {
            largest: shares.iter().map(|s| s.largest).sum::<f64>() / n,
            others: shares.iter().map(|s| s.others).sum::<f64>() / n,
        }
    };
    let without = mean(86400.0).largest;
    let StartShares { largest: with, others } = mean(120.0);
    assert!(without < 0.5, "ordered by return alone, the largest gangs starve: {without} started in time");
    assert!(with >= 0.6 && with > without + 0.2, "started in time: {without} without the guarantee, {with} with it");
    assert!(others >= 0.6, "other gangs started in time: {others}");
}

#[test]
fn large_gangs_are_the_top_tenth_of_their_class_by_tasks() {
    let now = Instant::now();
    let gang = |tasks: u64| JobSpec { shape: Shape::Gang, tasks, ..job(1, "big", "t") };
    // (name, sizes submitted, size, whether it is among the largest)
    type Case = (&'static str, &'static [u64], u64, bool);
    let cases: [Case; 7] = [
        ("none submitted", &[], 16, false),
        ("all of the same size", &[4, 4, 4], 4, true),
        ("in the top tenth", &[1, 2, 2, 2, 2, 2, 2, 2, 2, 16], 16, true),
        ("below the top tenth", &[1, 2, 2, 2, 2, 2, 2, 2, 2, 16], 2, false),
        ("as large as the top tenth", &[3, 3, 6, 6, 16, 16, 16], 16, true),
        ("larger than any so far", &[3, 3, 6], 64, true),
        ("a single task is no gang", &[1, 1, 1], 1, false),
    ];
    for (name, submitted, size, want) in cases {
        let mut large = LargeGangs::new(&Properties::default(), now);
        submitted.iter().for_each(|n| large.record_offer(&gang(*n), Duration::ZERO, now));
        assert_eq!(large.is_large_gang(&gang(size)), want, "{name}");
        let idle = JobSpec { urgency: Urgency::Idle, ..gang(size) };
        let array = JobSpec { shape: Shape::Array, ..gang(size) };
        assert!(
            !large.is_large_gang(&idle) && !large.is_large_gang(&array),
            "{name}: neither idle work nor an array, which starts with its first task, is a large gang"
        );
    }
}

/// In a simulation of a standard day with guests, four of six idle arrays of 598 tasks started after more than seven
/// minutes because all free capacity went to the first two and to other work. One task of each array takes little.
#[test]
fn largest_idle_arrays_start_with_one_task_each_under_overload() {
    let started_tasks = |gang_start_limit: f64| {
        let mut world = World::new(2, Properties { gang_start_limit: s(gang_start_limit), ..Properties::default() });
        let idle = |n: u32| JobSpec { urgency: Urgency::Idle, tasks: 5, cpus: 4.0, ..job(n, "guests", "blue") };
        (900..903).for_each(|n| world.cluster.add_job(record(idle(n)), world.now()));
        world.run_times_s.insert("guests".into(), 20);
        for _ in 0..90 {
            // In every second more work arrives than all machines can run.
            (0..2).for_each(|_| world.submit("small", 8.0, 1));
            world.step(|_| true);
        }
        let guests = world.cluster.jobs().filter(|(_, job)| job.spec().class == "guests");
        guests.map(|(_, job)| job.tasks.iter().filter(|t| t.attempt > 0).count()).collect::<Vec<_>>()
    };
    assert_eq!(started_tasks(86400.0), [0, 0, 0], "without the guarantee idle arrays wait behind all other work");
    assert!(
        started_tasks(60.0).iter().all(|n| *n == 1),
        "exactly one task of each array starts: {:?}",
        started_tasks(60.0)
    );
}
