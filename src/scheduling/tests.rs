//! Placement and the book by cases.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::book::{Book, Standing, Via};
use super::plan;
use crate::fleet::rent::{self, Kind, Refusals};
use crate::fleet::{Catalog, MachineType, drain};
use crate::jobs::record::{JobRecord, time_of_day_ms};
use crate::jobs::tests::spec;
use crate::jobs::{JobSpec, Shape, Urgency};
use crate::settings::Properties;
use crate::settings::tests::example;
use crate::workers::{Leg, LegStatus, Report, TaskKey};

fn of(name: &str, cpus: f64, gpus: f64, price: f64) -> MachineType {
    MachineType {
        name: name.into(),
        cpus,
        gpus,
        memory_gb: 64.0,
        fetch_gb_per_s: 1.0,
        cache_gb: None,
        price,
        spot_price: price / 2.0,
        boot_s: 30.0,
        zones: vec!["a".into(), "b".into()],
    }
}

fn catalog() -> Catalog {
    Catalog { types: vec![of("c8", 8.0, 0.0, 1.0), of("g2", 8.0, 2.0, 4.0)] }
}

fn report(machine: &str, type_name: &str, zone: &str, spot: bool, seq: u64, legs: Vec<Leg>) -> Report {
    Report {
        machine: machine.into(),
        addr: "127.0.0.1:9".into(),
        type_name: type_name.into(),
        zone: zone.into(),
        spot,
        session: 1,
        seq,
        token: 7,
        notice_s: None,
        legs,
    }
}

/// A book with these machines up, as (name, type, zone, spot).
fn book(machines: &[(&str, &str, &str, bool)], now: Instant) -> Book {
    let mut book = Book::new(7, example(), Properties::default(), now);
    book.loaded = true;
    for (name, type_name, zone, spot) in machines {
        book.take_report(report(name, type_name, zone, *spot, 1, vec![]), Via::Report, None, now);
    }
    book
}

fn add(book: &mut Book, n: u32, now: Instant, change: impl FnOnce(&mut JobSpec)) {
    let mut job = spec();
    job.id = format!("run-{n:06}").into();
    change(&mut job);
    book.add_job(Arc::new(JobRecord { spec: job, at_ms: time_of_day_ms() }), now);
}

fn placed(book: &mut Book, now: Instant) -> Vec<(u32, String)> {
    let mut placed: Vec<(u32, String)> =
        plan::place(book, &catalog(), now).into_iter().map(|p| (p.task.index, p.machine.to_string())).collect();
    placed.sort();
    placed
}

