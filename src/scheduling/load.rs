//! Takeover: from what is stored to a cluster state, a page at a time.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Deserialize;
use tokio::task::JoinSet;
use tracing::{error, info};

use super::scheduler::Scheduler;
use crate::cloud_orders::{CloudOrder, ORDERS};
use crate::jobs::record::{
    DONE, EndedRecord, JobRecord, StoredTask, TASKS, decode_shard, ended_key, ended_keys, old_job_key, parse_shard_key,
    time_of_day_ms,
};
use crate::jobs::{End, JobId};
use crate::scheduling::cluster::ClusterState;
use crate::store::budget::RequestPriority;
use crate::store::client::KeyValue;
use crate::store::{CompareAndSwapOutcome, Condition, StoreError};

/// Descriptions of ended jobs asked for at once.
const ASKED_AT_ONCE: usize = 8;

/// One shard as it was read.
struct Shard {
    job: JobId,
    number: u64,
    version: u64,
    /// None if they cannot be read.
    tasks: Option<Vec<StoredTask>>,
}

impl Shard {
    /// None if the key names no shard.
    fn read(item: KeyValue) -> Option<Self> {
        let Some((job, number)) = parse_shard_key(&item.path) else {
            error!(path = item.path, "a key in the store that names no tasks");
            return None;
        };
        let tasks = decode_shard(&item.value);
        if tasks.is_none() {
            error!(path = item.path, "unreadable tasks in the store");
        }
        Some(Self { job: job.into(), number, version: item.version, tasks })
    }

    /// Whether a machine is known to have held a task of it.
    fn anything_bound(&self) -> bool {
        self.tasks.iter().flatten().any(|t| matches!(t, StoredTask::Bound(..)))
    }
}

/// Reads every page of tasks into the cluster state, which decides nothing until the last one is in.
pub async fn fill(scheduler: &Arc<Scheduler>) -> Result<(), StoreError> {
    let begun = Instant::now();
    // Open jobs first: the watch cache was proven fresh after this controller's leader record stood.
    {
        let watch_cache = scheduler.store.watch_cache();
        let mut held = scheduler.leader.cluster();
        let Some(cluster) = held.as_mut() else { return Ok(()) };
        cluster.forget_all();
        for (_, record) in watch_cache.open_jobs() {
            cluster.add_job(record.clone(), begun);
        }
    }
    let mut ended = HashSet::new();
    let mut read_ends = HashMap::new();
    let mut pages = scheduler.store.client.pages(TASKS, None);
    let (mut shards, mut read) = (0usize, 0usize);
    while let Some(page) = pages.next().await? {
        read += 1;
        let page: Vec<Shard> = page.items.into_iter().filter_map(Shard::read).collect();
        shards += page.len();
        take_page(scheduler, page, &mut ended, &mut read_ends).await?;
    }
    // What an earlier leader may still be doing, before anything is placed: nothing can be added to
    // it any more, since orders are conditional on the leader record.
    let mut orders = Vec::new();
    let mut pages = scheduler.store.client.pages(ORDERS, None);
    while let Some(page) = pages.next().await? {
        orders.extend(page.items.iter().filter_map(CloudOrder::read));
    }
    let now = Instant::now();
    {
        let watch_cache = scheduler.store.watch_cache();
        let mut held = scheduler.leader.cluster();
        let Some(cluster) = held.as_mut() else { return Ok(()) };
        // What came and what ended while the tasks were being read.
        for (_, record) in watch_cache.open_jobs() {
            cluster.add_job(record.clone(), now);
        }
        ended.extend(cluster.jobs().map(|(id, _)| id).filter(|id| watch_cache.open(id).is_none()).cloned());
        for id in &ended {
            let read = read_ends.get(id).copied();
            let at = scheduler.history.heard_at(id).or(read.map(|(at, _)| at));
            cluster.end_job(id, scheduler.history.ended(id), at.unwrap_or(now).min(now));
            cluster.ended_after(id, watch_cache.ended_after(id).or(read.map(|(_, after)| after)).unwrap_or(0));
        }
        let inherited = orders.len();
        cluster.inherit_orders(orders, now);
        cluster.finish_load(now);
        cluster.holds_ends(watch_cache.asking());
        scheduler.membership.took_over(cluster.known, now);
        // Before anything else is decided.
        scheduler.intents.refresh_intents(cluster, &watch_cache, now);
        let (jobs, machines) = (cluster.job_count(), cluster.machines.len());
        info!(
            jobs,
            machines,
            shards,
            orders = inherited,
            pages = read,
            took_ms = (now - begun).as_millis() as u64,
            "took over"
        );
    }
    scheduler.wakeups.plan.notify_one();
    scheduler.wakeups.dispatch.notify_one();
    scheduler.wakeups.fleet.notify_one();
    Ok(())
}

