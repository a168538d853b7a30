//! Up to which revision withdrawals may be told of: the owner's watermark.
//!
//! That an end is in this book does not do. A machine that has not heard of this owner goes on obeying the one
//! before, which knows of no such end and answers it for as long as an outage lasts; and this owner may end a
//! moment after it has told. So a withdrawal counts only once every machine that may run a task of it, from an
//! earlier owner, has seen this owner's token: from then on it obeys nobody else but a later owner, which reads
//! the end before it owns. Until then the machine proves itself, or is returned as one with an overdue task is.

use super::{Book, JobState};
use crate::jobs::JobId;

impl Book {
    /// Everything that stood in the store at this revision has been heard here.
    pub fn holds_ends(&mut self, revision: Option<u64>) {
        if let Some(revision) = revision.filter(|_| self.loaded) {
            self.known = self.known.max(revision);
        }
    }

    /// A takeover has read this end, which was not stored at this revision yet.
    pub fn ended_after(&mut self, id: &JobId, revision: u64) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.ended_after = revision;
        }
    }

    /// Every withdrawal that stood in the store at this revision is in this book, and every machine that may run
    /// a task of it obeys this owner or a later one. Never goes back.
    pub fn watermark(&mut self) -> u64 {
        // Nothing that this owner starts is inherited: once all is heard, it stays so.
        let withdrawn = self.ending.iter().filter_map(|id| self.jobs.get(id)).filter(|job| !job.finished);
        let least = withdrawn.filter(|job| self.may_obey_another(job)).map(|job| job.ended_after).min();
        self.watermark = self.watermark.max(least.map_or(self.known, |after| after.min(self.known)));
        self.watermark
    }

    /// Whether this withdrawal may be told of now, whatever the watermark.
    pub fn obeyed_in(&self, id: &JobId) -> bool {
        !self.jobs.get(id).is_some_and(|job| self.may_obey_another(job))
    }

    /// Whether some machine with a task of this job may still obey an earlier owner.
    fn may_obey_another(&self, job: &JobState) -> bool {
        let inherited = job.bound.iter().filter_map(|index| job.binding(*index)).filter(|b| b.inherited);
        inherited.filter_map(|b| self.machines.get(&b.machine)).any(|m| m.token < self.first_token)
    }
}
