//! Whether failures of new replicas are due to the new version, to machines, or to something by which old replicas
//! fail as often.

use super::observation::RolloutObservation;
use super::spec::{MAX_MACHINES, RolloutSpec};
use super::status::{FailedMachine, FailureCounts};

/// The old version fails alike if it fails at least half as often as the new one, and so often.
const OLD_FAILS_TOO: u64 = 2;

/// Why a step of a rollout is not to go on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VersionVerdict {
    /// The new version is bad, and why.
    Version(String),
    /// Old and new fail alike: neither a reason to go back nor one to go on.
    Both(String),
}

impl FailureCounts {
    /// Nothing is held against a step that begins now.
    pub fn start_counting(seen: &RolloutObservation) -> Self {
        let (counted_new, counted_old) = (seen.new.failures, seen.old.failures);
        Self { fencing_token: seen.fencing_token, counted_new, counted_old, ..Self::default() }
    }

    /// Adds what has failed since the last evaluation. A leader counts from none, so that nothing is counted
    /// twice, and what an earlier leader heard and did not store is lost.
    pub fn add_failures(&mut self, seen: &RolloutObservation) {
        let same = self.fencing_token == seen.fencing_token;
        let since = |all: u64, counted: u64| if same { all.saturating_sub(counted) } else { all };
        let new = since(seen.new.failures, self.counted_new);
        let old = since(seen.old.failures, self.counted_old);
        if new + old > 0 {
            (self.new, self.old) = (self.new + new, self.old + old);
            (self.fencing_token, self.counted_new, self.counted_old) =
                (seen.fencing_token, seen.new.failures, seen.old.failures);
        }
        for failed in seen.new.failed_lately.iter().rev().take(new as usize) {
            let is_new = self.failed_on.iter().all(|other| other.machine != failed.machine);
            if self.failed_on.len() < MAX_MACHINES as usize && is_new {
                self.failed_on.push(failed.clone());
            }
        }
        // Where other work fails as well, the machine explains it, also once it is given up.
        for on in &mut self.failed_on {
            on.faulty |= seen.quarantined.contains(&on.machine);
        }
    }

    /// What has failed so far in this step.
    pub fn judge_version(
        &self,
        spec: &RolloutSpec,
        seen: &RolloutObservation,
        allowed_new: &std::collections::BTreeSet<u32>,
    ) -> Option<VersionVerdict> {
        let sound: Vec<&FailedMachine> = self.failed_on.iter().filter(|f| !f.faulty).collect();
        let bad = &spec.bad;
        let late = seen.new.replicas.iter().filter(|(i, r)| {
            allowed_new.contains(i) && r.heard && !r.running && !r.stopping && r.bound_s >= bad.not_running_s
        });
        let late: std::collections::BTreeSet<&str> = late.map(|(_, r)| r.machine.as_str()).collect();
        // One machine may be the reason, unless there is no other to compare it with.
        if !late.is_empty() && late.len() >= allowed_new.len().min(2) {
            let reason = format!("{} of its replicas did not run within {} s", late.len(), bad.not_running_s);
            return Some(VersionVerdict::Version(reason));
        }
        let reason = if sound.len() >= bad.failures as usize {
            let types: std::collections::BTreeSet<&str> = sound.iter().map(|f| f.type_name.as_str()).collect();
            let one = types.first().filter(|_| types.len() == 1).map(|t| format!(", all of type {t}"));
            format!("failed on {} different machines{}", sound.len(), one.unwrap_or_default())
        } else if self.new >= u64::from(bad.restarts) && self.failed_on.len() >= 2 {
            format!("its replicas failed {} times", self.new)
        } else if seen.new.quarantined && self.new > 0 {
            "failed wherever it was tried".to_owned()
        } else {
            return None;
        };
        if self.old >= OLD_FAILS_TOO && self.old * 2 >= self.new {
            return Some(VersionVerdict::Both(format!(
                "{reason}, and the old one failed {} times meanwhile",
                self.old
            )));
        }
        Some(VersionVerdict::Version(reason))
    }
}
