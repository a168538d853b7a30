//! Placement: waiting work in order of return, each task on the fitting machine whose return is
//! highest with it (paper, algorithms 1 and 2, adapted to tasks that hold full requests).
//!
//! Like tasks of one job are placed together: each machine is looked at once per job, and the
//! best is taken from a heap until it is full or another is better.

pub mod beside;

use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::backfill::{self, Backfill};
use super::cluster::{ClusterState, JobState, MachineId};
use super::failure_attribution::{FailureAttribution, PROBES};
use super::fairness::floor::Rank;
use super::intents::{self, Intents};
use super::room::{Ground, Room, Zones, usable, usable_until_left};
use crate::jobs::{JobId, JobSpec};
use crate::kinds::Catalog;
use crate::sla;
use crate::wire::workers::TaskKey;

pub use super::room::SLACK;

/// Placements of one plan: what can be stored in about a second.
const MOST_PLACEMENTS: usize = 1000;
/// Work that was started so often in vain gets the machines least likely to be lost.
const LOST_STARTS: u64 = 2;
/// Room is kept for gangs for so long in a row, and not once anybody has waited so long beside room; then whoever waits
/// may have it, for this long.
const KEPT_FOR: Duration = Duration::from_secs(60);
const KEPT_PAUSE: Duration = Duration::from_secs(5);
/// Idle work that was started so often goes to no machine that is being left.
const MOST_LEFT: u64 = 4;
/// Hard work that must start within this time to be done in time is not kept waiting for reservations.
const PRESSED_WITHIN: Duration = Duration::from_secs(30);

/// A decision to start one attempt of a task on a machine.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The task.
    pub task: TaskKey,
    /// Number of the attempt: one above the task's last, or for a gang one above the highest of all its tasks.
    pub attempt: u64,
    /// The machine that it is to be bound to.
    pub machine: MachineId,
}

/// A job's place in the queue.
#[derive(Clone, Copy)]
pub struct Turn<'a> {
    /// The job's id.
    pub id: &'a JobId,
    /// The job, as of the moment of the plan.
    pub job: &'a JobState,
    /// Whether the team stays within its guarantee with one more task of the job, or with all tasks of a gang.
    pub guaranteed: bool,
    /// Its rank; within one rank work is ordered by return.
    pub rank: Rank,
    /// Too late for all that was promised of it.
    pub late: bool,
    /// Needs much at once and has waited for long: it goes first within its rank, and room is kept for it.
    pub credited: bool,
    /// Has failed everywhere so far: behind all else, and nothing is paid, held or stopped for it.
    pub suspected: bool,
    task_return: f64,
    /// Time since the job was submitted, as far as this owner knows.
    pub age: Duration,
    /// Goes before others of its urgency, by what operators have declared.
    pub ahead: bool,
    /// Tasks that may be placed in its turn.
    pub most: usize,
}

/// What fails everywhere last of all; else teams short of their guarantee first, then who is below the floor and can
/// still be in time, then by return; work of no return by age.
pub fn queue(cluster: &ClusterState, now: Instant) -> Vec<Turn<'_>> {
    let mut turns: Vec<Turn> = cluster
        .jobs()
        .filter(|(_, job)| !job.waiting.is_empty() && job.ended.is_none() && !job.complete() && now >= job.not_before)
        .filter(|(id, job)| cluster.intents.waiting(id, job) > 0)
        .filter(|(_, job)| !job.spec().is_gang() || job.bound.is_empty())
        .filter(|(id, _)| !cluster.intents.not_yet.contains(*id))
        .map(|(id, job)| {
            let age = now.saturating_duration_since(job.since);
            let late = job.too_late(age);
            Turn {
                id,
                job,
                guaranteed: within_guarantee(cluster, job.spec()),
                rank: Rank::of(
                    cluster.below.first.has(job.spec()) || cluster.intents.short(id),
                    late,
                    job.spec().is_idle(),
                ),
                late,
                credited: false,
                suspected: cluster.attribution.suspects(id),
                task_return: job.agreement.task_return(age + job.agreement.run),
                age,
                ahead: false,
                most: usize::MAX,
            }
        })
        .collect();
    let credited = cluster.large.credited(&turns, cluster.properties.large_begin);
    let to_begin = cluster.large.to_begin(&turns, cluster.properties.large_begin);
    for turn in &mut turns {
        turn.credited = credited == Some(turn.id);
        if to_begin == Some(turn.id) {
            (turn.credited, turn.most, turn.rank) = (true, 1, turn.rank.min(Rank::ByReturn));
        }
    }
    turns.sort_by(|a, b| {
        (a.suspected.cmp(&b.suspected))
            .then(b.guaranteed.cmp(&a.guaranteed))
            .then(a.rank.cmp(&b.rank))
            .then(b.credited.cmp(&a.credited))
            .then(b.task_return.partial_cmp(&a.task_return).unwrap_or(Ordering::Equal))
            .then(b.age.cmp(&a.age))
            .then(a.id.cmp(b.id))
    });
    intents::order(cluster, &mut turns);
    turns
}

