//! A guarantee for large gangs: the largest gangs of each class begin within a stated time (property
//! `large.begin.seconds`), as far as their part of the offered work pays for it.
//!
//! A gang starts only where all of its tasks fit. In order of return alone, smaller work would take all capacity as
//! it comes free, and a large gang would begin only once less work arrives than ends. So the largest gangs earn
//! credit from the cores that are given to others, in the proportion in which both have offered work. The credit goes
//! to the gang that has waited longest and can still begin in time: it goes first within its rank, and the
//! capacity found for it is reserved until the rest has come free (backfill with one reservation). If no large gang has
//! waited long, none of this has an effect.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use lru::LruCache;

use super::fairness::floor::CoreCredit;
use super::ids::MAX_CLASSES;
use crate::jobs::JobSpec;
use crate::settings::Properties;

/// A large gang may take precedence once it has waited this fraction of the time within which it is to begin.
pub const PRECEDENCE_AGE_FRACTION: f64 = 0.5;
/// Time between placement and start: heartbeats, the start command and the image fetch.
const START_MARGIN: Duration = Duration::from_secs(15);
/// The largest jobs are one in this many of their class, and all that are as large.
const LARGEST_ONE_IN_JOBS: usize = 10;
/// Maximum latest job sizes kept per class, which determine its largest jobs.
const MAX_SIZES: usize = 200;

/// The task counts of the latest jobs of a class.
#[derive(Debug, Clone, Default)]
struct ClassSizes {
    latest: VecDeque<u64>,
    /// From this many tasks on, a job is among the largest of its class.
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
        self.largest_threshold = sorted[sorted.len() * (LARGEST_ONE_IN_JOBS - 1) / LARGEST_ONE_IN_JOBS];
    }
}

/// Cores of submitted work, with exponential decay.
#[derive(Debug, Clone, Copy, Default)]
struct OfferedCores {
    /// Cores of the largest gangs.
    large: f64,
    /// Cores of all other jobs except idle ones.
    other: f64,
}

/// Tracks the job sizes of each class, the offered work, and the credit that large gangs earn.
#[derive(Debug)]
pub struct LargeGangs {
    /// Latest job sizes by class.
    sizes: LruCache<String, ClassSizes>,
    /// Time constant of the decay of `offered`.
    fade: Duration,
    offered: OfferedCores,
    /// The time as of which `offered` has decayed.
    faded_at: Instant,
    core_credit: CoreCredit,
}

impl LargeGangs {
    /// Creates a tracker with no offered work and no credit. Offered work decays over the property
    /// `served.window.seconds`.
    pub fn new(properties: &Properties, now: Instant) -> Self {
        let (sizes, fade) = (LruCache::new(MAX_CLASSES), properties.served_window);
        Self { sizes, fade, offered: OfferedCores::default(), faded_at: now, core_credit: CoreCredit::default() }
    }

    /// Whether the job has several tasks and is among the largest of its class.
    pub fn is_largest(&self, spec: &JobSpec) -> bool {
        spec.tasks > 1 && self.sizes.peek(&spec.class).is_some_and(|sizes| spec.tasks >= sizes.largest_threshold)
    }

    /// Whether the job is a gang, is not idle work, and is among the largest of its class.
    pub fn is_large_gang(&self, spec: &JobSpec) -> bool {
        spec.is_gang() && !spec.is_idle() && self.is_largest(spec)
    }

    /// Records a job that was submitted `age` ago.
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
        let decay = |past: Duration| (-past.as_secs_f64() / self.fade.as_secs_f64()).exp();
        let faded = decay(now.saturating_duration_since(self.faded_at));
        let cores = spec.cpus * spec.tasks as f64 * decay(age);
        self.offered.large *= faded;
        self.offered.other *= faded;
        self.faded_at = now;
        if self.is_large_gang(spec) {
            self.offered.large += cores;
        } else {
            self.offered.other += cores;
        }
    }

    /// Records that a task was placed: large gangs earn credit from placements of others and pay for their own.
    pub fn record_placement(&mut self, spec: &JobSpec) {
        if !spec.is_idle() {
            let part = self.offered.large / self.offered.other.max(1e-9);
            self.core_credit.record_placement(spec.cpus, self.is_large_gang(spec), part);
        }
    }

    /// Whether a waiting gang of this age may take precedence. It may not once it is too late to begin in time:
    /// precedence then goes to gangs that still can, and this one receives a share of the cores through the credit of
    /// late work (`fairness::floor`).
    pub fn may_take_precedence(&self, spec: &JobSpec, age: Duration, begin_within: Duration) -> bool {
        let patience = begin_within.mul_f64(PRECEDENCE_AGE_FRACTION);
        self.is_large_gang(spec) && age >= patience && age + START_MARGIN.min(patience) <= begin_within
    }

    /// Bounds the credit to twice the cores that the oldest waiting large gang needs; nothing is earned if none waits.
    pub fn bound_credit(&mut self, cores_needed: Option<f64>) {
        self.core_credit.cap(cores_needed.map(|cores| cores * 2.0));
    }

    /// Returns how many cores large gangs may take before others.
    pub fn credit(&self) -> f64 {
        self.core_credit.cores()
    }
}
