//! Accounting of who is served: what work each class and team has offered lately, and how much of it was started and
//! done within the times promised to its users. The floor (`floor`) decides by it who goes first.
//!
//! Every controller keeps the account, from the openings and ends of jobs that the store reports to all of them; only
//! starts are known to the leader alone. So it continues when the leader is replaced (docs/fairness.md says what is
//! lost), and nothing is written to the store for it.

pub mod floor;
mod tally;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::jobs::record::JobRecord;
use crate::jobs::{End, JobSpec};
use crate::scheduling::promises::{LARGEST, Promise, PromiseKind, accounted, promises_of};
use crate::settings::{Objective, Properties, Settings};
use crate::sla::Agreement;
use floor::{ClassTeamSet, Underserved};
use tally::{MOST_NAMES, WindowSlice};
pub use tally::{PromiseCounts, Subject, Tally};

/// The window is forgotten in so many parts.
const PARTS: u64 = 20;
/// Fewer verdicts on a promise say nothing of a class.
const FEWEST: f64 = 6.0;

/// What the leader alone knows, told to the account by whoever holds the cluster state.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AccountingEvent {
    /// Tasks that were given their first place, as a part of their job's.
    TasksStarted(f64),
    /// A start that came to nothing: its machine or its gang was lost.
    StartLost,
    /// One of the largest gangs of its class runs.
    LargeGangStarted,
}

/// An open job as the account looks at it.
pub struct OpenJob<'a> {
    /// What was submitted.
    pub spec: &'a JobSpec,
    /// What its user was promised.
    pub promises: &'a [Promise],
    /// Time since its submission.
    pub age: Duration,
    /// What a task of it still to be started would run.
    pub run_time: Duration,
    /// Whether a task of it waits for a place.
    pub has_waiting_tasks: bool,
    /// The part of its tasks that never had a place.
    pub unstarted_share: f64,
    /// One of the largest gangs of its class, and has not begun.
    pub is_waiting_large_gang: bool,
}

/// One line of the account, for operators and for the other controllers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceLevel {
    /// What the name stands for.
    #[serde(rename = "whose")]
    pub subject: Subject,
    /// The class or team.
    pub name: String,
    /// Jobs that were submitted within the window.
    pub offered: u64,
    /// Jobs that were done within the window.
    pub done: u64,
    /// Jobs that their users cancelled.
    #[serde(rename = "given_up")]
    pub cancelled: u64,
    /// Open jobs that have missed a promise.
    pub overdue: u64,
    /// Starts that came to nothing.
    #[serde(rename = "lost")]
    pub lost_starts: u64,
    /// Starts and ends within what was promised, and not; those that count the worst promise.
    #[serde(rename = "started")]
    pub start_promises: PromiseCounts,
    /// The same of ends.
    #[serde(rename = "ended")]
    pub completion_promises: PromiseCounts,
    /// The served part: the worst promise's kept part against the part asked for; 1 at most, and
    /// 1 as well where too little was seen.
    pub served: f64,
    /// Less than the floor: machines are rented for it without patience.
    #[serde(rename = "below")]
    pub below_floor: bool,
    /// And less than that part of what it would get by what it offers: it goes first.
    #[serde(rename = "first")]
    pub prioritized: bool,
    /// Starts by promise: what a successor can't learn from the store.
    #[serde(rename = "starts", default)]
    starts_by_objective: Vec<(u16, PromiseCounts)>,
}

/// The sliding account of all classes and teams.
#[derive(Debug, Clone)]
pub struct FairShareAccounting {
    began: Instant,
    width: Duration,
    floor: f64,
    soft_deadline: f64,
    /// Within this the largest are to begin.
    large_begin: Duration,
    objectives: Vec<Objective>,
    parts: VecDeque<WindowSlice>,
    /// When the last start was noted here or taken over.
    starts_as_of: Option<Instant>,
    /// What the last look has shown.
    rows: Vec<ServiceLevel>,
}

