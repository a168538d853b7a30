//! Implementation of the declaration logic for rollouts.

use super::describe::describe_rollout;
use super::events::{RolloutEvent, status_events};
use super::intents::replica_intents;
use super::observe::observe_rollout;
use super::spec::{RolloutGoal, RolloutSpec};
use super::status::{RolloutPhase, RolloutStatus};
use super::step::decide_rollout;
use crate::declarations::{DeclarationKind, DeclarationLogic, DeclarationView, KnownNames, SpecError, VerbOutcome};
use crate::scheduling::intents::Intents;

/// Declaration logic of rollouts.
pub struct Rollout;

impl DeclarationLogic for Rollout {
    const KIND: DeclarationKind = DeclarationKind::Rollout;
    type Spec = RolloutSpec;
    type Status = RolloutStatus;
    type Event = RolloutEvent;

    fn check_spec(spec: &RolloutSpec, _: &KnownNames) -> Result<(), SpecError> {
        spec.check()
    }

    fn next_status(
        name: &str,
        spec: &RolloutSpec,
        status: &RolloutStatus,
        view: &DeclarationView,
    ) -> Option<RolloutStatus> {
        if !view.cluster.loaded {
            return None;
        }
        decide_rollout(spec, status, &observe_rollout(name, spec, status, view))
    }

    fn add_intents(
        name: &str,
        spec: &RolloutSpec,
        status: &RolloutStatus,
        view: &DeclarationView,
        intents: &mut Intents,
    ) {
        let observed = observe_rollout(name, spec, status, view);
        let jobs = status.jobs(spec);
        for (job, replicas) in jobs.into_iter().zip(replica_intents(spec, status, &observed)) {
            if let Some(replicas) = replicas {
                intents.replicas.insert(job.clone(), replicas);
            }
        }
    }

    fn describe(name: &str, spec: &RolloutSpec, status: &RolloutStatus, now_ms: u64) -> Vec<String> {
        describe_rollout(name, spec, status, now_ms)
    }

    fn status_events(before: &RolloutStatus, after: &RolloutStatus) -> Vec<RolloutEvent> {
        status_events(before, after)
    }

    fn apply_verb(
        verb: &str,
        spec: &RolloutSpec,
        status: &RolloutStatus,
        _: u64,
    ) -> Result<VerbOutcome<RolloutSpec>, SpecError> {
        let with_goal = |goal| Ok(VerbOutcome { spec: spec.with_goal(goal), cancel: None });
        match verb {
            "pause" => with_goal(RolloutGoal::Paused),
            "resume" => with_goal(RolloutGoal::Forward),
            "back" if spec.goal == RolloutGoal::Finish => {
                Err(SpecError::new("wanted", "finished: its old job is withdrawn"))
            }
            "back" => with_goal(RolloutGoal::Back),
            // A rollout with the goal `Back` may already have begun its rollback.
            "finish" if status.phase == RolloutPhase::Done && spec.goal != RolloutGoal::Back => {
                Ok(VerbOutcome { spec: spec.with_goal(RolloutGoal::Finish), cancel: status.old.clone() })
            }
            "finish" => {
                let phase = status.phase.as_str();
                let reason = format!("{phase}: the old version may have replicas left, it is not withdrawn");
                Err(SpecError::new("phase", reason))
            }
            other => Err(SpecError::new("verb", format!("{other:?} is none of pause, resume, back, finish"))),
        }
    }
}
