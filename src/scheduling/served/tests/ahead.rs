//! Who goes ahead when asked: the order by properties, and on the book itself in counted time what it gives
//! and what it leaves to others.

use std::collections::BTreeMap;

use super::*;
use crate::jobs::Urgency;
use crate::scheduling::preempt;
use crate::scheduling::wishes::{Ahead, Wishes};

fn wish(classes: &[&str], most_part: f64) -> Wishes {
    let names = Names::of(classes.iter().map(|name| (Whose::Class, *name)));
    Wishes { ahead: Some(Ahead { names, most_part }), ..Wishes::default() }
}

const URGENCIES: [Urgency; 4] = [Urgency::Prod, Urgency::High, Urgency::Normal, Urgency::Idle];

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever waits: others keep their order among themselves; what goes ahead is before all of its urgency
    /// that share its guarantee and rank, and passes another urgency only where its own had; and with what its
    /// work holds it takes no more than its part.
    #[test]
    fn only_the_same_urgency_is_passed_and_only_within_the_bound(
        jobs in prop::collection::vec((0..2usize, 0..2usize, 0..4usize, 1.0..300.0f64, 0.0..400.0f64, 1..6u64, any::<bool>()), 1..25),
        most_part in 0.05..0.9f64, first in any::<bool>(),
    ) {
        let now = Instant::now();
        let mut book = Book::new(7, settings(), Properties::default(), now);
        book.loaded = true;
        for (n, (class, team, urgency, run_s, age_s, tasks, gang)) in (1..).zip(&jobs) {
            let mut job = job(n, ["hot", "other"][*class], ["red", "blue"][*team]);
            (job.urgency, job.estimate_s, job.tasks) = (URGENCIES[*urgency], *run_s, *tasks);
            if *gang && *tasks > 1 {
                job.shape = Shape::Gang;
            }
            let at_ms = time_of_day_ms() - (*age_s * 1000.0) as u64;
            // Some of it runs already, on machines that nobody looks at here.
            let stored = if n % 3 == 0 && job.shape != Shape::Gang { vec![crate::jobs::record::Stored::Bound(1, format!("m{n}"))] } else { vec![] };
            book.load_job(Arc::new(JobRecord { spec: job, at_ms }), vec![(0, 1, stored)], now);
        }
        book.below = first_if(first);
        let plain: Vec<JobId> = plan::queue(&book, now).iter().map(|t| t.id.clone()).collect();
        book.set_wishes(wish(&["hot"], most_part));
        let turns = plan::queue(&book, now);
        prop_assert_eq!(turns.len(), plain.len());
        let was = |id: &JobId| plain.iter().position(|other| other == id).unwrap();
        let key = |t: &plan::Turn| (t.suspected, t.guaranteed, t.rank, t.job.spec().urgency);
        let mut taken = 0.0;
        for (at, turn) in turns.iter().enumerate() {
            let spec = turn.job.spec();
            prop_assert!(turn.ahead == 0 || spec.class == "hot");
            prop_assert!(turn.ahead == 0 || !spec.is_gang() || turn.ahead == turn.job.waiting.len(), "a gang goes whole");
            taken += turn.ahead as f64 * spec.cpus;
            for other in &turns[at + 1..] {
                if turn.ahead == 0 {
                    prop_assert!(other.ahead > 0 || was(turn.id) < was(other.id), "others keep their order");
                    prop_assert!(other.ahead == 0 || key(turn) != key(other), "{} waits behind {}", other.id, turn.id);
                } else if key(turn) != key(other) && was(other.id) < was(turn.id) {
                    let own = turns.iter().filter(|t| key(t) == key(turn)).map(|t| was(t.id)).min().unwrap();
                    prop_assert!(own < was(other.id), "{} passes {}", turn.id, other.id);
                }
            }
        }
        let given_out: f64 = book.usage.values().map(|used| used.0).sum();
        let held = book.jobs().filter(|(_, j)| j.spec().class == "hot").map(|(_, j)| j.bound.len() as f64 * j.spec().cpus);
        let held: f64 = held.sum();
        prop_assert!(taken == 0.0 || held + taken <= most_part * given_out + 1e-6, "{held} held and {taken} of {given_out}");
    }
}

fn first_if(first: bool) -> Below {
    if first { super::first(&["other"], &[]) } else { Below::default() }
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
        world.book.set_wishes(wish(&[hot], part));
    }
    let mut waiting: BTreeMap<JobId, (u32, bool)> = BTreeMap::new();
    let mut waits = Waits { all: Vec::new(), largest: Vec::new() };
    for t in 0..1500u32 {
        if t >= 300 && world.book.job_count() == 0 {
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
            let waits_still = world.book.job(id).is_some_and(|job| !job.waiting.is_empty());
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

/// What the wish is for: work that is asked to go ahead starts sooner in a flood, the largest of it too, and
/// those who flood lose no more than that. Fails where the order, or what is held, does not know of it.
#[test]
fn what_goes_ahead_starts_sooner_the_largest_too() {
    for (hot, flood) in [("big", "small"), ("small", "big")] {
        let (mut off, mut on) = (Waits { all: vec![], largest: vec![] }, Waits { all: vec![], largest: vec![] });
        let (mut served_off, mut served_on) = (0.0, 0.0);
        for seed in 0..6 {
            for (asked, waits, served) in [(None, &mut off, &mut served_off), (Some(0.5), &mut on, &mut served_on)] {
                let (world, more) = hot_day(asked, hot, flood, seed);
                assert_eq!(world.book.job_count(), 0, "and nothing is left undone");
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
        let hot = wish(&[classes[which]], most_part);
        let world = flooded_with(classes[which], times, gang, 0.75, seed, hot);
        let served = |class| {
            let (part, n) = world.part_of(class, 0, 300);
            ((part / 0.9).min(1.0), n as f64)
        };
        let ((flood, flooding), (other, n)) = (served(classes[which]), served(classes[1 - which]));
        let all = (other * n + flood * flooding) / (n + flooding).max(1.0);
        prop_assert!(n < 10.0 || other >= 0.75 * all, "{}: {other} of {n}, all {all}", classes[1 - which]);
        prop_assert_eq!(world.book.job_count(), 0, "and nothing is left undone");
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
        let mut book = Book::new(7, settings(), Properties::default(), now);
        book.loaded = true;
        book.take_report(report("m1", false, 1, vec![]), Via::Report, None, now);
        let mut runs = job(1, "other", "blue");
        (runs.cpus, runs.urgency) = (8.0, running);
        book.add_job(record(runs), now);
        let placed = plan::place(&mut book, &catalog(), now);
        book.bind_all(placed, now);
        let mut hot = job(2, "hot", "blue");
        hot.cpus = 8.0;
        book.add_job(Arc::new(JobRecord { spec: hot, at_ms: time_of_day_ms() - 60_000 }), now);
        if asks {
            book.set_wishes(wish(&["hot"], 0.9));
        }
        preempt::preempt(&mut book, &catalog(), now);
        let stopped = book.job(&"run-000001".into()).unwrap().binding(0).unwrap().halting.is_some();
        assert_eq!(usize::from(stopped), want, "{running:?}, asked {asks}");
    }
}