fn within_guarantee(cluster: &ClusterState, spec: &JobSpec) -> bool {
    let Some(team) = cluster.settings.team(&spec.team) else { return false };
    if team.cpus <= 0.0 && team.gpus <= 0.0 {
        return false;
    }
    let n = if spec.is_gang() { spec.tasks as f64 } else { 1.0 };
    let used = cluster.usage.get(&spec.team).copied().unwrap_or_default();
    used.0 + n * spec.cpus <= team.cpus + SLACK && used.1 + n * spec.gpus <= team.gpus + SLACK
}

/// What a team may still use, as (cpus, gpus).
pub struct Quotas<'a> {
    cluster: &'a ClusterState,
    used: HashMap<&'a str, (f64, f64)>,
}

impl<'a> Quotas<'a> {
    /// What every team uses in the cluster state.
    pub fn new(cluster: &'a ClusterState) -> Self {
        Self { cluster, used: cluster.usage.iter().map(|(t, u)| (t.as_str(), *u)).collect() }
    }

    /// Whether `n` more tasks of the job stay within its team's limits; false if the settings do not list the team.
    pub fn allows(&self, spec: &JobSpec, n: f64) -> bool {
        let Some(team) = self.cluster.settings.team(&spec.team) else { return false };
        let used = self.used.get(spec.team.as_str()).copied().unwrap_or_default();
        let within = |limit: f64, used: f64, more: f64| limit <= 0.0 || used + more <= limit + SLACK;
        within(team.cpus_max, used.0, n * spec.cpus) && within(team.gpus_max, used.1, n * spec.gpus)
    }

    /// Counts `n` more tasks of the job as used by its team.
    pub fn take(&mut self, spec: &'a JobSpec, n: f64) {
        let used = self.used.entry(spec.team.as_str()).or_default();
        used.0 += n * spec.cpus;
        used.1 += n * spec.gpus;
    }
}

/// One machine as a place for the next task of a job. The better one is the greater one: first
/// what accelerators leave over, then a machine without any, so that large work finds whole
/// machines and accelerators their cores; not one where the task would first hold its place for
/// a fetch; of those left the one with the highest new return, then the tightest.
struct Candidate {
    /// The job has failed there; taken only where nothing else fits.
    failed: bool,
    /// Held for another; taken last.
    held: bool,
    /// How likely it is to be lost, where that counts.
    risk: u8,
    /// Others wait for such a machine that may not use cheap ones, as this work may.
    sought: bool,
    waste: u8,
    has_image: bool,
    new_return: f64,
    left: f64,
    at: usize,
}

