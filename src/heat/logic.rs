//! Heat rules and readings as kinds of declarations.

use super::backlog::Backlog;
use super::decide::{HeatStatus, decide_heat};
use super::describe::{describe_reading, describe_rule};
use super::events::{HeatEvent, status_events};
use super::readings::Reading;
use super::rule::{HeatRule, MAX_PART};
use crate::declarations::{DeclarationKind, DeclarationLogic, DeclarationView, KnownNames, NoEvent, SpecError};
use crate::scheduling::intents::{Intents, PriorityBoost};

impl DeclarationLogic for HeatRule {
    const KIND: DeclarationKind = DeclarationKind::Heat;
    type Spec = HeatRule;
    type Status = HeatStatus;
    type Event = HeatEvent;

    fn check_spec(spec: &HeatRule, names: &KnownNames) -> Result<(), SpecError> {
        let teams: Vec<&str> = names.teams.iter().map(|team| team.name.as_str()).collect();
        spec.check(&names.classes, &teams)
    }

    fn next_status(_: &str, spec: &HeatRule, status: &HeatStatus, view: &DeclarationView) -> Option<HeatStatus> {
        let readings: Vec<Reading> =
            spec.sensors.iter().filter_map(|name| Some(view.registry.spec::<Reading>(name)?.value)).collect();
        decide_heat(spec, status, readings.iter(), view.fencing_token, view.now_ms)
            .or_else(|| report_backlog(spec, status, view))
    }

    /// Of several rules that apply, all work that any of them names goes ahead, up to the largest part that one of them
    /// states, so that no rule takes more from others than they have been told of.
    fn add_intents(_: &str, spec: &HeatRule, status: &HeatStatus, view: &DeclarationView, intents: &mut Intents) {
        if !status.applies_at(view.now_ms) {
            return;
        }
        let before = intents.priority_boost.take();
        let most_part = before.as_ref().map_or(0.0, |ahead| ahead.max_core_share).max(spec.most_part.min(MAX_PART));
        let mut names = before.map(|ahead| ahead.names).unwrap_or_default();
        names.extend(spec.named_work());
        intents.priority_boost = Some(PriorityBoost { names, max_core_share: most_part });
    }

    fn describe(_: &str, spec: &HeatRule, status: &HeatStatus, now_ms: u64) -> Vec<String> {
        describe_rule(spec, status, now_ms)
    }

    fn status_events(before: &HeatStatus, after: &HeatStatus) -> Vec<HeatEvent> {
        status_events(before, after)
    }
}

/// The status with a new report of its waiting jobs, if one is due.
fn report_backlog(spec: &HeatRule, status: &HeatStatus, view: &DeclarationView) -> Option<HeatStatus> {
    if !status.applies_at(view.now_ms) || !view.cluster.loaded {
        return None;
    }
    let backlog = Backlog::count(view.cluster, &spec.named_work(), view.now, view.now_ms);
    let next = Backlog::next(status.backlog.as_ref(), backlog)?;
    Some(HeatStatus { backlog: Some(next), ..status.clone() })
}

/// A reading has no status: rules use the specs.
impl DeclarationLogic for Reading {
    const KIND: DeclarationKind = DeclarationKind::Reading;
    type Spec = Reading;
    type Status = ();
    type Event = NoEvent;

    fn check_spec(spec: &Reading, _: &KnownNames) -> Result<(), SpecError> {
        if !spec.is_plausible() {
            return Err(SpecError::new("value", format!("{} is no reading", spec.value)));
        }
        Ok(())
    }

    fn next_status(_: &str, _: &Reading, _: &(), _: &DeclarationView) -> Option<()> {
        None
    }

    fn add_intents(_: &str, _: &Reading, _: &(), _: &DeclarationView, _: &mut Intents) {}

    fn describe(_: &str, spec: &Reading, _: &(), now_ms: u64) -> Vec<String> {
        vec![describe_reading(spec, now_ms)]
    }

    fn status_events(_: &(), _: &()) -> Vec<NoEvent> {
        Vec::new()
    }
}
