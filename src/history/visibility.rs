//! Which cancellations may be reported to users.
//!
//! Any controller may store a cancellation; the leader carries it out. A leader that the state service refuses hears of
//! no cancellation and goes on answering workers, so that work whose cancellation was reported would run on. So the
//! leader publishes a watermark, the revision up to which its loaded cluster state holds every end (a read index, as in
//! replicated logs), and a cancellation is reported only at or below a watermark. Once reached, that stays true: the
//! leader of that time has the end in its cluster state, and every later one reads it before it leads. A `done` needs
//! no watermark, since nothing is to be stopped. Pure.

use std::num::NonZeroUsize;

use lru::LruCache;

use crate::jobs::{End, JobId};

/// Cancellations remembered that wait for the watermark, the latest: of others the state service is asked
/// for the version.
const MOST_WAITING: NonZeroUsize = NonZeroUsize::new(8192).unwrap();

/// What users may hear of an end that stands in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Visible {
    /// They may be told.
    Yes,
    /// Stored, and not yet known to be in the leader's cluster state.
    NotYet,
    /// When it was stored is not known here.
    Unknown,
}

/// The whole rule. `shown`: it was found visible before. `version`: of the end, or anything above it.
/// `watermark`: the highest of any leader that was heard of here.
pub fn visible(end: End, shown: bool, version: Option<u64>, watermark: u64) -> Visible {
    match (end, version) {
        (End::Done, _) => Visible::Yes,
        _ if shown => Visible::Yes,
        (End::Cancelled, Some(version)) if version <= watermark => Visible::Yes,
        (End::Cancelled, Some(_)) => Visible::NotYet,
        (End::Cancelled, None) => Visible::Unknown,
    }
}

/// What one controller knows of this.
#[derive(Debug)]
pub struct Visibility {
    watermark: u64,
    waiting: LruCache<JobId, u64>,
}

impl Default for Visibility {
    fn default() -> Self {
        Self { watermark: 0, waiting: LruCache::new(MOST_WAITING) }
    }
}

impl Visibility {
    /// The highest watermark heard of; 0 before the first.
    pub fn watermark(&self) -> u64 {
        self.watermark
    }

    /// A leader's loaded cluster state holds all ends up to this revision.
    pub fn advance(&mut self, watermark: u64) {
        if watermark > self.watermark {
            self.watermark = watermark;
        }
    }

    /// A cancellation was stored at this revision, or before.
    pub fn stored_at(&mut self, id: &JobId, version: u64) {
        let known = self.waiting.get(id).copied().unwrap_or(version);
        self.waiting.put(id.clone(), known.min(version));
    }

    /// When the cancellation was stored, as far as it is known here.
    pub fn version(&self, id: &str) -> Option<u64> {
        self.waiting.peek(id).copied()
    }

    /// It need not wait any more.
    pub fn forget(&mut self, id: &str) {
        self.waiting.pop(id);
    }

    /// Number of cancellations whose versions are kept.
    pub fn held(&self) -> usize {
        self.waiting.len()
    }

    /// Cancellations above the watermark.
    pub fn waiting(&self) -> usize {
        self.waiting.iter().filter(|(_, version)| **version > self.watermark).count()
    }
}
