//! Fair-share accounting: the jobs that each class and team submitted within a sliding window, and the share of them
//! that started and finished within the times promised to their users. The served floor (`floor`) derives the
//! prioritized classes and teams from it.
//!
//! Every controller keeps the accounting, from the submissions and ends of jobs that the store reports to all of them;
//! only starts are known to the leader alone. Therefore the accounting continues when the leader is replaced
//! (docs/fairness.md says what is lost), and nothing is written to the store for it.

pub mod floor;
mod tally;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::jobs::record::JobRecord;
use crate::jobs::{End, JobSpec};
use crate::scheduling::promises::{LARGEST_GANGS, Promise, PromiseKind, accounted_promises, promises_of};
use crate::settings::{Objective, Properties, Settings};
use crate::sla::Agreement;
use floor::{ClassTeamSet, Underserved};
use tally::{MAX_NAMES_PER_SLICE, WindowSlice};
pub use tally::{PromiseCounts, Subject, Tally};

/// Number of slices of the sliding window; the oldest slice expires as a whole.
const WINDOW_SLICES: u64 = 20;
/// Minimum weight of kept and missed promises of an objective; with less, the objective does not affect `served`.
const MIN_PROMISES_JUDGED: f64 = 6.0;

/// Event of an open job that only the leader observes; the owner of the cluster state reports it to the accounting.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AccountingEvent {
    /// Tasks were placed for the first time; the value is their share of the job's tasks.
    TasksStarted(f64),
    /// A started task was lost with its machine or its gang.
    StartLost,
    /// One of the largest gangs of its class is running.
    LargeGangStarted,
}

/// View of an open job for the accounting.
pub struct OpenJob<'a> {
    /// The job's description, as submitted.
    pub spec: &'a JobSpec,
    /// Promises made to the job's user.
    pub promises: &'a [Promise],
    /// Time since the submission.
    pub age: Duration,
    /// Expected run time of a task that is still to be started.
    pub run_time: Duration,
    /// Whether a task is waiting for placement.
    pub has_waiting_tasks: bool,
    /// Share of the job's tasks that were never placed.
    pub unstarted_share: f64,
    /// Whether the job is one of the largest gangs of its class and has not started.
    pub is_waiting_large_gang: bool,
}

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
    starts_by_objective: Vec<(u16, PromiseCounts)>,
}

/// Sliding-window accounting of all classes and teams.
#[derive(Debug, Clone)]
pub struct FairShareAccounting {
    /// Start of slice 0.
    origin: Instant,
    slice_width: Duration,
    /// Property `served.floor`.
    served_floor: f64,
    /// Deadline of a job without one, as a multiple of its estimated run time.
    soft_deadline_factor: f64,
    /// Time from its submission within which one of the largest gangs is to start.
    large_gang_start_limit: Duration,
    objectives: Vec<Objective>,
    /// Slices of the window in ascending order of their numbers.
    slices: VecDeque<WindowSlice>,
    /// When the last start was recorded here or inherited.
    starts_as_of: Option<Instant>,
    /// Result of the last `update`.
    service_levels: Vec<ServiceLevel>,
}

impl FairShareAccounting {
    /// Creates an empty accounting.
    pub fn new(settings: &Settings, properties: &Properties, now: Instant) -> Self {
        let window = properties.served_window;
        Self {
            // Ages of jobs reach into the past; a submission before the start of the window is not counted.
            origin: now.checked_sub(window).unwrap_or(now),
            slice_width: (window / WINDOW_SLICES as u32).max(Duration::from_millis(1)),
            served_floor: properties.min_served_ratio,
            soft_deadline_factor: properties.soft_deadline_factor,
            large_gang_start_limit: properties.gang_start_limit,
            objectives: settings.params.objectives.clone(),
            slices: VecDeque::new(),
            starts_as_of: None,
            service_levels: Vec::new(),
        }
    }

    /// Returns the service levels computed by the last `update`.
    pub fn service_levels(&self) -> &[ServiceLevel] {
        &self.service_levels
    }

