//! Comparison of queue policies that keep a served floor, on a model in simulated seconds: two pools of cores, classes
//! of jobs with one promise each, and a policy that orders the queue. The figures in docs/fairness.md are printed by
//! `cargo test --lib weigh -- --nocapture`.

use std::cmp::Reverse;
use std::collections::VecDeque;

use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::scheduling::fairness::floor::{CoreCredit, Rank};

#[derive(Debug, Clone, Copy, PartialEq)]
enum Policy {
    /// Ordered by return alone, as in the LibraSLA paper.
    Return,
    /// Ordered by return divided by the share of the class's promises that was kept.
    Weight,
    /// A class earns credit by its offered work and is ordered by the credit that it has left.
    Deficit,
    /// Ordered by return; each class may use only its own share of the cores.
    Reserved,
    /// Ordered by return plus a bonus that grows with age.
    Ageing,
    /// Classes below the floor first, by the earliest promise that can be kept; the rest by return.
    Earliest,
    /// Classes below the floor first, by return.
    Absolute,
    /// The policy of the scheduler: classes below the floor relative to all classes together first, by return; late
    /// jobs receive a core credit.
    Floor,
}

/// Class of jobs in the model.
#[derive(Clone, Copy)]
struct Class {
    cores: f64,
    run_s: u32,
    /// Mean time between two submissions, in seconds.
    interval_s: f64,
    /// Time from its submission within which a job is to be done, in seconds.
    promise_s: f64,
    /// Whether the jobs fit into the smaller pool only.
    scarce: bool,
}

#[derive(Clone, Copy)]
struct Job {
    /// Index of the class.
    class: usize,
    submitted_s: u32,
}

/// Load of one simulated day.
struct Day {
    name: &'static str,
    classes: Vec<Class>,
    /// Flood of one class: index of the class, factor on its rate, start and end in seconds.
    flood: (usize, f64, u32, u32),
    /// Start and end of an outage in seconds, during which nothing runs.
    outage: (u32, u32),
}

fn days() -> Vec<Day> {
    let class = |cores, run_s, interval_s, promise_s, scarce| Class { cores, run_s, interval_s, promise_s, scarce };
    let plain =
        vec![class(4.0, 30, 2.0, 90.0, false), class(4.0, 60, 4.0, 150.0, false), class(8.0, 60, 8.0, 150.0, true)];
    let gangs = vec![class(40.0, 60, 20.0, 200.0, false), class(1.0, 30, 0.5, 90.0, false)];
    let day = |name, classes: &Vec<Class>, flood, outage| Day { name, classes: classes.clone(), flood, outage };
    vec![
        day("flood of short jobs", &plain, (0, 5.0, 200, 500), (0, 0)),
        day("flood of scarce jobs", &plain, (2, 4.0, 200, 500), (0, 0)),
        day("flood of long jobs", &plain, (1, 5.0, 200, 500), (0, 0)),
        day("large jobs and small", &gangs, (1, 4.0, 200, 500), (0, 0)),
        day("outage", &plain, (0, 1.0, 0, 0), (200, 320)),
    ]
}

/// Cores of the two pools.
const POOL_CORES: [f64; 2] = [170.0, 60.0];
/// Same value as the property `served.floor`.
const SERVED_FLOOR: f64 = 0.75;
/// Same value as the property `served.late.part`.
const LATE_SHARE: f64 = 0.05;
/// Length of the simulated day, in seconds.
const DAY_S: u32 = 900;

