//! What a rollout asks of placing and stopping, by its status as stored and what the leader sees now.

use std::collections::BTreeSet;

use super::observation::{Known, Observation, Side};
use super::spec::Spec;
use super::status::{Phase, Status};
use super::step::{may_old, min_available, serving};
use crate::scheduling::intents::Replicas;

/// What is asked for the old and for the new job.
pub fn asks(spec: &Spec, status: &Status, seen: &Observation) -> [Option<Replicas>; 2] {
    match status.phase {
        Phase::Refused | Phase::Ended => return [None, None],
        // Nothing of the new version is placed before the rollout has begun.
        Phase::Planned => {
            return [None, Some(Replicas { most: 0, stop: BTreeSet::new(), stay: false, ahead: false })];
        }
        _ => {}
    }
    // Nothing is known yet: nothing is placed or stopped before it is looked at again.
    if seen.old.known == Known::Unknown || seen.new.known == Known::Unknown {
        let nothing = Some(Replicas { most: 0, stop: BTreeSet::new(), stay: true, ahead: false });
        return [nothing.clone(), nothing];
    }
    let min_available = min_available(spec, status, seen);
    let serving = serving(status, seen);
    // What is meant to go does not count, and goes only while enough others do: looked at again at the
    // very moment, since machines may have been lost after it was decided.
    let stops = serving >= min_available && status.phase != Phase::Paused;
    let moving = !matches!(status.phase, Phase::Done | Phase::Back);
    let ahead = moving && serving < min_available.min(seen.old.tasks as usize);
    let ask = |side: &Side, may: &BTreeSet<u32>| {
        let beyond = (0..side.tasks).filter(|i| !may.contains(i));
        let (stop, kept): (BTreeSet<u32>, BTreeSet<u32>) =
            beyond.partition(|i| side.replicas.get(i).is_none_or(|r| stops || !r.running));
        let most = (may.len() + kept.len()) as u64;
        (side.known != Known::Over).then_some(Replicas { most, stop, stay: moving, ahead })
    };
    [ask(&seen.old, &may_old(status, seen)), ask(&seen.new, &status.may_new.0)]
}
