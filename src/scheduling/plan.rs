//! Placement: waiting work in order of return, each task on the fitting machine whose return is
//! highest with it (paper, algorithms 1 and 2, adapted to tasks that hold full requests).

use std::cmp::Ordering;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use tracing::info;

use super::book::{Book, JobState, Machine, MachineId, Phase, Standing};
use crate::fleet::{Catalog, MachineType};
use crate::jobs::{JobId, JobSpec};
use crate::sla::{self, Load};
use crate::workers::TaskKey;

/// Amounts are decimal; sums of them are compared with this much slack.
pub const SLACK: f64 = 1e-6;
/// Placements of one plan: what can be stored in about a second.
const MOST_PLACEMENTS: usize = 1000;
/// Machines silent for this many reports get no new work before they are given up.
const SUSPECT_REPORTS: f64 = 2.5;
/// Work that may preempt waits at least this long for room to come free by itself.
const PREEMPT_AFTER: Duration = Duration::from_secs(3);

#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    pub task: TaskKey,
    pub attempt: u64,
    pub machine: MachineId,
}

/// What is left of a machine, and what is on it in the paper's terms.
#[derive(Debug, Clone)]
pub struct Room {
    pub id: MachineId,
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
    pub cores: f64,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub load: Load,
    pub all_gpus: f64,
    pub fetch_gb_per_s: f64,
    images: Vec<String>,
}

impl Room {
    pub fn empty(id: MachineId, of: &MachineType, zone: &str, spot: bool) -> Self {
        Self {
            id,
            type_name: of.name.clone(),
            zone: zone.to_owned(),
            spot,
            cores: of.cpus,
            cpus: of.cpus,
            gpus: of.gpus,
            memory_gb: of.memory_gb,
            load: Load::default(),
            all_gpus: of.gpus,
            fetch_gb_per_s: of.fetch_gb_per_s.max(0.001),
            images: Vec::new(),
        }
    }

    pub fn fits(&self, spec: &JobSpec) -> bool {
        spec.cpus <= self.cpus + SLACK && spec.gpus <= self.gpus + SLACK && spec.memory_gb <= self.memory_gb + SLACK
    }

    /// How badly a task uses what this machine is paid for: 0 for what its accelerators, each
    /// with its fair part of the cores, leave over; 1 for a machine as the task needs it; 2 for
    /// cores that an accelerator will lack.
    pub fn waste(&self, spec: &JobSpec) -> u8 {
        if self.all_gpus <= 0.0 || spec.gpus > 0.0 {
            return 1;
        }
        let kept = self.gpus * self.cores / self.all_gpus;
        if spec.cpus <= self.cpus - kept + SLACK { 0 } else { 2 }
    }

    pub fn holds_image(&self, spec: &JobSpec) -> bool {
        spec.image_gb <= 0.0 || self.images.contains(&spec.image)
    }

    pub fn add(&mut self, cpus: f64, gpus: f64, memory_gb: f64) {
        self.cpus += cpus;
        self.gpus += gpus;
        self.memory_gb += memory_gb;
    }

    /// The same amounts without the names, for trying things out.
    pub fn clone_amounts(&self) -> Self {
        Self { type_name: String::new(), zone: String::new(), images: Vec::new(), id: self.id.clone(), ..*self }
    }

    pub fn take(&mut self, spec: &JobSpec) {
        self.cpus -= spec.cpus;
        self.gpus -= spec.gpus;
        self.memory_gb -= spec.memory_gb;
    }
}

/// Whether a job's own words allow the type, zone and kind.
pub fn allowed(spec: &JobSpec, type_name: &str, zone: &str, spot: bool) -> bool {
    (!spot || spec.spot)
        && spec.zone.as_deref().is_none_or(|z| z == zone)
        && spec.types.as_ref().is_none_or(|t| t.iter().any(|t| t == type_name))
}

/// Room on a machine that may take work, or none.
pub fn room(book: &Book, machine: &Machine, catalog: &Catalog, now: Instant) -> Option<Room> {
    let of = catalog.get(&machine.type_name)?;
    let mut room = Room::empty(machine.id.clone(), of, &machine.zone, machine.spot);
    room.images = machine.images.iter().cloned().collect();
    for key in &machine.bound {
        let Some(job) = book.job(&key.job) else { continue };
        let Some(binding) = job.binding(key.index) else { continue };
        let spec = job.spec();
        room.take(spec);
        let rest = sla::remaining(job.agreement.run, binding.ran(now));
        let age = now.saturating_duration_since(job.since);
        room.load.share += sla::share(rest, job.agreement.deadline.saturating_sub(age), job.agreement.cores);
        room.load.total_return += job.agreement.task_return(age + rest);
    }
    Some(room)
}