impl Ord for Candidate {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.failed.cmp(&self.failed))
            .then(other.held.cmp(&self.held))
            .then(other.risk.cmp(&self.risk))
            .then(other.sought.cmp(&self.sought))
            .then(other.waste.cmp(&self.waste))
            .then(self.has_image.cmp(&other.has_image))
            .then(self.new_return.total_cmp(&other.new_return))
            .then(other.left.total_cmp(&self.left))
            .then(other.at.cmp(&self.at))
    }
}
impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl PartialEq for Candidate {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl Eq for Candidate {}

/// A task of one job, as machines are judged by it.
struct Demand<'a> {
    id: &'a JobId,
    job: &'a JobState,
    /// When it would be over; what is held for others is open to what ends in time.
    over: Instant,
    /// Hard work that would be late for waiting; nothing is held against it.
    pressed: bool,
    /// Who goes first is not kept out by what is held for others; who goes ahead not by what is held for these.
    first: bool,
    passes: Vec<&'a JobId>,
    /// Holds for these stand against it even if it is pressed: they go ahead.
    ahead: Vec<&'a JobId>,
    /// Idle work, and what others wait for by now.
    backfill: Option<Rc<Backfill>>,
    /// Idle work gives way for it on machines as it needs them: it takes no cores that an accelerator
    /// will lack.
    apt_only: bool,
    /// Since it came.
    waited: Duration,
    /// It has waited beside room for so long that hardly anything is kept from it (`beside`).
    overdue: bool,
    share: f64,
    task_return: f64,
    hard: bool,
    /// It has lost starts enough to want a machine that lasts.
    wary: bool,
    /// Machines on which it has failed.
    failed_on: &'a [MachineId],
    /// Tasks of it that fail by themselves, and are not to be tried yet.
    held_back: Vec<u32>,
    open: Vec<bool>,
    /// Kinds for which work waits that may use no cheap machine.
    sought: Rc<[bool]>,
}

impl<'a> Demand<'a> {
    fn new(
        turn: &Turn<'a>,
        attribution: &'a FailureAttribution,
        backfill: Option<Rc<Backfill>>,
        open: Vec<bool>,
        sought: Rc<[bool]>,
        overdue: bool,
        now: Instant,
    ) -> Self {
        let (job, age) = (turn.job, turn.age);
        let agreement = &job.agreement;
        Self {
            id: turn.id,
            job,
            over: now + agreement.run,
            pressed: agreement.within_reach(age) && !agreement.within_reach(age + PRESSED_WITHIN),
            first: turn.rank == Rank::First || turn.credited,
            passes: Vec::new(),
            ahead: Vec::new(),
            backfill,
            apt_only: false,
            waited: age,
            overdue,
            share: sla::share(agreement.run, agreement.deadline.saturating_sub(age), agreement.cores),
            task_return: agreement.task_return(age + agreement.run),
            hard: agreement.within_reach(age),
            // Nor is what can't save and may wait put where it is likely to be lost, if there is another place.
            wary: job.lost_starts(LOST_STARTS) || (job.spec().is_idle() && job.spec().checkpoint_s <= 0.0),
            failed_on: attribution.failed_on(turn.id),
            held_back: attribution.held_back(turn.id, now),
            open,
            sought,
        }
    }

    fn is_open(&self, kind: usize) -> bool {
        self.open.get(kind).copied().unwrap_or(false)
    }

    fn may_use(&self, room: &Room) -> bool {
        if self.overdue {
            return self.is_open(room.kind) && self.may_use_overdue(room);
        }
        self.is_open(room.kind)
            && match &self.backfill {
                Some(backfill) => {
                    backfill.may_use(self.job.spec(), room, self.waited)
                        && (!room.leaving || !self.job.lost_starts(MOST_LEFT))
                }
                None => !room.leaving,
            }
            && self.passes_hold(room)
    }

    /// What is left of the rules for work that has waited beside room for too long: not where others are being stopped
    /// for somebody, and idle work that runs elsewhere leaves free what is kept for arrivals.
    fn may_use_overdue(&self, room: &Room) -> bool {
        let for_arrivals = room.kept && self.backfill.is_some() && !self.job.bound.is_empty();
        !for_arrivals && (!room.reserved || self.passes_hold(room))
    }

    /// Whether what the room is held for, if it is, leaves it to this work.
    fn passes_hold(&self, room: &Room) -> bool {
        room.reservation.is_none_or(|reservation| {
            ((self.pressed && !self.ahead.contains(&&reservation.job))
                || self.first
                || reservation.job == *self.id
                || self.over <= reservation.until)
                || self.passes.contains(&&reservation.job)
        })
    }

