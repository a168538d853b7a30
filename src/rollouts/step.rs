//! Decides the next status of a rollout: a pure function of the specification, the stored status and the observation.
//!
//! A replica that is to stop never counts as capacity, whether or not it has stopped yet, so it does not matter when,
//! or by which leader, the stop is carried out. A replica is chosen to stop only while enough others, which are not to
//! stop, are confirmed to be running.

use std::collections::BTreeSet;

use super::observation::{JobPresence, ObservedReplica, RolloutObservation};
use super::spec::{RolloutGoal, RolloutSpec};
use super::status::{FailureCounts, RolloutPhase, RolloutStatus};
use super::version_verdict::VersionVerdict;

/// Returns the next status of a rollout, or `None` if the status stays as it is.
pub fn decide_rollout(
    spec: &RolloutSpec,
    status: &RolloutStatus,
    observed: &RolloutObservation,
) -> Option<RolloutStatus> {
    let mut decision = StepDecision { spec, observed, status: status.clone() };
    decision.advance();
    let mut next = decision.status;
    // A start time in the future is reset: after a clock was set back, the step would otherwise hold for hours.
    if next.phase != status.phase || next.step != status.step || next.since_ms > observed.now_ms {
        next.since_ms = observed.now_ms;
    }
    if next == *status {
        return None;
    }
    next.fencing_token = observed.fencing_token;
    Some(next)
}

/// A decision in progress: its inputs, and the status as changed so far.
struct StepDecision<'a> {
    spec: &'a RolloutSpec,
    observed: &'a RolloutObservation,
    status: RolloutStatus,
}

/// Returns the old replicas that may run.
pub fn allowed_old(status: &RolloutStatus, observed: &RolloutObservation) -> BTreeSet<u32> {
    (0..observed.old.tasks).filter(|i| !status.stopping_old.0.contains(i)).collect()
}

/// Counts the replicas of both versions that serve as capacity.
pub fn count_serving(status: &RolloutStatus, observed: &RolloutObservation) -> usize {
    observed.old.serving(&allowed_old(status, observed)).len() + observed.new.serving(&status.allowed_new.0).len()
}

/// Returns the number of replicas that must be running at any time; during and after a rollback, no more than the old
/// job has.
pub fn min_available(spec: &RolloutSpec, status: &RolloutStatus, observed: &RolloutObservation) -> usize {
    let min_available = spec.min_available();
    let back = matches!(status.phase, RolloutPhase::GoingBack | RolloutPhase::Back);
    (if back { min_available.min(observed.old.tasks) } else { min_available }) as usize
}

