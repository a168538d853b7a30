//! One plan over all waiting jobs, as a pure function of the cluster state and the time.

use std::collections::HashSet;
use std::time::Instant;

use super::Placement;
use super::queue::queue;
use super::quotas::Quotas;
use super::search::Plan;
use crate::jobs::JobId;
use crate::kinds::Catalog;
use crate::scheduling::cluster::ClusterState;
use crate::scheduling::failure_attribution::PROBES;
use crate::scheduling::fairness::floor::Rank;
use crate::scheduling::room::{SLACK, Zones};
use crate::wire::workers::TaskKey;

/// Placements of one plan: what can be stored in about a second.
const MOST_PLACEMENTS: usize = 1000;

/// What one plan comes to.
#[derive(Default)]
pub(super) struct Decided {
    pub(super) placements: Vec<Placement>,
    /// How many rooms were looked at.
    pub(super) looked: u64,
    /// Whether any was kept for a gang.
    pub(super) kept: bool,
    /// Jobs that wait although a room fits.
    pub(super) passed_over: HashSet<JobId>,
}

pub(super) fn decide(cluster: &ClusterState, catalog: &Catalog, may_keep: bool, now: Instant) -> Decided {
    let mut decisions = Vec::new();
    let mut passed_over = HashSet::new();
    let mut turns = queue(cluster, now);
    if turns.is_empty() {
        return Decided::default();
    }
    // Late work goes first as far as it has earned, the oldest of it.
    let mut earned = None;
    let late =
        turns.iter().enumerate().filter(|(_, t)| t.late && !t.guaranteed && !t.suspected && t.rank != Rank::Idle);
    let oldest = late.max_by(|(_, a), (_, b)| a.age.cmp(&b.age).then(b.id.cmp(a.id)));
    if let Some((at, needs)) =
        oldest.map(|(at, t)| (at, t.job.cores_at_once())).filter(|(_, n)| *n <= cluster.core_credit.credit())
    {
        let turn = turns.remove(at);
        turns.insert(turns.iter().take_while(|t| t.guaranteed).count(), turn);
        earned = Some((turn.id, (cluster.core_credit.credit() / needs.max(SLACK)) as usize));
    }
    let mut plan = Plan::new(cluster, catalog, &turns, now);
    let mut quotas = Quotas::new(cluster);
    let mut idle_begun = false;
    for turn in turns {
        if turn.rank == Rank::Idle && !std::mem::replace(&mut idle_begun, true) {
            plan.keep_for_arrivals(cluster);
        }
        if decisions.len() >= MOST_PLACEMENTS {
            break;
        }
        let job = turn.job;
        let spec = job.spec();
        let mut most = turn.most.min(MOST_PLACEMENTS - decisions.len());
        if spec.is_gang() {
            if !quotas.allows(spec, spec.tasks as f64) {
                continue;
            }
        } else {
            // Few teams have limits; counting up to the limit is cheap next to placing.
            let mut n = 0;
            while n < most.min(cluster.intents.waiting(turn.id, job)) && quotas.allows(spec, (n + 1) as f64) {
                n += 1;
            }
            most = n;
        }
        let overdue = cluster.beside_room.overdue(turn.id, now);
        if let Some((_, tasks)) = earned.filter(|(id, _)| *id == turn.id && !overdue && !spec.is_gang()) {
            most = most.min(tasks);
        }
        if overdue && turn.rank == Rank::Idle && !spec.is_gang() && job.bound.is_empty() {
            most = most.min(1);
        }
        if turn.suspected && !overdue && !spec.is_gang() {
            most = most.min(PROBES.saturating_sub(job.bound.len()));
        }
        if most == 0 {
            continue;
        }
        let attempt_of = |index: u32| job.tasks.get(index as usize).map_or(0, |t| t.attempt) + 1;
        let keep = may_keep && (turn.credited || earned.is_some_and(|(id, _)| id == turn.id));
        let mut zones = Zones::new(cluster, job);
        let placed = plan.place_job(&turn, &mut zones, most, keep);
        quotas.take(spec, placed.len() as f64);
        if plan.leaves_beside_room(&turn, &zones, placed.len(), &quotas) {
            passed_over.insert(turn.id.clone());
        }
        if placed.is_empty() {
            continue;
        }
        // The tasks of a gang find one another by a common attempt number.
        let gang_attempt = if spec.is_gang() { job.tasks.iter().map(|t| t.attempt).max().unwrap_or(0) + 1 } else { 0 };
        decisions.extend(placed.into_iter().map(|(index, machine)| Placement {
            task: TaskKey { job: turn.id.clone(), index },
            attempt: if spec.is_gang() { gang_attempt } else { attempt_of(index) },
            machine,
        }));
    }
    Decided { placements: decisions, looked: plan.looked, kept: !plan.kept.is_empty(), passed_over }
}