/// Up, sane, lately heard of, and free of tasks that should not be there.
pub fn usable(book: &Book, machine: &Machine, now: Instant) -> bool {
    let suspect = book.settings.params.workers.report().mul_f64(SUSPECT_REPORTS);
    machine.standing == Standing::Up
        && machine.reported()
        && machine.recall.is_none()
        && now.saturating_duration_since(machine.heard) < suspect
        && !machine.has_strays()
}

/// A job's place in the queue.
#[derive(Debug, Clone)]
pub struct Turn {
    pub job: JobId,
    guaranteed: bool,
    task_return: f64,
    pub age: Duration,
}

/// Teams short of their guarantee first, then by return; work of no return by age.
pub fn queue(book: &Book, now: Instant) -> Vec<Turn> {
    let mut turns: Vec<Turn> = book
        .jobs()
        .filter(|(_, job)| !job.waiting.is_empty() && job.ended.is_none() && !job.complete() && now >= job.not_before)
        .filter(|(_, job)| !job.spec().is_gang() || job.bound.is_empty())
        .map(|(id, job)| {
            let age = now.saturating_duration_since(job.since);
            Turn {
                job: id.clone(),
                guaranteed: within_guarantee(book, job.spec()),
                task_return: job.agreement.task_return(age + job.agreement.run),
                age,
            }
        })
        .collect();
    turns.sort_by(|a, b| {
        (b.guaranteed.cmp(&a.guaranteed))
            .then(b.task_return.partial_cmp(&a.task_return).unwrap_or(Ordering::Equal))
            .then(b.age.cmp(&a.age))
    });
    turns
}

fn within_guarantee(book: &Book, spec: &JobSpec) -> bool {
    let Some(team) = book.settings.team(&spec.team) else { return false };
    if team.cpus <= 0.0 && team.gpus <= 0.0 {
        return false;
    }
    let n = if spec.is_gang() { spec.tasks as f64 } else { 1.0 };
    let used = book.usage.get(&spec.team).copied().unwrap_or_default();
    used.0 + n * spec.cpus <= team.cpus + SLACK && used.1 + n * spec.gpus <= team.gpus + SLACK
}

/// What a team may still use, as (cpus, gpus).
pub struct Quotas<'a> {
    book: &'a Book,
    used: HashMap<&'a str, (f64, f64)>,
}

impl<'a> Quotas<'a> {
    pub fn new(book: &'a Book) -> Self {
        Self { book, used: book.usage.iter().map(|(t, u)| (t.as_str(), *u)).collect() }
    }

    pub fn allows(&self, spec: &JobSpec, n: f64) -> bool {
        let Some(team) = self.book.settings.team(&spec.team) else { return false };
        let used = self.used.get(spec.team.as_str()).copied().unwrap_or_default();
        let within = |limit: f64, used: f64, more: f64| limit <= 0.0 || used + more <= limit + SLACK;
        within(team.cpus_max, used.0, n * spec.cpus) && within(team.gpus_max, used.1, n * spec.gpus)
    }

    pub fn take(&mut self, spec: &'a JobSpec, n: f64) {
        let used = self.used.entry(spec.team.as_str()).or_default();
        used.0 += n * spec.cpus;
        used.1 += n * spec.gpus;
    }
}

/// Where the tasks of one job are, for `samePlace` and `scatter`.
pub struct Zones<'a> {
    spec: &'a JobSpec,
    counts: HashMap<String, u64>,
}

impl<'a> Zones<'a> {
    pub fn new(book: &Book, job: &'a JobState) -> Self {
        let mut counts = HashMap::new();
        if job.spec().same_zone || job.spec().spread {
            for index in &job.bound {
                let machine = job.binding(*index).and_then(|b| book.machines.get(&b.machine));
                if let Some(machine) = machine {
                    *counts.entry(machine.zone.clone()).or_default() += 1;
                }
            }
        }
        Self { spec: job.spec(), counts }
    }

    pub fn allow(&self, zone: &str) -> bool {
        let here = self.counts.get(zone).copied().unwrap_or(0);
        (!self.spec.same_zone || self.counts.iter().all(|(z, n)| *n == 0 || z == zone))
            && (!self.spec.spread || here < self.spec.tasks.div_ceil(2))
    }

    pub fn take(&mut self, zone: &str) {
        if self.spec.same_zone || self.spec.spread {
            *self.counts.entry(zone.to_owned()).or_default() += 1;
        }
    }

