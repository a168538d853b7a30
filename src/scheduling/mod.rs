//! Which task runs where: the leader's cluster state, the decisions taken on it, and their loop.

pub mod backfill;
pub mod cluster;
pub mod due;
pub mod failure_attribution;
pub mod fairness;
pub mod forecast;
pub mod intents;
#[cfg(test)]
mod interleavings;
pub mod large;
pub mod leader_state;
pub mod load;
pub mod one_way_partition;
pub mod plan;
pub mod preempt;
pub mod reservations;
pub mod room;
#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::{debug, info};

pub use cluster::ClusterState;
use fairness::{Account, Open, Row};

use crate::controller::Controller;
use crate::jobs::JobId;
use due::{Due, due};

/// Placement follows events; this bounds how often, so that a burst is planned as one.
const GAP: Duration = Duration::from_millis(60);
const EVERY: Duration = Duration::from_millis(1000);
/// What time alone brings about is looked at this often.
const TICK: Duration = Duration::from_millis(250);
/// What is held for gangs is chosen anew this often.
const RESERVE_EVERY: Duration = Duration::from_millis(2000);
/// Others are stopped for one job at a time, this often.
const PREEMPT_EVERY: Duration = Duration::from_millis(300);
/// The account is looked at this often, and told this often.
const LOOK_EVERY: Duration = Duration::from_secs(2);
const TELL_EVERY: Duration = Duration::from_secs(60);
/// A plan rests this many times as long as it took, so that heartbeats and users are not kept
/// waiting however much there is to plan.
const REST: u32 = 4;

/// Reads what is stored, then plans on every event until this controller no longer leads.
pub async fn run(node: Arc<Controller>) {
    load(&node).await;
    let (mut ticked, mut planned, mut reserve_next) = (Instant::now(), None::<Instant>, Instant::now());
    let mut preempt_next = Instant::now();
    let (mut look_next, mut tell_next) = (Instant::now(), Instant::now() + TELL_EVERY);
    loop {
        let _ = tokio::time::timeout(TICK, node.wakeups.plan.notified()).await;
        if node.unproven() {
            continue;
        }
        let now = Instant::now();
        let mut placed = None;
        node.refresh_intents(now);
        if let (Some(cluster), Some(catalog)) = (node.leader.cluster().as_mut(), node.catalog.get()) {
            if now.saturating_duration_since(ticked) >= TICK {
                ticked = now;
                cluster.tick(now);
            }
            if now >= look_next && cluster.loaded {
                look_next = now + LOOK_EVERY;
                let mut account = node.leader.accounting();
                look(&mut account, cluster, now);
                if now >= tell_next {
                    tell_next = now + TELL_EVERY;
                    tell(account.rows());
                    tell_due(&due(cluster, now));
                }
            }
            if now >= reserve_next {
                cluster.reservations = reservations::choose(cluster, &catalog, now);
                reserve_next = now + RESERVE_EVERY.max(now.elapsed() * REST * 2);
            }
            // Nothing that placement depends on changed: it would decide the same.
            if cluster.take_stirred() || planned.is_none_or(|at| now.saturating_duration_since(at) >= EVERY) {
                planned = Some(now);
                let decisions = plan::place(cluster, &catalog, now);
                placed = Some(decisions.len());
                cluster.bind_all(decisions, now);
                if now >= preempt_next {
                    preempt_next = now + PREEMPT_EVERY;
                    preempt::preempt(cluster, &catalog, now);
                }
            }
        }
        if let Some(placed) = placed {
            if placed > 0 {
                debug!(placed, took_ms = now.elapsed().as_millis(), "placed");
                node.wakeups.commit.notify_one();
            }
            node.wakeups.fleet.notify_one();
        }
        tokio::time::sleep(GAP.max(now.elapsed() * REST)).await;
    }
}

/// The account of who is served, with what the cluster state has to tell it.
fn look(account: &mut Account, cluster: &mut ClusterState, now: Instant) {
    for (id, note, at) in cluster.take_notes() {
        if let Some(job) = cluster.job(&id) {
            account.note(note, job.spec(), &job.promises, at.saturating_duration_since(job.since), at);
        }
    }
    // What fails everywhere is nobody's to serve, nor are replicas that a rollout holds back.
    let (attribution, large, intents) = (&cluster.attribution, &cluster.large, &cluster.intents);
    let left_out = |id| attribution.suspects(id) || intents.not_yet.contains(id);
    let open = cluster.jobs().filter(|(id, job)| job.ended.is_none() && !job.complete() && !left_out(id));
    let held = |id: &JobId, job| intents.replicas.contains_key(id) && intents.waiting(id, job) == 0;
    let open = open.filter(|(id, job)| !held(id, job));
    let open = open.map(|(_, job)| Open {
        spec: job.spec(),
        promises: &job.promises,
        age: now.saturating_duration_since(job.since),
        run: job.agreement.run,
        waits: !job.waiting.is_empty(),
        untouched: job.untouched(),
        large_waits: !job.waiting.is_empty() && !job.begun() && large.is(job.spec()),
    });
    let below = Account::below(account.look(open, now));
    cluster.set_below(below);
    cluster.bound_core_credit(now);
}

fn tell(rows: &[Row]) {
    for row in rows {
        info!(
            whose = ?row.whose,
            name = row.name,
            offered = row.offered,
            started = row.started.kept.round(),
            started_late = row.started.missed.round(),
            done = row.done,
            in_time = row.ended.kept.round(),
            late = row.ended.missed.round(),
            overdue = row.overdue,
            given_up = row.given_up,
            lost = row.lost,
            served = (row.served * 100.0).round() / 100.0,
            below = row.below,
            first = row.first,
            "served"
        );
    }
}

/// Jobs with a due time that may miss it, or have.
fn tell_due(due: &Due) {
    if let Some((job, by)) = &due.worst {
        info!(open = due.open, late = due.late, missed = due.missed, worst = %job, by_s = by.as_secs(), "due");
    }
}

/// Everything stored before this controller's leader record is read; nothing older can come after,
/// since every placement is conditional on the leader record it was made under.
async fn load(node: &Arc<Controller>) {
    loop {
        if node.store.read_barrier.wait().await {
            match load::fill(node).await {
                Ok(()) => return,
                Err(error) => debug!(%error, "reading tasks"),
            }
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}
