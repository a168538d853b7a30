//! Questions about jobs that are not known to be open, and the ends that were told lately.
//!
//! Pure: questions and answers go in, batches and verdicts come out. A question joins another about
//! the same job only while that one has not been sent: what the store said before a question was
//! asked must not answer it, since the job may have been accepted in between.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::ends::Ends;
use super::moves::{Place, place_of};
use super::visibility::{Visibility, Visible, visible};
use crate::jobs::{End, JobId};

/// Questions that wait, of all jobs together; each also holds a connection.
const MOST_WAITING: usize = 1024;
/// Jobs asked about that wait for their turn, in batches: about what one controller's share of the
/// requests answers within a second.
const MOST_BATCHES: usize = 8;
/// A question that has waited this long is not worth sending any more: its user has given up, or
/// is about to.
const WORTH_ASKING: Duration = Duration::from_millis(1200);

/// What the store said of a job, as of some moment after the question.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// No key of the job exists: it was never accepted.
    Never,
    /// The job is open.
    Open,
    /// The job has ended, and how.
    Ended(End),
    /// Cannot be said now: the limits are used up, or the store did not answer.
    Later,
}

/// More is asked than can be answered.
#[derive(Debug, PartialEq, Eq)]
pub struct Full;

/// Questions that wait to be sent to the store, and ends learned lately. `W` is whatever an answer is delivered
/// through; this type never uses it.
pub struct QueryQueue<W> {
    ends: Ends,
    visibility: Visibility,
    /// Jobs in the order in which they were first asked about, and who waits for each.
    queue: VecDeque<(JobId, Instant)>,
    waiting: HashMap<JobId, Vec<W>>,
    waiters: usize,
    batch: usize,
}

/// Jobs that are being asked about, and who waits for each.
pub struct Batch<W> {
    asked: Vec<(JobId, Vec<W>)>,
}

impl<W> Batch<W> {
    /// The jobs of the batch, each once.
    pub fn ids(&self) -> impl Iterator<Item = &JobId> {
        self.asked.iter().map(|(id, _)| id)
    }

    /// Whether there is nothing to ask.
    pub fn is_empty(&self) -> bool {
        self.asked.is_empty()
    }

    /// The jobs with everybody who waits for each.
    pub fn into_asked(self) -> Vec<(JobId, Vec<W>)> {
        self.asked
    }

    /// Every waiter with the same verdict.
    pub fn all(self, verdict: Verdict) -> Vec<(W, Verdict)> {
        self.asked.into_iter().flat_map(|(_, waiters)| waiters).map(|w| (w, verdict)).collect()
    }
}

impl<W> QueryQueue<W> {
    /// `batch` jobs at the most are asked about at once.
    pub fn new(batch: usize) -> Self {
        Self {
            ends: Ends::default(),
            visibility: Visibility::default(),
            queue: VecDeque::new(),
            waiting: HashMap::new(),
            waiters: 0,
            batch: batch.max(1),
        }
    }

    /// How a job ended, if that was told lately.
    pub fn ended(&self, id: &str) -> Option<End> {
        self.ends.get(id)
    }

    /// An end that stands in the store.
    pub fn note_end(&mut self, id: &str, end: End) {
        self.ends.put(id, end);
    }

    /// A cancellation was stored at this revision, or before.
    pub fn note_cancellation(&mut self, id: &JobId, version: u64) {
        self.ends.put(id, End::Cancelled);
        if !self.ends.shown(id) {
            self.visibility.stored_at(id, version);
        }
    }

    /// A cancellation stands in the leader's loaded cluster state.
    pub fn show(&mut self, id: &JobId) {
        self.ends.put(id, End::Cancelled);
        self.ends.show(id);
        // An id that cannot be held there goes on being judged by its version.
        if self.ends.shown(id) {
            self.visibility.forget(id);
        }
    }

