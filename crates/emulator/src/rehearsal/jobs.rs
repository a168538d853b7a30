//! The jobs of a rehearsal, drawn from its sizes.

use std::collections::VecDeque;
use std::time::Duration;

use hollylanding_protocol::jobs::{JobSpec, Shape};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::sizes::{Sizes, Work};
use crate::world::fleet::Upload;

/// Range of the time from a job's acceptance until its user cancels it, in seconds.
const CANCELLED_AFTER_S: std::ops::Range<f64> = 0.5..6.0;
/// Range of a task's real run time as a multiple of the usual one.
const RUN_FACTOR: std::ops::Range<f64> = 0.7..1.3;

/// A job that will be submitted.
pub(super) struct PendingJob {
    /// When its user first submits it, in seconds since the world began.
    pub(super) at_s: f64,
    pub(super) spec: JobSpec,
    run_s: f64,
    /// How long after its acceptance it is cancelled, if at all.
    pub(super) cancelled: Option<Duration>,
    broken: bool,
}

impl PendingJob {
    /// Whether it never ends by itself, and is cancelled at the end of the rehearsal.
    pub(super) fn lingers(&self) -> bool {
        self.cancelled.is_none() && (self.broken || self.spec.shape == Shape::Service)
    }

    /// The job as the workers need it.
    pub(super) fn upload(&self) -> Upload {
        let service = self.spec.shape == Shape::Service;
        let run = if service { Duration::ZERO } else { Duration::from_secs_f64(self.run_s) };
        Upload { spec: self.spec.clone(), run, broken: self.broken }
    }
}

/// A job of a kind of work before its id and its run time are drawn.
struct Arrival<'a> {
    at_s: f64,
    work: &'a Work,
    cancelled: Option<Duration>,
}

fn arrivals<'a>(sizes: &'a Sizes, rng: &mut ChaCha8Rng) -> Vec<Arrival<'a>> {
    let mut arrivals = Vec::new();
    for work in &sizes.work {
        for at_s in work.arrivals() {
            let cancelled = rng.random_bool(work.cancelled);
            let cancelled = cancelled.then(|| Duration::from_secs_f64(rng.random_range(CANCELLED_AFTER_S)));
            arrivals.push(Arrival { at_s, work, cancelled });
        }
    }
    arrivals.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    arrivals
}

/// All jobs in the order in which they are submitted.
pub(super) fn jobs(sizes: &Sizes, rng: &mut ChaCha8Rng) -> VecDeque<PendingJob> {
    let arrivals = arrivals(sizes, rng);
    let job = |(n, arrival): (usize, Arrival)| {
        let Arrival { at_s, work, cancelled } = arrival;
        let spec = work.spec(&format!("run-{:06}", n + 1));
        let run_s = work.run_s * rng.random_range(RUN_FACTOR);
        PendingJob { at_s, spec, run_s, cancelled, broken: work.broken }
    };
    arrivals.into_iter().enumerate().map(job).collect()
}
