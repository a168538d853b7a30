//! Gangs: their members start together, stop together, and detect missing members.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollylanding_protocol::jobs::JobId;
use hollylanding_protocol::workers::{ExitCause, TaskKey};

use super::Fleet;
use super::worker::{Task, TaskState, Worker};

/// One attempt of a gang.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct GangAttempt {
    job: JobId,
    attempt: u64,
}

/// A graceful stop of a gang's attempt.
#[derive(Debug)]
pub(super) struct GangStop {
    /// When the first member was ordered to stop.
    started_at: Duration,
    /// Task indexes of the members that were ordered to stop.
    stopping: BTreeSet<u32>,
}

/// The location of a gang's member: the machine, and the index among the worker's tasks.
#[derive(Debug)]
struct Member {
    machine: String,
    index: usize,
}

/// The state of a gang's attempt at one moment.
struct GangState {
    /// Number of members of the complete gang.
    size: usize,
    /// Number of members whose workers do not hang.
    awake: usize,
    /// Number of members that wait for the others.
    waiting: usize,
    /// Whether any member runs or saves.
    started: bool,
    /// Speed of the slowest machine, at which the whole gang runs.
    speed: f64,
}

impl Fleet {
    /// Advances all gangs.
    pub(super) fn advance_gangs(&mut self, elapsed: Duration, now: Duration) {
        let mut attempts: BTreeMap<GangAttempt, Vec<Member>> = BTreeMap::new();
        for (name, worker) in &self.workers {
            for (index, task) in worker.tasks.iter().enumerate().filter(|(_, t)| t.is_live() && t.in_gang()) {
                let attempt = GangAttempt { job: task.key.job.clone(), attempt: task.attempt };
                attempts.entry(attempt).or_default().push(Member { machine: name.clone(), index });
            }
        }
        self.gang_stops.retain(|attempt, _| attempts.contains_key(attempt));
        self.incomplete_gangs.retain(|attempt, _| attempts.contains_key(attempt));
        for (attempt, members) in attempts {
            self.advance_gang(&attempt, &members, elapsed, now);
        }
    }

    /// Records that a member was ordered to stop.
    pub(super) fn record_member_stop(&mut self, key: &TaskKey, attempt: u64, now: Duration) {
        let stop = self.gang_stops.entry(GangAttempt { job: key.job.clone(), attempt });
        let stop = stop.or_insert_with(|| GangStop { started_at: now, stopping: BTreeSet::new() });
        stop.stopping.insert(key.index);
    }

    /// The worker and the task of a member, if both exist.
    fn member(&self, member: &Member) -> Option<(&Worker, &Task)> {
        let worker = self.workers.get(&member.machine)?;
        Some((worker, worker.tasks.get(member.index)?))
    }

    fn member_mut(&mut self, member: &Member) -> Option<&mut Task> {
        let worker = self.workers.get_mut(&member.machine)?;
        worker.tasks.get_mut(member.index)
    }

    fn gang_state(&self, members: &[Member], now: Duration) -> Option<GangState> {
        let found: Vec<(&Worker, &Task)> = members.iter().filter_map(|member| self.member(member)).collect();
        let (_, first) = found.first()?;
        Some(GangState {
            size: first.job.spec.tasks as usize,
            awake: found.iter().filter(|(worker, _)| worker.awake(now)).count(),
            waiting: found.iter().filter(|(_, task)| matches!(task.state, TaskState::WaitingForGang(_))).count(),
            started: found.iter().any(|(_, task)| matches!(task.state, TaskState::Running | TaskState::Saving(_))),
            speed: found.iter().map(|(worker, _)| worker.machine.speed).fold(f64::INFINITY, f64::min),
        })
    }

    /// Advances one attempt of a gang: it assembles, stops, runs, or ends because a member is missing.
    fn advance_gang(&mut self, attempt: &GangAttempt, members: &[Member], elapsed: Duration, now: Duration) {
        let Some(state) = self.gang_state(members, now) else { return };
        if !state.started {
            self.assemble(attempt, members, &state, now);
        } else if self.gang_stops.contains_key(attempt) {
            self.stop_gang(attempt, members, &state, now);
        } else if members.len() < state.size || state.awake < members.len() {
            self.end_if_peers_missing(attempt, members, now);
        } else {
            self.incomplete_gangs.remove(attempt);
            self.advance_progress(members, elapsed.mul_f64(state.speed));
        }
    }

    /// Starts the members once all are waiting, or once the job is done; ends members that have waited too long.
    fn assemble(&mut self, attempt: &GangAttempt, members: &[Member], state: &GangState, now: Duration) {
        let complete = state.waiting == state.size && state.awake == state.size;
        let starts = complete || self.gangs_done.contains(&attempt.job);
        let checkpoint_key = TaskKey { job: attempt.job.clone(), index: 0 };
        let progress = self.checkpoints.get(&checkpoint_key).copied().unwrap_or_default();
        let gang_wait = self.params.gang_wait;
        for member in members {
            let Some(task) = self.member_mut(member) else { continue };
            let TaskState::WaitingForGang(since) = task.state else { continue };
            if starts {
                task.state = TaskState::Running;
                task.progress = progress;
            } else if now.saturating_sub(since) > gang_wait {
                self.end_attempt(&member.machine, member.index, ExitCause::Alone, false);
            }
        }
    }

    /// Completes a graceful stop, during which the gang makes no progress. If all members are ordered to stop in time,
    /// their progress is saved; otherwise the save fails.
    fn stop_gang(&mut self, attempt: &GangAttempt, members: &[Member], state: &GangState, now: Duration) {
        let Some(stop) = self.gang_stops.get(attempt) else { return };
        let timed_out = now.saturating_sub(stop.started_at) > self.params.gang_peer;
        let all_stopping = stop.stopping.len() == state.size;
        let mut found = members.iter().filter_map(|member| self.member(member));
        let saved =
            all_stopping && found.all(|(_, task)| matches!(task.state, TaskState::Saving(until) if until <= now));
        if !saved && !timed_out {
            return;
        }
        for member in members {
            let was_stopping = self.member(member).is_some_and(|(_, task)| matches!(task.state, TaskState::Saving(_)));
            let cause = if was_stopping { ExitCause::Stopped } else { ExitCause::Peers };
            self.end_attempt(&member.machine, member.index, cause, saved);
        }
    }

    /// Ends the responsive members of a gang once a member has been gone or hanging for the detection time.
    fn end_if_peers_missing(&mut self, attempt: &GangAttempt, members: &[Member], now: Duration) {
        let missing_since = *self.incomplete_gangs.entry(attempt.clone()).or_insert(now);
        if now.saturating_sub(missing_since) < self.params.gang_peer {
            return;
        }
        for member in members {
            if self.member(member).is_some_and(|(worker, _)| worker.awake(now)) {
                self.end_attempt(&member.machine, member.index, ExitCause::Peers, false);
            }
        }
    }

    fn advance_progress(&mut self, members: &[Member], progress: Duration) {
        for member in members {
            if let Some(task) = self.member_mut(member) {
                task.progress += progress;
            }
        }
    }
}