/// Simulates a day and returns the share of the submitted jobs that were done in time, by class.
fn simulate(day: &Day, policy: Policy, seed: u64) -> Vec<f64> {
    let mut rng = StdRng::seed_from_u64(seed);
    let n = day.classes.len();
    let (mut waiting, mut running): (Vec<Job>, Vec<(Job, u32, usize)>) = (Vec::new(), Vec::new());
    let (mut submitted, mut in_time_count) = (vec![0.0f64; n], vec![0.0f64; n]);
    let mut recent: VecDeque<(u32, usize, bool)> = VecDeque::new();
    let (mut owed_core_s, mut core_credit) = (vec![0.0f64; n], CoreCredit::default());
    for t in 0..DAY_S {
        for (at, class) in day.classes.iter().enumerate() {
            let (flooding, factor, from, to) = day.flood;
            let rate = if flooding == at && (from..to).contains(&t) { factor } else { 1.0 } / class.interval_s;
            let mut left = rate;
            // Jobs that could not be done by the end of the day are not submitted.
            while left > 0.0 && t + 300 < DAY_S {
                if rng.random_bool(left.min(1.0)) {
                    waiting.push(Job { class: at, submitted_s: t });
                    submitted[at] += 1.0;
                    owed_core_s[at] += class.cores * f64::from(class.run_s);
                }
                left -= 1.0;
            }
        }
        running.retain(|(job, ends, _)| {
            let has_ended = *ends <= t;
            if has_ended {
                let in_time = f64::from(t - job.submitted_s) <= day.classes[job.class].promise_s;
                in_time_count[job.class] += f64::from(u8::from(in_time));
                recent.push_back((t, job.class, in_time));
            }
            !has_ended
        });
        while recent.front().is_some_and(|(at, ..)| at + 200 < t) {
            recent.pop_front();
        }
        if (day.outage.0..day.outage.1).contains(&t) {
            running.clear();
            continue;
        }
        let age = |job: &Job| f64::from(t - job.submitted_s);
        let latest_start_s = |job: &Job| {
            let class = &day.classes[job.class];
            Some(class.promise_s - age(job) - f64::from(class.run_s)).filter(|s| *s > 0.0)
        };
        let served: Vec<f64> = (0..n)
            .map(|c| {
                let missed = waiting.iter().filter(|j| j.class == c && age(j) > day.classes[c].promise_s).count();
                let judged: Vec<bool> =
                    recent.iter().filter(|(_, class, _)| *class == c).map(|(.., kept)| *kept).collect();
                let all = judged.len() + missed;
                if all < 6 { 1.0 } else { judged.iter().filter(|k| **k).count() as f64 / all as f64 }
            })
            .collect();
        let all = (0..n).map(|c| served[c] * submitted[c]).sum::<f64>() / submitted.iter().sum::<f64>().max(1.0);
        let job_return = |job: &Job| {
            let class = &day.classes[job.class];
            // The return of the LibraSLA paper, with a budget of run time times cores.
            let delay = (age(job) + f64::from(class.run_s) - class.promise_s).max(0.0);
            (class.cores * (1.0 - delay / class.promise_s) / class.promise_s).max(0.0)
        };
        let key = |job: &Job| -> (Rank, f64) {
            let by_return = Rank::ByReturn;
            match policy {
                Policy::Return | Policy::Reserved => (by_return, -job_return(job)),
                Policy::Weight => (by_return, -job_return(job) / served[job.class].max(0.05)),
                Policy::Deficit => (by_return, -owed_core_s[job.class]),
                Policy::Ageing => (by_return, -(job_return(job) + age(job) * 1e-3)),
                Policy::Earliest if served[job.class] < SERVED_FLOOR => {
                    (Rank::of(true, latest_start_s(job).is_none(), false), latest_start_s(job).unwrap_or(0.0))
                }
                Policy::Absolute | Policy::Earliest => {
                    (Rank::of(served[job.class] < SERVED_FLOOR, latest_start_s(job).is_none(), false), -job_return(job))
                }
                Policy::Floor => (
                    Rank::of(served[job.class] < SERVED_FLOOR * all, latest_start_s(job).is_none(), false),
                    -job_return(job),
                ),
            }
        };
        waiting.sort_by(|a, b| {
            let ((rank_a, order_a), (rank_b, order_b)) = (key(a), key(b));
            rank_a.cmp(&rank_b).then(order_a.total_cmp(&order_b)).then(a.submitted_s.cmp(&b.submitted_s))
        });
        if policy == Policy::Floor {
            let late = waiting
                .iter()
                .enumerate()
                .filter(|(_, j)| latest_start_s(j).is_none())
                .min_by_key(|(_, j)| (j.submitted_s, Reverse(j.class)));
            let late = late.map(|(at, j)| (at, day.classes[j.class].cores));
            core_credit.cap(late.map(|(_, cores)| cores));
            if let Some((at, _)) = late.filter(|(_, cores)| *cores <= core_credit.cores()) {
                let job = waiting.remove(at);
                waiting.insert(0, job);
            }
        }
        let mut free_cores = POOL_CORES;
        let mut used_cores = vec![0.0f64; n];
        for (job, _, pool) in &running {
            free_cores[*pool] -= day.classes[job.class].cores;
            used_cores[job.class] += day.classes[job.class].cores;
        }
        let mut still_waiting = Vec::new();
        for job in waiting.drain(..) {
            let class = &day.classes[job.class];
            let pool = (usize::from(class.scarce)..2).find(|p| free_cores[*p] >= class.cores);
            let within_share = used_cores[job.class] + class.cores <= (POOL_CORES[0] + POOL_CORES[1]) / n as f64 + 1.0;
            match pool.filter(|_| policy != Policy::Reserved || within_share) {
                Some(pool) => {
                    core_credit.record_placement(class.cores, latest_start_s(&job).is_none(), LATE_SHARE);
                    free_cores[pool] -= class.cores;
                    used_cores[job.class] += class.cores;
                    owed_core_s[job.class] -= class.cores * f64::from(class.run_s);
                    running.push((job, t + class.run_s, pool));
                }
                None => still_waiting.push(job),
            }
        }
        waiting = still_waiting;
    }
    submitted.iter().zip(&in_time_count).map(|(all, in_time)| in_time / all.max(1.0)).collect()
}

