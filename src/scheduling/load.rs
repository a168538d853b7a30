//! Failover: a new leader loads the cluster state from the store, a page at a time.

mod ended_jobs;
mod shard;
#[cfg(test)]
mod tests;

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Instant;

use tracing::{error, info};

use crate::cloud_orders::{CLOUD_ORDER_PREFIX, CloudOrder};
use crate::jobs::JobId;
use crate::jobs::record::{JobRecord, TASK_SHARD_PREFIX, shard_key};
use crate::records::leadership::RevisionBounds;
use crate::scheduling::scheduler::Scheduler;
use crate::store::StoreError;
use ended_jobs::{EndedJobs, find_done_jobs};
use shard::Shard;

/// Bounds of the revision of an end of which nothing is known.
const UNKNOWN_REVISIONS: RevisionBounds = RevisionBounds { after: 0, at_most: u64::MAX };

/// Counts of what a load has read.
#[derive(Debug, Default)]
struct LoadCounts {
    shards: usize,
    pages: usize,
}

/// Records of ended jobs that the watch cache holds, and the jobs that it lacks.
#[derive(Debug, Default)]
struct CachedRecords {
    found: HashMap<JobId, Arc<JobRecord>>,
    missing: HashSet<JobId>,
}

/// Loads every page of task shards into the cluster state, which is not used for decisions before the last one is
/// loaded. Does nothing if this controller no longer leads.
///
/// # Errors
///
/// If the store cannot be read; the load is then to be started again.
pub async fn load_cluster_state(scheduler: &Arc<Scheduler>) -> Result<(), StoreError> {
    let started = Instant::now();
    if begin_load(scheduler, started).is_none() {
        return Ok(());
    }
    let mut ended = EndedJobs::default();
    let counts = load_tasks(scheduler, &mut ended).await?;
    let orders = read_cloud_orders(scheduler).await?;
    if finish_load(scheduler, &ended, orders, &counts, started).is_some() {
        scheduler.wakeups.plan.notify_one();
        scheduler.wakeups.dispatch.notify_one();
        scheduler.wakeups.fleet.notify_one();
    }
    Ok(())
}

/// Resets the cluster state and adds the open jobs. The watch cache is up to date: its freshness was proven after this
/// controller's leader record was stored.
fn begin_load(scheduler: &Scheduler, now: Instant) -> Option<()> {
    let watch_cache = scheduler.store.watch_cache();
    let mut guard = scheduler.leader.cluster();
    let cluster = guard.as_mut()?;
    cluster.reset_for_load();
    for (_, record) in watch_cache.open_jobs() {
        cluster.add_job(record.clone(), now);
    }
    Some(())
}

async fn load_tasks(scheduler: &Arc<Scheduler>, ended: &mut EndedJobs) -> Result<LoadCounts, StoreError> {
    let mut counts = LoadCounts::default();
    let mut pages = scheduler.store.client.pages(TASK_SHARD_PREFIX, None);
    while let Some(page) = pages.next().await? {
        counts.pages += 1;
        let shards: Vec<Shard> = page.items.into_iter().filter_map(Shard::from_item).collect();
        counts.shards += shards.len();
        load_page(scheduler, shards, ended).await?;
    }
    Ok(counts)
}

/// Reads the cloud orders of earlier leaders, which may still be carried out, before anything is placed. Earlier
/// leaders cannot add orders any more, since orders are conditional on the leader record.
async fn read_cloud_orders(scheduler: &Scheduler) -> Result<Vec<CloudOrder>, StoreError> {
    let mut orders = Vec::new();
    let mut pages = scheduler.store.client.pages(CLOUD_ORDER_PREFIX, None);
    while let Some(page) = pages.next().await? {
        orders.extend(page.items.iter().filter_map(CloudOrder::from_key_value));
    }
    Ok(orders)
}

