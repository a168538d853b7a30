//! Detects machines with a one-way partition: their heartbeats arrive, so that they look alive, but answers and
//! commands may not reach them. Judged by answers that had to show an effect in the next heartbeat and did not: a
//! higher fencing token to learn, a launch to report, a lease to renew (docs/operations.md, "Machines that do not
//! hear").
//!
//! The leader keeps this in memory; a successor judges anew. There is no I/O here and no clock is read, and safety does
//! not depend on the verdict: a task on such a machine stays bound until it is proven gone.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::messages::MessageKind;
use crate::process_pause::ProcessPause;
use crate::protocol::workers::{Heartbeat, TaskKey, WorkerCommand};

/// So many answers in a row without effect are no chance: a lost one is made good by the next.
const MIN_UNACKNOWLEDGED: u32 = 3;
/// A machine that hears nothing is returned once so many leases have ended, or past the time of as many.
const MAX_EXPIRED_LEASES: u32 = 2;
/// Past the end of a lease; covers a machine's clock's drift and the way of a heartbeat.
const LEASE_END_MARGIN: Duration = Duration::from_secs(2);
/// Answers closer together than this count once when a lease has ended: reports that were held up come in
/// a burst, and a worker that got no answer asks again 5 s later.
const MIN_ANSWER_SPACING: Duration = Duration::from_secs(4);
/// Answers remembered of the last lease.
const MAX_ANSWERS: usize = 16;

/// What speaks against a machine, and what for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartitionEvidence {
    /// Answers in a row that had no effect where one had to show.
    pub unacknowledged: u32,
    /// Leases that ended although reports were answered, since one has lasted.
    pub expired_leases: u32,
    /// Since the first of the row.
    pub unacknowledged_for: Duration,
    /// Many machines hear nothing, which points at the way out and at none of them.
    pub many_affected: bool,
}

/// Whether a machine receives what is sent to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InboundVerdict {
    /// It does.
    Reached,
    /// Too little was seen to tell.
    Unclear,
    /// No new work.
    InboundLost,
    /// To be returned.
    GivenUp,
}

/// The whole judgement.
pub fn inbound_verdict(evidence: PartitionEvidence, lease: Duration) -> InboundVerdict {
    let long = evidence.expired_leases >= MAX_EXPIRED_LEASES
        || evidence.unacknowledged_for > lease * MAX_EXPIRED_LEASES + LEASE_END_MARGIN;
    match evidence.unacknowledged {
        0 => InboundVerdict::Reached,
        n if n < MIN_UNACKNOWLEDGED => InboundVerdict::Unclear,
        _ if long && !evidence.many_affected => InboundVerdict::GivenUp,
        _ => InboundVerdict::InboundLost,
    }
}

/// What the heartbeat after an answer has to show if the answer was heard.
#[derive(Debug)]
struct ExpectedEffect {
    fencing_token: Option<u64>,
    launch: Option<(TaskKey, u64)>,
}

impl ExpectedEffect {
    fn is_shown_by(&self, heartbeat: &Heartbeat) -> bool {
        let fencing_token = self.fencing_token.is_some_and(|fencing_token| heartbeat.fencing_token >= fencing_token);
        let launch = |(task, attempt): &(TaskKey, u64)| {
            heartbeat
                .attempts
                .iter()
                .any(|attempt_report| attempt_report.task == *task && attempt_report.attempt == *attempt)
        };
        fencing_token || self.launch.as_ref().is_some_and(launch)
    }
}

/// The evidence on one machine.
#[derive(Debug)]
pub struct PartitionDetector {
    unacknowledged: u32,
    expired_leases: u32,
    /// When the first of the row was found to have had no effect.
    since: Option<Instant>,
    agent_epoch: u64,
    /// When the agent epoch was first heard of here.
    session_since: Instant,
    /// Answers given in this agent epoch, within about a lease.
    answers: VecDeque<Instant>,
    expected_effect: Option<ExpectedEffect>,
    /// The newest heartbeat waits for its answer: answers to old ones reach nobody.
    unanswered: bool,
}