    fn candidate(&self, at: usize, room: &Room) -> Option<Candidate> {
        let spec = self.job.spec();
        if !room.fits(spec) || !self.may_use(room) {
            return None;
        }
        if self.apt_only && room.waste(spec) > 1 {
            return None;
        }
        // Fit-now is the whole test for hard work; soft work must also be admitted.
        let new_return = match sla::admit(room.load, room.of.cpus, self.share, self.task_return) {
            Some(new_return) => new_return,
            None if self.hard || self.overdue => room.load.total_return + self.task_return,
            None => return None,
        };
        Some(Candidate {
            failed: room.machine.is_some_and(|m| self.failed_on.contains(&m.id)),
            held: room.reservation.is_some_and(|reservation| reservation.job != *self.id),
            risk: if self.wary { room.risk() } else { 0 },
            sought: spec.spot && self.sought.get(room.kind) == Some(&true),
            waste: room.waste(spec),
            has_image: room.holds_image(self.job),
            new_return,
            left: room.cpus,
            at,
        })
    }

    fn occupy(&self, room: &mut Room) {
        room.take(self.job.spec());
        room.load.share += self.share;
        room.load.total_return += self.task_return;
    }
}

/// What found no room in this plan. Room only shrinks within a plan, so work that asks for at
/// least as much, on no other machines, need not look.
struct Unfit<'a> {
    spec: &'a JobSpec,
    run: Duration,
    tasks: usize,
    open: Vec<bool>,
}

impl Unfit<'_> {
    fn covers(&self, job: &JobState, tasks: usize, open: &[bool]) -> bool {
        let spec = job.spec();
        // Shorter work may yet end before what is held is wanted.
        job.agreement.run >= self.run
            && spec.cpus >= self.spec.cpus
            && spec.gpus >= self.spec.gpus
            && spec.memory_gb >= self.spec.memory_gb
            && tasks >= self.tasks
            && (self.tasks <= 1 || spec.same_zone || !self.spec.same_zone)
            && open.iter().zip(&self.open).all(|(a, b)| *b || !a)
    }
}

/// One plan: the rooms there are, and how many were looked at, by which its work is bounded.
pub struct Plan<'a> {
    cluster: &'a ClusterState,
    attribution: &'a FailureAttribution,
    intents: &'a Intents,
    ground: Ground<'a>,
    rooms: Vec<Room<'a>>,
    unfit: Vec<Unfit<'a>>,
    /// What fits nowhere even if nothing is kept from it.
    full: Vec<Unfit<'a>>,
    /// Pieces of rooms that were kept for gangs, as (room, tasks, like these).
    set_aside: Vec<(usize, u64, &'a JobSpec)>,
    /// What more urgent work than idle found no room for.
    wanted: Rc<Backfill>,
    /// What idle work would give up of machines without accelerators, and is not yet counted with.
    giving: Vec<Room<'a>>,
    sought: Rc<[bool]>,
    now: Instant,
    /// Zones in which room was kept for a gang: for one at a time, since what is kept stands idle.
    kept: Vec<&'a str>,
    /// Number of rooms looked at so far, repeated looks included.
    pub looked: u64,
}

impl<'a> Plan<'a> {
    /// The rooms of all usable machines with enough free cores for the smallest of the turns' tasks.
    pub fn new(cluster: &'a ClusterState, catalog: &'a Catalog, turns: &[Turn], now: Instant) -> Self {
        let ground = Ground::new(cluster, catalog);
        let suspect = super::room::suspect_after(cluster);
        let least = turns.iter().map(|t| t.job.spec().cpus).fold(f64::INFINITY, f64::min);
        let rooms = cluster
            .machines
            .values()
            .filter(|m| usable(m, suspect, now) || usable_until_left(m, suspect, now))
            .filter_map(|m| ground.room(m))
            .filter(|r| r.cpus + SLACK >= least)
            .map(|r| held(cluster, r, now))
            .collect();
        let giving = giving(cluster, &ground, suspect, now);
        let sought = sought(&ground, turns);
        Self {
            cluster,
            attribution: &cluster.attribution,
            intents: &cluster.intents,
            giving,
            sought,
            ground,
            rooms,
            unfit: Vec::new(),
            full: Vec::new(),
            set_aside: Vec::new(),
            wanted: Rc::default(),
            now,
            kept: Vec::new(),
            looked: 0,
        }
    }