impl FairShareAccounting {
    /// An empty account.
    pub fn new(settings: &Settings, properties: &Properties, now: Instant) -> Self {
        let window = properties.served_window;
        Self {
            // Ages reach back; what came before the window began is not counted as offered.
            began: now.checked_sub(window).unwrap_or(now),
            width: (window / PARTS as u32).max(Duration::from_millis(1)),
            floor: properties.served_floor,
            soft_deadline: properties.soft_deadline,
            large_begin: properties.large_begin,
            objectives: settings.params.objectives.clone(),
            parts: VecDeque::new(),
            starts_as_of: None,
            rows: Vec::new(),
        }
    }

    /// The account's lines, as of the last look.
    pub fn service_levels(&self) -> &[ServiceLevel] {
        &self.rows
    }

    /// A new leader goes on with the starts that the one before it told last, at `told`. They stand
    /// in place of whatever is known here: told by one that took them over in turn, they hold that
    /// too, and nobody is counted twice. Older ones than known here are passed over.
    pub fn inherit_starts(&mut self, rows: &[ServiceLevel], told: Instant) {
        if self.starts_as_of.is_some_and(|at| at >= told) {
            return;
        }
        self.starts_as_of = Some(told);
        for ((whose, name), tally) in self.parts.iter_mut().flat_map(|p| p.tallies.iter_mut()) {
            let told = rows.iter().find(|r| r.subject == *whose && r.name == *name);
            tally
                .promises
                .retain(|at, _| told.is_none_or(|r| r.starts_by_objective.iter().all(|(start, _)| start != at)));
        }
        let Some(part) = self.part(told) else { return };
        for row in rows.iter().take(MOST_NAMES * 2) {
            if let Some(tally) = part.tally(row.subject, &row.name) {
                tally.promises.extend(row.starts_by_objective.iter().copied());
            }
        }
    }

    fn number(&self, at: Instant) -> u64 {
        let passed = at.saturating_duration_since(self.began);
        (passed.as_nanos() / self.width.as_nanos().max(1)) as u64
    }

    /// The part of the window in which this moment lies, if it has not passed.
    fn part(&mut self, at: Instant) -> Option<&mut WindowSlice> {
        let number = self.number(at);
        let newest = self.parts.back().map_or(0, |p| p.number);
        if self.parts.is_empty() || number > newest {
            self.parts.push_back(WindowSlice { number, ..WindowSlice::default() });
            while self.parts.front().is_some_and(|p| p.number + PARTS <= number) {
                self.parts.pop_front();
            }
            return self.parts.back_mut();
        }
        if number + PARTS <= newest {
            return None;
        }
        let place = self.parts.partition_point(|p| p.number < number);
        if self.parts.get(place).is_none_or(|p| p.number != number) {
            self.parts.insert(place, WindowSlice { number, ..WindowSlice::default() });
        }
        self.parts.get_mut(place)
    }

    fn both(&mut self, spec: &JobSpec, at: Instant, mut change: impl FnMut(&mut Tally)) {
        let Some(part) = self.part(at) else { return };
        for (whose, name) in [(Subject::Class, &spec.class), (Subject::Team, &spec.team)] {
            if let Some(tally) = part.tally(whose, name) {
                change(tally);
            }
        }
    }

    /// A job was opened so long ago.
    pub fn record_submission(&mut self, spec: &JobSpec, age: Duration, now: Instant) {
        let came = now.checked_sub(age).unwrap_or(self.began);
        if came >= self.began {
            self.both(spec, came, |tally| tally.offered += 1);
        }
    }

