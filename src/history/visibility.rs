//! Which cancellations may be reported to users.
//!
//! Any controller may store a cancellation; the leader carries it out. A leader that the state service refuses learns
//! of no cancellation and goes on answering workers, so that work whose cancellation was reported would run on. So the
//! leader publishes a watermark, the revision up to which its loaded cluster state holds every end (a read index, as in
//! replicated logs), and a cancellation is reported only if it was stored at or below a watermark. Single cancellations
//! below the watermark may be held back (`ConfirmedCancellations`). A visible cancellation stays visible: the leader of
//! that time has the end in its cluster state, and every later leader reads it before it leads. An end `done` needs no
//! watermark, since nothing is to be stopped. This module does no I/O.

use std::num::NonZeroUsize;

use lru::LruCache;

use crate::jobs::{End, JobId};
use crate::records::leadership::{ConfirmedCancellations, RevisionBounds};

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

/// What users are told of a job whose cancellation is stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelledJobAnswer {
    /// The cancellation is confirmed.
    Cancelled,
    /// No user was told of the cancellation, so the job is reported as before it.
    Open,
}

/// Numbers of cancellations that users may not be told of yet, for display.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HiddenCancellations {
    /// Number of cancellations whose versions are kept.
    pub remembered: usize,
    /// Number of these whose version is above the watermark.
    pub above_watermark: usize,
}

/// The revisions at which a cancellation may have been stored.
#[derive(Debug, Clone, Copy)]
struct CancellationRevisions {
    /// The revision at which it was stored, or a later one.
    at_most: u64,
    /// The revision at which it was stored, if that was read from the store.
    exact: Option<u64>,
}

/// The watermark, and the versions of cancellations that it may not have reached.
#[derive(Debug)]
pub struct PendingCancellations {
    watermark: u64,
    /// What a leader has stored last.
    stored: Option<ConfirmedCancellations>,
    versions: LruCache<JobId, CancellationRevisions>,
}

impl Default for PendingCancellations {
    fn default() -> Self {
        Self { watermark: 0, stored: None, versions: LruCache::new(MAX_PENDING_CANCELLATIONS) }
    }
}

impl PendingCancellations {
    /// The highest watermark known; 0 before the first one.
    pub fn watermark(&self) -> u64 {
        self.watermark
    }

    /// The revision up to which a cancellation of this job may be reported.
    pub fn limit_for(&self, id: &str) -> u64 {
        self.watermark.max(self.stored.as_ref().map_or(0, |stored| stored.limit_for(id)))
    }

    /// Raises the watermark. A lower one, which arrives late, is ignored.
    pub fn advance_watermark(&mut self, watermark: u64) {
        self.watermark = self.watermark.max(watermark);
    }

    /// Adopts the confirmed cancellations as the watch has last reported them. Returns whether they have changed.
    pub fn set_stored(&mut self, stored: &ConfirmedCancellations) -> bool {
        let is_new = self.stored.as_ref() != Some(stored);
        if is_new {
            self.advance_watermark(stored.watermark.revision);
            self.stored = Some(stored.clone());
        }
        is_new
    }

    /// Records that a cancellation was stored at this revision or before. The lowest revision recorded is kept.
    pub fn note_version(&mut self, id: &JobId, version: u64) {
        let known = self.versions.get(id).copied();
        let at_most = known.map_or(version, |known| known.at_most.min(version));
        self.versions.put(id.clone(), CancellationRevisions { at_most, exact: known.and_then(|known| known.exact) });
    }

    /// Records the revision at which a cancellation was stored.
    pub fn note_exact_version(&mut self, id: &JobId, version: u64) {
        self.versions.put(id.clone(), CancellationRevisions { at_most: version, exact: Some(version) });
    }

    /// The revision at which the cancellation was stored, or a later one; none if no version is kept.
    pub fn version(&self, id: &str) -> Option<u64> {
        self.versions.peek(id).map(|revisions| revisions.at_most)
    }

    /// The revision at which the cancellation was stored, if that was read from the store.
    pub fn exact_version(&self, id: &str) -> Option<RevisionBounds> {
        self.versions.peek(id).and_then(|revisions| revisions.exact).map(RevisionBounds::exact)
    }

    /// Drops the version of a cancellation that has become visible.
    pub fn forget(&mut self, id: &str) {
        self.versions.pop(id);
    }

    /// How many cancellations users may not be told of yet.
    pub fn hidden_cancellations(&self) -> HiddenCancellations {
        let is_hidden = |(id, revisions): &(&JobId, &CancellationRevisions)| revisions.at_most > self.limit_for(id);
        let above_watermark = self.versions.iter().filter(is_hidden).count();
        HiddenCancellations { remembered: self.versions.len(), above_watermark }
    }
}
