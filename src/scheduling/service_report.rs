//! Update of the fair-share accounting from the cluster state, and the log of service levels and due times.

use std::time::Instant;

use tracing::info;

use super::cluster::ClusterState;
use super::due::count_due_jobs;
use super::fairness::{FairShareAccounting, OpenJob, ServiceLevel};
use crate::jobs::JobId;

/// Updates the accounting with the events and open jobs of the cluster state, and the cluster state with the
/// underserved names and credits that follow.
pub(super) fn update_accounting(account: &mut FairShareAccounting, cluster: &mut ClusterState, now: Instant) {
    for (id, event, at) in cluster.take_accounting_events() {
        if let Some(job) = cluster.job(&id) {
            account.record_event(event, job.spec(), &job.promises, at.saturating_duration_since(job.submitted_at), at);
        }
    }
    // Not counted as unserved: quarantined jobs, jobs whose window has not come, and replicas that a rollout holds
    // back.
    let (attribution, large, intents) = (&cluster.attribution, &cluster.large_gangs, &cluster.intents);
    let excluded = |id| attribution.is_job_quarantined(id) || intents.deferred_jobs.contains(id);
    let open = cluster.jobs().filter(|(id, job)| job.ended.is_none() && !job.is_complete() && !excluded(id));
    let held_back = |id: &JobId, job| intents.replicas.contains_key(id) && intents.placeable_tasks(id, job) == 0;
    let open = open.filter(|(id, job)| !held_back(id, job));
    let open = open.map(|(_, job)| OpenJob {
        spec: job.spec(),
        promises: &job.promises,
        age: now.saturating_duration_since(job.submitted_at),
        run_time: job.agreement.run_time,
        has_waiting_tasks: !job.waiting.is_empty(),
        unstarted_share: job.never_placed_fraction(),
        is_waiting_large_gang: !job.waiting.is_empty() && !job.has_run() && large.is_large_gang(job.spec()),
    });
    let underserved = FairShareAccounting::underserved(account.update(open, now));
    cluster.set_underserved(underserved);
    cluster.bound_core_credit(now);
}

/// Logs the service level of each class and team.
pub(super) fn log_accounting(rows: &[ServiceLevel]) {
    for row in rows {
        info!(
            subject = ?row.subject,
            name = row.name,
            offered = row.offered,
            started = row.start_promises.kept.round(),
            started_late = row.start_promises.missed.round(),
            done = row.done,
            in_time = row.completion_promises.kept.round(),
            late = row.completion_promises.missed.round(),
            overdue = row.overdue,
            cancelled = row.cancelled,
            lost = row.lost_starts,
            served = (row.served * 100.0).round() / 100.0,
            short = row.below_floor,
            prioritized = row.prioritized,
            "service level reported"
        );
    }
}

/// Logs how many jobs are late for their due time or have missed it; nothing if there are none.
pub(super) fn log_due_times(cluster: &ClusterState, now: Instant) {
    let due = count_due_jobs(cluster, now);
    if let Some((job, late_by)) = &due.worst {
        info!(
            open = due.open,
            late = due.late,
            missed = due.missed,
            %job,
            late_s = late_by.as_secs(),
            "due times reported"
        );
    }
}