    /// Replaces the recorded starts by those that the previous leader sent at `sent_at`. A previous leader that had
    /// inherited starts itself sends those too, so that no start counts twice. Starts that are not newer than those
    /// recorded here are ignored.
    pub fn inherit_starts(&mut self, service_levels: &[ServiceLevel], sent_at: Instant) {
        if self.starts_as_of.is_some_and(|at| at >= sent_at) {
            return;
        }
        self.starts_as_of = Some(sent_at);
        for ((subject, name), tally) in self.slices.iter_mut().flat_map(|slice| slice.tallies.iter_mut()) {
            let sent = service_levels.iter().find(|level| level.subject == *subject && level.name == *name);
            tally.promises.retain(|at, _| {
                sent.is_none_or(|level| level.starts_by_objective.iter().all(|(start, _)| start != at))
            });
        }
        let Some(slice) = self.slice_at(sent_at) else { return };
        for level in service_levels.iter().take(MAX_NAMES_PER_SLICE * 2) {
            if let Some(tally) = slice.tally_mut(level.subject, &level.name) {
                tally.promises.extend(level.starts_by_objective.iter().copied());
            }
        }
    }

    fn slice_number(&self, at: Instant) -> u64 {
        let passed = at.saturating_duration_since(self.origin);
        (passed.as_nanos() / self.slice_width.as_nanos().max(1)) as u64
    }

    /// Returns the slice that contains `at`, created if missing; none if it has left the window.
    fn slice_at(&mut self, at: Instant) -> Option<&mut WindowSlice> {
        let number = self.slice_number(at);
        let newest = self.slices.back().map_or(0, |slice| slice.number);
        if self.slices.is_empty() || number > newest {
            self.slices.push_back(WindowSlice { number, ..WindowSlice::default() });
            while self.slices.front().is_some_and(|slice| slice.number + WINDOW_SLICES <= number) {
                self.slices.pop_front();
            }
            return self.slices.back_mut();
        }
        if number + WINDOW_SLICES <= newest {
            return None;
        }
        let index = self.slices.partition_point(|slice| slice.number < number);
        if self.slices.get(index).is_none_or(|slice| slice.number != number) {
            self.slices.insert(index, WindowSlice { number, ..WindowSlice::default() });
        }
        self.slices.get_mut(index)
    }

    /// Applies `change` to the tallies of the job's class and team in the slice that contains `at`.
    fn update_tallies(&mut self, spec: &JobSpec, at: Instant, mut change: impl FnMut(&mut Tally)) {
        let Some(slice) = self.slice_at(at) else { return };
        for (subject, name) in [(Subject::Class, &spec.class), (Subject::Team, &spec.team)] {
            if let Some(tally) = slice.tally_mut(subject, name) {
                change(tally);
            }
        }
    }

    /// Counts a job that was submitted `age` before `now`.
    pub fn record_submission(&mut self, spec: &JobSpec, age: Duration, now: Instant) {
        let submitted_at = now.checked_sub(age).unwrap_or(self.origin);
        if submitted_at >= self.origin {
            self.update_tallies(spec, submitted_at, |tally| tally.offered += 1);
        }
    }

    /// Counts the observed end of a job. The job counts as done unless it is known to have been cancelled.
    pub fn record_end(&mut self, record: &JobRecord, end: Option<End>, age: Duration, now: Instant) {
        let spec = &record.spec;
        if end == Some(End::Cancelled) {
            return self.update_tallies(spec, now, |tally| tally.cancelled += 1);
        }
        let agreement = Agreement::of(spec, spec.estimate(), self.soft_deadline_factor);
        let promises = promises_of(&self.objectives, spec, &agreement);
        self.update_tallies(spec, now, |tally| {
            tally.done += 1;
            for promise in accounted_promises(&promises).filter(|p| p.kind == PromiseKind::Done) {
                tally.promise_counts_mut(promise.objective).record(age.as_secs_f64() <= promise.within_s, 1.0);
            }
        });
    }

    /// Counts an event that the leader observed of an open job.
    pub fn record_event(
        &mut self,
        event: AccountingEvent,
        spec: &JobSpec,
        promises: &[Promise],
        age: Duration,
        now: Instant,
    ) {
        self.starts_as_of = Some(now);
        if event == AccountingEvent::LargeGangStarted {
            let kept = age <= self.large_gang_start_limit;
            if let Some(tally) = self.slice_at(now).and_then(|slice| slice.tally_mut(Subject::Largest, &spec.class)) {
                tally.promise_counts_mut(LARGEST_GANGS).record(kept, 1.0);
            }
            return;
        }
        self.update_tallies(spec, now, |tally| match event {
            AccountingEvent::StartLost => tally.lost_starts += 1,
            AccountingEvent::LargeGangStarted => {}
            AccountingEvent::TasksStarted(share) => {
                for promise in accounted_promises(promises).filter(|p| p.kind == PromiseKind::Started) {
                    tally.promise_counts_mut(promise.objective).record(age.as_secs_f64() <= promise.within_s, share);
                }
            }
        });
    }

