//! The jobs of a rehearsal, drawn from its sizes.

use std::collections::VecDeque;
use std::time::Duration;

use hollylanding_protocol::jobs::{JobSpec, Shape};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::sizes::{Sizes, Work};
use crate::world::fleet::Upload;

/// Range of the time from a job's acceptance until its user cancels it, in seconds.
const CANCELLATION_DELAY_S: std::ops::Range<f64> = 0.5..6.0;
/// Range of the real run time of a job's tasks as a multiple of the run time in the sizes.
const RUN_FACTOR: std::ops::Range<f64> = 0.7..1.3;

/// A job that will be submitted.
pub(super) struct PendingJob {
    /// When the user first submits the job, in seconds since the start of the world.
    pub(super) at_s: f64,
    pub(super) spec: JobSpec,
    run_s: f64,
    /// Time from the job's acceptance until its user cancels it; none if the user does not.
    pub(super) cancelled_after: Option<Duration>,
    /// Whether the job's tasks fail on every machine.
    broken: bool,
}

impl PendingJob {
    /// Whether the job never ends by itself and is cancelled at the end of the rehearsal.
    pub(super) fn lingers(&self) -> bool {
        self.cancelled_after.is_none() && (self.broken || self.spec.shape == Shape::Service)
    }

    /// The job's description for the workers.
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
    cancelled_after: Option<Duration>,
}

/// Draws which jobs are cancelled, and returns all jobs in the order of their submission.
fn draw_arrivals<'a>(sizes: &'a Sizes, rng: &mut ChaCha8Rng) -> Vec<Arrival<'a>> {
    let mut arrivals = Vec::new();
    for work in &sizes.work {
        for at_s in work.arrivals() {
            let cancelled = rng.random_bool(work.cancelled);
            let cancelled_after = cancelled.then(|| Duration::from_secs_f64(rng.random_range(CANCELLATION_DELAY_S)));
            arrivals.push(Arrival { at_s, work, cancelled_after });
        }
    }
    arrivals.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    arrivals
}

/// Draws all jobs, in the order in which they are submitted.
pub(super) fn draw_jobs(sizes: &Sizes, rng: &mut ChaCha8Rng) -> VecDeque<PendingJob> {
    let arrivals = draw_arrivals(sizes, rng);
    let job = |(n, arrival): (usize, Arrival)| {
        let Arrival { at_s, work, cancelled_after } = arrival;
        let spec = work.spec(&format!("run-{:06}", n + 1));
        let run_s = work.run_s * rng.random_range(RUN_FACTOR);
        PendingJob { at_s, spec, run_s, cancelled_after, broken: work.broken }
    };
    arrivals.into_iter().enumerate().map(job).collect()
}
