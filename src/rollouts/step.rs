//! The next step of a rollout: a pure function of the spec, the status as stored and what the leader observes.
//!
//! A replica that is meant to stop never counts as capacity, whether or not it was stopped yet; so it does not matter
//! when, or by which leader, the stop is carried out. A replica is chosen to stop only while enough others, which are
//! not, are certain to run.

use std::collections::BTreeSet;

use super::observation::{JobPresence, ObservedReplica, RolloutObservation};
use super::spec::{RolloutGoal, RolloutSpec};
use super::status::{FailureCounts, RolloutPhase, RolloutStatus};
use super::version_verdict::VersionVerdict;

/// The next status, or none if it stays.
pub fn decide(spec: &RolloutSpec, status: &RolloutStatus, seen: &RolloutObservation) -> Option<RolloutStatus> {
    let mut decision = StepDecision { spec, seen, status: status.clone() };
    decision.advance();
    let mut next = decision.status;
    // A clock that was set back would make a step hold for hours.
    if next.phase != status.phase || next.step != status.step || next.since_ms > seen.now_ms {
        next.since_ms = seen.now_ms;
    }
    if next == *status {
        return None;
    }
    next.fencing_token = seen.fencing_token;
    Some(next)
}

struct StepDecision<'a> {
    spec: &'a RolloutSpec,
    seen: &'a RolloutObservation,
    status: RolloutStatus,
}

/// The old replicas that may run.
pub fn allowed_old(status: &RolloutStatus, seen: &RolloutObservation) -> BTreeSet<u32> {
    (0..seen.old.tasks).filter(|i| !status.stopping_old.0.contains(i)).collect()
}

/// The replicas of both versions that count as capacity.
pub fn count_serving(status: &RolloutStatus, seen: &RolloutObservation) -> usize {
    seen.old.serving(&allowed_old(status, seen)).len() + seen.new.serving(&status.allowed_new.0).len()
}

/// Replicas that have to run at every moment: on the way back no more than the old job has.
pub fn min_available(spec: &RolloutSpec, status: &RolloutStatus, seen: &RolloutObservation) -> usize {
    let min_available = spec.min_available();
    let back = matches!(status.phase, RolloutPhase::GoingBack | RolloutPhase::Back);
    (if back { min_available.min(seen.old.tasks) } else { min_available }) as usize
}

