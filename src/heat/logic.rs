//! Implementation of the declaration logic for heat rules and sensor readings.

use super::backlog::Backlog;
use super::decide::{HeatStatus, decide_heat};
use super::describe::{describe_reading, describe_rule};
use super::events::{HeatEvent, status_events};
use super::readings::Reading;
use super::rule::{HeatRule, MAX_CORE_SHARE};
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

    /// Merges the priority boosts of all rules that apply: the jobs named by any of them are boosted, up to the largest
    /// core share of a single rule rather than the sum, so that other jobs lose no more cores than one rule declares.
    fn add_intents(_: &str, spec: &HeatRule, status: &HeatStatus, view: &DeclarationView, intents: &mut Intents) {
        if !status.applies_at(view.now_ms) {
            return;
        }
        let before = intents.priority_boost.take();
        let max_core_share =
            before.as_ref().map_or(0.0, |boost| boost.max_core_share).max(spec.most_part.min(MAX_CORE_SHARE));
        let mut names = before.map(|boost| boost.names).unwrap_or_default();
        names.extend(spec.named_work());
        intents.priority_boost = Some(PriorityBoost { names, max_core_share });
    }

    fn describe(_: &str, spec: &HeatRule, status: &HeatStatus, now_ms: u64) -> Vec<String> {
        describe_rule(spec, status, now_ms)
    }

    fn status_events(before: &HeatStatus, after: &HeatStatus) -> Vec<HeatEvent> {
        status_events(before, after)
    }
}

/// Returns the status with an updated backlog, if a backlog report is due.
fn report_backlog(spec: &HeatRule, status: &HeatStatus, view: &DeclarationView) -> Option<HeatStatus> {
    if !status.applies_at(view.now_ms) || !view.cluster.loaded {
        return None;
    }
    let backlog = Backlog::count(view.cluster, &spec.named_work(), view.now, view.now_ms);
    let next = Backlog::next_report(status.backlog.as_ref(), backlog)?;
    Some(HeatStatus { backlog: Some(next), ..status.clone() })
}

/// Readings have no status: rules evaluate their specifications directly.
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