    /// Places up to `most` tasks, the best machine first, and gives them with their rooms.
    fn fill(
        &mut self,
        demand: &Demand<'a>,
        zones: &mut Zones<'a>,
        most: usize,
        only: Option<&str>,
    ) -> Vec<(u32, usize)> {
        let ground = &self.ground;
        let in_zone = |room: &Room| only.is_none_or(|z| z == ground.zone(room.kind));
        self.looked += self.rooms.len() as u64;
        let mut heap: BinaryHeap<Candidate> = self
            .rooms
            .iter()
            .enumerate()
            .filter(|(_, room)| in_zone(room))
            .filter_map(|(at, room)| demand.candidate(at, room))
            .collect();
        let mut placed = Vec::new();
        let waiting = demand.job.waiting.iter().filter(|index| !demand.held_back.contains(index));
        for index in waiting.take(most) {
            let best = loop {
                match heap.pop() {
                    None => return placed,
                    Some(c) if zones.allow(ground.zone(self.rooms[c.at].kind)) => break c.at,
                    Some(_) => {}
                }
            };
            self.looked += 1;
            demand.occupy(&mut self.rooms[best]);
            zones.take(ground.zone(self.rooms[best].kind));
            placed.push((*index, best));
            heap.extend(demand.candidate(best, &self.rooms[best]));
        }
        placed
    }

    /// Places as many tasks of one job as there is room for; all or none of a gang.
    /// `keep`: what there is of its room, where that is too little, is kept from what comes after it.
    pub fn place_job(
        &mut self,
        turn: &Turn<'a>,
        zones: &mut Zones<'a>,
        most: usize,
        keep: bool,
    ) -> Vec<(u32, MachineId)> {
        let (job, spec) = (turn.job, turn.job.spec());
        let open = self.ground.open_to(spec, zones);
        let tasks = if spec.is_gang() { job.waiting.len() } else { 1 };
        // What is to begin needs one place, wherever it is: it is not asked to keep out of the way.
        let backfill = (spec.is_idle() && turn.rank == Rank::Idle).then(|| self.wanted.clone());
        let overdue = self.cluster.beside_room.overdue(turn.id, self.now);
        let mut demand = Demand::new(turn, self.attribution, backfill, open, self.sought.clone(), overdue, self.now);
        demand.held_back.extend(self.intents.stopped(turn.id));
        let waiting = self.intents.waiting(turn.id, job);
        demand.apt_only = !spec.is_idle() && !overdue && self.gives_way(spec, &demand.open, waiting as u64);
        if turn.ahead {
            demand.passes = intents::reserved_for(self.cluster, |other, ahead| !ahead && other <= spec.urgency);
        } else if demand.pressed {
            demand.ahead = intents::reserved_for(self.cluster, |other, ahead| ahead && other >= spec.urgency);
        }
        let holds =
            |room: &Room| room.reservation.is_some_and(|h| h.job == *turn.id || demand.passes.contains(&&h.job));
        let keep = keep && spec.is_gang();
        if !demand.pressed
            && !overdue
            && !keep
            && self.unfit.iter().any(|u| u.covers(job, tasks, &demand.open))
            && !self.rooms.iter().any(holds)
        {
            self.note_waits(spec, &demand.open, turn.suspected);
            return Vec::new();
        }
        let placed =
            if spec.is_gang() { self.place_gang(&demand, zones) } else { self.fill(&demand, zones, most, None) };
        let short = if spec.is_gang() { placed.is_empty() } else { placed.len() < most.min(waiting) };
        if short {
            self.note_waits(spec, &demand.open, turn.suspected);
        }
        if short && keep {
            self.keep_pieces(&demand);
        }
        // Spread work, and arrays that settled in one zone, were refused rooms that others may use.
        if short && !spec.spread && (spec.is_gang() || !spec.same_zone) {
            self.unfit.push(Unfit { spec, run: job.agreement.run, tasks, open: demand.open });
        }
        let rooms = &self.rooms;
        placed.into_iter().filter_map(|(index, at)| Some((index, rooms[at].machine?.id.clone()))).collect()
    }

