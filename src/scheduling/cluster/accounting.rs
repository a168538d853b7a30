//! Exchange between the cluster state and fair-share accounting: events go out, underserved names and credits come in.

use std::time::Instant;

use super::{ClusterState, JobState};
use crate::jobs::JobId;
use crate::scheduling::fairness::AccountingEvent;
use crate::scheduling::fairness::floor::Underserved;

/// Events held between two updates of the accounting; further ones are not counted.
const MAX_ACCOUNTING_EVENTS: usize = 20_000;

impl ClusterState {
    /// Takes the accounting events since the last call, as (job, event, time).
    pub fn take_accounting_events(&mut self) -> Vec<(JobId, AccountingEvent, Instant)> {
        std::mem::take(&mut self.accounting_events)
    }

    /// Sets the classes and teams that are served below the floor, and go first from now on.
    pub fn set_underserved(&mut self, underserved: Underserved) {
        self.replan_needed |= self.underserved != underserved;
        self.underserved = underserved;
    }

    /// Caps the credits of late jobs and of large gangs at what the oldest job of each needs to start.
    pub fn bound_core_credit(&mut self, now: Instant) {
        let has_waiting_tasks = |job: &&JobState| !job.waiting.is_empty() && job.ended.is_none() && !job.is_complete();
        let late = self
            .jobs
            .iter()
            .filter(|(id, _)| !self.attribution.is_job_quarantined(id) && !self.intents.deferred_jobs.contains(*id))
            .filter(|(id, job)| self.intents.placeable_tasks(id, job) > 0)
            .map(|(_, job)| job)
            .filter(has_waiting_tasks);
        let late = late.filter(|job| job.is_too_late(now.saturating_duration_since(job.submitted_at)));
        let cores_needed = late.min_by_key(|job| job.submitted_at).map(JobState::min_start_cores);
        self.core_credit.cap(cores_needed);
        let waiting = self.jobs.iter().filter(|(id, _)| !self.attribution.is_job_quarantined(id)).map(|(_, job)| job);
        let waiting = waiting.filter(has_waiting_tasks);
        let start_target = self.properties.gang_start_limit;
        let may_go_first = |job: &&JobState| {
            self.large_gangs.may_take_precedence(
                job.spec(),
                now.saturating_duration_since(job.submitted_at),
                start_target,
            )
        };
        let cores_needed =
            waiting.filter(may_go_first).min_by_key(|job| job.submitted_at).map(JobState::min_start_cores);
        self.large_gangs.bound_credit(cores_needed);
    }

    pub(super) fn record_accounting_event(&mut self, id: &JobId, event: AccountingEvent, now: Instant) {
        if self.accounting_events.len() < MAX_ACCOUNTING_EVENTS {
            self.accounting_events.push((id.clone(), event, now));
        }
    }
}
