//! Attribution of replica failures during a rollout: to the new version, to machines, or to a cause that affects the
//! old version as well.

use super::observation::RolloutObservation;
use super::spec::{MAX_FAILED_MACHINES, RolloutSpec};
use super::status::{FailedMachine, FailureCounts};

/// Minimum number of failures of the old version for both versions to count as failing. The old version must also have
/// failed at least half as often as the new one.
const MIN_OLD_FAILURES: u64 = 2;

/// Reason why a step of a rollout must not continue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VersionVerdict {
    /// The new version is bad, for the given reason.
    NewVersionBad(String),
    /// Both versions fail, for the given reason, which justifies neither a rollback nor continuing.
    BothVersionsFail(String),
}

impl FailureCounts {
    /// Returns the counts of a step that begins now: failures reported so far do not count against it.
    pub fn start_counting(observed: &RolloutObservation) -> Self {
        let (counted_new, counted_old) = (observed.new.failures, observed.old.failures);
        Self { fencing_token: observed.fencing_token, counted_new, counted_old, ..Self::default() }
    }

    /// Adds the failures since the last evaluation. A new leader's own count starts at zero, so no failure is counted
    /// twice; failures that an earlier leader received but did not store are lost.
    pub fn add_failures(&mut self, observed: &RolloutObservation) {
        let same_leader = self.fencing_token == observed.fencing_token;
        let uncounted = |all: u64, counted: u64| if same_leader { all.saturating_sub(counted) } else { all };
        let new = uncounted(observed.new.failures, self.counted_new);
        let old = uncounted(observed.old.failures, self.counted_old);
        if new + old > 0 {
            (self.new, self.old) = (self.new + new, self.old + old);
            (self.fencing_token, self.counted_new, self.counted_old) =
                (observed.fencing_token, observed.new.failures, observed.old.failures);
        }
        for failed in observed.new.recent_failures.iter().rev().take(new as usize) {
            let is_new = self.failed_on.iter().all(|other| other.machine != failed.machine);
            if self.failed_on.len() < MAX_FAILED_MACHINES as usize && is_new {
                self.failed_on.push(failed.clone());
            }
        }
        // On a machine where other jobs fail as well, the failure is attributed to the machine. The mark is kept after
        // the machine is returned.
        for failed in &mut self.failed_on {
            failed.faulty |= observed.quarantined.contains(&failed.machine);
        }
    }

    /// Evaluates the new version by the failures so far in this step. Returns `None` if the step may continue.
    pub fn evaluate_version(
        &self,
        spec: &RolloutSpec,
        observed: &RolloutObservation,
        allowed_new: &std::collections::BTreeSet<u32>,
    ) -> Option<VersionVerdict> {
        let on_sound_machines: Vec<&FailedMachine> = self.failed_on.iter().filter(|f| !f.faulty).collect();
        let criteria = &spec.bad;
        let overdue = observed.new.replicas.iter().filter(|(i, r)| {
            allowed_new.contains(i)
                && r.machine_responsive
                && !r.running
                && !r.stopping
                && r.bound_s >= criteria.not_running_s
        });
        let overdue: std::collections::BTreeSet<&str> = overdue.map(|(_, r)| r.machine.as_str()).collect();
        // A single machine may be the cause, unless only one replica is allowed and there is none to compare it with.
        if !overdue.is_empty() && overdue.len() >= allowed_new.len().min(2) {
            let reason = format!("{} of its replicas did not run within {} s", overdue.len(), criteria.not_running_s);
            return Some(VersionVerdict::NewVersionBad(reason));
        }
        let reason = if on_sound_machines.len() >= criteria.failures as usize {
            let machine_types: std::collections::BTreeSet<&str> =
                on_sound_machines.iter().map(|f| f.type_name.as_str()).collect();
            let common_type =
                machine_types.first().filter(|_| machine_types.len() == 1).map(|t| format!(", all of type {t}"));
            format!("failed on {} different machines{}", on_sound_machines.len(), common_type.unwrap_or_default())
        } else if self.new >= u64::from(criteria.restarts) && self.failed_on.len() >= 2 {
            format!("its replicas failed {} times", self.new)
        } else if observed.new.quarantined && self.new > 0 {
            "failed wherever it was tried".to_owned()
        } else {
            return None;
        };
        if self.old >= MIN_OLD_FAILURES && self.old * 2 >= self.new {
            return Some(VersionVerdict::BothVersionsFail(format!(
                "{reason}, and the old one failed {} times meanwhile",
                self.old
            )));
        }
        Some(VersionVerdict::NewVersionBad(reason))
    }
}