    pub fn give_back(&mut self, zone: &str) {
        if let Some(n) = self.counts.get_mut(zone) {
            *n = n.saturating_sub(1);
        }
    }
}

struct Candidate {
    at: usize,
    waste: u8,
    new_return: f64,
    has_image: bool,
    left: f64,
}

/// The machine to take: first what accelerators leave over, then a machine without any, so that
/// large work finds whole machines and accelerators their cores; not one
/// where it would first hold its place for a fetch; of those left the one with the highest new
/// return, then the tightest.
fn best(
    rooms: &[Room],
    job: &JobState,
    zones: &Zones,
    age: Duration,
    only_zone: Option<&str>,
) -> Option<(usize, Load)> {
    let spec = job.spec();
    let agreement = &job.agreement;
    let finish = age + agreement.run;
    let hard = agreement.within_reach(age);
    let task_return = agreement.task_return(finish);
    let task_share = sla::share(agreement.run, agreement.deadline.saturating_sub(age), agreement.cores);
    let mut chosen: Option<Candidate> = None;
    for (at, room) in rooms.iter().enumerate() {
        if !room.fits(spec)
            || !allowed(spec, &room.type_name, &room.zone, room.spot)
            || !zones.allow(&room.zone)
            || only_zone.is_some_and(|z| z != room.zone)
        {
            continue;
        }
        // Fit-now is the whole test for hard work; soft work must also be admitted.
        let new_return = match sla::admit(room.load, room.cores, task_share, task_return) {
            Some(new_return) => new_return,
            None if hard => room.load.total_return + task_return,
            None => continue,
        };
        let candidate =
            Candidate { at, waste: room.waste(spec), new_return, has_image: room.holds_image(spec), left: room.cpus };
        let better = chosen.as_ref().is_none_or(|c| {
            (c.waste.cmp(&candidate.waste))
                .then(candidate.has_image.cmp(&c.has_image))
                .then(candidate.new_return.partial_cmp(&c.new_return).unwrap_or(Ordering::Equal))
                .then(c.left.partial_cmp(&candidate.left).unwrap_or(Ordering::Equal))
                == Ordering::Greater
        });
        if better {
            chosen = Some(candidate);
        }
    }
    chosen.map(|c| (c.at, Load { share: task_share, total_return: task_return }))
}

fn occupy(room: &mut Room, spec: &JobSpec, load: Load) {
    room.take(spec);
    room.load.share += load.share;
    room.load.total_return += load.total_return;
}

/// Places as many tasks of one job as `rooms` allow; all or none of a gang.
pub fn place_job(
    rooms: &mut [Room],
    job: &JobState,
    mut zones: Zones,
    age: Duration,
    most: usize,
) -> Vec<(u32, MachineId)> {
    if !job.spec().is_gang() {
        let mut placed = Vec::new();
        for index in job.waiting.iter().take(most) {
            let Some((at, load)) = best(rooms, job, &zones, age, None) else { break };
            occupy(&mut rooms[at], job.spec(), load);
            zones.take(&rooms[at].zone);
            placed.push((*index, rooms[at].id.clone()));
        }
        return placed;
    }
    // A gang in one zone is tried zone by zone, since a greedy start may pick a zone too small.
    let tries: Vec<Option<String>> = if job.spec().same_zone {
        let mut names: Vec<String> = rooms.iter().map(|r| r.zone.clone()).collect();
        names.sort();
        names.dedup();
        names.into_iter().map(Some).collect()
    } else {
        vec![None]
    };
    for zone in tries {
        let mut undo: Vec<(usize, Room)> = Vec::new();
        let mut placed = Vec::new();
        for index in &job.waiting {
            let Some((at, load)) = best(rooms, job, &zones, age, zone.as_deref()) else { break };
            undo.push((at, rooms[at].clone()));
            occupy(&mut rooms[at], job.spec(), load);
            zones.take(&rooms[at].zone);
            placed.push((*index, rooms[at].id.clone()));
        }
        if placed.len() == job.waiting.len() {
            return placed;
        }
        for (at, before) in undo.into_iter().rev() {
            zones.give_back(&before.zone);
            rooms[at] = before;
        }
    }
    Vec::new()
}

