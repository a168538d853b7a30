//! Answers to users: what they may say, and that they come.

use std::time::Duration;

use hollylanding_protocol::jobs::{JobId, Shape};
use hollylanding_protocol::users::Status;

use super::state::Judge;
use super::{Ask, Rule};

/// A job counts as forgotten if every poll fails for this long while most polls of others are answered.
const UNANSWERED: Duration = Duration::from_secs(90);
/// With all faults over, a job about which no request is answered for this long counts as unanswered.
pub const SILENT: Duration = Duration::from_secs(75);

/// Numbers of polls.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PollCounts {
    made: u64,
    answered: u64,
}

/// The time in which no poll of a job was answered.
#[derive(Debug, Clone, Copy)]
pub(super) struct Unanswered {
    since: Duration,
    /// Polls of all jobs at its beginning.
    polls: PollCounts,
}

impl Judge {
    /// A user was answered, or not.
    pub(super) fn answered(&mut self, at: Duration, id: &JobId, ask: Ask, code: Option<u16>, status: Option<Status>) {
        self.write(at, id, format!("{ask:?} answered {code:?} {status:?}"));
        let answered = matches!(code, Some(200 | 201 | 404));
        if ask == Ask::Status {
            self.polls.made += 1;
            self.polls.answered += u64::from(answered);
        }
        let job = self.jobs.entry(id.clone()).or_default();
        let (known, accepted) = (job.spec.is_some(), job.accepted.is_some());
        match code {
            Some(200 | 201) if !known => {
                return self.report(Rule::Invented, at, id, format!("{id}, which nobody submitted, is answered"));
            }
            Some(404) if accepted => {
                return self.report(Rule::Forgotten, at, id, format!("{id} is answered 404"));
            }
            Some(400 | 422) if accepted && ask == Ask::Submit => {
                return self.report(Rule::Forgotten, at, id, format!("{id}, accepted before, is answered {code:?}"));
            }
            Some(200 | 201) => drop(job.accepted.get_or_insert(at)),
            _ => {}
        }
        if ask == Ask::Status && job.accepted.is_some() {
            if answered {
                (job.unanswered, job.silent) = (None, None);
            } else if let Some((rule, what)) = self.silence(at, id) {
                return self.report(rule, at, id, what);
            }
        }
        if let Some(status) = status.filter(|_| answered) {
            self.check_status(at, id, status);
        }
    }

    /// A poll of an accepted job was not answered: the rule that this breaks, if any, and how.
    fn silence(&mut self, at: Duration, id: &JobId) -> Option<(Rule, String)> {
        let job = self.jobs.get_mut(id)?;
        if self.quiet && at.saturating_sub(*job.silent.get_or_insert(at)) >= SILENT {
            job.silent = None;
            let what = format!("{id}: no question was answered for {:.0} s", SILENT.as_secs_f64());
            return Some((Rule::Unanswered, what));
        }
        let Unanswered { since, polls } = *job.unanswered.get_or_insert(Unanswered { since: at, polls: self.polls });
        let others = (self.polls.made - polls.made).saturating_sub(1);
        let others_answered = self.polls.answered - polls.answered;
        if at.saturating_sub(since) < UNANSWERED || others_answered * 2 <= others {
            return None;
        }
        job.unanswered = None;
        let what = format!("{id}: no poll was answered since {:.0} s", since.as_secs_f64());
        Some((Rule::Forgotten, what))
    }

    /// An answer contained this status of a job.
    fn check_status(&mut self, at: Duration, id: &JobId, status: Status) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let before = job.final_status.map(|(told, _)| told);
        let complete = job.spec.as_ref().is_none_or(|spec| match spec.shape {
            Shape::Gang => !job.done.is_empty(),
            _ => job.done.len() as u64 == spec.tasks,
        });
        let asked = job.cancellation_asked;
        if matches!(status, Status::Done | Status::Cancelled) {
            job.final_status.get_or_insert((status, at));
        }
        if let Some(before) = before.filter(|before| *before != status) {
            return self.report(Rule::WentBack, at, id, format!("{id} was {before:?} and is called {status:?}"));
        }
        if status == Status::Cancelled && !asked {
            return self.report(Rule::WentBack, at, id, format!("{id} is called withdrawn, and nobody asked"));
        }
        if status == Status::Done && before.is_none() && !complete {
            self.report(Rule::NotDone, at, id, format!("{id} is called done before all of its tasks are"));
        }
    }
}