/// Completes the load with the jobs that arrived or ended meanwhile; from here on the cluster state is used for
/// decisions.
fn finish_load(
    scheduler: &Arc<Scheduler>,
    ended: &EndedJobs,
    orders: Vec<CloudOrder>,
    counts: &LoadCounts,
    started: Instant,
) -> Option<()> {
    let now = Instant::now();
    let watch_cache = scheduler.store.watch_cache();
    let mut guard = scheduler.leader.cluster();
    let cluster = guard.as_mut()?;
    for (_, record) in watch_cache.open_jobs() {
        cluster.add_job(record.clone(), now);
    }
    let mut ids = ended.ids.clone();
    ids.extend(cluster.jobs().map(|(id, _)| id).filter(|id| watch_cache.open_job(id).is_none()).cloned());
    for id in &ids {
        let stored = ended.stored_ends.get(id);
        let at = scheduler.history.end_seen_at(id).or(stored.map(|end| end.at));
        let revisions = stored.map(|end| end.revisions).or(watch_cache.end_revisions(id)).unwrap_or(UNKNOWN_REVISIONS);
        cluster.end_job(id, scheduler.history.known_end(id), at.unwrap_or(now).min(now));
        cluster.set_ended_after(id, revisions.after);
        cluster.inherit_confirmation(id, watch_cache.stored_confirmation(id, revisions));
    }
    let inherited = orders.len();
    cluster.inherit_orders(orders, now);
    cluster.finish_load(now);
    cluster.record_known_ends(watch_cache.watch_revision());
    scheduler.membership.cluster_state_loaded(cluster.known_ends_revision);
    // Intents are needed before anything is placed.
    scheduler.intents.refresh_intents(cluster, &watch_cache, now);
    let (jobs, machines) = (cluster.job_count(), cluster.machines.len());
    let (shards, pages) = (counts.shards, counts.pages);
    let took_ms = (now - started).as_millis() as u64;
    info!(jobs, machines, shards, orders = inherited, pages, took_ms, "failover completed");
    Some(())
}

/// Loads a page of shards. Tasks of cancelled jobs may still be on machines and count until they are proven gone.
/// Shards of ended jobs without bound tasks are only deleted, and so are those of jobs that are done: all their tasks
/// were reported to have exited, even where the last reports were never written to the shard.
async fn load_page(scheduler: &Arc<Scheduler>, page: Vec<Shard>, ended: &mut EndedJobs) -> Result<(), StoreError> {
    let Some(closed) = closed_jobs(scheduler, &page) else { return Ok(()) };
    let done = find_done_jobs(scheduler, closed).await?;
    let Some(cached) = cached_records(scheduler, &page, &done) else { return Ok(()) };
    let mut records = cached.found;
    records.extend(ended.read_records(scheduler, cached.missing.into_iter().collect()).await?);
    let now = Instant::now();
    let mut guard = scheduler.leader.cluster();
    let Some(cluster) = guard.as_mut() else { return Ok(()) };
    for (id, record) in records {
        cluster.add_job(record, now);
        ended.ids.insert(id);
    }
    for shard in page {
        if cluster.has_job(&shard.job) {
            shard.load_into(cluster, now);
        } else if shard.tasks.is_none() {
            let (job, shard) = (&shard.job, shard_key(&shard.job, shard.first_task));
            error!(%job, shard, "task shard of a closed job not decoded; stopping its tasks when workers report them");
        } else if shard.has_bound_task() && !done.contains(&shard.job) {
            let (job, shard) = (&shard.job, shard_key(&shard.job, shard.first_task));
            error!(%job, shard, "task shard without a stored job found; stopping its tasks when workers report them");
        } else {
            cluster.requeue_shard_drops(vec![(shard.job, shard.first_task)]);
        }
    }
    Ok(())
}

/// Jobs of the page that are not open and may have tasks on machines. None if this controller no longer leads.
fn closed_jobs(scheduler: &Scheduler, page: &[Shard]) -> Option<BTreeSet<JobId>> {
    let guard = scheduler.leader.cluster();
    let cluster = guard.as_ref()?;
    let closed = page.iter().filter(|shard| !cluster.has_job(&shard.job) && shard.has_bound_task());
    Some(closed.map(|shard| shard.job.clone()).collect())
}

/// Looks up the cancelled jobs of the page in the watch cache. A job whose end the cache saw only by a reload counts as
/// missing, since the revision of its end decides whether users have been told of it. None if this controller no longer leads.
fn cached_records(scheduler: &Scheduler, page: &[Shard], done: &HashSet<JobId>) -> Option<CachedRecords> {
    let (watch_cache, guard) = (scheduler.store.watch_cache(), scheduler.leader.cluster());
    let cluster = guard.as_ref()?;
    let mut records = CachedRecords::default();
    let cancelled =
        |shard: &&Shard| !cluster.has_job(&shard.job) && shard.has_bound_task() && !done.contains(&shard.job);
    for shard in page.iter().filter(cancelled) {
        let is_exact = watch_cache.end_revisions(&shard.job).is_some_and(RevisionBounds::is_exact);
        match watch_cache.ended_record(&shard.job).filter(|_| is_exact) {
            Some(record) => drop(records.found.insert(shard.job.clone(), record)),
            None => drop(records.missing.insert(shard.job.clone())),
        }
    }
    Some(records)
}
