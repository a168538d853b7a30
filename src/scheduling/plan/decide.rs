//! One plan over all waiting jobs, as a pure function of the cluster state and the time.

use std::collections::HashSet;
use std::time::Instant;

use super::queue::{Turn, queue};
use super::quotas::Quotas;
use super::search::{PlacedTask, Plan};
use crate::jobs::{JobId, JobSpec};
use crate::machine_kinds::Catalog;
use crate::protocol::workers::TaskKey;
use crate::scheduling::cluster::{ClusterState, Placement};
use crate::scheduling::failure_attribution::PROBES;
use crate::scheduling::fairness::floor::Rank;
use crate::scheduling::room::{SLACK, Zones};

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

/// Late work that is due a share of the machines by the credit that it has earned.
struct Earned<'a> {
    job: &'a JobId,
    /// How many of its tasks the credit covers.
    tasks: usize,
}

/// What can be placed now, job after job in the order of the queue.
pub(super) fn decide(cluster: &ClusterState, catalog: &Catalog, may_keep: bool, now: Instant) -> Decided {
    let mut decided = Decided::default();
    let mut turns = queue(cluster, now);
    if turns.is_empty() {
        return decided;
    }
    let earned = advance_late_work(cluster, &mut turns);
    let mut plan = Plan::new(cluster, catalog, &turns, now);
    let mut quotas = Quotas::new(cluster);
    let mut idle_begun = false;
    for turn in turns {
        if turn.rank == Rank::Idle && !std::mem::replace(&mut idle_begun, true) {
            plan.keep_for_arrivals(cluster);
        }
        if decided.placements.len() >= MOST_PLACEMENTS {
            break;
        }
        let earned = earned.as_ref().filter(|earned| earned.job == turn.id);
        let left = MOST_PLACEMENTS - decided.placements.len();
        let most = most_tasks(cluster, &turn, earned, &quotas, left, now);
        if most == 0 {
            continue;
        }
        let keep = may_keep && (turn.credited || earned.is_some());
        let mut zones = Zones::new(cluster, turn.job);
        let placed = plan.place_job(&turn, &mut zones, most, keep);
        quotas.take(turn.job.spec(), placed.len() as f64);
        if plan.passes_over(&turn, &zones, placed.len(), &quotas) {
            decided.passed_over.insert(turn.id.clone());
        }
        decided.placements.extend(placements(&turn, placed));
    }
    decided.looked = plan.looked;
    decided.kept = !plan.kept.is_empty();
    decided
}

/// Late work goes first as far as it has earned, the oldest of it.
fn advance_late_work<'a>(cluster: &ClusterState, turns: &mut Vec<Turn<'a>>) -> Option<Earned<'a>> {
    let credit = cluster.core_credit.credit();
    let late =
        turns.iter().enumerate().filter(|(_, t)| t.late && !t.guaranteed && !t.quarantined && t.rank != Rank::Idle);
    let (at, oldest) = late.max_by(|(_, a), (_, b)| a.age.cmp(&b.age).then(b.id.cmp(a.id)))?;
    let needs = oldest.job.cores_at_once();
    if needs > credit {
        return None;
    }
    let turn = turns.remove(at);
    let behind_guaranteed = turns.iter().take_while(|t| t.guaranteed).count();
    turns.insert(behind_guaranteed, turn);
    Some(Earned { job: turn.id, tasks: (credit / needs.max(SLACK)) as usize })
}

/// How many tasks of a job may be placed in its turn, of `left` that the plan may still place.
fn most_tasks(
    cluster: &ClusterState,
    turn: &Turn,
    earned: Option<&Earned>,
    quotas: &Quotas,
    left: usize,
    now: Instant,
) -> usize {
    let (job, spec) = (turn.job, turn.job.spec());
    let most = turn.most.min(left);
    if spec.is_gang() {
        return if quotas.allows(spec, spec.tasks as f64) { most } else { 0 };
    }
    let mut most = within_quota(quotas, spec, most.min(cluster.intents.waiting(turn.id, job)));
    let overdue = cluster.passed_over.overdue(turn.id, now);
    if let Some(earned) = earned.filter(|_| !overdue) {
        most = most.min(earned.tasks);
    }
    if overdue && turn.rank == Rank::Idle && job.bound.is_empty() {
        most = most.min(1);
    }
    if turn.quarantined && !overdue {
        most = most.min(PROBES.saturating_sub(job.bound.len()));
    }
    most
}

/// How many single tasks, up to `most`, the team's limits allow.
fn within_quota(quotas: &Quotas, spec: &JobSpec, most: usize) -> usize {
    // Few teams have limits; counting up to the limit is cheap next to placing.
    let mut tasks = 0;
    while tasks < most && quotas.allows(spec, (tasks + 1) as f64) {
        tasks += 1;
    }
    tasks
}

/// The placements of one job, with the numbers of their attempts.
fn placements<'a>(turn: &Turn<'a>, placed: Vec<PlacedTask>) -> impl Iterator<Item = Placement> + use<'a> {
    let (id, job) = (turn.id, turn.job);
    // The tasks of a gang find one another by a common attempt number.
    let gang_attempt = job.spec().is_gang().then(|| job.tasks.iter().map(|t| t.attempt).max().unwrap_or(0) + 1);
    let attempt_of = |index: u32| job.tasks.get(index as usize).map_or(0, |t| t.attempt) + 1;
    placed.into_iter().map(move |PlacedTask { index, machine }| Placement {
        task: TaskKey { job: id.clone(), index },
        attempt: gang_attempt.unwrap_or_else(|| attempt_of(index)),
        machine,
    })
}
