//! Which cancellations the leader may confirm to users: all up to a revision of the store, its watermark, and beyond it
//! those of jobs of which no machine may start a task any more.
//!
//! A cancellation is not confirmed as soon as it is in this cluster state. A machine that has not yet seen this
//! leader's fencing token still obeys the previous leader, which may not know of the cancellation and may answer the
//! machine for as long as an outage lasts; and this leader may fail at any moment. So a cancellation counts only once
//! every machine that may run a task of the job for an earlier leader has seen this leader's fencing token: from then
//! on it obeys only this leader or a later one, which reads the end before it leads. A machine that does not prove this
//! in time is returned, like one with an overdue task.
//!
//! A cancellation does not count either while a launch of one of its tasks may still arrive: a delayed command starts
//! its task as long as fencing token and agent epoch match. Once the machine has reported the attempt, or has proven it
//! absent, a launch of it can no longer start anything, and no further one is sent.
//!
//! A cancellation that cannot be confirmed is held back by itself; those after it are confirmed.

use std::collections::BTreeSet;

use super::{ClusterState, JobState};
use crate::jobs::JobId;
use crate::protocol::workers::AttemptReport;
use crate::records::leadership::{ConfirmationStatus, ConfirmedCancellations, Watermark};

/// Quotes and comma of a job id in the stored list of held cancellations.
const HELD_ID_FRAMING_BYTES: usize = 3;

/// Whether a machine may still start a task of a cancelled job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(in crate::scheduling::cluster) enum StartRisk {
    /// A machine may start a task, and no user has been told of the cancellation.
    #[default]
    Possible,
    /// A machine may start a task by all that this leader knows, and it is unknown whether an earlier leader proved the
    /// contrary and confirmed the cancellation.
    Undetermined,
    /// No machine can start a task any more, as this leader or an earlier one has proven.
    RuledOut,
}

/// A cancellation that cannot be confirmed.
struct BlockedCancellation {
    /// Whether it is not among the stored held cancellations yet.
    is_new: bool,
    /// A revision at which it was not stored yet.
    after: u64,
    id: JobId,
}

impl ClusterState {
    /// Records that every job end stored at this revision is in this cluster state.
    pub fn record_known_ends(&mut self, revision: Option<u64>) {
        if let Some(revision) = revision.filter(|_| self.loaded) {
            self.known_ends_revision = self.known_ends_revision.max(revision);
        }
    }