    /// Takes the room that there is for a gang, in the zone that has most of it, out of this plan.
    fn keep_pieces(&mut self, demand: &Demand<'a>) {
        let spec = demand.job.spec();
        let need = demand.job.waiting.len() as u64;
        let mut zones = self.units_by_zone(demand);
        zones.sort_by(|a, b| b.1.cmp(&a.1).then(a.0.cmp(b.0)));
        let free = |zone: &&str| !self.kept.iter().any(|k| k.is_empty() || zone.is_empty() || k == zone);
        let Some((zone, _)) = zones.iter().find(|(zone, _)| free(zone)).copied() else { return };
        self.kept.push(zone);
        let mut left = need;
        let mut order: Vec<usize> = (0..self.rooms.len()).collect();
        order.sort_by_key(|at| self.rooms[*at].waste(spec));
        for at in order {
            let room = &self.rooms[at];
            let here = zone.is_empty() || self.ground.zone(room.kind) == zone;
            if left == 0 || !here || !demand.may_use(room) {
                continue;
            }
            let units = room.units(spec, left);
            for _ in 0..units {
                self.rooms[at].take(spec);
            }
            self.set_aside.push((at, units, spec));
            left -= units;
        }
    }

    /// How many tasks of a gang fit in each zone that it may use, or in all together.
    fn units_by_zone(&self, demand: &Demand<'a>) -> Vec<(&'a str, u64)> {
        let spec = demand.job.spec();
        let need = demand.job.waiting.len() as u64;
        let mut units: HashMap<&str, u64> = HashMap::new();
        let apt = |r: &Room| !demand.apt_only || r.waste(spec) <= 1;
        for room in self.rooms.iter().filter(|r| demand.may_use(r) && apt(r)) {
            let zone = if spec.same_zone { self.ground.zone(room.kind) } else { "" };
            *units.entry(zone).or_default() += room.units(spec, need);
        }
        units.into_iter().collect()
    }

    /// Work like this found no room. Shared with the idle jobs that are placed after it, not copied for each.
    fn note_waits(&mut self, spec: &JobSpec, open: &[bool], suspected: bool) {
        if !spec.is_idle() {
            Rc::make_mut(&mut self.wanted).waits(spec, open, suspected);
        }
    }

    /// Before idle work is placed: rooms for what arrives while it would give way.
    fn keep_for_arrivals(&mut self, cluster: &ClusterState) {
        for arrivals in cluster.arrivals.values() {
            let spec = &arrivals.like.spec;
            let open = self.ground.open_to(spec, &Zones::none(spec));
            let boot_s = self.ground.longest_boot_s(&open);
            let objectives = &cluster.settings.params.objectives;
            let mut left = backfill::kept_for(spec, arrivals.per_second(self.now), objectives, boot_s);
            self.keep(spec, &open, &mut left);
        }
        for (intent, open) in intents::room_kept(cluster, &self.ground) {
            self.keep(&intent.like, &open, &mut intent.tasks.clone());
        }
    }

    fn keep(&mut self, spec: &JobSpec, open: &[bool], left: &mut u64) {
        for room in self.rooms.iter_mut().filter(|r| !r.leaving && !r.kept && r.apt(spec)) {
            if *left == 0 {
                break;
            }
            let units = if open.get(room.kind) == Some(&true) { room.units(spec, *left) } else { 0 };
            room.kept = units > 0;
            *left -= units;
        }
    }

    /// Whether idle work would make room for all these tasks on machines as they need them; what it
    /// would give is then counted with.
    fn gives_way(&mut self, spec: &JobSpec, open: &[bool], need: u64) -> bool {
        if self.giving.is_empty() || spec.gpus > 0.0 {
            return false;
        }
        let mut units: BTreeMap<&str, u64> = BTreeMap::new();
        for room in self.giving.iter().filter(|r| open.get(r.kind) == Some(&true)) {
            let zone = if spec.same_zone { self.ground.zone(room.kind) } else { "" };
            *units.entry(zone).or_default() += room.units(spec, need);
        }
        let Some(zone) = units.into_iter().find(|(_, n)| *n >= need).map(|(zone, _)| zone) else { return false };
        let mut left = need;
        for room in &mut self.giving {
            let here = zone.is_empty() || self.ground.zone(room.kind) == zone;
            if left == 0 || !here || open.get(room.kind) != Some(&true) {
                continue;
            }
            let n = room.units(spec, left);
            room.add(-(n as f64) * spec.cpus, 0.0, -(n as f64) * spec.memory_gb);
            left -= n;
        }
        true
    }

