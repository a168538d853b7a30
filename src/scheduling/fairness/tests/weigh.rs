//! The ways to keep a floor, weighed on a model in counted seconds: one pool of cores or two, jobs
//! of classes with a promise, and an order. What docs/fairness.md tells of them is printed here:
//! `cargo test --lib weigh -- --nocapture`.

use std::cmp::Reverse;
use std::collections::VecDeque;

use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::scheduling::fairness::floor::{CoreCredit, Rank};

#[derive(Debug, Clone, Copy, PartialEq)]
enum Way {
    /// The paper's order alone.
    Return,
    /// The return times what the class still lacks.
    Weight,
    /// A class earns by its offered work and goes first while it is owed.
    Deficit,
    /// Each class has its part of the machines for itself.
    Reserved,
    /// The return grows with age.
    Ageing,
    /// Below the floor first, by the earliest promise that can be kept; the rest by return.
    Earliest,
    /// Below the floor first, by return.
    Absolute,
    /// What was built: who is below the floor against all together goes first, by return; a core credit for
    /// what is late.
    Floor,
}

#[derive(Clone, Copy)]
struct Class {
    cores: f64,
    run_s: u32,
    every_s: f64,
    promise_s: f64,
    /// Fits the small pool only.
    scarce: bool,
}

#[derive(Clone, Copy)]
struct Job {
    class: usize,
    came_s: u32,
}

struct Day {
    name: &'static str,
    classes: Vec<Class>,
    /// (class, times as often, from, to)
    flood: (usize, f64, u32, u32),
    /// Nothing runs in this time.
    outage: (u32, u32),
}

fn days() -> Vec<Day> {
    let class = |cores, run_s, every_s, promise_s, scarce| Class { cores, run_s, every_s, promise_s, scarce };
    let plain =
        vec![class(4.0, 30, 2.0, 90.0, false), class(4.0, 60, 4.0, 150.0, false), class(8.0, 60, 8.0, 150.0, true)];
    let gangs = vec![class(40.0, 60, 20.0, 200.0, false), class(1.0, 30, 0.5, 90.0, false)];
    let day = |name, classes: &Vec<Class>, flood, outage| Day { name, classes: classes.clone(), flood, outage };
    vec![
        day("one class five times", &plain, (0, 5.0, 200, 500), (0, 0)),
        day("a scarce kind", &plain, (2, 4.0, 200, 500), (0, 0)),
        day("long jobs flood", &plain, (1, 5.0, 200, 500), (0, 0)),
        day("gangs against small", &gangs, (1, 4.0, 200, 500), (0, 0)),
        day("after an outage", &plain, (0, 1.0, 0, 0), (200, 320)),
    ]
}

const POOLS: [f64; 2] = [170.0, 60.0];
/// As `served.floor` and `served.late.part`.
const FLOOR: f64 = 0.75;
const LATE: f64 = 0.05;
const ENDS_S: u32 = 900;