/// Tasks of cancelled jobs may still be on machines: those count until proven gone. What has
/// nothing bound is only dropped, and so is what is left of jobs that are done: each of their tasks
/// was reported to have exited, though the last heartbeats were never written to its shard.
async fn take_page(
    scheduler: &Arc<Scheduler>,
    page: Vec<Shard>,
    ended: &mut HashSet<JobId>,
    read_ends: &mut HashMap<JobId, (Instant, u64)>,
) -> Result<(), StoreError> {
    let over: BTreeSet<JobId> = {
        let held = scheduler.leader.cluster();
        let Some(cluster) = held.as_ref() else { return Ok(()) };
        page.iter().filter(|c| !cluster.has_job(&c.job) && c.anything_bound()).map(|c| c.job.clone()).collect()
    };
    let done = done_among(scheduler, over).await?;
    let mut records: HashMap<JobId, Arc<JobRecord>> = HashMap::new();
    let mut unknown: HashSet<JobId> = HashSet::new();
    {
        let (watch_cache, held) = (scheduler.store.watch_cache(), scheduler.leader.cluster());
        let Some(cluster) = held.as_ref() else { return Ok(()) };
        for shard in page.iter().filter(|c| !cluster.has_job(&c.job) && c.anything_bound() && !done.contains(&c.job)) {
            match watch_cache.ended_record(&shard.job) {
                Some(record) => drop(records.insert(shard.job.clone(), record)),
                None => drop(unknown.insert(shard.job.clone())),
            }
        }
    }
    let unknown: Vec<JobId> = unknown.into_iter().collect();
    for ids in unknown.chunks(ASKED_AT_ONCE) {
        let mut asked = JoinSet::new();
        for id in ids {
            let (scheduler, id) = (scheduler.clone(), id.clone());
            asked.spawn(async move { (id.clone(), ended_record(&scheduler, &id).await) });
        }
        while let Some(answer) = asked.join_next().await {
            let Ok((id, record)) = answer else { continue };
            if let Some((record, age, after)) = record? {
                // By the time of day of whoever wrote it: it says how soon a machine is returned, and no more.
                let now = Instant::now();
                read_ends.insert(id.clone(), (now.checked_sub(age).unwrap_or(now), after));
                records.insert(id, Arc::new(record));
            }
        }
    }
    let now = Instant::now();
    let mut held = scheduler.leader.cluster();
    let Some(cluster) = held.as_mut() else { return Ok(()) };
    for (id, record) in records {
        cluster.add_job(record, now);
        ended.insert(id);
    }
    for shard in page {
        if cluster.has_job(&shard.job) {
            take_shard(cluster, shard, now);
        } else if shard.tasks.is_none() {
            // Nobody knows its job: what a worker reports of it is stopped.
            error!(job = %shard.job, shard = shard.number, "unreadable tasks of a job that is not open");
        } else if shard.anything_bound() && !done.contains(&shard.job) {
            error!(job = %shard.job, shard = shard.number, "tasks of a job that is not in the store");
        } else {
            cluster.drop_again(vec![(shard.job, shard.number)]);
        }
    }
    Ok(())
}

/// One shard of a job that the cluster state holds.
fn take_shard(cluster: &mut ClusterState, shard: Shard, now: Instant) {
    match shard.tasks {
        Some(tasks) => cluster.load_shard(&shard.job, shard.number, shard.version, tasks, now),
        None => cluster.load_unreadable_shard(&shard.job, shard.number, shard.version, now),
    }
}

/// Which of these jobs, none of them open, are done.
async fn done_among(scheduler: &Scheduler, ids: BTreeSet<JobId>) -> Result<HashSet<JobId>, StoreError> {
    let ids: Vec<JobId> = ids.into_iter().collect();
    let at_once = scheduler.settings.params.state.conditions().max(1);
    let mut done = HashSet::new();
    for ids in ids.chunks(at_once) {
        let absent: Vec<Condition> = ids.iter().map(|id| Condition::absent(ended_key(id, End::Done))).collect();
        if let CompareAndSwapOutcome::Failed(keys) =
            scheduler.store.client.compare_and_swap(&absent, &[], RequestPriority::Critical).await?
        {
            done.extend(keys.iter().filter_map(|key| key.strip_prefix(DONE)).map(JobId::from));
        }
    }
    Ok(done)
}

/// The description of a job that has ended, wherever it is kept, how long ago it did, and a revision before that.
async fn ended_record(scheduler: &Scheduler, id: &str) -> Result<Option<(JobRecord, Duration, u64)>, StoreError> {
    for key in ended_keys(id).into_iter().chain([old_job_key(id)]) {
        if let Some(item) = scheduler.store.client.get(&key, RequestPriority::Critical).await? {
            return Ok(read_ended_record(id, &key, &item));
        }
    }
    Ok(None)
}

/// The same of one value; none if no acceptance would have let it through.
fn read_ended_record(id: &str, key: &str, item: &KeyValue) -> Option<(JobRecord, Duration, u64)> {
    let record = match JobRecord::deserialize(&item.value) {
        Ok(record) => record,
        Err(error) => {
            error!(%error, key, "unreadable job in the store");
            return None;
        }
    };
    if let Err(problem) = record.spec.check() {
        error!(%problem, key, "a job in the store that makes no sense");
        return None;
    }
    if *record.spec.id != *id {
        error!(key, named = %record.spec.id, "a job in the store under another job's key");
        return None;
    }
    let ended_ms = EndedRecord::deserialize(&item.value).map_or(u64::MAX, |ended| ended.ended_ms);
    let age = Duration::from_millis(time_of_day_ms().saturating_sub(ended_ms));
    Some((record, age, item.version.saturating_sub(1)))
}

#[cfg(test)]
mod tests;
