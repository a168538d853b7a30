//! A new version of a service takes the place of the old one in steps, without a gap (docs/rollouts.md).
//!
//! `spec` is what an operator declares, `status` what the leader stores; `look` reads both jobs off the
//! cluster state, `version_verdict` judges the new version, `step` decides what is next and `intents` what is asked of
//! placing and stopping. All of it is pure; the service never submits or cancels a job.

pub mod intents;
mod look;
pub mod observation;
pub mod spec;
pub mod status;
pub mod step;
#[cfg(test)]
mod tests;
pub mod version_verdict;

use tracing::Level;

use crate::declarations::{DeclarationKind, DeclarationLogic, DeclarationView, KnownNames, SpecError, VerbOutcome};
use crate::scheduling::intents::Intents;
use spec::{Spec, Wanted};
use status::{Phase, Status};

/// Rollouts, as something that operators declare.
pub struct Rollout;

impl DeclarationLogic for Rollout {
    const KIND: DeclarationKind = DeclarationKind::Rollout;
    type Spec = Spec;
    type Status = Status;

    fn check_spec(spec: &Spec, _: &KnownNames) -> Result<(), SpecError> {
        spec.check().map_err(|(field, why)| SpecError::new(field, why))
    }

    fn next_status(name: &str, spec: &Spec, status: &Status, view: &DeclarationView) -> Option<Status> {
        if !view.cluster.loaded {
            return None;
        }
        step::decide(spec, status, &look::look(name, spec, status, view))
    }

    fn add_intents(name: &str, spec: &Spec, status: &Status, view: &DeclarationView, intents: &mut Intents) {
        let seen = look::look(name, spec, status, view);
        let jobs = status.jobs(spec);
        for (job, ask) in jobs.into_iter().zip(intents::asks(spec, status, &seen)) {
            if let Some(ask) = ask {
                intents.replicas.insert(job.clone(), ask);
            }
        }
    }

    fn describe(name: &str, spec: &Spec, status: &Status, now_ms: u64) -> Vec<String> {
        let targets = spec.targets();
        let [old, new] = status.jobs(spec);
        let for_s = now_ms.saturating_sub(status.since_ms) / 1000;
        let why = if status.why.is_empty() { String::new() } else { format!(": {}", status.why) };
        let mut lines = vec![format!("{name}: {}{why}", status.phase.word())];
        if status.phase.begun() {
            let target = targets.get(status.step as usize).copied().unwrap_or(spec.replicas);
            let (step, steps, all) = (status.step + 1, targets.len(), spec.replicas);
            lines.push(format!(
                "  step {step} of {steps}, to {target} of {all} replicas, {} for {for_s} s",
                status.phase.word()
            ));
            lines.push(format!("  new {new}: may run {}", status.may_new));
            lines.push(format!("  old {old}: meant to go {}", status.go_old));
        } else {
            lines
                .push(format!("  {old} to {new}, {} replicas, steps {targets:?}, surge {}", spec.replicas, spec.surge));
        }
        if spec.surge == 0 {
            lines.push("  in place: one replica fewer than asked runs until each new one does".into());
        }
        let against = &status.against;
        if against.new > 0 {
            let (sound, most) = (against.failed_on.iter().filter(|f| !f.faulty).count(), spec.bad.failures);
            let (new, restarts, old) = (against.new, spec.bad.restarts, against.old);
            lines.push(format!(
                "  against it: {sound} of {most} machines, {new} of {restarts} failures; the old one's {old}"
            ));
        }
        if status.phase.begun() && [&spec.old, &spec.new] != [old, new] {
            lines.push(format!("  the spec names {} and {} by now: remove it first", spec.old, spec.new));
        }
        lines
    }

    fn status_events(name: &str, before: &Status, after: &Status) -> Vec<(Level, String)> {
        if (before.phase, before.step) == (after.phase, after.step) && before.why == after.why {
            return Vec::new();
        }
        let warn = matches!(after.phase, Phase::GoingBack | Phase::Refused | Phase::Paused)
            || (after.phase == Phase::Back && before.phase != Phase::GoingBack)
            || (after.phase == Phase::Planned && !after.why.is_empty());
        let why = if after.why.is_empty() { String::new() } else { format!(": {}", after.why) };
        let line = format!("rollout {name} step {} {}{why}", after.step + 1, after.phase.word());
        vec![(if warn { Level::WARN } else { Level::INFO }, line)]
    }

    fn apply_verb(verb: &str, spec: &Spec, status: &Status, _: u64) -> Result<VerbOutcome<Spec>, SpecError> {
        let said = |wanted| Ok(VerbOutcome { spec: spec.said(wanted), cancel: None });
        match verb {
            "pause" => said(Wanted::Paused),
            "resume" => said(Wanted::Forward),
            "back" if spec.wanted == Wanted::Finish => {
                Err(SpecError::new("wanted", "finished: its old job is withdrawn"))
            }
            "back" => said(Wanted::Back),
            // One that was told to go back may have begun to.
            "finish" if status.phase == Phase::Done && spec.wanted != Wanted::Back => {
                Ok(VerbOutcome { spec: spec.said(Wanted::Finish), cancel: status.old.clone() })
            }
            "finish" => {
                let why =
                    format!("{}: the old version may have replicas left, it is not withdrawn", status.phase.word());
                Err(SpecError::new("phase", why))
            }
            other => Err(SpecError::new("verb", format!("{other:?} is none of pause, resume, back, finish"))),
        }
    }
}
