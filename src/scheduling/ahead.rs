//! Who goes ahead of others of the same urgency, as somebody asks for it (`wishes`): the order and its bound.

use std::collections::BTreeMap;

use super::book::Book;
use super::plan::{Quotas, Turn};
use super::room::SLACK;
use crate::jobs::{JobId, JobSpec, Urgency};

impl Book {
    /// Whether work like this is asked to go ahead, whatever room is left for that.
    pub fn goes_ahead(&self, spec: &JobSpec) -> bool {
        self.wishes.ahead.as_ref().is_some_and(|ahead| ahead.names.has(spec))
    }
}

/// Cores that work may yet take before others: of all that are given out its part, less what it holds.
fn cores_left(book: &Book) -> f64 {
    let Some(ahead) = &book.wishes.ahead else { return 0.0 };
    let held = book.jobs().filter(|(_, job)| ahead.names.has(job.spec()));
    let held: f64 = held.map(|(_, job)| job.bound.len() as f64 * job.spec().cpus).sum();
    let given_out: f64 = book.usage.values().map(|used| used.0).sum();
    given_out * ahead.most_part - held
}

/// Marks those of the queue that go ahead, with how many tasks of them, and puts them there. Teams short of
/// their guarantee and whoever is below the floor stay where they are.
pub fn put_first(turns: &mut Vec<Turn>, book: &Book) {
    if book.wishes.ahead.is_none() {
        return;
    }
    let mut left = cores_left(book);
    let mut quotas = Quotas::new(book);
    for turn in turns.iter_mut().filter(|turn| !turn.suspected) {
        let (job, spec) = (turn.job, turn.job.spec());
        if !book.goes_ahead(spec) {
            continue;
        }
        let waiting = job.waiting.len();
        let most = if spec.cpus > 0.0 { ((left + SLACK) / spec.cpus).max(0.0) as usize } else { waiting };
        let tasks = if spec.is_gang() && most < waiting { 0 } else { most.min(waiting) };
        // What its team may not run takes nothing from the others that go ahead.
        if tasks > 0 && quotas.allows(spec, if spec.is_gang() { tasks as f64 } else { 1.0 }) {
            turn.ahead = tasks;
            left -= tasks as f64 * spec.cpus;
            quotas.take(spec, tasks as f64);
        }
    }
    gather(turns, |turn| (turn.suspected, turn.guaranteed, turn.rank, turn.job.spec().urgency));
}

/// Moves what goes ahead to just before the first of its kind. It passes others of its urgency, and of another
/// urgency only what somebody of its own had passed already; all else keeps its order.
pub fn gather<K: Ord>(turns: &mut Vec<Turn>, kind: impl Fn(&Turn) -> K) {
    let mut first: BTreeMap<K, usize> = BTreeMap::new();
    let mut places: Vec<(usize, bool)> = Vec::with_capacity(turns.len());
    for (at, turn) in turns.iter().enumerate() {
        let first = *first.entry(kind(turn)).or_insert(at);
        places.push(if turn.ahead > 0 { (first, false) } else { (at, true) });
    }
    let mut placed: Vec<_> = places.into_iter().zip(turns.drain(..)).collect();
    placed.sort_by_key(|(place, _)| *place);
    turns.extend(placed.into_iter().map(|(_, turn)| turn));
}

/// Whose holds do not keep out work that goes ahead: jobs of no higher urgency for which nobody was stopped.
pub fn gives_way(book: &Book, urgency: Urgency) -> Vec<&JobId> {
    let stopped_for = |id: &JobId| book.reserved.values().any(|hold| hold.job == *id);
    let no_higher = |id: &JobId| book.job(id).is_some_and(|job| job.spec().urgency <= urgency);
    let mut jobs: Vec<&JobId> = book.holds.values().map(|hold| &hold.job).collect();
    jobs.sort_unstable();
    jobs.dedup();
    jobs.retain(|id| no_higher(id) && !stopped_for(id));
    jobs
}