    /// A job's end was seen. It is done where nobody has heard that it was cancelled.
    pub fn record_end(&mut self, record: &JobRecord, how: Option<End>, age: Duration, now: Instant) {
        let spec = &record.spec;
        if how == Some(End::Cancelled) {
            return self.both(spec, now, |tally| tally.cancelled += 1);
        }
        let agreement = Agreement::of(spec, spec.estimate(), self.soft_deadline);
        let promises = promises_of(&self.objectives, spec, &agreement);
        self.both(spec, now, |tally| {
            tally.done += 1;
            for promise in accounted(&promises).filter(|p| p.what == PromiseKind::Done) {
                tally.promise(promise.at).note(age.as_secs_f64() <= promise.within_s, 1.0);
            }
        });
    }

    /// What the leader noted of an open job.
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
            let kept = age <= self.large_begin;
            if let Some(tally) = self.part(now).and_then(|part| part.tally(Subject::Largest, &spec.class)) {
                tally.promise(LARGEST).note(kept, 1.0);
            }
            return;
        }
        self.both(spec, now, |tally| match event {
            AccountingEvent::StartLost => tally.lost_starts += 1,
            AccountingEvent::LargeGangStarted => {}
            AccountingEvent::TasksStarted(part) => {
                for promise in accounted(promises).filter(|p| p.what == PromiseKind::Started) {
                    tally.promise(promise.at).note(age.as_secs_f64() <= promise.within_s, part);
                }
            }
        });
    }

    /// The account as of now: what lies in the window, and what open jobs have missed already.
    pub fn update<'a>(&mut self, open: impl Iterator<Item = OpenJob<'a>>, now: Instant) -> &[ServiceLevel] {
        let newest = self.number(now);
        let mut sums: BTreeMap<(Subject, &str), Tally> = BTreeMap::new();
        for part in self.parts.iter().filter(|p| p.number + PARTS > newest) {
            for ((whose, name), tally) in &part.tallies {
                sums.entry((*whose, name)).or_default().add(tally);
            }
        }
        // Told without what open jobs have missed: whoever takes them over sees those jobs itself.
        let told: BTreeMap<(Subject, &str), Vec<(u16, PromiseCounts)>> =
            sums.iter().map(|(key, tally)| (*key, self.starts(tally))).collect();
        for job in open {
            let age = job.age.as_secs_f64();
            if job.is_waiting_large_gang && job.age > self.large_begin {
                let tally = sums.entry((Subject::Largest, job.spec.class.as_str())).or_default();
                tally.promise(LARGEST).missed += 1.0;
                tally.overdue += 1;
            }
            for key in [(Subject::Class, job.spec.class.as_str()), (Subject::Team, job.spec.team.as_str())] {
                let tally = sums.entry(key).or_default();
                // What waits past the last moment to start is as good as missed: the floor acts on it before
                // its time has passed.
                let lost = |p: &Promise| {
                    age > p.within_s || (job.has_waiting_tasks && p.start_left_s(job.run_time, job.age) <= 0.0)
                };
                for promise in accounted(job.promises).filter(lost) {
                    let missed = if promise.what == PromiseKind::Started { job.unstarted_share } else { 1.0 };
                    tally.promise(promise.at).missed += missed;
                }
                tally.overdue += u64::from(job.promises.iter().all(|p| p.within_s < age));
            }
        }
        let mut rows: Vec<ServiceLevel> =
            sums.iter().map(|((whose, name), tally)| self.row(*whose, name, tally)).collect();
        // By their offered work all classes would be served alike, and a team as the classes are that
        // it runs. A class that is short because it floods is not put first: that takes from the
        // others what it hardly gains by.
        let all = served_of_all(rows.iter().filter(|r| r.subject == Subject::Class));
        let mut house = Tally::default();
        sums.iter().filter(|((whose, _), _)| *whose == Subject::Team).for_each(|(_, tally)| house.add(tally));
        for (row, ((whose, _), tally)) in rows.iter_mut().zip(&sums) {
            let part = match whose {
                Subject::Class => row.served / all.max(1e-9),
                Subject::Team => part_of_expected(tally, &house),
                Subject::Largest => 1.0,
            };
            row.prioritized = row.below_floor && part < self.floor;
            row.starts_by_objective = told.get(&(row.subject, row.name.as_str())).cloned().unwrap_or_default();
        }
        self.rows = rows;
        &self.rows
    }

    /// Whether an objective speaks of starts, and of which part it is asked.
    fn asked(&self, at: u16) -> (bool, f64) {
        if at == LARGEST {
            return (true, 1.0);
        }
        let objective = self.objectives.get(usize::from(at));
        let share = objective.map_or(1.0, |o| o.share);
        (objective.is_some_and(|o| o.kind == "wait"), if share > 0.0 { share.min(1.0) } else { 1.0 })
    }

    fn starts(&self, tally: &Tally) -> Vec<(u16, PromiseCounts)> {
        tally.promises.iter().filter(|(at, _)| self.asked(**at).0).map(|(at, kept)| (*at, *kept)).collect()
    }

    fn row(&self, whose: Subject, name: &str, tally: &Tally) -> ServiceLevel {
        let (mut served, mut started, mut ended) = (1.0f64, PromiseCounts::default(), PromiseCounts::default());
        for (at, kept) in &tally.promises {
            let (of_starts, share) = self.asked(*at);
            if of_starts {
                started = worse(started, *kept);
            } else {
                ended = worse(ended, *kept);
            }
            let all = kept.kept + kept.missed;
            if all >= FEWEST {
                served = served.min(kept.kept / all / share);
            }
        }
        ServiceLevel {
            subject: whose,
            name: name.to_owned(),
            offered: tally.offered,
            done: tally.done,
            cancelled: tally.cancelled,
            overdue: tally.overdue,
            lost_starts: tally.lost_starts,
            start_promises: started,
            completion_promises: ended,
            served,
            below_floor: served < self.floor,
            prioritized: false,
            starts_by_objective: Vec::new(),
        }
    }

    /// Who goes first, by what a look has shown.
    pub fn underserved(rows: &[ServiceLevel]) -> Underserved {
        let names =
            |chosen: fn(&&ServiceLevel) -> bool| rows.iter().filter(chosen).map(|r| (r.subject, r.name.as_str()));
        Underserved {
            below_floor: ClassTeamSet::from_subjects(names(|r| r.below_floor)),
            prioritized: ClassTeamSet::from_subjects(names(|r| r.prioritized)),
        }
    }

    /// Entries of everything held, for `held`.
    pub fn entry_count(&self) -> usize {
        self.parts.iter().map(|p| p.tallies.len()).sum()
    }
}