    /// A gang in one zone is tried zone by zone, since a greedy start may pick a zone too small.
    fn place_gang(&mut self, demand: &Demand<'a>, zones: &mut Zones<'a>) -> Vec<(u32, usize)> {
        let spec = demand.job.spec();
        let need = demand.job.waiting.len();
        self.looked += self.rooms.len() as u64;
        let mut enough: Vec<&str> =
            self.units_by_zone(demand).into_iter().filter(|(_, n)| *n >= need as u64).map(|(z, _)| z).collect();
        enough.sort_unstable();
        for zone in enough {
            let before = zones.counts();
            let placed = self.fill(demand, zones, need, Some(zone).filter(|_| spec.same_zone));
            if placed.len() == need {
                return placed;
            }
            for (_, at) in &placed {
                let room = &mut self.rooms[*at];
                room.give_back(spec);
                room.load.share -= demand.share;
                room.load.total_return -= demand.task_return;
            }
            zones.set_counts(before);
        }
        Vec::new()
    }
}

/// The room with what it is held for.
fn held<'a>(cluster: &'a ClusterState, room: Room<'a>, now: Instant) -> Room<'a> {
    let reservation = room.machine.and_then(|m| cluster.reservation(&m.id, now));
    let reserved =
        room.machine.is_some_and(|m| cluster.preemption_reservations.get(&m.id).is_some_and(|h| h.until > now));
    Room { reservation, reserved, ..room }
}

/// Ordinary kinds open to work that waits and may use no cheap ones.
fn sought(ground: &Ground, turns: &[Turn]) -> Rc<[bool]> {
    let mut sought = vec![false; ground.offers.len()];
    for turn in turns.iter().filter(|t| !t.job.spec().spot && !t.suspected && t.rank != Rank::Idle) {
        for (sought, open) in sought.iter_mut().zip(ground.open_to(turn.job.spec(), &Zones::none(turn.job.spec()))) {
            *sought |= open;
        }
    }
    sought.into()
}

/// Machines without accelerators, and free of reservations, on which idle work would give way.
fn giving<'a>(cluster: &'a ClusterState, ground: &Ground<'a>, suspect: Duration, now: Instant) -> Vec<Room<'a>> {
    let held = cluster.machines.values().filter(|m| m.idle().cpus > 0.0 && usable(m, suspect, now));
    let free = held.filter(|m| cluster.reservation(&m.id, now).is_none());
    free.filter_map(|m| ground.room(m)).filter(|r| r.of.gpus <= 0.0).map(|r| r.without_idle()).collect()
}

/// All placements that can be made now.
pub fn place(cluster: &mut ClusterState, catalog: &Catalog, now: Instant) -> Vec<Placement> {
    place_counted(cluster, catalog, now).0
}

/// The same, with how many rooms were looked at.
pub fn place_counted(cluster: &mut ClusterState, catalog: &Catalog, now: Instant) -> (Vec<Placement>, u64) {
    if !cluster.loaded {
        return (Vec::new(), 0);
    }
    cluster.refresh_loads(now);
    // Where the rest of its room does not come free, nobody waits for ever on what is kept for a gang.
    if cluster.keeping.is_some() && cluster.beside_room.longest(now) >= KEPT_FOR {
        cluster.keeping = now.checked_sub(KEPT_FOR).or(cluster.keeping);
    }
    let spell = cluster.keeping.map(|since| now.saturating_duration_since(since));
    let may_keep = spell.is_none_or(|spell| spell < KEPT_FOR);
    let Decided { placements, looked, kept, passed_over } = decide(cluster, catalog, may_keep, now);
    for placement in &placements {
        if cluster.beside_room.overdue(&placement.task.job, now) {
            cluster.take_back(&placement.machine);
        }
    }
    cluster.beside_room.note(passed_over, now);
    if kept {
        cluster.keeping.get_or_insert(now);
    } else if may_keep || spell.is_some_and(|spell| spell >= KEPT_FOR + KEPT_PAUSE) {
        cluster.keeping = None;
    }
    (placements, looked)
}

