//! Service levels: how well the classes and teams are served, judged by the promises kept and missed within the window.

use std::collections::BTreeMap;
use std::time::Instant;

use serde::{Deserialize, Serialize};

use super::tally::{PromiseCounts, Subject, Tally};
use super::{FairShareAccounting, OpenJob, WINDOW_SLICES};
use crate::scheduling::promises::{LARGEST_GANGS, Promise, PromiseKind, accounted_promises};

/// Minimum weight of kept and missed promises of an objective; with less, the objective does not affect `served`.
const MIN_PROMISES_JUDGED: f64 = 6.0;

/// The summed tallies of each class, team and class's largest gangs.
pub(super) type Totals<'a> = BTreeMap<(Subject, &'a str), Tally>;

/// Service level of one class or team within the window, for operators and for the other controllers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceLevel {
    /// Kind of subject that `name` refers to.
    #[serde(rename = "whose")]
    pub subject: Subject,
    /// Name of the class or team.
    pub name: String,
    /// Jobs submitted within the window.
    pub offered: u64,
    /// Jobs completed within the window.
    pub done: u64,
    /// Jobs cancelled by their users.
    #[serde(rename = "given_up")]
    pub cancelled: u64,
    /// Open jobs that have missed all their promises.
    pub overdue: u64,
    /// Starts whose task was lost before it was done.
    #[serde(rename = "lost")]
    pub lost_starts: u64,
    /// Kept and missed promises of starts, for the objective of which the smallest share was kept.
    #[serde(rename = "started")]
    pub start_promises: PromiseCounts,
    /// Kept and missed promises of completions, for the objective of which the smallest share was kept.
    #[serde(rename = "ended")]
    pub completion_promises: PromiseCounts,
    /// Minimum over the objectives of the kept share divided by the share that the objective asks for; at most 1, and
    /// 1 if too few promises were judged.
    pub served: f64,
    /// Whether `served` is below the floor: machines are then provisioned for the subject without delay.
    #[serde(rename = "below")]
    pub below_floor: bool,
    /// Whether the subject also receives less than the floor's share of what its offered work entitles it to: its jobs
    /// are then placed first.
    #[serde(rename = "first")]
    pub prioritized: bool,
    /// Kept and missed promises of starts by objective: the part that a successor cannot learn from the store.
    #[serde(rename = "starts", default)]
    pub(super) starts_by_objective: Vec<(u16, PromiseCounts)>,
}