/// The served part of all together, each by what it offered.
fn served_of_all<'a>(rows: impl Iterator<Item = &'a ServiceLevel>) -> f64 {
    let (served, offered) = rows.fold((0.0, 0.0), |(served, offered), row| {
        let n = row.offered as f64;
        (served + row.served * n, offered + n)
    });
    if offered > 0.0 { served / offered } else { 1.0 }
}

/// What was kept towards a team, against what would be if each of its promises were kept as often
/// as the same ones are to all.
fn part_of_expected(team: &Tally, house: &Tally) -> f64 {
    let (mut kept, mut expected) = (0.0, 0.0);
    for (at, mine) in &team.promises {
        let all = house.promises.get(at).copied().unwrap_or_default();
        kept += mine.kept;
        expected += (mine.kept + mine.missed) * all.kept / (all.kept + all.missed).max(1e-9);
    }
    if expected > 0.0 { kept / expected } else { 1.0 }
}

/// The one of which the lesser part was kept.
fn worse(a: PromiseCounts, b: PromiseCounts) -> PromiseCounts {
    let part = |k: PromiseCounts| k.kept / (k.kept + k.missed).max(1e-9);
    if a.kept + a.missed == 0.0 || (b.kept + b.missed > 0.0 && part(b) < part(a)) { b } else { a }
}