#[test]
fn placement_by_cases() {
    type Case = (
        &'static str,
        &'static [(&'static str, &'static str, &'static str, bool)],
        fn(&mut JobSpec),
        &'static [&'static str],
    );
    const TWO: &[(&str, &str, &str, bool)] = &[("m1", "c8", "a", false), ("m2", "c8", "b", false)];
    const ODD: &[(&str, &str, &str, bool)] = &[("m1", "g2", "a", false), ("m2", "c8", "b", true)];
    let cases: [Case; 13] = [
        ("one task fits", TWO, |_| (), &["m1"]),
        ("an array as far as it fits", TWO, |j| (j.tasks, j.cpus) = (5, 4.0), &["m1", "m1", "m2", "m2"]),
        ("a gang that fits", TWO, |j| (j.shape, j.tasks, j.cpus) = (Shape::Gang, 2, 8.0), &["m1", "m2"]),
        ("a gang is all or nothing", TWO, |j| (j.shape, j.tasks, j.cpus) = (Shape::Gang, 3, 8.0), &[]),
        ("a gang in one zone", TWO, |j| (j.shape, j.tasks, j.cpus, j.same_zone) = (Shape::Gang, 2, 8.0, true), &[]),
        ("half in one zone", TWO, |j| (j.tasks, j.spread) = (3, true), &["m1", "m1", "m2"]),
        ("only one zone allowed", TWO, |j| (j.tasks, j.zone) = (2, Some("b".into())), &["m2", "m2"]),
        ("only one type allowed", ODD, |j| j.types = Some(vec!["g2".into()]), &["m1"]),
        ("no spot", ODD, |j| j.spot = false, &["m1"]),
        ("no accelerator wanted", ODD, |j| j.cpus = 8.0, &["m2"]),
        ("an accelerator wanted", ODD, |j| j.gpus = 1.0, &["m1"]),
        ("memory", TWO, |j| (j.tasks, j.memory_gb) = (3, 60.0), &["m1", "m2"]),
        ("the team's limit", TWO, |j| (j.team, j.tasks, j.cpus) = ("red".into(), 2, 8.0), &["m1", "m2"]),
    ];
    for (name, machines, change, want) in cases {
        let now = Instant::now();
        let mut book = book(machines, now);
        add(&mut book, 1, now, change);
        let got: Vec<String> = placed(&mut book, now).into_iter().map(|(_, m)| m).collect();
        assert_eq!(got, want, "{name}");
    }
    // The limit of 20 holds over several jobs and plans.
    let now = Instant::now();
    let mut book = book(&[("m1", "c8", "a", false), ("m2", "c8", "a", false), ("m3", "c8", "a", false)], now);
    add(&mut book, 1, now, |j| (j.team, j.tasks, j.cpus) = ("red".into(), 2, 8.0));
    add(&mut book, 2, now, |j| (j.team, j.tasks, j.cpus) = ("red".into(), 2, 4.0));
    let first = plan::place(&mut book, &catalog(), now);
    book.bind_all(first, now);
    assert_eq!(book.usage["red"].0, 20.0);
    assert!(plan::place(&mut book, &catalog(), now).is_empty());
}

#[test]
fn starts_follow_the_return_and_hopeless_work_its_age() {
    let now = Instant::now();
    let mut book = book(&[("m1", "c8", "a", false)], now);
    add(&mut book, 1, now, |j| j.estimate_s = 100.0);
    add(&mut book, 2, now, |j| j.estimate_s = 10.0);
    add(&mut book, 3, now, |j| (j.estimate_s, j.urgency) = (100.0, Urgency::Prod));
    // The team within its guarantee of 8 goes before any return.
    add(&mut book, 4, now, |j| (j.estimate_s, j.team) = (1000.0, "red".into()));
    let order: Vec<String> = plan::queue(&book, now).into_iter().map(|t| t.id.to_string()).collect();
    assert_eq!(order, ["run-000004", "run-000003", "run-000002", "run-000001"]);
    let late = now + Duration::from_secs(1_000_000);
    let order: Vec<String> = plan::queue(&book, late).into_iter().map(|t| t.id.to_string()).collect();
    assert_eq!(order[0], "run-000004");
    assert!(plan::queue(&book, late).len() == 4, "nothing is dropped for having no return left");
}

#[test]
fn higher_urgency_stops_lower() {
    let now = Instant::now();
    let mut book = book(&[("m1", "c8", "a", false)], now);
    add(&mut book, 1, now, |j| (j.cpus, j.estimate_s) = (8.0, 100.0));
    let first = plan::place(&mut book, &catalog(), now);
    book.bind_all(first, now);
    // Stored and told, so that it has to be stopped rather than forgotten.
    let (_, chunks) = book.next_writes(10, now);
    book.chunks_stored(&chunks, 1);
    assert_eq!(book.orders_in_answer("m1", now).len(), 1);
    add(&mut book, 2, now, |j| j.cpus = 8.0);
    let later = now + Duration::from_secs(5);
    plan::preempt(&mut book, &catalog(), later);
    let halting = |book: &Book| book.job(&"run-000001".into()).unwrap().binding(0).unwrap().halting;
    assert_eq!(halting(&book), None, "equals do not preempt");
    add(&mut book, 3, now, |j| (j.cpus, j.urgency) = (8.0, Urgency::High));
    book.take_report(report("m1", "c8", "a", false, 2, vec![]), Via::Report, None, later);
    plan::preempt(&mut book, &catalog(), later + Duration::from_secs(4));
    assert_eq!(halting(&book), Some(1));
}

