//! A guarantee for gangs: the largest gangs of each class begin within a stated time (property `large.begin.seconds`),
//! as far as their part of the offered work pays for it.
//!
//! A gang starts only where all of its tasks fit. In order of return alone, smaller work would take each piece of room
//! as it comes free, and a large gang would begin only once less work arrives than ends. So the largest gangs earn
//! credit from the cores that are given to others, in the proportion in which both have offered work. The credit goes
//! to the gang that has waited longest and can still begin in time: it goes first within its rank, and the room found
//! for it is reserved until the rest has come free (backfill with one reservation). Where no large gang has waited for
//! long, nothing of this has an effect.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use lru::LruCache;

use super::cluster::{JobState, MOST_CLASSES};
use super::fairness::floor::CoreCredit;
use super::plan::Turn;
use crate::jobs::{JobId, JobSpec};
use crate::settings::Properties;

/// From this part of the time within which it is to begin, a large gang may go first.
const PATIENCE: f64 = 0.5;
/// Heartbeats, a start told and a fetch lie between a place and a beginning.
const START_MARGIN: Duration = Duration::from_secs(15);
/// The largest are one in so many of a class, and whoever is as large.
const PART: usize = 10;
/// Sizes remembered of a class, the latest: by these it is told which are its largest.
const REMEMBERED: usize = 200;

/// How many tasks the latest jobs of a class had.
#[derive(Debug, Clone, Default)]
struct Sizes {
    latest: VecDeque<u64>,
    least: u64,
}

impl Sizes {
    fn note(&mut self, tasks: u64) {
        if self.latest.len() >= REMEMBERED {
            self.latest.pop_front();
        }
        self.latest.push_back(tasks);
        let mut sorted: Vec<u64> = self.latest.iter().copied().collect();
        sorted.sort_unstable();
        self.least = sorted[sorted.len() * (PART - 1) / PART];
    }
}

/// What the largest gangs offer and earn.
#[derive(Debug)]
pub struct Large {
    sizes: LruCache<String, Sizes>,
    /// Cores that the largest and that all others have offered, faded over this time.
    fade: Duration,
    offered: (f64, f64),
    at: Instant,
    core_credit: CoreCredit,
}

impl Large {
    /// Nothing offered or earned yet; what is offered fades over the property `served.window.seconds`.
    pub fn new(properties: &Properties, now: Instant) -> Self {
        let (sizes, fade) = (LruCache::new(MOST_CLASSES), properties.served_window);
        Self { sizes, fade, offered: (0.0, 0.0), at: now, core_credit: CoreCredit::default() }
    }

    /// Among the largest of its class, and of several tasks.
    fn largest(&self, spec: &JobSpec) -> bool {
        spec.tasks > 1 && self.sizes.peek(&spec.class).is_some_and(|sizes| spec.tasks >= sizes.least)
    }

    /// Such a one whose tasks start together, and that is not idle work.
    pub fn is(&self, spec: &JobSpec) -> bool {
        spec.is_gang() && !spec.is_idle() && self.largest(spec)
    }

    /// The one that has waited longest of the largest that begin with their first task, idle work too, that has
    /// not begun and of which nothing is on its way: one task of it is little, and goes first.
    pub fn to_begin<'a>(&self, turns: &[Turn<'a>], within: Duration) -> Option<&'a JobId> {
        let may = |t: &&Turn<'a>| {
            let spec = t.job.spec();
            let waits = t.age >= within.mul_f64(PATIENCE) && !t.job.begun() && t.job.bound.is_empty();
            waits && !t.quarantined && !spec.is_gang() && self.largest(spec)
        };
        turns.iter().filter(may).max_by(|a, b| a.age.cmp(&b.age).then(b.id.cmp(a.id))).map(|t| t.id)
    }

    /// A job came so long ago.
    pub fn offered(&mut self, spec: &JobSpec, age: Duration, now: Instant) {
        if !self.sizes.contains(&spec.class) {
            self.sizes.put(spec.class.clone(), Sizes::default());
        }
        if let Some(sizes) = self.sizes.get_mut(&spec.class) {
            sizes.note(spec.tasks);
        }
        if spec.is_idle() {
            return;
        }
        let kept = |past: Duration| (-past.as_secs_f64() / self.fade.as_secs_f64()).exp();
        let faded = kept(now.saturating_duration_since(self.at));
        let cores = spec.cpus * spec.tasks as f64 * kept(age);
        self.offered = (self.offered.0 * faded, self.offered.1 * faded);
        self.at = now;
        if self.is(spec) {
            self.offered.0 += cores;
        } else {
            self.offered.1 += cores;
        }
    }

    /// A task was given its place.
    pub fn placed(&mut self, spec: &JobSpec) {
        if !spec.is_idle() {
            let part = self.offered.0 / self.offered.1.max(1e-9);
            self.core_credit.note(spec.cpus, self.is(spec), part);
        }
    }

    /// Whether a waiting gang of this age may go first. Not once it is too late for it: then those are served
    /// that can still be in time, and it has its part of what is given to late work.
    fn may(&self, job: &JobState, age: Duration, within: Duration) -> bool {
        let patience = within.mul_f64(PATIENCE);
        self.is(job.spec()) && age >= patience && age + START_MARGIN.min(patience) <= within
    }

    /// Who of those that wait goes first now: the one that has waited longest, once enough is earned for it.
    pub fn credited<'a>(&self, turns: &[Turn<'a>], within: Duration) -> Option<&'a JobId> {
        let may = |t: &&Turn<'a>| !t.quarantined && self.may(t.job, t.age, within);
        let oldest = turns.iter().filter(may).max_by(|a, b| a.age.cmp(&b.age).then(b.id.cmp(a.id)))?;
        (oldest.job.cores_at_once() <= self.core_credit.credit()).then_some(oldest.id)
    }

    /// What is earned is bounded by what the oldest needs; nothing is earned where none waits.
    pub fn bound<'a>(&mut self, waiting: impl Iterator<Item = &'a JobState>, within: Duration, now: Instant) {
        let may = |job: &&JobState| self.may(job, now.saturating_duration_since(job.since), within);
        let needs = waiting.filter(may).min_by_key(|job| job.since).map(JobState::cores_at_once);
        self.core_credit.bound(needs.map(|n| n * 2.0));
    }
}
