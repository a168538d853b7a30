//! The leader's watermark: the revision up to which cancellations may be reported to users.
//!
//! It is not enough that the cancellation is in this cluster state. A machine that has not yet heard of this leader
//! still obeys the previous one, which may know nothing of the cancellation and may answer the machine for as long as
//! an outage lasts; and this leader may end at any moment. So a cancellation counts only once every machine that may
//! run a task of it, from an earlier leader, has seen this leader's fencing token: from then on it obeys only this
//! leader or a later one, which reads the end before it leads. A machine that does not prove this in time is returned,
//! like one with an overdue task.
//!
//! Nor does a cancellation count while a launch of one of its tasks may still arrive: a delayed command starts its task
//! as long as fencing token and agent epoch match. Once the machine has reported the attempt, or has proven it absent,
//! no launch of it can start anything, and no further one is sent.

use super::{ClusterState, JobState};
use crate::jobs::JobId;
use crate::protocol::workers::AttemptReport;

impl ClusterState {
    /// Everything that stood in the store at this revision has been heard here.
    pub fn record_known_ends(&mut self, revision: Option<u64>) {
        if let Some(revision) = revision.filter(|_| self.loaded) {
            self.known_ends_revision = self.known_ends_revision.max(revision);
        }
    }

    /// A takeover has read this end, which was not stored at this revision yet.
    pub fn set_ended_after(&mut self, id: &JobId, revision: u64) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.ended_after = revision;
        }
    }

    /// Every cancellation that stood in the store at this revision is in this cluster state, every machine that may run
    /// a task of it obeys this leader or a later one, and no launch of it is in flight. Never goes back.
    pub fn advance_watermark(&mut self) -> u64 {
        // Nothing that this leader starts is inherited, and it starts nothing that is cancelled: once all is heard, it
        // stays so.
        let cancelled = self.ending_jobs.iter().filter_map(|id| self.jobs.get(id)).filter(|job| !job.ended_done);
        let least = cancelled.filter(|job| self.may_still_start(job)).map(|job| job.ended_after).min();
        self.watermark =
            self.watermark.max(least.map_or(self.known_ends_revision, |after| after.min(self.known_ends_revision)));
        self.watermark
    }

    /// Whether this cancellation may be told of now, whatever the watermark.
    pub fn cancellation_effective(&self, id: &JobId) -> bool {
        !self.jobs.get(id).is_some_and(|job| self.may_still_start(job))
    }

    /// Whether some machine may still start a task of this job: for an earlier leader, or by a launch in flight.
    fn may_still_start(&self, job: &JobState) -> bool {
        self.may_obey_earlier_leader(job) || self.launch_in_flight(job)
    }

    /// Whether a launch of this job was given by this leader and its machine has neither shown nor disproven the task.
    fn launch_in_flight(&self, job: &JobState) -> bool {
        job.bound.iter().any(|index| {
            let Some(binding) = job.binding(*index).filter(|b| !b.inherited && b.announced_epoch.is_some()) else {
                return false;
            };
            let Some(machine) = self.machines.get(&binding.machine) else { return false };
            let attempt = job.tasks[*index as usize].attempt;
            let shows = |attempt_report: &AttemptReport| {
                attempt_report.task.job == job.spec().id
                    && attempt_report.task.index == *index
                    && attempt_report.attempt == attempt
            };
            !machine.attempts.iter().any(shows)
        })
    }

    /// Whether some machine with a task of this job may still obey an earlier leader.
    fn may_obey_earlier_leader(&self, job: &JobState) -> bool {
        let inherited = job.bound.iter().filter_map(|index| job.binding(*index)).filter(|b| b.inherited);
        inherited.filter_map(|b| self.machines.get(&b.machine)).any(|m| m.fencing_token < self.first_fencing_token)
    }
}
