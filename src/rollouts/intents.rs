//! Derives a rollout's intents for placing and stopping replicas from its stored status and the current observation.

use std::collections::BTreeSet;

use super::observation::{JobPresence, ObservedJob, RolloutObservation};
use super::spec::RolloutSpec;
use super::status::{RolloutPhase, RolloutStatus};
use super::step::{allowed_old, count_serving, min_available};
use crate::scheduling::intents::ReplicaIntent;

/// Returns the intents for the old and the new job.
pub fn replica_intents(
    spec: &RolloutSpec,
    status: &RolloutStatus,
    observed: &RolloutObservation,
) -> [Option<ReplicaIntent>; 2] {
    match status.phase {
        RolloutPhase::Refused | RolloutPhase::Ended => return [None, None],
        // No replica of the new version is placed before the rollout has begun.
        RolloutPhase::Planned => {
            return [
                None,
                Some(ReplicaIntent { max_bound: 0, stop: BTreeSet::new(), keep_in_place: false, prioritized: false }),
            ];
        }
        _ => {}
    }
    // While a job is unknown, nothing is placed or stopped until the next evaluation.
    if observed.old.presence == JobPresence::Unknown || observed.new.presence == JobPresence::Unknown {
        let no_change =
            Some(ReplicaIntent { max_bound: 0, stop: BTreeSet::new(), keep_in_place: true, prioritized: false });
        return [no_change.clone(), no_change];
    }
    let min_available = min_available(spec, status, observed);
    let serving = count_serving(status, observed);
    // Replicas that are to stop do not count as capacity and stop only while enough others serve. This is checked again
    // here, since machines may have been lost after the status was decided.
    let may_stop_running = serving >= min_available && status.phase != RolloutPhase::Paused;
    let in_progress = !matches!(status.phase, RolloutPhase::Done | RolloutPhase::Back);
    let prioritized = in_progress && serving < min_available.min(observed.old.tasks as usize);
    let job_intent = |job: &ObservedJob, allowed: &BTreeSet<u32>| {
        let not_allowed = (0..job.tasks).filter(|i| !allowed.contains(i));
        let (stop, kept_running): (BTreeSet<u32>, BTreeSet<u32>) =
            not_allowed.partition(|i| job.replicas.get(i).is_none_or(|r| may_stop_running || !r.running));
        let max_bound = (allowed.len() + kept_running.len()) as u64;
        (job.presence != JobPresence::Ended).then_some(ReplicaIntent {
            max_bound,
            stop,
            keep_in_place: in_progress,
            prioritized,
        })
    };
    [job_intent(&observed.old, &allowed_old(status, observed)), job_intent(&observed.new, &status.allowed_new.0)]
}
