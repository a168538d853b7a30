//! Who goes ahead of others of the same urgency, as somebody asks for it (`wishes`): the order and its bound.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::book::Book;
use super::plan::{Quotas, Turn};
use super::room::SLACK;
use super::wishes::Ahead;
use crate::jobs::{JobId, JobSpec, Urgency};

impl Book {
    /// Whether work like this is asked to go ahead, whatever room is left for that.
    pub fn goes_ahead(&self, spec: &JobSpec) -> bool {
        self.wishes.ahead.as_ref().is_some_and(|ahead| ahead.names.has(spec))
    }
}

/// Cores that work may take before others: its part of all that are given out; and what it holds already.
fn cores(book: &Book, ahead: &Ahead) -> (f64, f64) {
    let held = book.jobs().filter(|(_, job)| ahead.names.has(job.spec()));
    let held = held.map(|(_, job)| job.bound.len() as f64 * job.spec().cpus).sum();
    let given_out: f64 = book.usage.values().map(|used| used.0).sum();
    (given_out * ahead.most_part, held)
}

/// Marks those of the queue that go ahead, with how many tasks of them, and puts them there. Teams short of
/// their guarantee and whoever is below the floor stay where they are.
///
/// What may be taken is given to the longest waiting first, and kept for a gang until all of it may go: else
/// the small ones of its class would always leave it too little.
pub fn put_first(turns: &mut Vec<Turn>, book: &Book) {
    let Some(ahead) = &book.wishes.ahead else { return };
    let (bound, held) = cores(book, ahead);
    let mut left = bound - held;
    let mut quotas = Quotas::new(book);
    let mut asked: Vec<&mut Turn> =
        turns.iter_mut().filter(|turn| !turn.suspected && ahead.names.has(turn.job.spec())).collect();
    asked.sort_by_key(|turn| Reverse(turn.age));
    for turn in asked {
        let (spec, waiting) = (turn.job.spec(), turn.job.waiting.len());
        let together = if spec.is_gang() { waiting } else { 1 };
        let needs = together as f64 * spec.cpus;
        // What its team may not run, or is more than may ever go, takes nothing from the others.
        if !quotas.allows(spec, together as f64) || needs > bound + SLACK {
            continue;
        }
        if needs > left + SLACK {
            break;
        }
        let most = if spec.cpus > 0.0 { ((left + SLACK) / spec.cpus) as usize } else { waiting };
        turn.ahead = if spec.is_gang() { waiting } else { most.min(waiting) };
        left -= turn.ahead as f64 * spec.cpus;
        quotas.take(spec, turn.ahead as f64);
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
