//! What a rollout asks of placing and stopping, by its status as stored and what the leader sees now.

use std::collections::BTreeSet;

use super::observation::{JobPresence, ObservedJob, RolloutObservation};
use super::spec::RolloutSpec;
use super::status::{RolloutPhase, RolloutStatus};
use super::step::{allowed_old, count_serving, min_available};
use crate::scheduling::intents::ReplicaIntent;

/// What is asked for the old and for the new job.
pub fn replica_intents(
    spec: &RolloutSpec,
    status: &RolloutStatus,
    seen: &RolloutObservation,
) -> [Option<ReplicaIntent>; 2] {
    match status.phase {
        RolloutPhase::Refused | RolloutPhase::Ended => return [None, None],
        // Nothing of the new version is placed before the rollout has begun.
        RolloutPhase::Planned => {
            return [
                None,
                Some(ReplicaIntent { max_bound: 0, stop: BTreeSet::new(), keep_in_place: false, prioritized: false }),
            ];
        }
        _ => {}
    }
    // Nothing is known yet: nothing is placed or stopped before it is looked at again.
    if seen.old.known == JobPresence::Unknown || seen.new.known == JobPresence::Unknown {
        let nothing =
            Some(ReplicaIntent { max_bound: 0, stop: BTreeSet::new(), keep_in_place: true, prioritized: false });
        return [nothing.clone(), nothing];
    }
    let min_available = min_available(spec, status, seen);
    let serving = count_serving(status, seen);
    // What is meant to go does not count, and goes only while enough others do: looked at again at the
    // very moment, since machines may have been lost after it was decided.
    let stops = serving >= min_available && status.phase != RolloutPhase::Paused;
    let moving = !matches!(status.phase, RolloutPhase::Done | RolloutPhase::Back);
    let ahead = moving && serving < min_available.min(seen.old.tasks as usize);
    let ask = |side: &ObservedJob, may: &BTreeSet<u32>| {
        let beyond = (0..side.tasks).filter(|i| !may.contains(i));
        let (stop, kept): (BTreeSet<u32>, BTreeSet<u32>) =
            beyond.partition(|i| side.replicas.get(i).is_none_or(|r| stops || !r.running));
        let most = (may.len() + kept.len()) as u64;
        (side.known != JobPresence::Ended).then_some(ReplicaIntent {
            max_bound: most,
            stop,
            keep_in_place: moving,
            prioritized: ahead,
        })
    };
    [ask(&seen.old, &allowed_old(status, seen)), ask(&seen.new, &status.allowed_new.0)]
}
