//! What to rent and what to give up: pure functions of the book and the time.

use std::collections::HashMap;
use std::fmt;
use std::time::{Duration, Instant};

use super::forecast::{self, Timeline, next_start, slack_s};
use super::{Catalog, MachineType};
use crate::jobs::JobSpec;
use crate::scheduling::book::{Book, MachineId, Standing};
use crate::scheduling::plan::{Quotas, Room, Zones, allowed, queue};

/// Grace on top of a type's usual boot time.
const BOOT_GRACE: Duration = Duration::from_secs(10);
/// Longest memory of a refusal.
const LONGEST_REFUSAL: Duration = Duration::from_secs(120);

/// What can be rented: a type, in a zone, ordinary or spot.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Kind {
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} in {}{}", self.type_name, self.zone, if self.spot { " (spot)" } else { "" })
    }
}

/// Refused kinds are left alone for a while, longer each time in a row.
#[derive(Debug, Default)]
pub struct Refusals {
    until: HashMap<Kind, (Instant, u32)>,
}

impl Refusals {
    pub fn note(&mut self, kind: Kind, base: Duration, now: Instant) {
        let times = self.until.get(&kind).map_or(0, |(_, n)| *n).min(3);
        let pause = (base * 2u32.pow(times)).min(LONGEST_REFUSAL);
        self.until.insert(kind, (now + pause, times + 1));
    }

    pub fn clear(&mut self, kind: &Kind) {
        self.until.remove(kind);
    }

    pub fn refused(&self, kind: &Kind, now: Instant) -> bool {
        self.until.get(kind).is_some_and(|(until, _)| now < *until)
    }
}

/// How many tasks of this kind an empty machine holds, up to `most`.
fn units(of: &MachineType, spec: &JobSpec, most: u64) -> u64 {
    let mut room = Room::empty("".into(), of, "", false);
    let mut n = 0;
    while n < most && room.fits(spec) {
        room.take(spec);
        n += 1;
    }
    n
}

/// The cheapest way, per task actually held, to run `count` more tasks like this.
fn cheapest<'a>(
    catalog: &'a Catalog,
    spec: &JobSpec,
    count: u64,
    zones: &Zones,
    refusals: &Refusals,
    now: Instant,
) -> Option<(&'a MachineType, Kind, u64)> {
    let mut chosen: Option<(f64, &MachineType, Kind, u64)> = None;
    for of in &catalog.types {
        let held = units(of, spec, count);
        if held == 0 {
            continue;
        }
        for zone in &of.zones {
            for spot in [true, false] {
                let kind = Kind { type_name: of.name.clone(), zone: zone.clone(), spot };
                if !allowed(spec, &of.name, zone, spot) || !zones.allow(zone) || refusals.refused(&kind, now) {
                    continue;
                }
                let cost = of.price(spot) / held as f64;
                if chosen.as_ref().is_none_or(|(best, ..)| cost < best - 1e-12) {
                    chosen = Some((cost, of, kind, held));
                }
            }
        }
    }
    chosen.map(|(_, of, kind, units)| (of, kind, units))
}

/// What a task costs per hour on the cheapest kind it may use, whether or not that can be had.
fn least_cost(catalog: &Catalog, spec: &JobSpec) -> f64 {
    let kinds = catalog.types.iter().flat_map(|of| of.zones.iter().flat_map(move |z| [(of, z, true), (of, z, false)]));
    kinds
        .filter(|(of, zone, spot)| allowed(spec, &of.name, zone, *spot))
        .map(|(of, _, spot)| of.price(spot) / units(of, spec, spec.tasks) as f64)
        .fold(f64::INFINITY, f64::min)
        .max(1e-9)
}

/// Work waits this part of its slack before the cheapest kind of machine is rented for it, and
/// the longer the dearer the kind, up to all of its slack.
const PATIENCE: f64 = 0.15;
/// Renting must bring the start forward by at least this much.
const GAIN_S: f64 = 3.0;
/// Tasks followed through the forecast; more than this wait for the next one.
const MOST_FORECAST: usize = 600;

