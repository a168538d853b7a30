//! Which cancellations may be reported to users.
//!
//! Any controller may store a cancellation; the leader carries it out. A leader that the state service refuses learns of
//! no cancellation and goes on answering workers, so that work whose cancellation was reported would run on. So the
//! leader publishes a watermark, the revision up to which its loaded cluster state holds every end (a read index, as in
//! replicated logs), and a cancellation is reported only at or below a watermark. Once reached, that stays true: the
//! leader of that time has the end in its cluster state, and every later one reads it before it leads. An end `done`
//! needs no watermark, since nothing is to be stopped. Pure.

use std::num::NonZeroUsize;

use lru::LruCache;

use crate::jobs::{End, JobId};

/// Number of cancellations remembered until the watermark reaches them, the latest ones. For others the state service
/// is asked for the version.
const MAX_PENDING: NonZeroUsize = NonZeroUsize::new(8192).unwrap();

/// Whether users may be told of an end that stands in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndVisibility {
    /// They may be told.
    Visible,
    /// Stored, and not yet known to be in the leader's cluster state.
    NotYet,
    /// This controller does not know at which revision it was stored.
    Unknown,
}

/// The whole rule. `was_visible`: the end was found visible before. `version`: the revision at which it was stored, or
/// any above that. `watermark`: the highest one of any leader that this controller has learned of.
pub fn end_visibility(end: End, was_visible: bool, version: Option<u64>, watermark: u64) -> EndVisibility {
    match (end, version) {
        (End::Done, _) => EndVisibility::Visible,
        _ if was_visible => EndVisibility::Visible,
        (End::Cancelled, Some(version)) if version <= watermark => EndVisibility::Visible,
        (End::Cancelled, Some(_)) => EndVisibility::NotYet,
        (End::Cancelled, None) => EndVisibility::Unknown,
    }
}

/// Numbers of cancellations that users may not be told of yet, for display.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HiddenCancellations {
    /// Cancellations whose versions are remembered.
    pub remembered: usize,
    /// Those of them above the watermark.
    pub above_watermark: usize,
}

/// The watermark, and the cancellations that it may not have reached.
#[derive(Debug)]
pub struct PendingCancellations {
    watermark: u64,
    versions: LruCache<JobId, u64>,
}

impl Default for PendingCancellations {
    fn default() -> Self {
        Self { watermark: 0, versions: LruCache::new(MAX_PENDING) }
    }
}

impl PendingCancellations {
    /// The highest watermark known; 0 before the first.
    pub fn watermark(&self) -> u64 {
        self.watermark
    }

    /// Raises the watermark; a lower one that arrives late is ignored.
    pub fn advance_watermark(&mut self, watermark: u64) {
        self.watermark = self.watermark.max(watermark);
    }

    /// Remembers that a cancellation was stored at this revision or before. The lowest revision counts.
    pub fn note_version(&mut self, id: &JobId, version: u64) {
        let known = self.versions.get(id).copied().unwrap_or(version);
        self.versions.put(id.clone(), known.min(version));
    }

    /// The revision at which the cancellation was stored or a later one; none if it is not remembered.
    pub fn version(&self, id: &str) -> Option<u64> {
        self.versions.peek(id).copied()
    }

    /// Forgets a cancellation that has become visible.
    pub fn forget(&mut self, id: &str) {
        self.versions.pop(id);
    }

    /// How many cancellations users may not be told of yet.
    pub fn hidden_cancellations(&self) -> HiddenCancellations {
        let above_watermark = self.versions.iter().filter(|(_, version)| **version > self.watermark).count();
        HiddenCancellations { remembered: self.versions.len(), above_watermark }
    }
}
