//! Counters of the world over time.

use std::time::Duration;

use crate::driver::{World, lock};
use crate::world::cloud::MachineCounts;

/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// Counters of the world at one moment.
#[derive(Debug, Clone, Copy, Default)]
pub struct Sample {
    /// Time since the start of the world, in seconds.
    pub at_s: f64,
    /// Number of tasks on machines that have not ended.
    pub running: usize,
    /// Number of submitted tasks that are neither on a machine nor done.
    pub waiting: usize,
    /// Number of tasks with a result.
    pub done: usize,
    /// Number of machines that are booting.
    pub booting: usize,
    /// Number of machines that are up.
    pub up: usize,
    /// Number of spot machines that are up.
    pub spot: usize,
    /// Requests to the state service per second since the previous sample.
    pub store_requests: f64,
    /// Changes of keys per second since the previous sample.
    pub store_changes: f64,
    /// Requests to the cloud per second since the previous sample.
    pub cloud_calls: f64,
}

/// Cumulative counters.
#[derive(Debug, Clone, Copy, Default)]
struct Totals {
    requests: u64,
    changes: u64,
    cloud_calls: u64,
}

impl Totals {
    /// The present counters of a world.
    fn of(world: &World) -> Self {
        let cloud_calls = world.cloud_calls();
        let state = lock(&world.state);
        Self { requests: state.requests, changes: state.changes, cloud_calls }
    }
}

/// Takes samples at a fixed interval.
#[derive(Debug, Default)]
pub(super) struct Sampler {
    pub(super) samples: Vec<Sample>,
    /// Time of the last sample.
    sampled_at: Duration,
    totals: Totals,
}

impl Sampler {
    /// Takes a sample if one is due. `submitted` is the number of tasks submitted so far.
    pub(super) fn sample(&mut self, world: &World, now: Duration, submitted: usize) -> Option<Sample> {
        let elapsed = now.saturating_sub(self.sampled_at);
        if elapsed < SAMPLE_INTERVAL {
            return None;
        }
        let totals = Totals::of(world);
        let before = std::mem::replace(&mut self.totals, totals);
        let rate = |now: u64, then: u64| (now - then) as f64 / elapsed.as_secs_f64();
        let MachineCounts { booting, up, spot } = lock(&world.cloud).count_machines();
        let (running, done) = world.with_fleet(|fleet, _| (fleet.count_all_live_tasks(), fleet.results().len()));
        let sample = Sample {
            at_s: world.now().as_secs_f64(),
            running,
            waiting: submitted.saturating_sub(running + done),
            done,
            booting,
            up,
            spot,
            store_requests: rate(totals.requests, before.requests),
            store_changes: rate(totals.changes, before.changes),
            cloud_calls: rate(totals.cloud_calls, before.cloud_calls),
        };
        self.samples.push(sample);
        self.sampled_at = now;
        Some(sample)
    }
}
