//! Detects machines with a one-way partition: their heartbeats arrive, so that they look alive, but answers and
//! commands may not reach them. The evidence is answers that had to show an effect in the next heartbeat and did not: a
//! higher fencing token to learn, a launch to report, a lease to renew (docs/operations.md, "Machines that do not
//! hear").
//!
//! The leader keeps this state in memory; a successor starts anew. There is no I/O here and no clock is read, and
//! safety does not depend on the verdict: a task on such a machine stays bound until it is proven gone.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::messages::MessageKind;
use crate::process_pause::ProcessPause;
use crate::protocol::workers::{Heartbeat, TaskKey, WorkerCommand};

/// This many unacknowledged answers in a row are no coincidence, because a lost answer is made good by the next one.
const MIN_UNACKNOWLEDGED: u32 = 3;
/// A machine that receives nothing is returned once this many of its leases have ended, or after the time of as many.
const MAX_EXPIRED_LEASES: u32 = 2;
/// Added to the duration of a lease; covers the drift of the machine's clock and the transit of a heartbeat.
const LEASE_END_MARGIN: Duration = Duration::from_secs(2);
/// Answers closer together than this count as one when a lease has ended: delayed heartbeats arrive in a burst, while a
/// worker that got no answer sends the next one 5 s later.
const MIN_ANSWER_SPACING: Duration = Duration::from_secs(4);
/// Maximum answers kept of the last lease.
const MAX_ANSWERS: usize = 16;

/// The evidence for a one-way partition of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartitionEvidence {
    /// Answers in a row that should have had a visible effect and had none.
    pub unacknowledged: u32,
    /// Leases that ended although heartbeats were answered, since a lease was last renewed in time.
    pub expired_leases: u32,
    /// Time since the first of the unacknowledged answers.
    pub unacknowledged_for: Duration,
    /// Whether many machines receive nothing, which points at the controller's outgoing network and not at the
    /// machines.
    pub many_affected: bool,
}

/// Whether a machine receives what is sent to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InboundVerdict {
    /// The machine receives what is sent to it.
    Reached,
    /// There is too little evidence to tell.
    Unclear,
    /// The machine receives nothing and gets no new work.
    InboundLost,
    /// The machine has received nothing for so long that it is to be returned.
    GivenUp,
}

/// Returns the verdict on a machine by the evidence.
pub fn inbound_verdict(evidence: PartitionEvidence, lease: Duration) -> InboundVerdict {
    let exceeds_limit = evidence.expired_leases >= MAX_EXPIRED_LEASES
        || evidence.unacknowledged_for > lease * MAX_EXPIRED_LEASES + LEASE_END_MARGIN;
    match evidence.unacknowledged {
        0 => InboundVerdict::Reached,
        n if n < MIN_UNACKNOWLEDGED => InboundVerdict::Unclear,
        _ if exceeds_limit && !evidence.many_affected => InboundVerdict::GivenUp,
        _ => InboundVerdict::InboundLost,
    }
}

/// What the heartbeat after an answer must show if the worker received the answer. One of the two suffices.
#[derive(Debug)]
struct ExpectedEffect {
    /// The fencing token that the worker did not know yet.
    fencing_token: Option<u64>,
    /// The task and attempt that the answer instructed it to launch.
    launch: Option<(TaskKey, u64)>,
}

impl ExpectedEffect {
    /// Whether the heartbeat shows the effect.
    fn is_shown_by(&self, heartbeat: &Heartbeat) -> bool {
        let knows_token = self.fencing_token.is_some_and(|fencing_token| heartbeat.fencing_token >= fencing_token);
        let reports_launch = |(task, attempt): &(TaskKey, u64)| {
            heartbeat
                .attempts
                .iter()
                .any(|attempt_report| attempt_report.task == *task && attempt_report.attempt == *attempt)
        };
        knows_token || self.launch.as_ref().is_some_and(reports_launch)
    }
}