/// What to rent so that waiting work starts in time: cheap kinds soon, dear ones only when the
/// slack of the work asks for it.
pub fn plan(
    book: &Book,
    catalog: &Catalog,
    refusals: &Refusals,
    asked: &HashMap<Kind, u64>,
    now: Instant,
) -> Vec<(Kind, u64)> {
    let mut total = 0u64;
    let mut timelines: Vec<Timeline> = Vec::new();
    for machine in book.machines.values().filter(|m| m.standing != Standing::Condemned) {
        total += 1;
        if machine.standing != Standing::Draining && machine.recall.is_none() {
            timelines.extend(Timeline::of(book, machine, catalog, now));
        }
    }
    let new_machine = |of: &MachineType, kind: &Kind| {
        let room = Room::empty("".into(), of, &kind.zone, kind.spot);
        Timeline::new(room, Duration::from_secs_f64(of.boot_s))
    };
    for (kind, count) in asked {
        total += count;
        if let Some(of) = catalog.get(&kind.type_name) {
            timelines.extend((0..*count).map(|_| new_machine(of, kind)));
        }
    }
    let mut wanted: HashMap<Kind, u64> = HashMap::new();
    let mut quotas = Quotas::new(book);
    let mut followed = 0;
    for turn in queue(book, now) {
        let Some(job) = book.job(&turn.job) else { continue };
        let spec = job.spec();
        if spec.is_gang() && !quotas.allows(spec, spec.tasks as f64) {
            continue;
        }
        let slack = slack_s(book, job, turn.age);
        let least = least_cost(catalog, spec);
        let mut zones = Zones::new(book, job);
        let mut missing = job.waiting.len() as u64;
        while missing > 0 && followed < MOST_FORECAST && quotas.allows(spec, 1.0) {
            followed += 1;
            let existing = next_start(&timelines, job, &zones);
            let start = existing.map_or(f64::INFINITY, |(at, _)| at);
            let offer = cheapest(catalog, spec, missing, &zones, refusals, now);
            let rent = offer.filter(|(of, kind, held)| {
                let dearer = of.price(kind.spot) / *held as f64 / least;
                let bearable = (slack * (PATIENCE * dearer).min(1.0)).max(0.0);
                total < book.properties.most_machines as u64 && start > bearable && of.boot_s + GAIN_S < start
            });
            let (at, which) = match (rent, existing) {
                (Some((of, kind, _)), _) => {
                    timelines.push(new_machine(of, &kind));
                    *wanted.entry(kind).or_default() += 1;
                    total += 1;
                    (of.boot_s, timelines.len() - 1)
                }
                (None, Some(existing)) => existing,
                (None, None) => break,
            };
            zones.take(&timelines[which].room.zone);
            forecast::take(&mut timelines, which, job, at);
            quotas.take(spec, 1.0);
            missing -= 1;
        }
    }
    let mut wanted: Vec<(Kind, u64)> =
        wanted.into_iter().map(|(kind, n)| (kind, n.min(super::cloud::MOST_RENTED))).collect();
    wanted.sort();
    wanted
}

/// Machines that boot for too long or stand idle for too long.
pub fn to_give_up(book: &Book, catalog: &Catalog, now: Instant) -> Vec<(MachineId, &'static str)> {
    let mut out = Vec::new();
    for machine in book.machines.values() {
        let age = now.saturating_duration_since(machine.since);
        match machine.standing {
            Standing::Booting => {
                let usual = catalog.get(&machine.type_name).map_or(60.0, |t| t.boot_s);
                let patience = Duration::from_secs_f64(usual * book.properties.boot_patience) + BOOT_GRACE;
                // A new owner has not heard of machines that were up long before it.
                let known = now.saturating_duration_since(machine.heard);
                if age > patience && known > book.properties.silence {
                    out.push((machine.id.clone(), "never came up"));
                }
            }
            Standing::Up => {
                let idle = machine.idle_since.map_or(Duration::ZERO, |t| now.saturating_duration_since(t));
                if machine.bound.is_empty() && idle > book.properties.idle {
                    out.push((machine.id.clone(), "idle"));
                }
            }
            Standing::Draining | Standing::Condemned => {}
        }
    }
    out
}
