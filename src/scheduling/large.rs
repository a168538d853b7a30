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

use super::fairness::floor::CoreCredit;
use super::ids::MAX_CLASSES;
use crate::jobs::JobSpec;
use crate::settings::Properties;

/// From this part of the time within which it is to begin, a large gang may go first.
pub const PRECEDENCE_AGE_FRACTION: f64 = 0.5;
/// Heartbeats, a start told and a fetch lie between a place and a beginning.
const START_MARGIN: Duration = Duration::from_secs(15);
/// The largest are one in so many of a class, and whoever is as large.
const LARGEST_DIVISOR: usize = 10;
/// Sizes remembered of a class, the latest: by these it is told which are its largest.
const MAX_SIZES: usize = 200;

/// How many tasks the latest jobs of a class had.
#[derive(Debug, Clone, Default)]
struct ClassSizes {
    latest: VecDeque<u64>,
    largest_threshold: u64,
}

impl ClassSizes {
    fn record(&mut self, tasks: u64) {
        if self.latest.len() >= MAX_SIZES {
            self.latest.pop_front();
        }
        self.latest.push_back(tasks);
        let mut sorted: Vec<u64> = self.latest.iter().copied().collect();
        sorted.sort_unstable();
        self.largest_threshold = sorted[sorted.len() * (LARGEST_DIVISOR - 1) / LARGEST_DIVISOR];
    }
}

/// Offered work in cores, faded with time.
#[derive(Debug, Clone, Copy, Default)]
struct OfferedCores {
    /// By the largest gangs.
    large: f64,
    /// By all others.
    other: f64,
}

/// What the largest gangs offer and earn.
#[derive(Debug)]
pub struct LargeGangs {
    sizes: LruCache<String, ClassSizes>,
    /// What is offered fades over this time.
    fade: Duration,
    offered: OfferedCores,
    faded_at: Instant,
    core_credit: CoreCredit,
}

impl LargeGangs {
    /// Nothing offered or earned yet; what is offered fades over the property `served.window.seconds`.
    pub fn new(properties: &Properties, now: Instant) -> Self {
        let (sizes, fade) = (LruCache::new(MAX_CLASSES), properties.served_window);
        Self { sizes, fade, offered: OfferedCores::default(), faded_at: now, core_credit: CoreCredit::default() }
    }

    /// Among the largest of its class, and of several tasks.
    pub fn is_largest(&self, spec: &JobSpec) -> bool {
        spec.tasks > 1 && self.sizes.peek(&spec.class).is_some_and(|sizes| spec.tasks >= sizes.largest_threshold)
    }

    /// Such a one whose tasks start together, and that is not idle work.
    pub fn is_large_gang(&self, spec: &JobSpec) -> bool {
        spec.is_gang() && !spec.is_idle() && self.is_largest(spec)
    }

    /// A job came so long ago.
    pub fn record_offer(&mut self, spec: &JobSpec, age: Duration, now: Instant) {
        if !self.sizes.contains(&spec.class) {
            self.sizes.put(spec.class.clone(), ClassSizes::default());
        }
        if let Some(sizes) = self.sizes.get_mut(&spec.class) {
            sizes.record(spec.tasks);
        }
        if spec.is_idle() {
            return;
        }
        let kept = |past: Duration| (-past.as_secs_f64() / self.fade.as_secs_f64()).exp();
        let faded = kept(now.saturating_duration_since(self.faded_at));
        let cores = spec.cpus * spec.tasks as f64 * kept(age);
        self.offered.large *= faded;
        self.offered.other *= faded;
        self.faded_at = now;
        if self.is_large_gang(spec) {
            self.offered.large += cores;
        } else {
            self.offered.other += cores;
        }
    }

    /// A task was given its place.
    pub fn record_placement(&mut self, spec: &JobSpec) {
        if !spec.is_idle() {
            let part = self.offered.large / self.offered.other.max(1e-9);
            self.core_credit.record_placement(spec.cpus, self.is_large_gang(spec), part);
        }
    }

    /// Whether a waiting gang of this age may go first. Not once it is too late for it: then those are served
    /// that can still be in time, and it has its part of what is given to late work.
    pub fn may_take_precedence(&self, spec: &JobSpec, age: Duration, within: Duration) -> bool {
        let patience = within.mul_f64(PRECEDENCE_AGE_FRACTION);
        self.is_large_gang(spec) && age >= patience && age + START_MARGIN.min(patience) <= within
    }

    /// Credit is bounded by what the oldest waiting large gang needs, in cores; nothing is earned where none waits.
    pub fn bound_credit(&mut self, needs: Option<f64>) {
        self.core_credit.cap(needs.map(|cores| cores * 2.0));
    }

    /// Cores that large gangs may take before others.
    pub fn credit(&self) -> f64 {
        self.core_credit.cores()
    }
}