impl StepDecision<'_> {
    fn advance(&mut self) {
        let new_request = self.status.request_no != self.spec.request_no;
        self.status.request_no = self.spec.request_no;
        if !self.status.phase.begun() {
            // What is over stays so, unless the spec names other jobs by now.
            let jobs = [Some(&self.spec.old), Some(&self.spec.new)];
            if self.status.phase != RolloutPhase::Ended || [self.status.old.as_ref(), self.status.new.as_ref()] != jobs
            {
                self.start_if_ready();
            }
            return;
        }
        if let Some(reason) = &self.seen.conflict {
            return self.set_phase(RolloutPhase::Refused, reason);
        }
        self.status.failure_counts.add_failures(self.seen);
        let (old_over, new_over) =
            (self.seen.old.known == JobPresence::Ended, self.seen.new.known == JobPresence::Ended);
        if old_over && new_over {
            return self.set_phase(RolloutPhase::Ended, "both jobs are over");
        }
        if new_over {
            return self.roll_back("the new version's job is over");
        }
        if old_over {
            return self.roll_forward("the old version's job is over");
        }
        let phase = self.status.phase;
        let turned = matches!(phase, RolloutPhase::GoingBack | RolloutPhase::Back);
        match self.spec.goal {
            RolloutGoal::Back => self.roll_back("the operator wants it"),
            RolloutGoal::Paused if turned && phase == RolloutPhase::Back || phase == RolloutPhase::Done => {}
            RolloutGoal::Paused => self.pause("the operator wants it"),
            // What it decided by itself stands until the operator says something new.
            RolloutGoal::Forward | RolloutGoal::Finish if turned && !new_request => {
                let reason = self.status.reason.clone();
                self.roll_back(&reason);
            }
            RolloutGoal::Forward | RolloutGoal::Finish if phase == RolloutPhase::Paused && !new_request => {
                let reason = self.status.reason.clone();
                self.pause(&reason);
            }
            RolloutGoal::Forward | RolloutGoal::Finish => {
                if new_request {
                    self.status.failure_counts = FailureCounts::start_counting(self.seen);
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

    /// Starts the rollout, or says what is missing.
    fn start_if_ready(&mut self) {
        let (spec, seen) = (self.spec, self.seen);
        if let Some(reason) = &seen.conflict {
            return self.set_phase(RolloutPhase::Refused, reason);
        }
        for (side, field, id) in [(&seen.old, "old", &spec.old), (&seen.new, "new", &spec.new)] {
            match side.known {
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
        if let Some(reason) = &seen.quota_shortage {
            return self.set_phase(RolloutPhase::Planned, reason);
        }
        self.status = RolloutStatus {
            phase: RolloutPhase::Growing,
            old: Some(spec.old.clone()),
            new: Some(spec.new.clone()),
            request_no: spec.request_no,
            failure_counts: FailureCounts::start_counting(seen),
            ..RolloutStatus::default()
        };
        // What of the new version runs already stays as far as it is wanted.
        self.status.allowed_new.0 = seen.new.replicas.keys().copied().collect();
    }

    fn allowed_old(&self) -> BTreeSet<u32> {
        allowed_old(&self.status, self.seen)
    }

    fn live_new(&self) -> BTreeSet<u32> {
        self.seen.new.serving(&self.status.allowed_new.0)
    }

    fn settled_new(&self) -> BTreeSet<u32> {
        self.seen.new.running_for(&self.status.allowed_new.0, self.spec.ready_s())
    }

    /// Lets old replicas that were meant to stop run again where others were lost. True while fewer run than have to.
    fn restore_capacity(&mut self) -> bool {
        let min_available = min_available(self.spec, &self.status, self.seen);
        let serving = count_serving(&self.status, self.seen);
        if serving >= min_available || self.seen.old.known == JobPresence::Ended {
            return serving < min_available;
        }
        let (may, old, new) = (self.allowed_old(), &self.seen.old, &self.seen.new);
        // What is not known to be lost is not made up for: a new leader would bring back old ones each time.
        let left = old.count_not_lost(&may);
        let coming = may.len() - left;
        for _ in coming..min_available.saturating_sub(left + new.count_not_lost(&self.status.allowed_new.0)) {
            self.unmark_old();
        }
        true
    }

    /// One more old replica may run: one that still does, if there is one, or else the first that has no
    /// machine.
    fn unmark_old(&mut self) {
        let (status, old) = (&mut self.status, &self.seen.old);
        let worth = |i: &u32| match old.replicas.get(i) {
            Some(r) if r.sure && !r.stopping => 0,
            None => 1,
            Some(_) => 2,
        };
        if let Some(index) = status.stopping_old.0.iter().copied().min_by_key(|i| (worth(i), *i)) {
            status.stopping_old.0.remove(&index);
        }
    }

    fn pause(&mut self, reason: &str) {
        self.set_phase(RolloutPhase::Paused, reason);
        self.restore_capacity();
    }

    fn roll_forward(&mut self, reason: &str) {
        let targets = self.spec.targets();
        let last = targets.len().saturating_sub(1) as u32;
        let old_over = self.seen.old.known == JobPresence::Ended;
        match self.status.phase {
            RolloutPhase::Done if old_over || self.status.step >= last => return,
            RolloutPhase::GoingBack | RolloutPhase::Back => {
                // The first step that has as many as are left of the new version.
                let left = self.status.allowed_new.0.len();
                self.status.step = targets.iter().take_while(|t| (**t as usize) < left).count() as u32;
                self.status.failure_counts = FailureCounts::start_counting(self.seen);
                self.set_phase(RolloutPhase::Growing, reason);
            }
            RolloutPhase::Paused => self.set_phase(RolloutPhase::Growing, reason),
            _ => {}
        }
        self.status.step = if old_over { last } else { self.status.step.min(last) };
        let target = targets.get(self.status.step as usize).copied().unwrap_or(self.spec.replicas);
        // With the old job over there is nothing to go back to, whatever speaks against the new one.
        if !old_over && self.spec.goal != RolloutGoal::Finish {
            match self.status.failure_counts.judge_version(self.spec, self.seen, &self.status.allowed_new.0) {
                Some(VersionVerdict::Version(reason)) => {
                    return self.roll_back(&format!("the new version is bad: {reason}"));
                }
                Some(VersionVerdict::Both(reason)) => return self.pause(&format!("both versions fail: {reason}")),
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
        self.update_phase(target, last, reason);
    }

    fn grow_new(&mut self, target: u32) {
        let (spec, seen) = (self.spec, self.seen);
        let most = (spec.replicas + spec.surge) as usize;
        let may = self.allowed_old();
        let old = if seen.old.known == JobPresence::Ended { 0 } else { may.len() + seen.old.count_leaving(&may) };
        let allowed_new = &mut self.status.allowed_new.0;
        while allowed_new.len() < target as usize
            && old + allowed_new.len() + seen.new.count_leaving(allowed_new) < most
        {
            // One that is still being stopped would first have to be gone.
            let free = |i: &u32| !allowed_new.contains(i) && !seen.new.replicas.contains_key(i);
            let Some(index) = (0..seen.new.tasks).find(free) else { break };
            allowed_new.insert(index);
        }
    }

    /// Lets old replicas run again, up to so many, within the surge.
    fn grow_old(&mut self, most: usize) {
        let capacity = (self.spec.replicas + self.spec.surge) as usize;
        let most = most.min(self.seen.old.tasks as usize);
        while self.allowed_old().len() < most && self.allowed_old().len() + self.status.allowed_new.0.len() < capacity {
            self.unmark_old();
        }
    }

    /// Stops new replicas beyond the step's target: some ran before the rollout, or the spec was changed.
    fn shrink_new(&mut self, target: u32) {
        while self.status.allowed_new.0.len() > target as usize {
            let (live, min_available) = (self.live_new(), min_available(self.spec, &self.status, self.seen));
            let old = self.seen.old.serving(&self.allowed_old()).len();
            let spare = live.len() + old > min_available;
            let pick = self.status.allowed_new.0.iter().rev().copied().find(|i| spare || !live.contains(i));
            let Some(index) = pick else { return };
            self.status.allowed_new.0.remove(&index);
        }
    }

    /// Stops old replicas for new ones that have run for long enough: first those that do not run anyway, then those
    /// whose zone keeps another.
    fn shrink_old(&mut self, target: u32) {
        let (spec, seen) = (self.spec, self.seen);
        let settled = self.settled_new();
        // In place, one goes before a new one comes.
        let for_new = (settled.len() as u32 + u32::from(spec.surge == 0)).min(target);
        let keep = spec.replicas.saturating_sub(for_new) as usize;
        let is_unproven = self.is_unproven();
        loop {
            let may = self.allowed_old();
            if may.len() <= keep {
                return;
            }
            let live = seen.old.serving(&may);
            let spare = live.len() + settled.len() > spec.min_available() as usize;
            let last = |i: &u32| live.iter().all(|o| o == i || seen.old.zone(*o) != seen.old.zone(*i));
            let new_there = |i: &u32| settled.iter().any(|n| seen.new.zone(*n) == seen.old.zone(*i));
            let allowed = |i: &u32| !live.contains(i) || (spare && !(is_unproven && last(i) && !new_there(i)));
            let order = |i: &u32| (live.contains(i), last(i) && !new_there(i), std::cmp::Reverse(*i));
            let Some(index) = may.iter().copied().filter(allowed).min_by_key(order) else { return };
            self.status.stopping_old.0.insert(index);
        }
    }

    /// Whether the new version has not shown yet that it runs well, or has failed in this step.
    fn is_unproven(&self) -> bool {
        let may = &self.status.allowed_new.0;
        let long = self.spec.ready_s() + self.spec.hold_s;
        let proven = self.status.step > 0 || !self.seen.new.running_for(may, long).is_empty();
        !proven || (self.status.failure_counts.new > 0 && self.settled_new().len() < may.len())
    }

    /// Sets the phase, and the next step once this one has held for long enough.
    fn update_phase(&mut self, target: u32, last: u32, reason: &str) {
        let (spec, seen) = (self.spec, self.seen);
        let settled = self.settled_new();
        let allowed_old = self.allowed_old();
        // To a new leader all of them are unknown at first: that is no reason to hold anew.
        let may_run = |i: &u32| seen.new.replicas.get(i).is_some_and(ObservedReplica::may_run);
        let held = self.status.phase == RolloutPhase::Holding && self.status.allowed_new.0.iter().all(may_run);
        let runs = if held { self.status.allowed_new.0.len() } else { settled.len() };
        if runs < target as usize || self.status.allowed_new.0.len() > target as usize {
            let missing = self.status.allowed_new.0.difference(&settled).map(|i| seen.new.replicas.get(i));
            let missing: Vec<_> = missing.collect();
            let fetching = missing.iter().any(Option::is_some) && missing.iter().flatten().all(|r| !r.running);
            let waits = if missing.contains(&None) { "a replica waits for a machine" } else { "" };
            let phase = if fetching { RolloutPhase::Fetching } else { RolloutPhase::Growing };
            return self.set_phase(phase, if reason.is_empty() { waits } else { reason });
        }
        let left = allowed_old.len() > (spec.replicas - target) as usize;
        let zones = left && self.status.step < last && self.is_unproven();
        if (left && !zones) || (seen.old.known != JobPresence::Ended && seen.old.count_leaving(&allowed_old) > 0) {
            return self.set_phase(RolloutPhase::Shrinking, reason);
        }
        if self.status.phase != RolloutPhase::Holding {
            return self.set_phase(RolloutPhase::Holding, reason);
        }
        let held_s = seen.now_ms.saturating_sub(self.status.since_ms) as f64 / 1000.0;
        if held_s >= spec.hold_s && settled.len() >= target as usize {
            if self.status.step >= last {
                return self.set_phase(RolloutPhase::Done, reason);
            }
            self.status.step += 1;
            self.status.failure_counts = FailureCounts::start_counting(seen);
            self.set_phase(RolloutPhase::Growing, reason);
        }
    }

    /// Returns to the old version, with the same guarantees. New replicas that do not run are dropped at once, since
    /// they hold no capacity.
    fn roll_back(&mut self, reason: &str) {
        let (spec, seen) = (self.spec, self.seen);
        if self.status.phase == RolloutPhase::Back {
            return;
        }
        self.set_phase(RolloutPhase::GoingBack, reason);
        let new_over = seen.new.known == JobPresence::Ended;
        let may_run = |i: &u32| seen.new.replicas.get(i).is_some_and(ObservedReplica::may_run);
        self.status.allowed_new.0.retain(|i| !new_over && may_run(i));
        self.grow_old(spec.replicas as usize);
        let min_available = min_available(spec, &self.status, seen);
        let settled = seen.old.running_for(&self.allowed_old(), spec.ready_s());
        loop {
            let live = self.live_new();
            let last = |i: &u32| live.iter().all(|o| o == i || seen.new.zone(*o) != seen.new.zone(*i));
            let pick = live.iter().copied().min_by_key(|i| (last(i), std::cmp::Reverse(*i)));
            let Some(index) = pick.filter(|_| live.len() + settled.len() > min_available) else { break };
            self.status.allowed_new.0.remove(&index);
        }
        if self.status.allowed_new.0.is_empty() && settled.len() >= min_available {
            self.set_phase(RolloutPhase::Back, reason);
        }
    }
}