    /// Computes the service levels as of `now` from the tallies within the window and the promises that open jobs have
    /// already missed.
    pub fn update<'a>(&mut self, open: impl Iterator<Item = OpenJob<'a>>, now: Instant) -> &[ServiceLevel] {
        let newest = self.slice_number(now);
        let mut totals: BTreeMap<(Subject, &str), Tally> = BTreeMap::new();
        for slice in self.slices.iter().filter(|slice| slice.number + WINDOW_SLICES > newest) {
            for ((subject, name), tally) in &slice.tallies {
                totals.entry((*subject, name)).or_default().add(tally);
            }
        }
        // Without the promises that open jobs have missed: a controller that inherits these counts sees those jobs
        // itself.
        let start_counts: BTreeMap<(Subject, &str), Vec<(u16, PromiseCounts)>> =
            totals.iter().map(|(key, tally)| (*key, self.start_counts(tally))).collect();
        for job in open {
            let age = job.age.as_secs_f64();
            if job.is_waiting_large_gang && job.age > self.large_gang_start_limit {
                let tally = totals.entry((Subject::Largest, job.spec.class.as_str())).or_default();
                tally.promise_counts_mut(LARGEST_GANGS).missed += 1.0;
                tally.overdue += 1;
            }
            for key in [(Subject::Class, job.spec.class.as_str()), (Subject::Team, job.spec.team.as_str())] {
                let tally = totals.entry(key).or_default();
                // A promise counts as missed once a waiting task is past its latest start: the floor acts on it before
                // the promised time has passed.
                let is_missed = |p: &Promise| {
                    age > p.within_s || (job.has_waiting_tasks && p.start_slack_s(job.run_time, job.age) <= 0.0)
                };
                for promise in accounted_promises(job.promises).filter(is_missed) {
                    let missed = if promise.kind == PromiseKind::Started { job.unstarted_share } else { 1.0 };
                    tally.promise_counts_mut(promise.objective).missed += missed;
                }
                tally.overdue += u64::from(job.promises.iter().all(|p| p.within_s < age));
            }
        }
        let mut service_levels: Vec<ServiceLevel> =
            totals.iter().map(|((subject, name), tally)| self.service_level(*subject, name, tally)).collect();
        // By offered work, every class is entitled to the same service, and a team to that of the classes it runs. A
        // class below the floor because of its own flood is not prioritized: that would take more from the others than
        // the class gains.
        let overall = overall_served(service_levels.iter().filter(|level| level.subject == Subject::Class));
        let mut all_teams = Tally::default();
        totals.iter().filter(|((subject, _), _)| *subject == Subject::Team).for_each(|(_, tally)| all_teams.add(tally));
        for (level, ((subject, _), tally)) in service_levels.iter_mut().zip(&totals) {
            let share_of_entitlement = match subject {
                Subject::Class => level.served / overall.max(1e-9),
                Subject::Team => kept_share_of_expected(tally, &all_teams),
                Subject::Largest => 1.0,
            };
            level.prioritized = level.below_floor && share_of_entitlement < self.served_floor;
            level.starts_by_objective =
                start_counts.get(&(level.subject, level.name.as_str())).cloned().unwrap_or_default();
        }
        self.service_levels = service_levels;
        &self.service_levels
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
    fn start_counts(&self, tally: &Tally) -> Vec<(u16, PromiseCounts)> {
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

    /// Returns the classes and teams that these service levels show to be below the floor or prioritized.
    pub fn underserved(service_levels: &[ServiceLevel]) -> Underserved {
        let names = |selected: fn(&&ServiceLevel) -> bool| {
            service_levels.iter().filter(selected).map(|level| (level.subject, level.name.as_str()))
        };
        Underserved {
            below_floor: ClassTeamSet::from_subjects(names(|level| level.below_floor)),
            prioritized: ClassTeamSet::from_subjects(names(|level| level.prioritized)),
        }
    }

    /// Number of tallies held, for the report of entry counts.
    pub fn entry_count(&self) -> usize {
        self.slices.iter().map(|slice| slice.tallies.len()).sum()
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