/// Collects the evidence on one machine.
#[derive(Debug)]
pub struct PartitionDetector {
    /// Answers in a row without visible effect.
    unacknowledged: u32,
    /// Leases that ended although heartbeats were answered.
    expired_leases: u32,
    /// When the first of the unacknowledged answers was found to have had no effect.
    since: Option<Instant>,
    /// The latest agent epoch of the worker.
    agent_epoch: u64,
    /// When this controller first received a message of the agent epoch.
    session_since: Instant,
    /// Times of the answers given in this agent epoch, within about a lease.
    answers: VecDeque<Instant>,
    /// What the next heartbeat must show.
    expected_effect: Option<ExpectedEffect>,
    /// Whether the newest heartbeat has not been answered yet. Answers to older ones reach no worker.
    unanswered: bool,
}

impl PartitionDetector {
    /// Creates a detector without evidence.
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

    /// Records a message that is newer than all before it.
    pub fn record_message(&mut self, heartbeat: &Heartbeat, kind: MessageKind, lease: Duration, now: Instant) {
        let is_new_epoch = heartbeat.agent_epoch > self.agent_epoch;
        if is_new_epoch {
            (self.agent_epoch, self.session_since) = (heartbeat.agent_epoch, now);
        }
        if kind == MessageKind::CommandReply {
            // The worker replied in time, so a command has reached it.
            self.record_acknowledged();
            return;
        }
        self.unanswered = true;
        let expected_effect = self.expected_effect.take();
        if is_new_epoch {
            // If the worker had received one of these answers, its lease would have lasted until now.
            let would_have_renewed = |at: &&Instant| now.saturating_duration_since(**at) + LEASE_END_MARGIN < lease;
            let unacknowledged = self.answers.iter().filter(would_have_renewed).count() as u32;
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
        // An agent epoch lasts longer than a lease only if answers renew the lease.
        let evidence_since = self.since.map_or(self.session_since, |at| at.max(self.session_since));
        if now.saturating_duration_since(evidence_since) > lease + LEASE_END_MARGIN {
            self.record_acknowledged();
            self.expired_leases = 0;
        }
    }

    /// Records the answer to the newest heartbeat: its fencing token, the fencing token that the worker knows, and its
    /// commands.
    pub fn record_answer(
        &mut self,
        fencing_token: u64,
        known_fencing_token: u64,
        commands: &[WorkerCommand],
        now: Instant,
    ) {
        if !std::mem::take(&mut self.unanswered) {
            return;
        }
        if self.answers.back().is_none_or(|at| now.saturating_duration_since(*at) >= MIN_ANSWER_SPACING) {
            self.answers.push_back(now);
            if self.answers.len() > MAX_ANSWERS {
                self.answers.pop_front();
            }
        }
        let launch = commands.iter().find_map(|command| match command {
            WorkerCommand::Launch { task, attempt } => Some((task.clone(), *attempt)),
            _ => None,
        });
        let fencing_token = Some(fencing_token).filter(|fencing_token| *fencing_token > known_fencing_token);
        if fencing_token.is_some() || launch.is_some() {
            self.expected_effect = Some(ExpectedEffect { fencing_token, launch });
        }
    }

    /// Discards time-based evidence after a pause of this controller: most workers have given up waiting for what it
    /// reads and answers next.
    pub fn forgive_pause(&mut self, pause: ProcessPause) {
        self.since = self.since.map(|at| pause.shift_instant(at));
        self.session_since = pause.shift_instant(self.session_since);
        self.expected_effect = None;
        self.answers.clear();
    }

    /// Records that something has reached the machine. Expired leases stay counted until one lasts, because commands
    /// may reach a machine that answers don't reach.
    fn record_acknowledged(&mut self) {
        (self.unacknowledged, self.since, self.expected_effect) = (0, None, None);
    }

    /// Records that answers had no visible effect.
    fn record_unacknowledged(&mut self, answers: u32, now: Instant) {
        self.unacknowledged = self.unacknowledged.saturating_add(answers);
        self.since.get_or_insert(now);
    }

    /// Returns the evidence for the verdict. `many_affected`: many machines show the same.
    pub fn evidence(&self, many_affected: bool, now: Instant) -> PartitionEvidence {
        let unacknowledged_for = self.since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        PartitionEvidence {
            unacknowledged: self.unacknowledged,
            expired_leases: self.expired_leases,
            unacknowledged_for,
            many_affected,
        }
    }
}

#[cfg(test)]
mod tests;