impl PartitionDetector {
    /// Nothing seen yet.
    pub fn new(now: Instant) -> Self {
        Self {
            unacknowledged: 0,
            expired_leases: 0,
            since: None,
            agent_epoch: 0,
            session_since: now,
            answers: VecDeque::new(),
            expected_effect: None,
            unanswered: false,
        }
    }

    /// A message newer than all before it.
    pub fn record_message(&mut self, heartbeat: &Heartbeat, kind: MessageKind, lease: Duration, now: Instant) {
        let grown = heartbeat.agent_epoch > self.agent_epoch;
        if grown {
            (self.agent_epoch, self.session_since) = (heartbeat.agent_epoch, now);
        }
        if kind == MessageKind::CommandReply {
            // It was answered in time, so a command has reached it.
            self.record_acknowledged();
            return;
        }
        self.unanswered = true;
        let expected_effect = self.expected_effect.take();
        if grown {
            // An answer that was heard would have kept its lease for longer than this.
            let kept = |at: &&Instant| now.saturating_duration_since(**at) + LEASE_END_MARGIN < lease;
            let unacknowledged = self.answers.iter().filter(kept).count() as u32;
            self.answers.clear();
            if unacknowledged > 0 {
                self.expired_leases += 1;
                self.record_unacknowledged(unacknowledged, now);
            }
        } else if let Some(expected_effect) = expected_effect {
            if expected_effect.is_shown_by(heartbeat) {
                self.record_acknowledged();
            } else {
                self.record_unacknowledged(1, now);
            }
        }
        // A agent epoch outlives a lease only by answers.
        let began = self.since.map_or(self.session_since, |at| at.max(self.session_since));
        if now.saturating_duration_since(began) > lease + LEASE_END_MARGIN {
            self.record_acknowledged();
            self.expired_leases = 0;
        }
    }

    /// Its newest heartbeat is answered with this fencing token and these orders.
    pub fn record_answer(&mut self, fencing_token: u64, knows: u64, orders: &[WorkerCommand], now: Instant) {
        if !std::mem::take(&mut self.unanswered) {
            return;
        }
        if self.answers.back().is_none_or(|at| now.saturating_duration_since(*at) >= MIN_ANSWER_SPACING) {
            self.answers.push_back(now);
            if self.answers.len() > MAX_ANSWERS {
                self.answers.pop_front();
            }
        }
        let launch = orders.iter().find_map(|o| match o {
            WorkerCommand::Launch { task, attempt } => Some((task.clone(), *attempt)),
            _ => None,
        });
        let fencing_token = Some(fencing_token).filter(|fencing_token| *fencing_token > knows);
        if fencing_token.is_some() || launch.is_some() {
            self.expected_effect = Some(ExpectedEffect { fencing_token, launch });
        }
    }

    /// This controller was paused: what it reads and answers next was mostly given up meanwhile.
    pub fn forgive_pause(&mut self, pause: ProcessPause) {
        self.since = self.since.map(|at| pause.forgive(at));
        self.session_since = pause.forgive(self.session_since);
        self.expected_effect = None;
        self.answers.clear();
    }

    /// Leases that it has lost stay counted until one lasts: commands may reach it where answers don't.
    fn record_acknowledged(&mut self) {
        (self.unacknowledged, self.since, self.expected_effect) = (0, None, None);
    }

    fn record_unacknowledged(&mut self, answers: u32, now: Instant) {
        self.unacknowledged = self.unacknowledged.saturating_add(answers);
        self.since.get_or_insert(now);
    }

    /// What was seen so far, as the judgement takes it. `many`: many machines show the same.
    pub fn evidence(&self, many: bool, now: Instant) -> PartitionEvidence {
        let for_ = self.since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        PartitionEvidence {
            unacknowledged: self.unacknowledged,
            expired_leases: self.expired_leases,
            unacknowledged_for: for_,
            many_affected: many,
        }
    }
}

#[cfg(test)]
mod tests;