impl FairShareAccounting {
    /// The summed tallies of the slices within the window.
    pub(super) fn totals(&self, now: Instant) -> Totals<'_> {
        let newest = self.slice_number(now);
        let mut totals = Totals::new();
        for slice in self.slices.iter().filter(|slice| slice.number + WINDOW_SLICES > newest) {
            for ((subject, name), tally) in &slice.tallies {
                totals.entry((*subject, name)).or_default().add(tally);
            }
        }
        totals
    }

    /// Adds the promises that an open job has missed already.
    pub(super) fn count_missed_promises<'a>(&self, totals: &mut Totals<'a>, job: &OpenJob<'a>) {
        let age = job.age.as_secs_f64();
        if job.is_waiting_large_gang && job.age > self.large_gang_start_limit {
            let tally = totals.entry((Subject::Largest, job.spec.class.as_str())).or_default();
            tally.promise_counts_mut(LARGEST_GANGS).missed += 1.0;
            tally.overdue += 1;
        }
        // A promise counts as missed once a waiting task is past its latest start: the floor acts on it before the
        // promised time has passed.
        let is_missed =
            |p: &Promise| age > p.within_s || (job.has_waiting_tasks && p.start_slack_s(job.run_time, job.age) <= 0.0);
        for key in [(Subject::Class, job.spec.class.as_str()), (Subject::Team, job.spec.team.as_str())] {
            let tally = totals.entry(key).or_default();
            for promise in accounted_promises(job.promises).filter(is_missed) {
                let missed = if promise.kind == PromiseKind::Started { job.unstarted_share } else { 1.0 };
                tally.promise_counts_mut(promise.objective).missed += missed;
            }
            tally.overdue += u64::from(job.promises.iter().all(|p| p.within_s < age));
        }
    }

    /// The service level of each subject, and which of them are prioritized.
    ///
    /// By offered work, every class is entitled to the same service, and a team to that of the classes it runs. A class
    /// below the floor because of its own flood is not prioritized: that would take more from the others than the class
    /// gains.
    pub(super) fn compare_service_levels(&self, totals: &Totals<'_>) -> Vec<ServiceLevel> {
        let mut service_levels: Vec<ServiceLevel> =
            totals.iter().map(|((subject, name), tally)| self.service_level(*subject, name, tally)).collect();
        let overall = overall_served(service_levels.iter().filter(|level| level.subject == Subject::Class));
        let mut all_teams = Tally::default();
        totals.iter().filter(|((subject, _), _)| *subject == Subject::Team).for_each(|(_, tally)| all_teams.add(tally));
        for (level, ((subject, _), tally)) in service_levels.iter_mut().zip(totals) {
            let share_of_entitlement = match subject {
                Subject::Class => level.served / overall.max(1e-9),
                Subject::Team => kept_share_of_expected(tally, &all_teams),
                Subject::Largest => 1.0,
            };
            level.prioritized = level.below_floor && share_of_entitlement < self.served_floor;
        }
        service_levels
    }

    /// Returns what the objective with the number `at` asks for.
    fn objective_target(&self, at: u16) -> ObjectiveTarget {
        if at == LARGEST_GANGS {
            return ObjectiveTarget { concerns_starts: true, share: 1.0 };
        }
        let objective = self.objectives.get(usize::from(at));
        let share = objective.map_or(1.0, |o| o.share);
        ObjectiveTarget {
            concerns_starts: objective.is_some_and(|o| o.kind == "wait"),
            share: if share > 0.0 { share.min(1.0) } else { 1.0 },
        }
    }

    /// Returns the counts of the objectives that concern starts.
    pub(super) fn start_counts(&self, tally: &Tally) -> Vec<(u16, PromiseCounts)> {
        let of_starts = tally.promises.iter().filter(|(at, _)| self.objective_target(**at).concerns_starts);
        of_starts.map(|(at, counts)| (*at, *counts)).collect()
    }

    fn service_level(&self, subject: Subject, name: &str, tally: &Tally) -> ServiceLevel {
        let (mut served, mut starts, mut completions) = (1.0f64, PromiseCounts::default(), PromiseCounts::default());
        for (at, counts) in &tally.promises {
            let target = self.objective_target(*at);
            if target.concerns_starts {
                starts = less_kept(starts, *counts);
            } else {
                completions = less_kept(completions, *counts);
            }
            let judged = counts.kept + counts.missed;
            if judged >= MIN_PROMISES_JUDGED {
                served = served.min(counts.kept / judged / target.share);
            }
        }
        ServiceLevel {
            subject,
            name: name.to_owned(),
            offered: tally.offered,
            done: tally.done,
            cancelled: tally.cancelled,
            overdue: tally.overdue,
            lost_starts: tally.lost_starts,
            start_promises: starts,
            completion_promises: completions,
            served,
            below_floor: served < self.served_floor,
            prioritized: false,
            starts_by_objective: Vec::new(),
        }
    }
}

/// What an objective asks for.
struct ObjectiveTarget {
    /// Whether the objective concerns starts; otherwise it concerns completions.
    concerns_starts: bool,
    /// Share of the jobs for which the promise is to be kept.
    share: f64,
}

/// Mean of the classes' `served`, weighted by their submitted jobs; 1 if there are none.
fn overall_served<'a>(service_levels: impl Iterator<Item = &'a ServiceLevel>) -> f64 {
    let (served, offered) = service_levels.fold((0.0, 0.0), |(served, offered), level| {
        let n = level.offered as f64;
        (served + level.served * n, offered + n)
    });
    if offered > 0.0 { served / offered } else { 1.0 }
}

/// Kept promises of a team, divided by those expected if each of its promises were kept as often as the same promise is
/// for all teams together.
fn kept_share_of_expected(team: &Tally, all_teams: &Tally) -> f64 {
    let (mut kept, mut expected) = (0.0, 0.0);
    for (at, own) in &team.promises {
        let all = all_teams.promises.get(at).copied().unwrap_or_default();
        kept += own.kept;
        expected += (own.kept + own.missed) * all.kept / (all.kept + all.missed).max(1e-9);
    }
    if expected > 0.0 { kept / expected } else { 1.0 }
}

/// Returns the counts with the smaller kept share.
fn less_kept(a: PromiseCounts, b: PromiseCounts) -> PromiseCounts {
    let kept_share = |counts: PromiseCounts| counts.kept / (counts.kept + counts.missed).max(1e-9);
    if a.kept + a.missed == 0.0 || (b.kept + b.missed > 0.0 && kept_share(b) < kept_share(a)) { b } else { a }
}