impl StepDecision<'_> {
    fn advance(&mut self) {
        let new_request = self.status.request_no != self.spec.request_no;
        self.status.request_no = self.spec.request_no;
        if !self.status.phase.has_begun() {
            // An ended rollout stays ended unless the specification names other jobs by now.
            let jobs = [Some(&self.spec.old), Some(&self.spec.new)];
            if self.status.phase != RolloutPhase::Ended || [self.status.old.as_ref(), self.status.new.as_ref()] != jobs
            {
                self.start_if_ready();
            }
            return;
        }
        if let Some(reason) = &self.observed.conflict {
            return self.set_phase(RolloutPhase::Refused, reason);
        }
        self.status.failure_counts.add_failures(self.observed);
        let (old_ended, new_ended) =
            (self.observed.old.presence == JobPresence::Ended, self.observed.new.presence == JobPresence::Ended);
        if old_ended && new_ended {
            return self.set_phase(RolloutPhase::Ended, "both jobs are over");
        }
        if new_ended {
            return self.roll_back("the new version's job is over");
        }
        if old_ended {
            return self.roll_forward("the old version's job is over");
        }
        let phase = self.status.phase;
        let is_rollback = matches!(phase, RolloutPhase::GoingBack | RolloutPhase::Back);
        match self.spec.goal {
            RolloutGoal::Back => self.roll_back("the operator wants it"),
            RolloutGoal::Paused if is_rollback && phase == RolloutPhase::Back || phase == RolloutPhase::Done => {}
            RolloutGoal::Paused => self.pause("the operator wants it"),
            // An automatic rollback or pause stands until the operator makes a new request.
            RolloutGoal::Forward | RolloutGoal::Finish if is_rollback && !new_request => {
                let reason = self.status.reason.clone();
                self.roll_back(&reason);
            }
            RolloutGoal::Forward | RolloutGoal::Finish if phase == RolloutPhase::Paused && !new_request => {
                let reason = self.status.reason.clone();
                self.pause(&reason);
            }
            RolloutGoal::Forward | RolloutGoal::Finish => {
                if new_request {
                    self.status.failure_counts = FailureCounts::start_counting(self.observed);
                }
                self.roll_forward("");
            }
        }
    }

    fn set_phase(&mut self, phase: RolloutPhase, reason: &str) {
        self.status.phase = phase;
        if self.status.reason != reason {
            self.status.reason = reason.to_owned();
        }
    }

    /// Starts the rollout, or sets the reason why it cannot start.
    fn start_if_ready(&mut self) {
        let (spec, observed) = (self.spec, self.observed);
        if let Some(reason) = &observed.conflict {
            return self.set_phase(RolloutPhase::Refused, reason);
        }
        for (job, field, id) in [(&observed.old, "old", &spec.old), (&observed.new, "new", &spec.new)] {
            match job.presence {
                JobPresence::Open => {}
                JobPresence::Ended => return self.set_phase(RolloutPhase::Refused, &format!("{field}: {id} is over")),
                JobPresence::Unknown => {
                    return self.set_phase(RolloutPhase::Planned, &format!("waits for {id}, which is not known"));
                }
            }
        }
        match spec.goal {
            RolloutGoal::Forward | RolloutGoal::Finish => {}
            RolloutGoal::Paused | RolloutGoal::Back => {
                return self.set_phase(RolloutPhase::Planned, "the operator does not want it to begin");
            }
        }
        if let Some(reason) = &observed.quota_shortage {
            return self.set_phase(RolloutPhase::Planned, reason);
        }
        self.status = RolloutStatus {
            phase: RolloutPhase::Growing,
            old: Some(spec.old.clone()),
            new: Some(spec.new.clone()),
            request_no: spec.request_no,
            failure_counts: FailureCounts::start_counting(observed),
            ..RolloutStatus::default()
        };
        // New replicas that are already bound stay, up to the step's target.
        self.status.allowed_new.0 = observed.new.replicas.keys().copied().collect();
    }

    fn allowed_old(&self) -> BTreeSet<u32> {
        allowed_old(&self.status, self.observed)
    }

    /// Returns the allowed new replicas that count as capacity.
    fn serving_new(&self) -> BTreeSet<u32> {
        self.observed.new.serving(&self.status.allowed_new.0)
    }

    /// Returns the allowed new replicas that have run for `ready_s` and may replace old ones.
    fn ready_new(&self) -> BTreeSet<u32> {
        self.observed.new.running_for(&self.status.allowed_new.0, self.spec.ready_s())
    }

    /// Allows old replicas that were to stop to run again in place of lost ones. Returns whether capacity is below the
    /// minimum.
    fn restore_capacity(&mut self) -> bool {
        let min_available = min_available(self.spec, &self.status, self.observed);
        let serving = count_serving(&self.status, self.observed);
        if serving >= min_available || self.observed.old.presence == JobPresence::Ended {
            return serving < min_available;
        }
        let (allowed, old, new) = (self.allowed_old(), &self.observed.old, &self.observed.new);
        // Only replicas known to be lost are replaced: a new leader, which has no heartbeats yet, would otherwise
        // restore old replicas each time.
        let remaining = old.count_not_lost(&allowed);
        let pending = allowed.len() - remaining;
        for _ in pending..min_available.saturating_sub(remaining + new.count_not_lost(&self.status.allowed_new.0)) {
            self.resume_old_replica();
        }
        true
    }

    /// Allows one more old replica to run: preferably one that is still running, otherwise the first that is not bound.
    fn resume_old_replica(&mut self) {
        let (status, old) = (&mut self.status, &self.observed.old);
        let preference = |i: &u32| match old.replicas.get(i) {
            Some(r) if r.confirmed_running && !r.stopping => 0,
            None => 1,
            Some(_) => 2,
        };
        if let Some(index) = status.stopping_old.0.iter().copied().min_by_key(|i| (preference(i), *i)) {
            status.stopping_old.0.remove(&index);
        }
    }

    fn pause(&mut self, reason: &str) {
        self.set_phase(RolloutPhase::Paused, reason);
        self.restore_capacity();
    }

    fn roll_forward(&mut self, reason: &str) {
        let targets = self.spec.step_targets();
        let last_step = targets.len().saturating_sub(1) as u32;
        let old_ended = self.observed.old.presence == JobPresence::Ended;
        match self.status.phase {
            RolloutPhase::Done if old_ended || self.status.step >= last_step => return,
            RolloutPhase::GoingBack | RolloutPhase::Back => {
                // Continue at the first step whose target covers the new replicas that are left.
                let remaining = self.status.allowed_new.0.len();
                self.status.step = targets.iter().take_while(|t| (**t as usize) < remaining).count() as u32;
                self.status.failure_counts = FailureCounts::start_counting(self.observed);
                self.set_phase(RolloutPhase::Growing, reason);
            }
            RolloutPhase::Paused => self.set_phase(RolloutPhase::Growing, reason),
            _ => {}
        }
        self.status.step = if old_ended { last_step } else { self.status.step.min(last_step) };
        let target = targets.get(self.status.step as usize).copied().unwrap_or(self.spec.replicas);
        // Once the old job has ended there is nothing to roll back to, so failures of the new version are ignored.
        if !old_ended && self.spec.goal != RolloutGoal::Finish {
            match self.status.failure_counts.evaluate_version(self.spec, self.observed, &self.status.allowed_new.0) {
                Some(VersionVerdict::NewVersionBad(reason)) => {
                    return self.roll_back(&format!("the new version is bad: {reason}"));
                }
                Some(VersionVerdict::BothVersionsFail(reason)) => {
                    return self.pause(&format!("both versions fail: {reason}"));
                }
                None => {}
            }
        }
        if !self.restore_capacity() {
            self.shrink_old(target);
            self.shrink_new(target);
        }
        if self.status.allowed_new.0.len() > target as usize {
            self.grow_old((self.spec.replicas - target) as usize);
        }
        self.grow_new(target);
        self.update_phase(target, last_step, reason);
    }

    /// Allows more new replicas to run, up to the step's target and within the surge.
    fn grow_new(&mut self, target: u32) {
        let (spec, observed) = (self.spec, self.observed);
        let max_total = (spec.replicas + spec.surge) as usize;
        let allowed = self.allowed_old();
        let old = if observed.old.presence == JobPresence::Ended {
            0
        } else {
            allowed.len() + observed.old.count_bound_not_allowed(&allowed)
        };
        let allowed_new = &mut self.status.allowed_new.0;
        while allowed_new.len() < target as usize
            && old + allowed_new.len() + observed.new.count_bound_not_allowed(allowed_new) < max_total
        {
            // A replica that is still being stopped cannot be placed again before it is gone.
            let is_free = |i: &u32| !allowed_new.contains(i) && !observed.new.replicas.contains_key(i);
            let Some(index) = (0..observed.new.tasks).find(is_free) else { break };
            allowed_new.insert(index);
        }
    }

    /// Allows old replicas to run again, up to the given number and within the surge.
    fn grow_old(&mut self, max_old: usize) {
        let max_total = (self.spec.replicas + self.spec.surge) as usize;
        let max_old = max_old.min(self.observed.old.tasks as usize);
        while self.allowed_old().len() < max_old
            && self.allowed_old().len() + self.status.allowed_new.0.len() < max_total
        {
            self.resume_old_replica();
        }
    }

    /// Stops new replicas beyond the step's target, which exist if some ran before the rollout or the specification was
    /// changed.
    fn shrink_new(&mut self, target: u32) {
        while self.status.allowed_new.0.len() > target as usize {
            let (serving, min_available) = (self.serving_new(), min_available(self.spec, &self.status, self.observed));
            let old = self.observed.old.serving(&self.allowed_old()).len();
            let has_spare = serving.len() + old > min_available;
            let candidate = self.status.allowed_new.0.iter().rev().copied().find(|i| has_spare || !serving.contains(i));
            let Some(index) = candidate else { return };
            self.status.allowed_new.0.remove(&index);
        }
    }

    /// Stops old replicas that are replaced by ready new ones: first those that do not serve, then those whose zone
    /// keeps another replica.
    fn shrink_old(&mut self, target: u32) {
        let (spec, observed) = (self.spec, self.observed);
        let ready = self.ready_new();
        // In place, an old replica stops before its replacement starts.
        let replaced = (ready.len() as u32 + u32::from(spec.surge == 0)).min(target);
        let min_old = spec.replicas.saturating_sub(replaced) as usize;
        let is_unproven = self.is_unproven();
        loop {
            let allowed = self.allowed_old();
            if allowed.len() <= min_old {
                return;
            }
            let serving = observed.old.serving(&allowed);
            let has_spare = serving.len() + ready.len() > spec.min_available() as usize;
            let is_last_in_zone =
                |i: &u32| serving.iter().all(|o| o == i || observed.old.zone(*o) != observed.old.zone(*i));
            let has_new_in_zone = |i: &u32| ready.iter().any(|n| observed.new.zone(*n) == observed.old.zone(*i));
            let can_stop = |i: &u32| {
                !serving.contains(i) || (has_spare && !(is_unproven && is_last_in_zone(i) && !has_new_in_zone(i)))
            };
            let stop_order =
                |i: &u32| (serving.contains(i), is_last_in_zone(i) && !has_new_in_zone(i), std::cmp::Reverse(*i));
            let Some(index) = allowed.iter().copied().filter(can_stop).min_by_key(stop_order) else { return };
            self.status.stopping_old.0.insert(index);
        }
    }

    /// Returns whether the new version has not yet run long enough to be trusted, or has failed in this step and is not
    /// fully ready again.
    fn is_unproven(&self) -> bool {
        let allowed = &self.status.allowed_new.0;
        let proven_after_s = self.spec.ready_s() + self.spec.hold_s;
        let proven = self.status.step > 0 || !self.observed.new.running_for(allowed, proven_after_s).is_empty();
        !proven || (self.status.failure_counts.new > 0 && self.ready_new().len() < allowed.len())
    }

    /// Updates the phase, and advances to the next step once the current one has held for `hold_s`.
    fn update_phase(&mut self, target: u32, last_step: u32, reason: &str) {
        let (spec, observed) = (self.spec, self.observed);
        let ready = self.ready_new();
        let allowed_old = self.allowed_old();
        // A new leader has no heartbeats at first; that must not restart the hold time.
        let may_be_running = |i: &u32| observed.new.replicas.get(i).is_some_and(ObservedReplica::may_be_running);
        let was_holding =
            self.status.phase == RolloutPhase::Holding && self.status.allowed_new.0.iter().all(may_be_running);
        let ready_count = if was_holding { self.status.allowed_new.0.len() } else { ready.len() };
        if ready_count < target as usize || self.status.allowed_new.0.len() > target as usize {
            let missing = self.status.allowed_new.0.difference(&ready).map(|i| observed.new.replicas.get(i));
            let missing: Vec<_> = missing.collect();
            let fetching = missing.iter().any(Option::is_some) && missing.iter().flatten().all(|r| !r.running);
            let waiting_reason = if missing.contains(&None) { "a replica waits for a machine" } else { "" };
            let phase = if fetching { RolloutPhase::Fetching } else { RolloutPhase::Growing };
            return self.set_phase(phase, if reason.is_empty() { waiting_reason } else { reason });
        }
        let has_surplus_old = allowed_old.len() > (spec.replicas - target) as usize;
        let kept_for_zones = has_surplus_old && self.status.step < last_step && self.is_unproven();
        if (has_surplus_old && !kept_for_zones)
            || (observed.old.presence != JobPresence::Ended && observed.old.count_bound_not_allowed(&allowed_old) > 0)
        {
            return self.set_phase(RolloutPhase::Shrinking, reason);
        }
        if self.status.phase != RolloutPhase::Holding {
            return self.set_phase(RolloutPhase::Holding, reason);
        }
        let held_s = observed.now_ms.saturating_sub(self.status.since_ms) as f64 / 1000.0;
        if held_s >= spec.hold_s && ready.len() >= target as usize {
            if self.status.step >= last_step {
                return self.set_phase(RolloutPhase::Done, reason);
            }
            self.status.step += 1;
            self.status.failure_counts = FailureCounts::start_counting(observed);
            self.set_phase(RolloutPhase::Growing, reason);
        }
    }

    /// Rolls back to the old version with the same capacity guarantee. New replicas that are not running are stopped at
    /// once, since they provide no capacity.
    fn roll_back(&mut self, reason: &str) {
        let (spec, observed) = (self.spec, self.observed);
        if self.status.phase == RolloutPhase::Back {
            return;
        }
        self.set_phase(RolloutPhase::GoingBack, reason);
        let new_ended = observed.new.presence == JobPresence::Ended;
        let may_be_running = |i: &u32| observed.new.replicas.get(i).is_some_and(ObservedReplica::may_be_running);
        self.status.allowed_new.0.retain(|i| !new_ended && may_be_running(i));
        self.grow_old(spec.replicas as usize);
        let min_available = min_available(spec, &self.status, observed);
        let ready = observed.old.running_for(&self.allowed_old(), spec.ready_s());
        loop {
            let serving = self.serving_new();
            let is_last_in_zone =
                |i: &u32| serving.iter().all(|o| o == i || observed.new.zone(*o) != observed.new.zone(*i));
            let candidate = serving.iter().copied().min_by_key(|i| (is_last_in_zone(i), std::cmp::Reverse(*i)));
            let Some(index) = candidate.filter(|_| serving.len() + ready.len() > min_available) else { break };
            self.status.allowed_new.0.remove(&index);
        }
        if self.status.allowed_new.0.is_empty() && ready.len() >= min_available {
            self.set_phase(RolloutPhase::Back, reason);
        }
    }
}