/// All placements that can be made now.
pub fn place(book: &Book, catalog: &Catalog, now: Instant) -> Vec<Placement> {
    let mut decisions = Vec::new();
    if !book.loaded {
        return decisions;
    }
    let turns = queue(book, now);
    if turns.is_empty() {
        return decisions;
    }
    let mut rooms: Vec<Room> =
        book.machines.values().filter(|m| usable(book, m, now)).filter_map(|m| room(book, m, catalog, now)).collect();
    let mut quotas = Quotas::new(book);
    for turn in turns {
        if decisions.len() >= MOST_PLACEMENTS {
            break;
        }
        let Some(job) = book.job(&turn.job) else { continue };
        let spec = job.spec();
        let mut most = MOST_PLACEMENTS - decisions.len();
        if spec.is_gang() {
            if !quotas.allows(spec, spec.tasks as f64) {
                continue;
            }
        } else {
            // Few teams have limits; counting up to the limit is cheap next to placing.
            let mut n = 0;
            while n < most.min(job.waiting.len()) && quotas.allows(spec, (n + 1) as f64) {
                n += 1;
            }
            most = n;
        }
        if most == 0 {
            continue;
        }
        let attempt_of = |index: u32| job.tasks.get(index as usize).map_or(0, |t| t.attempt) + 1;
        let placed = place_job(&mut rooms, job, Zones::new(book, job), turn.age, most);
        quotas.take(spec, placed.len() as f64);
        // The tasks of a gang find one another by a common attempt number.
        let gang_attempt = job.tasks.iter().map(|t| t.attempt).max().unwrap_or(0) + 1;
        decisions.extend(placed.into_iter().map(|(index, machine)| Placement {
            task: TaskKey { job: turn.job.clone(), index },
            attempt: if spec.is_gang() { gang_attempt } else { attempt_of(index) },
            machine,
        }));
    }
    decisions
}

/// Makes room for work of higher urgency, and for a team short of its guarantee. At most one
/// machine's worth per call; the freed room is then found by the next plan.
pub fn preempt(book: &mut Book, catalog: &Catalog, now: Instant) {
    if !book.loaded {
        return;
    }
    let Some((victims, machine)) = find_victims(book, catalog, now) else { return };
    info!(%machine, stopped = victims.len(), "preempts");
    for (key, grace) in victims {
        book.halt(&key, grace, now);
    }
}

type Victims = (Vec<(TaskKey, u64)>, MachineId);

fn find_victims(book: &Book, catalog: &Catalog, now: Instant) -> Option<Victims> {
    let quotas = Quotas::new(book);
    for turn in queue(book, now) {
        let job = book.job(&turn.job)?;
        let spec = job.spec();
        let n = if spec.is_gang() { spec.tasks as f64 } else { 1.0 };
        let waited = job.last_end.map_or(turn.age, |t| now.saturating_duration_since(t));
        if waited < PREEMPT_AFTER || !quotas.allows(spec, n) {
            continue;
        }
        let may_stop = |other: &JobSpec| {
            other.urgency < spec.urgency
                || (turn.guaranteed && other.team != spec.team && beyond_guarantee(book, other))
        };
        // Whoever may stop nothing need not look.
        if !book.jobs().any(|(_, other)| !other.bound.is_empty() && may_stop(other.spec())) {
            continue;
        }
        let zones = Zones::new(book, job);
        for machine in book.machines.values().filter(|m| usable(book, m, now)) {
            let Some(mut room) = room(book, machine, catalog, now) else { continue };
            if !allowed(spec, &room.type_name, &room.zone, room.spot) || !zones.allow(&room.zone) {
                continue;
            }
            let mut victims = Vec::new();
            for key in &machine.bound {
                if room.fits(spec) {
                    break;
                }
                let Some(other) = book.job(&key.job) else { continue };
                let Some(Phase::Bound(binding)) = other.tasks.get(key.index as usize).map(|t| &t.phase) else {
                    continue;
                };
                if binding.halting.is_some() {
                    // Room is being made here already.
                    room.cpus += other.spec().cpus;
                    room.gpus += other.spec().gpus;
                    room.memory_gb += other.spec().memory_gb;
                } else if may_stop(other.spec()) {
                    room.cpus += other.spec().cpus;
                    room.gpus += other.spec().gpus;
                    room.memory_gb += other.spec().memory_gb;
                    victims.push((key.clone(), other.spec().save_s.ceil() as u64 + 1));
                }
            }
            if room.fits(spec) {
                if victims.is_empty() {
                    break;
                }
                return Some((victims, machine.id.clone()));
            }
        }
    }
    None
}

fn beyond_guarantee(book: &Book, spec: &JobSpec) -> bool {
    let Some(team) = book.settings.team(&spec.team) else { return true };
    let used = book.usage.get(&spec.team).copied().unwrap_or_default();
    used.0 - spec.cpus >= team.cpus - SLACK && used.1 - spec.gpus >= team.gpus - SLACK
}