/// Incident ab99: an owner cut off from its workers, or one that had stood still, took the whole
/// fleet for dead and returned it.
#[test]
fn a_fleet_that_falls_silent_together_is_not_given_up() {
    let s = Duration::from_secs;
    let names = ["m1", "m2", "m3", "m4", "m5", "m6"];
    let machines: Vec<_> = names.iter().map(|n| (*n, "c8", "a", false)).collect();
    // (name, how many keep reporting, how it is ticked, who is given up after 13 s)
    for (name, reporting, paused, given_up) in
        [("one of six", 5, false, 1), ("all together", 0, false, 0), ("one, seen after a pause", 5, true, 0)]
    {
        let now = Instant::now();
        let mut book = book(&machines, now);
        for t in 1..=13 {
            for machine in &names[..reporting] {
                book.take_report(report(machine, "c8", "a", false, t + 1, vec![]), Via::Report, None, now + s(t));
            }
            if !paused || t == 13 {
                book.tick(now + s(t));
            }
        }
        let condemned = book.machines.values().filter(|m| m.standing == Standing::Condemned).count();
        assert_eq!(condemned, given_up, "{name}");
        assert_eq!(book.lost_most(now + s(13)), reporting == 0, "{name}");
    }
}

#[test]
fn renting_by_cases() {
    let now = Instant::now();
    let kind = |t: &str, spot| Kind { type_name: t.into(), zone: "a".into(), spot };
    let plan = |book: &Book, refusals: &Refusals| rent::plan(book, &catalog(), refusals, &Default::default(), now);
    let mut waiting = book(&[], now);
    add(&mut waiting, 1, now, |j| (j.tasks, j.cpus, j.zone) = (3, 4.0, Some("a".into())));
    assert_eq!(plan(&waiting, &Refusals::default()), [(kind("c8", true), 2)], "the cheapest that packs");
    let mut refusals = Refusals::default();
    refusals.note(kind("c8", true), Duration::from_secs(15), now);
    assert_eq!(plan(&waiting, &refusals), [(kind("c8", false), 2)], "what was refused is left alone");
    assert!(!refusals.refused(&kind("c8", true), now + Duration::from_secs(16)));
    let mut accelerated = book(&[], now);
    add(&mut accelerated, 1, now, |j| (j.gpus, j.spot, j.zone) = (1.0, false, Some("a".into())));
    assert_eq!(plan(&accelerated, &Refusals::default()), [(kind("g2", false), 1)]);
    let mut served = book(&[("m1", "c8", "a", false)], now);
    add(&mut served, 1, now, |_| ());
    assert_eq!(plan(&served, &Refusals::default()), [], "what fits now needs no machine");
}

#[test]
fn a_spared_machine_is_drained_and_its_work_moved() {
    let start = Instant::now();
    let now = start + Duration::from_secs(100);
    let machines = [("m1", "g2", "a", false), ("m2", "g2", "a", false)];
    for (name, rest_s, checkpoint_s, want) in [
        ("saves and has far to go", 500.0, 10.0, Some(1)),
        ("cannot save", 500.0, 0.0, None),
        ("nearly done", 110.0, 0.0, Some(0)),
    ] {
        let mut book = book(&machines, start);
        for (n, machine) in [(1, "m1"), (2, "m2")] {
            add(&mut book, n, start, |j| (j.gpus, j.estimate_s, j.checkpoint_s) = (1.0, rest_s, checkpoint_s));
            let task = TaskKey { job: format!("run-{n:06}").into(), index: 0 };
            book.bind_all(vec![plan::Placement { task: task.clone(), attempt: 1, machine: machine.into() }], start);
            let leg = Leg { task, attempt: 1, status: LegStatus::Running, cause: None, saved: None };
            book.take_report(report(machine, "g2", "a", false, 2, vec![leg.clone()]), Via::Report, None, start);
            book.take_report(report(machine, "g2", "a", false, 3, vec![leg]), Via::Report, None, now);
        }
        book.arrivals.clear();
        let drained = drain::choose(&book, &catalog(), now);
        assert_eq!(drained.first().map(|d| d.moves.len()), want, "{name}");
    }
}
