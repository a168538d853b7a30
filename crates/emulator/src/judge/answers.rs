//! Rules for responses to users: their content, and that requests are answered at all.

use std::time::Duration;

use hollylanding_protocol::jobs::{JobId, Shape};
use hollylanding_protocol::users::Status;

use super::state::Judge;
use super::{RequestKind, Rule};

/// A job counts as forgotten if all its polls fail for this long while most polls of other jobs are answered.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(90);
/// After all faults are over, a job counts as unanswered if all its polls fail for this long.
pub const UNANSWERED_AFTER: Duration = Duration::from_secs(75);

/// Numbers of polls of jobs' status.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PollCounts {
    sent: u64,
    answered: u64,
}

/// A period in which no poll of a job was answered.
#[derive(Debug, Clone, Copy)]
pub(super) struct Unanswered {
    since: Duration,
    /// Numbers of polls of all jobs at the start of the period.
    polls: PollCounts,
}

impl Judge {
    /// Checks the response to a user's request, or its absence.
    pub(super) fn answered(
        &mut self,
        at: Duration,
        id: &JobId,
        ask: RequestKind,
        code: Option<u16>,
        status: Option<Status>,
    ) {
        self.add_history(at, id, format!("{ask:?} answered {code:?} {status:?}"));
        let answered = matches!(code, Some(200 | 201 | 404));
        if ask == RequestKind::Status {
            self.polls.sent += 1;
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
            Some(400 | 422) if accepted && ask == RequestKind::Submit => {
                return self.report(Rule::Forgotten, at, id, format!("{id}, accepted before, is answered {code:?}"));
            }
            Some(200 | 201) => drop(job.accepted.get_or_insert(at)),
            _ => {}
        }
        if ask == RequestKind::Status && job.accepted.is_some() {
            if answered {
                (job.unanswered, job.unanswered_since) = (None, None);
            } else if let Some((rule, what)) = self.check_unanswered(at, id) {
                return self.report(rule, at, id, what);
            }
        }
        if let Some(status) = status.filter(|_| answered) {
            self.check_status(at, id, status);
        }
    }

    /// Handles an unanswered poll of an accepted job. Returns the rule that this violates, if any, with a description.
    fn check_unanswered(&mut self, at: Duration, id: &JobId) -> Option<(Rule, String)> {
        let job = self.jobs.get_mut(id)?;
        if self.faults_over && at.saturating_sub(*job.unanswered_since.get_or_insert(at)) >= UNANSWERED_AFTER {
            job.unanswered_since = None;
            let what = format!("{id}: no question was answered for {:.0} s", UNANSWERED_AFTER.as_secs_f64());
            return Some((Rule::Unanswered, what));
        }
        let Unanswered { since, polls } = *job.unanswered.get_or_insert(Unanswered { since: at, polls: self.polls });
        let others = (self.polls.sent - polls.sent).saturating_sub(1);
        let others_answered = self.polls.answered - polls.answered;
        if at.saturating_sub(since) < FORGOTTEN_AFTER || others_answered * 2 <= others {
            return None;
        }
        job.unanswered = None;
        let what = format!("{id}: no poll was answered since {:.0} s", since.as_secs_f64());
        Some((Rule::Forgotten, what))
    }

    /// Checks a job's status in a response.
    fn check_status(&mut self, at: Duration, id: &JobId, status: Status) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let before = job.final_status.map(|(status, _)| status);
        let complete = job.spec.as_ref().is_none_or(|spec| match spec.shape {
            Shape::Gang => !job.done.is_empty(),
            _ => job.done.len() as u64 == spec.tasks,
        });
        let cancellation_asked = job.cancellation_asked;
        if matches!(status, Status::Done | Status::Cancelled) {
            job.final_status.get_or_insert((status, at));
        }
        if let Some(before) = before.filter(|before| *before != status) {
            return self.report(Rule::WentBack, at, id, format!("{id} was {before:?} and is called {status:?}"));
        }
        if status == Status::Cancelled && !cancellation_asked {
            return self.report(Rule::WentBack, at, id, format!("{id} is called withdrawn, and nobody asked"));
        }
        if status == Status::Done && before.is_none() && !complete {
            self.report(Rule::NotDone, at, id, format!("{id} is called done before all of its tasks are"));
        }
    }
}
