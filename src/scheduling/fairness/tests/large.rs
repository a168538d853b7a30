//! The floor by size: the largest gangs of a class begin within a stated time.

use super::*;
use crate::protocol::jobs::Urgency;
use crate::scheduling::large::LargeGangs;

/// What began in time of the largest, and of the others, in a steady overload: gangs of two, and now and then one
/// of a dozen, on twenty machines that take two tasks each.
fn overloaded(large_begin: f64, seed: u64) -> (f64, f64) {
    use rand::{Rng, SeedableRng, rngs::StdRng};
    let mut rng = StdRng::seed_from_u64(seed);
    let properties = Properties { large_begin: s(large_begin), served_window: s(120.0), ..Properties::default() };
    let mut world = World::new(20, properties);
    let (mut came, mut begun): (BTreeMap<JobId, (u32, bool)>, BTreeMap<JobId, u32>) = Default::default();
    for t in 0..600u32 {
        if t < 400 {
            for (gang, every_s) in [(2, 3), (12, 15)] {
                if rng.random_ratio(1, every_s) {
                    world.submit("big", 4.0, gang);
                    came.insert(JobId::from(format!("run-{:06}", world.jobs).as_str()), (t, gang > 2));
                }
            }
        }
        world.step(|_| true);
        for (id, job) in world.cluster.jobs().filter(|(_, job)| job.has_run()) {
            if job.ended.is_none() {
                begun.entry(id.clone()).or_insert(t);
            }
        }
        world.cluster.jobs().filter(|(id, _)| came.contains_key(*id)).for_each(|(id, job)| {
            assert!(job.bound.is_empty() || job.waiting.is_empty(), "{id}: a gang is placed whole");
        });
    }
    let part = |large: bool| {
        let of: Vec<_> = came.iter().filter(|(_, (at, l))| *l == large && *at < 340).collect();
        let soon = of.iter().filter(|(id, (at, _))| begun.get(*id).is_some_and(|b| b - at <= 120)).count();
        soon as f64 / of.len().max(1) as f64
    };
    (part(true), part(false))
}

/// Found on three standard days of the fleets: half of the largest gangs began after more than six minutes while
/// the small ones of their class began at once.
#[test]
fn the_largest_begin_in_time_as_far_as_what_they_offer_reaches() {
    let mean = |large_begin: f64| {
        let parts: Vec<(f64, f64)> = (0..5).map(|seed| overloaded(large_begin, seed)).collect();
        let n = parts.len() as f64;
        (parts.iter().map(|p| p.0).sum::<f64>() / n, parts.iter().map(|p| p.1).sum::<f64>() / n)
    };
    let (without, _) = mean(86400.0);
    let (with, others) = mean(120.0);
    assert!(without < 0.5, "by return alone they are pushed out: {without}");
    assert!(with >= 0.6 && with > without + 0.2, "{without} without, {with} with");
    assert!(others >= 0.6, "and the others are served: {others}");
}

#[test]
fn the_largest_of_a_class_by_cases() {
    let now = Instant::now();
    let gang = |tasks: u64| JobSpec { shape: Shape::Gang, tasks, ..job(1, "big", "t") };
    // (name, sizes that came, size, whether it is among the largest)
    type Case = (&'static str, &'static [u64], u64, bool);
    let cases: [Case; 7] = [
        ("nothing came", &[], 16, false),
        ("all alike", &[4, 4, 4], 4, true),
        ("the top tenth", &[1, 2, 2, 2, 2, 2, 2, 2, 2, 16], 16, true),
        ("not of the top tenth", &[1, 2, 2, 2, 2, 2, 2, 2, 2, 16], 2, false),
        ("as large as the top tenth", &[3, 3, 6, 6, 16, 16, 16], 16, true),
        ("larger than any so far", &[3, 3, 6], 64, true),
        ("a single task needs no room beside others", &[1, 1, 1], 1, false),
    ];
    for (name, came, size, want) in cases {
        let mut large = LargeGangs::new(&Properties::default(), now);
        came.iter().for_each(|n| large.record_offer(&gang(*n), Duration::ZERO, now));
        assert_eq!(large.is_large_gang(&gang(size)), want, "{name}");
        let idle = JobSpec { urgency: Urgency::Idle, ..gang(size) };
        let array = JobSpec { shape: Shape::Array, ..gang(size) };
        assert!(
            !large.is_large_gang(&idle) && !large.is_large_gang(&array),
            "{name}: idle work waits, an array begins with its first task"
        );
    }
}

/// Found on a standard day with guests: of six idle arrays of 598 tasks four began after seven minutes, since
/// whatever came free went to the first two and to others. One task of each is little.
#[test]
fn the_largest_idle_arrays_begin_with_one_task() {
    let begins = |large_begin: f64| {
        let mut world = World::new(2, Properties { large_begin: s(large_begin), ..Properties::default() });
        let idle = |n: u32| JobSpec { urgency: Urgency::Idle, tasks: 5, cpus: 4.0, ..job(n, "guests", "blue") };
        (900..903).for_each(|n| world.cluster.add_job(record(idle(n)), world.now()));
        world.runs_s.insert("guests".into(), 20);
        for _ in 0..90 {
            // Fresh work for more than all machines, always.
            (0..2).for_each(|_| world.submit("small", 8.0, 1));
            world.step(|_| true);
        }
        let guests = world.cluster.jobs().filter(|(_, job)| job.spec().class == "guests");
        guests.map(|(_, job)| job.tasks.iter().filter(|t| t.attempt > 0).count()).collect::<Vec<_>>()
    };
    assert_eq!(begins(86400.0), [0, 0, 0], "behind all else");
    assert!(begins(60.0).iter().all(|n| *n == 1), "one task of each, and no more: {:?}", begins(60.0));
}