/// In time of all that came, by class, and in time over all.
fn simulate(day: &Day, way: Way, seed: u64) -> Vec<f64> {
    let mut rng = StdRng::seed_from_u64(seed);
    let n = day.classes.len();
    let (mut waiting, mut running): (Vec<Job>, Vec<(Job, u32, usize)>) = (Vec::new(), Vec::new());
    let (mut came, mut kept) = (vec![0.0f64; n], vec![0.0f64; n]);
    let mut recent: VecDeque<(u32, usize, bool)> = VecDeque::new();
    let (mut owed, mut core_credit) = (vec![0.0f64; n], CoreCredit::default());
    for t in 0..ENDS_S {
        for (at, class) in day.classes.iter().enumerate() {
            let (which, times, from, to) = day.flood;
            let rate = if which == at && (from..to).contains(&t) { times } else { 1.0 } / class.every_s;
            let mut left = rate;
            // Arrivals that could not be done by the end of the day say nothing.
            while left > 0.0 && t + 300 < ENDS_S {
                if rng.random_bool(left.min(1.0)) {
                    waiting.push(Job { class: at, came_s: t });
                    came[at] += 1.0;
                    owed[at] += class.cores * f64::from(class.run_s);
                }
                left -= 1.0;
            }
        }
        running.retain(|(job, ends, _)| {
            let over = *ends <= t;
            if over {
                let in_time = f64::from(t - job.came_s) <= day.classes[job.class].promise_s;
                kept[job.class] += f64::from(u8::from(in_time));
                recent.push_back((t, job.class, in_time));
            }
            !over
        });
        while recent.front().is_some_and(|(at, ..)| at + 200 < t) {
            recent.pop_front();
        }
        if (day.outage.0..day.outage.1).contains(&t) {
            running.clear();
            continue;
        }
        let age = |job: &Job| f64::from(t - job.came_s);
        let next = |job: &Job| {
            let class = &day.classes[job.class];
            Some(class.promise_s - age(job) - f64::from(class.run_s)).filter(|s| *s > 0.0)
        };
        let served: Vec<f64> = (0..n)
            .map(|c| {
                let missed = waiting.iter().filter(|j| j.class == c && age(j) > day.classes[c].promise_s).count();
                let seen: Vec<bool> =
                    recent.iter().filter(|(_, class, _)| *class == c).map(|(.., kept)| *kept).collect();
                let all = seen.len() + missed;
                if all < 6 { 1.0 } else { seen.iter().filter(|k| **k).count() as f64 / all as f64 }
            })
            .collect();
        let all = (0..n).map(|c| served[c] * came[c]).sum::<f64>() / came.iter().sum::<f64>().max(1.0);
        let worth = |job: &Job| {
            let class = &day.classes[job.class];
            // The paper's return, with a budget of run time times cores.
            let delay = (age(job) + f64::from(class.run_s) - class.promise_s).max(0.0);
            (class.cores * (1.0 - delay / class.promise_s) / class.promise_s).max(0.0)
        };
        let key = |job: &Job| -> (Rank, f64) {
            let by_return = Rank::ByReturn;
            match way {
                Way::Return | Way::Reserved => (by_return, -worth(job)),
                Way::Weight => (by_return, -worth(job) / served[job.class].max(0.05)),
                Way::Deficit => (by_return, -owed[job.class]),
                Way::Ageing => (by_return, -(worth(job) + age(job) * 1e-3)),
                Way::Earliest if served[job.class] < FLOOR => {
                    (Rank::of(true, next(job).is_none(), false), next(job).unwrap_or(0.0))
                }
                Way::Absolute | Way::Earliest => {
                    (Rank::of(served[job.class] < FLOOR, next(job).is_none(), false), -worth(job))
                }
                Way::Floor => (Rank::of(served[job.class] < FLOOR * all, next(job).is_none(), false), -worth(job)),
            }
        };
        waiting.sort_by(|a, b| {
            let ((ra, wa), (rb, wb)) = (key(a), key(b));
            ra.cmp(&rb).then(wa.total_cmp(&wb)).then(a.came_s.cmp(&b.came_s))
        });
        if way == Way::Floor {
            let late = waiting
                .iter()
                .enumerate()
                .filter(|(_, j)| next(j).is_none())
                .min_by_key(|(_, j)| (j.came_s, Reverse(j.class)));
            let late = late.map(|(at, j)| (at, day.classes[j.class].cores));
            core_credit.cap(late.map(|(_, cores)| cores));
            if let Some((at, _)) = late.filter(|(_, cores)| *cores <= core_credit.cores()) {
                let job = waiting.remove(at);
                waiting.insert(0, job);
            }
        }
        let mut free = POOLS;
        let mut taken = vec![0.0f64; n];
        for (job, _, pool) in &running {
            free[*pool] -= day.classes[job.class].cores;
            taken[job.class] += day.classes[job.class].cores;
        }
        let mut rest = Vec::new();
        for job in waiting.drain(..) {
            let class = &day.classes[job.class];
            let pool = (usize::from(class.scarce)..2).find(|p| free[*p] >= class.cores);
            let mine = taken[job.class] + class.cores <= (POOLS[0] + POOLS[1]) / n as f64 + 1.0;
            match pool.filter(|_| way != Way::Reserved || mine) {
                Some(pool) => {
                    core_credit.record_placement(class.cores, next(&job).is_none(), LATE);
                    free[pool] -= class.cores;
                    taken[job.class] += class.cores;
                    owed[job.class] -= class.cores * f64::from(class.run_s);
                    running.push((job, t + class.run_s, pool));
                }
                None => rest.push(job),
            }
        }
        waiting = rest;
    }
    came.iter().zip(&kept).map(|(all, kept)| kept / all.max(1.0)).collect()
}

#[test]
fn ways_to_keep_a_floor() {
    let ways =
        [Way::Return, Way::Weight, Way::Deficit, Way::Reserved, Way::Ageing, Way::Earliest, Way::Absolute, Way::Floor];
    let mut least = vec![(1.0f64, 0.0f64); ways.len()];
    for day in days() {
        for (at, way) in ways.into_iter().enumerate() {
            let runs: Vec<Vec<f64>> = (0..5).map(|seed| simulate(&day, way, seed)).collect();
            let mean: Vec<f64> = (0..day.classes.len()).map(|c| runs.iter().map(|r| r[c]).sum::<f64>() / 5.0).collect();
            let worst = mean.iter().copied().fold(1.0, f64::min);
            println!("{:22} {way:9?} worst {worst:.2}  each {mean:.2?}", day.name);
            least[at] = (least[at].0.min(worst), least[at].1 + worst / 5.0);
        }
    }
    let of = |way| least[ways.iter().position(|w| *w == way).unwrap()];
    let ((least_built, mean_built), (_, mean_return)) = (of(Way::Floor), of(Way::Return));
    assert!(least_built >= 0.35 && mean_built >= mean_return, "the floor does not pay: {least_built}, {mean_built}");
    for other in [Way::Deficit, Way::Reserved, Way::Ageing] {
        assert!(mean_built > of(other).1, "{other:?} does better: the choice is to be weighed again");
    }
    for (way, (least, mean)) in ways.iter().zip(&least) {
        println!("{way:9?} worst class of all days {least:.2}, mean of the days' worst {mean:.2}");
    }
}