    /// A leader's loaded cluster state holds all ends up to this revision.
    pub fn advance(&mut self, watermark: u64) {
        self.visibility.advance(watermark);
    }

    /// The highest watermark heard of: all ends up to this revision are in a leader's loaded cluster state.
    pub fn watermark(&self) -> u64 {
        self.visibility.watermark()
    }

    /// Whether users may hear of this end.
    pub fn visible(&mut self, id: &JobId, end: End) -> Visible {
        let (version, watermark) = (self.visibility.version(id), self.visibility.watermark());
        let found = visible(end, self.ends.shown(id), version, watermark);
        if found == Visible::Yes && end == End::Cancelled {
            self.show(id);
        }
        found
    }

    /// Cancellations whose versions are kept, and those of them above the watermark.
    pub fn hidden(&self) -> [usize; 2] {
        [self.visibility.held(), self.visibility.waiting()]
    }

    /// So many wait that some may be refused soon.
    pub fn pressed(&self) -> bool {
        self.queue.len() >= self.batch * MOST_BATCHES / 2
    }

    /// Queues a question. It joins earlier ones about the same job that have not been sent; [`Full`] if too many wait.
    pub fn ask(&mut self, id: &JobId, waiter: W, now: Instant) -> Result<(), Full> {
        let full = self.waiters >= MOST_WAITING;
        if let Some(others) = self.waiting.get_mut(id).filter(|_| !full) {
            others.push(waiter);
        } else if full || self.queue.len() >= self.batch * MOST_BATCHES {
            return Err(Full);
        } else {
            self.queue.push_back((id.clone(), now));
            self.waiting.insert(id.clone(), vec![waiter]);
        }
        self.waiters += 1;
        Ok(())
    }

    /// Whether any job waits to be put into a batch.
    pub fn anything_to_ask(&self) -> bool {
        !self.queue.is_empty()
    }

    /// The next jobs to ask about, and those whose waiters have waited for too long.
    pub fn next_batch(&mut self, now: Instant) -> (Batch<W>, Batch<W>) {
        let (mut fresh, mut stale) = (Vec::new(), Vec::new());
        while fresh.len() < self.batch {
            let Some((id, since)) = self.queue.pop_front() else { break };
            let waiters = self.waiting.remove(&id).unwrap_or_default();
            self.waiters -= waiters.len();
            let worth = now.saturating_duration_since(since) <= WORTH_ASKING;
            if worth { &mut fresh } else { &mut stale }.push((id, waiters));
        }
        (Batch { asked: fresh }, Batch { asked: stale })
    }

    /// What the failed keys of a comparison say of each job of a batch. Those found under an
    /// earlier build's key are left over: they have to be looked at one by one.
    pub fn answered(&mut self, batch: Batch<W>, failed: &[String]) -> (Vec<(W, Verdict)>, Batch<W>) {
        let mut places: HashMap<&str, Place> = HashMap::new();
        for (id, place) in failed.iter().filter_map(|key| place_of(key)) {
            // An earlier build's key says least.
            if place != Place::Old || !places.contains_key(id) {
                places.insert(id, place);
            }
        }
        let (mut answers, mut old) = (Vec::new(), Vec::new());
        for (id, waiters) in batch.asked {
            let verdict = match places.get(&*id) {
                Some(Place::Old) => {
                    old.push((id, waiters));
                    continue;
                }
                Some(Place::Ended(end)) => {
                    self.note_end(&id, *end);
                    Verdict::Ended(*end)
                }
                Some(Place::Open) => Verdict::Open,
                None => Verdict::Never,
            };
            answers.extend(waiters.into_iter().map(|w| (w, verdict)));
        }
        (answers, Batch { asked: old })
    }

    /// Ends at hand, jobs asked about, questions waiting.
    pub fn held(&self) -> [usize; 3] {
        [self.ends.held(), self.queue.len(), self.waiters]
    }
}

#[cfg(test)]
mod tests;
