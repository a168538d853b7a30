//! Gangs: their members start together, stop together, and notice who is missing.

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

/// An orderly stop of a gang's attempt: when it began, and which members were told to stop.
#[derive(Debug)]
pub(super) struct Stop {
    first: Duration,
    told: BTreeSet<u32>,
}

/// Where a member of a gang is: the machine, and the index among the worker's tasks.
#[derive(Debug)]
struct Member {
    machine: String,
    index: usize,
}

/// What the members of an attempt do at a moment.
struct GangState {
    /// Number of members that a complete gang has.
    size: usize,
    /// Members whose workers do not hang.
    awake: usize,
    /// Members that wait for the others.
    waiting: usize,
    /// Whether a member has begun to run.
    begun: bool,
    /// Speed of the slowest machine.
    speed: f64,
}

impl Fleet {
    /// Advances all gangs.
    pub(super) fn gangs(&mut self, passed: Duration, now: Duration) {
        let mut attempts: BTreeMap<GangAttempt, Vec<Member>> = BTreeMap::new();
        for (name, worker) in &self.workers {
            for (index, task) in worker.tasks.iter().enumerate().filter(|(_, t)| t.live() && t.in_gang()) {
                let attempt = GangAttempt { job: task.key.job.clone(), attempt: task.attempt };
                attempts.entry(attempt).or_default().push(Member { machine: name.clone(), index });
            }
        }
        self.stops.retain(|attempt, _| attempts.contains_key(attempt));
        self.broken.retain(|attempt, _| attempts.contains_key(attempt));
        for (attempt, members) in attempts {
            self.gang(&attempt, &members, passed, now);
        }
    }

    /// Notes that a member was told to stop.
    pub(super) fn stop_member(&mut self, key: &TaskKey, attempt: u64, now: Duration) {
        let stop = self.stops.entry(GangAttempt { job: key.job.clone(), attempt });
        let stop = stop.or_insert_with(|| Stop { first: now, told: BTreeSet::new() });
        stop.told.insert(key.index);
    }

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
            begun: found.iter().any(|(_, task)| matches!(task.state, TaskState::Running | TaskState::Saving(_))),
            speed: found.iter().map(|(worker, _)| worker.machine.speed).fold(f64::INFINITY, f64::min),
        })
    }

    fn gang(&mut self, attempt: &GangAttempt, members: &[Member], passed: Duration, now: Duration) {
        let Some(state) = self.gang_state(members, now) else { return };
        if !state.begun {
            self.assemble(attempt, members, &state, now);
        } else if self.stops.contains_key(attempt) {
            self.stop_gang(attempt, members, &state, now);
        } else if members.len() < state.size || state.awake < members.len() {
            self.notice_missing_peers(attempt, members, now);
        } else {
            self.broken.remove(attempt);
            self.advance_gang(members, passed.mul_f64(state.speed));
        }
    }

    /// Members start once all are there; one that has waited too long gives up.
    fn assemble(&mut self, attempt: &GangAttempt, members: &[Member], state: &GangState, now: Duration) {
        let complete = state.waiting == state.size && state.awake == state.size;
        let starts = complete || self.gangs_done.contains(&attempt.job);
        let save_key = TaskKey { job: attempt.job.clone(), index: 0 };
        let progress = self.saved.get(&save_key).copied().unwrap_or_default();
        let gang_wait = self.params.gang_wait;
        for member in members {
            let Some(task) = self.member_mut(member) else { continue };
            let TaskState::WaitingForGang(since) = task.state else { continue };
            if starts {
                task.state = TaskState::Running;
                task.progress = progress;
            } else if now.saturating_sub(since) > gang_wait {
                self.end(&member.machine, member.index, ExitCause::Alone, false);
            }
        }
    }

    /// The gang makes no progress. If all members are told to stop in time, their progress is saved; otherwise the save
    /// fails.
    fn stop_gang(&mut self, attempt: &GangAttempt, members: &[Member], state: &GangState, now: Duration) {
        let Some(stop) = self.stops.get(attempt) else { return };
        let late = now.saturating_sub(stop.first) > self.params.gang_peer;
        let all_told = stop.told.len() == state.size;
        let mut found = members.iter().filter_map(|member| self.member(member));
        let saved = all_told && found.all(|(_, task)| matches!(task.state, TaskState::Saving(until) if until <= now));
        if !saved && !late {
            return;
        }
        for member in members {
            let was_told = self.member(member).is_some_and(|(_, task)| matches!(task.state, TaskState::Saving(_)));
            let cause = if was_told { ExitCause::Stopped } else { ExitCause::Peers };
            self.end(&member.machine, member.index, cause, saved);
        }
    }

    /// A member is gone or hangs: after a while the others notice, and end.
    fn notice_missing_peers(&mut self, attempt: &GangAttempt, members: &[Member], now: Duration) {
        let missing_since = *self.broken.entry(attempt.clone()).or_insert(now);
        if now.saturating_sub(missing_since) < self.params.gang_peer {
            return;
        }
        for member in members {
            if self.member(member).is_some_and(|(worker, _)| worker.awake(now)) {
                self.end(&member.machine, member.index, ExitCause::Peers, false);
            }
        }
    }

    fn advance_gang(&mut self, members: &[Member], progress: Duration) {
        for member in members {
            if let Some(task) = self.member_mut(member) {
                task.progress += progress;
            }
        }
    }
}