    /// Records a revision at which the end of a job, read during the load, was not stored yet.
    pub fn set_ended_after(&mut self, id: &JobId, revision: u64) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.ended_after = revision;
        }
    }

    /// Records whether an earlier leader has confirmed the cancellation of a job that was read during the load.
    pub fn inherit_confirmation(&mut self, id: &JobId, status: ConfirmationStatus) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.start_risk = match status {
                ConfirmationStatus::Confirmed => StartRisk::RuledOut,
                ConfirmationStatus::Unconfirmed => StartRisk::Possible,
                ConfirmationStatus::Undetermined => StartRisk::Undetermined,
            };
        }
    }

    /// Advances and returns the watermark: every cancellation stored at this revision is in this cluster state, every
    /// machine that may run a task of its job obeys this leader or a later one, and no launch of one is in flight. The
    /// watermark never decreases.
    pub fn advance_watermark(&mut self) -> u64 {
        self.rule_out_starts();
        let least = self.blocked_jobs().map(|(_, job)| job.ended_after).min();
        self.watermark =
            self.watermark.max(least.map_or(self.known_ends_revision, |after| after.min(self.known_ends_revision)));
        self.watermark
    }

    /// Returns the cancellations that may be confirmed: all that `stored` confirms, and those that this leader can prove.
    /// None before the load and if it cannot tell what an earlier leader has confirmed. `max_bytes` bounds the ids of held cancellations;
    /// where they take more, cancellations after the last one that fits are held back with it.
    pub fn confirmable_cancellations(
        &mut self,
        stored: Option<&ConfirmedCancellations>,
        max_bytes: usize,
    ) -> Option<ConfirmedCancellations> {
        let watermark = self.advance_watermark().max(stored.map_or(0, |stored| stored.watermark.revision));
        if !self.loaded || self.blocked_jobs().any(|(_, job)| job.start_risk == StartRisk::Undetermined) {
            return None;
        }
        let stored_through = stored.map_or(0, ConfirmedCancellations::last_revision);
        let mut through = self.known_ends_revision.max(stored_through);
        let mut held = BTreeSet::new();
        let mut bytes = 0;
        for blocked in self.blocked_cancellations(stored) {
            bytes += blocked.id.len() + HELD_ID_FRAMING_BYTES;
            if bytes > max_bytes && blocked.is_new {
                through = through.min(blocked.after.max(stored_through));
            } else {
                held.insert(blocked.id);
            }
        }
        let watermark = Watermark { fencing_token: self.fencing_token, revision: watermark };
        Some(ConfirmedCancellations { watermark, through, held })
    }

    /// Returns the cancellations that cannot be confirmed, those first that are stored as held, then by revision.
    fn blocked_cancellations(&self, stored: Option<&ConfirmedCancellations>) -> Vec<BlockedCancellation> {
        let is_stored = |id: &JobId| stored.is_some_and(|stored| stored.held.contains(id));
        let blocked = self.blocked_jobs().map(|(id, job)| BlockedCancellation {
            is_new: !is_stored(id),
            after: job.ended_after,
            id: id.clone(),
        });
        let mut blocked: Vec<BlockedCancellation> = blocked.collect();
        blocked.sort_by(|a, b| (a.is_new, a.after, &a.id).cmp(&(b.is_new, b.after, &b.id)));
        blocked
    }

    /// Records which cancelled jobs can start no task any more. What was proven once remains so: this leader starts no
    /// task of a cancelled job, and its machines obey no earlier leader again.
    fn rule_out_starts(&mut self) {
        if !self.loaded {
            return;
        }
        let is_ruled_out = |id: &&JobId| {
            self.jobs.get(*id).is_some_and(|job| job.start_risk != StartRisk::RuledOut && !self.may_still_start(job))
        };
        let ruled_out: Vec<JobId> = self.ending_jobs.iter().filter(is_ruled_out).cloned().collect();
        for id in ruled_out {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.start_risk = StartRisk::RuledOut;
            }
        }
    }

    /// Returns the cancelled jobs of which a machine may still start a task. Tasks that this leader starts are not
    /// inherited, and it starts none of a cancelled job: once all machines have reported under its token, that remains
    /// so.
    fn blocked_jobs(&self) -> impl Iterator<Item = (&JobId, &JobState)> {
        let cancelled = self.ending_jobs.iter().filter_map(|id| self.jobs.get_key_value(id));
        cancelled.filter(|(_, job)| !job.ended_done && job.start_risk != StartRisk::RuledOut)
    }

    /// Whether no machine can start a task of this job any more, so that its cancellation may be reported now, whatever
    /// the watermark.
    pub fn cancellation_effective(&self, id: &JobId) -> bool {
        !self.jobs.get(id).is_some_and(|job| self.may_still_start(job))
    }

    /// Whether a machine may still start a task of this job: for an earlier leader, or by a launch in flight.
    fn may_still_start(&self, job: &JobState) -> bool {
        self.may_obey_earlier_leader(job) || self.launch_in_flight(job)
    }

    /// Whether this leader has sent a launch of a task of this job, and the machine has neither reported the attempt
    /// nor proven it absent.
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

    /// Whether a machine with a task of this job may still obey an earlier leader.
    fn may_obey_earlier_leader(&self, job: &JobState) -> bool {
        let inherited = job.bound.iter().filter_map(|index| job.binding(*index)).filter(|b| b.inherited);
        inherited.filter_map(|b| self.machines.get(&b.machine)).any(|m| m.fencing_token < self.first_fencing_token)
    }
}
