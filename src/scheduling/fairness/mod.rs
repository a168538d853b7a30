//! Fair-share accounting: the jobs that each class and team submitted within a sliding window, and the share of them
//! that started and finished within the times promised to their users. The served floor (`floor`) derives the
//! prioritized classes and teams from it.
//!
//! Every controller keeps the accounting, from the submissions and ends of jobs that the store reports to all of them;
//! only starts are known to the leader alone. Therefore the accounting continues when the leader is replaced
//! (docs/fairness.md says what is lost), and nothing is written to the store for it.

pub mod floor;
mod service_level;
mod tally;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::jobs::record::JobRecord;
use crate::jobs::{End, JobSpec};
use crate::scheduling::promises::{LARGEST_GANGS, Promise, PromiseKind, accounted_promises, promises_of};
use crate::settings::{Objective, Properties, Settings};
use crate::sla::Agreement;
use floor::{ClassTeamSet, Underserved};
pub use service_level::ServiceLevel;
use tally::{MAX_NAMES_PER_SLICE, WindowSlice};
pub use tally::{PromiseCounts, Subject, Tally};

/// Number of slices of the sliding window; the oldest slice expires as a whole.
const WINDOW_SLICES: u64 = 20;

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
        let mut totals = self.totals(now);
        // Without the promises that open jobs have missed: a controller that inherits these counts sees those jobs
        // itself.
        let start_counts: BTreeMap<(Subject, &str), Vec<(u16, PromiseCounts)>> =
            totals.iter().map(|(key, tally)| (*key, self.start_counts(tally))).collect();
        for job in open {
            self.count_missed_promises(&mut totals, &job);
        }
        let mut service_levels = self.compare_service_levels(&totals);
        for level in &mut service_levels {
            let key = (level.subject, level.name.as_str());
            level.starts_by_objective = start_counts.get(&key).cloned().unwrap_or_default();
        }
        self.service_levels = service_levels;
        &self.service_levels
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