#[test]
fn floor_policy_serves_the_worst_class_no_worse_than_the_alternatives() {
    let policies = [
        Policy::Return,
        Policy::Weight,
        Policy::Deficit,
        Policy::Reserved,
        Policy::Ageing,
        Policy::Earliest,
        Policy::Absolute,
        Policy::Floor,
    ];
    // For each policy: the worst served class of all days, and the mean of the worst of each day.
    let mut worst_of = vec![(1.0f64, 0.0f64); policies.len()];
    for day in days() {
        for (index, policy) in policies.into_iter().enumerate() {
            let runs: Vec<Vec<f64>> = (0..5).map(|seed| simulate(&day, policy, seed)).collect();
            let mean: Vec<f64> = (0..day.classes.len()).map(|c| runs.iter().map(|r| r[c]).sum::<f64>() / 5.0).collect();
            let worst = mean.iter().copied().fold(1.0, f64::min);
            println!("{:22} {policy:9?} worst {worst:.2}  each {mean:.2?}", day.name);
            worst_of[index] = (worst_of[index].0.min(worst), worst_of[index].1 + worst / 5.0);
        }
    }
    let of = |policy| worst_of[policies.iter().position(|w| *w == policy).unwrap()];
    let ((worst_floor, mean_floor), (_, mean_return)) = (of(Policy::Floor), of(Policy::Return));
    assert!(
        worst_floor >= 0.35 && mean_floor >= mean_return,
        "the floor does not improve the worst served class: {worst_floor}, mean {mean_floor}"
    );
    for other in [Policy::Deficit, Policy::Reserved, Policy::Ageing] {
        assert!(
            mean_floor > of(other).1,
            "{other:?} serves the worst class better than the floor: reconsider the policy"
        );
    }
    for (policy, (worst, mean)) in policies.iter().zip(&worst_of) {
        println!("{policy:9?} worst class of all days {worst:.2}, mean of the days' worst {mean:.2}");
    }
}
