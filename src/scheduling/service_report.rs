//! Fair-share accounting and due times: updated from the cluster state, and written to the log for operators.

use std::time::Instant;

use tracing::info;

use super::cluster::ClusterState;
use super::due::due;
use super::fairness::{FairShareAccounting, OpenJob, ServiceLevel};
use crate::jobs::JobId;

/// Updates the accounting with what the cluster state has to tell it, and the cluster state with what follows.
pub(super) fn update_accounting(account: &mut FairShareAccounting, cluster: &mut ClusterState, now: Instant) {
    for (id, note, at) in cluster.take_accounting_events() {
        if let Some(job) = cluster.job(&id) {
            account.record_event(note, job.spec(), &job.promises, at.saturating_duration_since(job.since), at);
        }
    }
    // What fails everywhere is nobody's to serve, nor are replicas that a rollout holds back.
    let (attribution, large, intents) = (&cluster.attribution, &cluster.large_gangs, &cluster.intents);
    let left_out = |id| attribution.suspects(id) || intents.deferred_jobs.contains(id);
    let open = cluster.jobs().filter(|(id, job)| job.ended.is_none() && !job.is_complete() && !left_out(id));
    let held = |id: &JobId, job| intents.replicas.contains_key(id) && intents.placeable_tasks(id, job) == 0;
    let open = open.filter(|(id, job)| !held(id, job));
    let open = open.map(|(_, job)| OpenJob {
        spec: job.spec(),
        promises: &job.promises,
        age: now.saturating_duration_since(job.since),
        run_time: job.agreement.run_time,
        has_waiting_tasks: !job.waiting.is_empty(),
        unstarted_share: job.never_placed_fraction(),
        is_waiting_large_gang: !job.waiting.is_empty() && !job.has_run() && large.is_large_gang(job.spec()),
    });
    let below = FairShareAccounting::underserved(account.update(open, now));
    cluster.set_underserved(below);
    cluster.bound_core_credit(now);
}

/// One line for each class and team.
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

/// Jobs with a due time that may miss it, or have; nothing where there are none.
pub(super) fn log_due_times(cluster: &ClusterState, now: Instant) {
    let due = due(cluster, now);
    if let Some((job, by)) = &due.worst {
        info!(
            open = due.open,
            late = due.late,
            missed = due.missed,
            %job,
            late_s = by.as_secs(),
            "due times reported"
        );
    }
}