/// What one plan comes to.
#[derive(Default)]
struct Decided {
    placements: Vec<Placement>,
    /// How many rooms were looked at.
    looked: u64,
    /// Whether any was kept for a gang.
    kept: bool,
    /// Jobs that wait although a room fits.
    passed_over: HashSet<JobId>,
}

fn decide(cluster: &ClusterState, catalog: &Catalog, may_keep: bool, now: Instant) -> Decided {
    let mut decisions = Vec::new();
    let mut passed_over = HashSet::new();
    let mut turns = queue(cluster, now);
    if turns.is_empty() {
        return Decided::default();
    }
    // Late work goes first as far as it has earned, the oldest of it.
    let mut earned = None;
    let late =
        turns.iter().enumerate().filter(|(_, t)| t.late && !t.guaranteed && !t.suspected && t.rank != Rank::Idle);
    let oldest = late.max_by(|(_, a), (_, b)| a.age.cmp(&b.age).then(b.id.cmp(a.id)));
    if let Some((at, needs)) =
        oldest.map(|(at, t)| (at, t.job.cores_at_once())).filter(|(_, n)| *n <= cluster.core_credit.credit())
    {
        let turn = turns.remove(at);
        turns.insert(turns.iter().take_while(|t| t.guaranteed).count(), turn);
        earned = Some((turn.id, (cluster.core_credit.credit() / needs.max(SLACK)) as usize));
    }
    let mut plan = Plan::new(cluster, catalog, &turns, now);
    let mut quotas = Quotas::new(cluster);
    let mut idle_begun = false;
    for turn in turns {
        if turn.rank == Rank::Idle && !std::mem::replace(&mut idle_begun, true) {
            plan.keep_for_arrivals(cluster);
        }
        if decisions.len() >= MOST_PLACEMENTS {
            break;
        }
        let job = turn.job;
        let spec = job.spec();
        let mut most = turn.most.min(MOST_PLACEMENTS - decisions.len());
        if spec.is_gang() {
            if !quotas.allows(spec, spec.tasks as f64) {
                continue;
            }
        } else {
            // Few teams have limits; counting up to the limit is cheap next to placing.
            let mut n = 0;
            while n < most.min(cluster.intents.waiting(turn.id, job)) && quotas.allows(spec, (n + 1) as f64) {
                n += 1;
            }
            most = n;
        }
        let overdue = cluster.beside_room.overdue(turn.id, now);
        if let Some((_, tasks)) = earned.filter(|(id, _)| *id == turn.id && !overdue && !spec.is_gang()) {
            most = most.min(tasks);
        }
        if overdue && turn.rank == Rank::Idle && !spec.is_gang() && job.bound.is_empty() {
            most = most.min(1);
        }
        if turn.suspected && !overdue && !spec.is_gang() {
            most = most.min(PROBES.saturating_sub(job.bound.len()));
        }
        if most == 0 {
            continue;
        }
        let attempt_of = |index: u32| job.tasks.get(index as usize).map_or(0, |t| t.attempt) + 1;
        let keep = may_keep && (turn.credited || earned.is_some_and(|(id, _)| id == turn.id));
        let mut zones = Zones::new(cluster, job);
        let placed = plan.place_job(&turn, &mut zones, most, keep);
        quotas.take(spec, placed.len() as f64);
        if plan.leaves_beside_room(&turn, &zones, placed.len(), &quotas) {
            passed_over.insert(turn.id.clone());
        }
        if placed.is_empty() {
            continue;
        }
        // The tasks of a gang find one another by a common attempt number.
        let gang_attempt = if spec.is_gang() { job.tasks.iter().map(|t| t.attempt).max().unwrap_or(0) + 1 } else { 0 };
        decisions.extend(placed.into_iter().map(|(index, machine)| Placement {
            task: TaskKey { job: turn.id.clone(), index },
            attempt: if spec.is_gang() { gang_attempt } else { attempt_of(index) },
            machine,
        }));
    }
    Decided { placements: decisions, looked: plan.looked, kept: !plan.kept.is_empty(), passed_over }
}
