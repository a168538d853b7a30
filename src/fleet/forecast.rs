//! When waiting work would start on the machines there are: a coarse simulation that renting is
//! decided by. Each machine frees room as its tasks are expected to end.

use std::time::{Duration, Instant};

use super::Catalog;
use crate::jobs::JobSpec;
use crate::scheduling::book::{Book, JobState, Machine, Standing};
use crate::scheduling::plan::{Room, Zones, allowed, room};
use crate::sla;

/// A machine's room now and as it is expected to come free, in seconds from now.
#[derive(Debug, Clone)]
pub struct Timeline {
    pub room: Room,
    from_s: f64,
    /// (when, cpus, gpus, GB), earliest first.
    releases: Vec<(f64, f64, f64, f64)>,
}

impl Timeline {
    pub fn new(room: Room, from: Duration) -> Self {
        Self { room, from_s: from.as_secs_f64(), releases: Vec::new() }
    }

    /// A machine of the book with what its tasks still have to run.
    pub fn of(book: &Book, machine: &Machine, catalog: &Catalog, now: Instant) -> Option<Self> {
        let usual = Duration::from_secs_f64(catalog.get(&machine.type_name)?.boot_s);
        let from = match machine.standing {
            Standing::Booting => usual.saturating_sub(now.saturating_duration_since(machine.since)),
            _ => Duration::ZERO,
        };
        let mut timeline = Self::new(room(book, machine, catalog, now)?, from);
        for key in &machine.bound {
            let Some(job) = book.job(&key.job) else { continue };
            let Some(binding) = job.binding(key.index) else { continue };
            let rest = match (job.ended, binding.halting) {
                (None, None) => sla::remaining(job.agreement.run, binding.ran(now)),
                _ => Duration::ZERO,
            };
            let spec = job.spec();
            timeline.releases.push((rest.as_secs_f64(), spec.cpus, spec.gpus, spec.memory_gb));
        }
        timeline.releases.sort_by(|a, b| a.0.total_cmp(&b.0));
        Some(timeline)
    }

    fn earliest(&self, spec: &JobSpec) -> Option<f64> {
        if self.room.fits(spec) {
            return Some(self.from_s);
        }
        let mut room = self.room.clone_amounts();
        for (at, cpus, gpus, memory_gb) in &self.releases {
            room.add(*cpus, *gpus, *memory_gb);
            if room.fits(spec) {
                return Some(at.max(self.from_s));
            }
        }
        None
    }

    /// Gives a task its place. What comes after it on this machine starts no earlier, which is
    /// near enough for work taken in the order of its turn.
    fn take(&mut self, spec: &JobSpec, at: f64, run_s: f64) {
        let due = self.releases.partition_point(|r| r.0 <= at);
        for (_, cpus, gpus, memory_gb) in self.releases.drain(..due) {
            self.room.add(cpus, gpus, memory_gb);
        }
        self.from_s = self.from_s.max(at);
        self.room.take(spec);
        let end = at + run_s;
        let place = self.releases.partition_point(|r| r.0 <= end);
        self.releases.insert(place, (end, spec.cpus, spec.gpus, spec.memory_gb));
    }
}

/// Seconds until the next task of this job would start, and where.
pub fn next_start(timelines: &[Timeline], job: &JobState, zones: &Zones) -> Option<(f64, usize)> {
    let spec = job.spec();
    let mut chosen: Option<(f64, bool, usize)> = None;
    for (i, timeline) in timelines.iter().enumerate() {
        let room = &timeline.room;
        if !allowed(spec, &room.type_name, &room.zone, room.spot) || !zones.allow(&room.zone) {
            continue;
        }
        if chosen.is_some_and(|(best, ..)| timeline.from_s > best) {
            continue;
        }
        let Some(at) = timeline.earliest(spec) else { continue };
        let wasteful = room.all_gpus > 0.0 && spec.gpus <= 0.0;
        if chosen.is_none_or(|(best, waste, _)| (at, wasteful) < (best, waste)) {
            chosen = Some((at, wasteful, i));
        }
    }
    chosen.map(|(at, _, i)| (at, i))
}

pub fn take(timelines: &mut [Timeline], which: usize, job: &JobState, at: f64) {
    let fetch =
        if timelines[which].room.holds_image(job.spec()) { 0.0 } else { fetch_s(&timelines[which].room, job.spec()) };
    timelines[which].take(job.spec(), at, fetch + job.agreement.run.as_secs_f64());
}

fn fetch_s(room: &Room, spec: &JobSpec) -> f64 {
    spec.image_gb / room.fetch_gb_per_s
}

/// For how long the job's next task may wait before its user would notice: until its deadline,
/// or what the objectives of its class ask, less its run time with a margin for the estimate.
pub fn slack_s(book: &Book, job: &JobState, age: Duration) -> f64 {
    const MARGIN: f64 = 1.2;
    let run = job.agreement.run.as_secs_f64() * MARGIN;
    let spec = job.spec();
    let age = age.as_secs_f64();
    if let Some(due) = spec.due_s {
        return due - age - run;
    }
    let asked = book.settings.params.objectives.iter().filter(|o| o.class == spec.class && o.within_s > 0.0);
    let slack = asked
        .map(|o| if o.kind == "finished" { o.within_s - age - run } else { o.within_s - age })
        .fold(f64::INFINITY, f64::min);
    if slack.is_finite() { slack } else { job.agreement.deadline.as_secs_f64() - age - run }
}
