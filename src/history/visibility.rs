//! Which cancellations may be reported to users.
//!
//! Any controller may store a cancellation; the leader carries it out. A leader that the state service refuses learns
//! of no cancellation and goes on answering workers, so that work whose cancellation was reported would run on. So the
//! leader publishes a watermark, the revision up to which its loaded cluster state holds every end (a read index, as in
//! replicated logs), and a cancellation is reported only if it was stored at or below a watermark. A visible
//! cancellation stays visible: the leader of that time has the end in its cluster state, and every later leader reads
//! it before it leads. An end `done` needs no watermark, since nothing is to be stopped. This module does no I/O.

use std::num::NonZeroUsize;

use lru::LruCache;

use crate::jobs::{End, JobId};

/// Largest number of cancellations whose versions are kept until the watermark reaches them; the least recently noted
/// is evicted first. The state service is asked for the version of an evicted one.
const MAX_PENDING_CANCELLATIONS: NonZeroUsize = NonZeroUsize::new(8192).unwrap();

/// Whether users may be told of an end that is in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndVisibility {
    /// Users may be told.
    Visible,
    /// The end is stored, but not yet known to be in the leader's cluster state.
    NotYet,
    /// This controller does not know at which revision the end was stored.
    Unknown,
}

/// Decides whether users may be told of an end.
///
/// `was_visible` says whether the end was found visible before, `version` is the revision at which it was stored or any
/// later one, and `watermark` the highest watermark of any leader that this controller has learned of.
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
    /// Number of cancellations whose versions are kept.
    pub remembered: usize,
    /// Number of these whose version is above the watermark.
    pub above_watermark: usize,
}

/// The watermark, and the versions of cancellations that it may not have reached.
#[derive(Debug)]
pub struct PendingCancellations {
    watermark: u64,
    versions: LruCache<JobId, u64>,
}

impl Default for PendingCancellations {
    fn default() -> Self {
        Self { watermark: 0, versions: LruCache::new(MAX_PENDING_CANCELLATIONS) }
    }
}

impl PendingCancellations {
    /// The highest watermark known; 0 before the first one.
    pub fn watermark(&self) -> u64 {
        self.watermark
    }

    /// Raises the watermark. A lower one, which arrives late, is ignored.
    pub fn advance_watermark(&mut self, watermark: u64) {
        self.watermark = self.watermark.max(watermark);
    }

    /// Records that a cancellation was stored at this revision or before. The lowest revision recorded is kept.
    pub fn note_version(&mut self, id: &JobId, version: u64) {
        let lowest_known = self.versions.get(id).copied().unwrap_or(version);
        self.versions.put(id.clone(), lowest_known.min(version));
    }

    /// The revision at which the cancellation was stored, or a later one; none if no version is kept.
    pub fn version(&self, id: &str) -> Option<u64> {
        self.versions.peek(id).copied()
    }

    /// Drops the version of a cancellation that has become visible.
    pub fn forget(&mut self, id: &str) {
        self.versions.pop(id);
    }

    /// How many cancellations users may not be told of yet.
    pub fn hidden_cancellations(&self) -> HiddenCancellations {
        let above_watermark = self.versions.iter().filter(|(_, version)| **version > self.watermark).count();
        HiddenCancellations { remembered: self.versions.len(), above_watermark }
    }
}
