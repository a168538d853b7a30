//! What the cluster state tells fair-share accounting, and what it is told by it.

use std::time::Instant;

use super::{ClusterState, JobState};
use crate::jobs::JobId;
use crate::scheduling::fairness::AccountingEvent;
use crate::scheduling::fairness::floor::Underserved;

/// Notes between two updates of the accounting; more are not counted.
const MAX_ACCOUNTING_EVENTS: usize = 20_000;

impl ClusterState {
    /// What happened since the last call that the account counts, as (job, note, when).
    pub fn take_accounting_events(&mut self) -> Vec<(JobId, AccountingEvent, Instant)> {
        std::mem::take(&mut self.accounting_events)
    }

    /// Who goes first from now on.
    pub fn set_underserved(&mut self, underserved: Underserved) {
        self.replan_needed |= self.underserved != underserved;
        self.underserved = underserved;
    }

    /// What late work has earned is bounded by what the oldest of it needs.
    pub fn bound_core_credit(&mut self, now: Instant) {
        let waits = |job: &&JobState| !job.waiting.is_empty() && job.ended.is_none() && !job.is_complete();
        let late = self
            .jobs
            .iter()
            .filter(|(id, _)| !self.attribution.suspects(id) && !self.intents.deferred_jobs.contains(*id))
            .filter(|(id, job)| self.intents.placeable_tasks(id, job) > 0)
            .map(|(_, job)| job)
            .filter(waits);
        let late = late.filter(|job| job.is_too_late(now.saturating_duration_since(job.since)));
        let needs = late.min_by_key(|job| job.since).map(JobState::min_start_cores);
        self.core_credit.cap(needs);
        let waits = self.jobs.iter().filter(|(id, _)| !self.attribution.suspects(id)).map(|(_, job)| job).filter(waits);
        let within = self.properties.large_begin;
        let may_go_first = |job: &&JobState| {
            self.large_gangs.may_go_first(job.spec(), now.saturating_duration_since(job.since), within)
        };
        let needs = waits.filter(may_go_first).min_by_key(|job| job.since).map(JobState::min_start_cores);
        self.large_gangs.bound_credit(needs);
    }

    pub(super) fn record_accounting_event(&mut self, id: &JobId, note: AccountingEvent, now: Instant) {
        if self.accounting_events.len() < MAX_ACCOUNTING_EVENTS {
            self.accounting_events.push((id.clone(), note, now));
        }
    }
}
