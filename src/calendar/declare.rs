//! The calendar as one kind of what is declared.

use tracing::Level;

use super::intents::{Left, add_intents};
use super::jobs_by_window::{DeclaredWindow, JobsByWindow};
use super::spec::{Spec, date_of, day_of};
use super::status::{self, Status};
use super::step::{Facts, Fate, needs_s, next};
use crate::declarations::{DeclarationKind, DeclarationLogic, DeclarationView, KnownNames, SpecError, VerbOutcome};
use crate::jobs::{End, JobId};
use crate::scheduling::intents::Intents;

/// Planning windows, as something that operators declare.
pub struct Window;

/// What is known of a job that was accepted: one that is neither open nor known to have ended is over.
fn fate(view: &DeclarationView, id: &JobId) -> Fate {
    match ((view.ended)(id), view.cluster.job(id)) {
        (Some(End::Done), _) => Fate::Done {
            // However late its window's turn to be stored comes.
            at_ms: view.cluster.ended_at(id).map(|at| {
                let ago = view.now.saturating_duration_since(at).as_millis();
                view.now_ms.saturating_sub(u64::try_from(ago).unwrap_or(u64::MAX))
            }),
        },
        (Some(End::Cancelled), _) => Fate::Cancelled,
        (None, Some(job)) if job.ended.is_none() => Fate::Open {
            begun: job.untouched() < 1.0,
            at_ms: job.record.at_ms,
            needs_s: needs_s(job.agreement.run.as_secs_f64(), job.spec().image_gb),
        },
        (None, _) => {
            view.ask(id);
            Fate::Unknown
        }
    }
}

fn jobs_by_window<'v>(view: &'v DeclarationView) -> &'v JobsByWindow {
    view.jobs_by_window.get_or_init(|| {
        let declared_window = |(name, spec, _): (&str, Spec, u64)| {
            let status = view.registry.status::<Window>(name).map(|(status, _)| status).unwrap_or_default();
            DeclaredWindow::new(name, spec, status)
        };
        let windows: Vec<DeclaredWindow> = view.registry.specs::<Window>().map(declared_window).collect();
        let open = view.cluster.jobs().filter(|(_, job)| job.ended.is_none());
        JobsByWindow::of(&windows, open.map(|(_, job)| &job.record))
    })
}

impl DeclarationLogic for Window {
    const KIND: DeclarationKind = DeclarationKind::Window;
    type Spec = Spec;
    type Status = Status;

    fn check_spec(spec: &Spec, names: &KnownNames) -> Result<(), SpecError> {
        spec.check(names)
    }

    /// What was confirmed stays so. New times count from now on: what closed before is none of theirs.
    fn spec_to_store(spec: Spec, before: Option<&Spec>, now_ms: u64) -> Spec {
        let confirmed = before.and_then(|before| before.confirmed.clone());
        let since = before.filter(|before| before.when() == spec.when()).and_then(|before| before.declared_ms);
        Spec { confirmed: spec.confirmed.or(confirmed), declared_ms: since.or(Some(now_ms)), ..spec }
    }

    fn next_status(name: &str, spec: &Spec, status: &Status, view: &DeclarationView) -> Option<Status> {
        let facts =
            Facts { now_ms: view.now_ms, fate: &|id| fate(view, id), arrivals: jobs_by_window(view).arrivals(name) };
        let next = next(spec, status, &facts);
        (next != *status).then_some(next)
    }

    fn add_intents(name: &str, spec: &Spec, status: &Status, view: &DeclarationView, intents: &mut Intents) {
        let facts =
            Facts { now_ms: view.now_ms, fate: &|id| fate(view, id), arrivals: jobs_by_window(view).arrivals(name) };
        let (cpus, gpus) = view.cluster.usage.get(&spec.team).copied().unwrap_or_default();
        let within = |limit: f64, used: f64| if limit > 0.0 { limit - used } else { f64::INFINITY };
        let left = view.settings.team(&spec.team).map_or(Left { cpus: 0.0, gpus: 0.0 }, |team| Left {
            cpus: within(team.cpus_max, cpus),
            gpus: within(team.gpus_max, gpus),
        });
        let shape = |id: &JobId| view.cluster.job(id).map(|job| job.spec().clone());
        add_intents(name, spec, status, &facts, &shape, left, intents);
    }

    fn describe(_: &str, spec: &Spec, status: &Status, now_ms: u64) -> Vec<String> {
        status::tell(spec, status, now_ms)
    }

    fn status_events(name: &str, before: &Status, after: &Status) -> Vec<(Level, String)> {
        status::news(name, before, after)
    }

    fn apply_verb(verb: &str, spec: &Spec, status: &Status, _: u64) -> Result<VerbOutcome<Spec>, SpecError> {
        if verb != "confirm" {
            return Err(SpecError::new("verb", format!("{verb:?} is nothing that can be done with a window")));
        }
        let confirmed = spec.confirmed.as_deref().and_then(day_of);
        let Some(day) = status.confirmable().filter(|day| confirmed.is_none_or(|before| *day > before)) else {
            return Err(SpecError::new("confirm", "nothing of it is to be confirmed"));
        };
        Ok(VerbOutcome { spec: Spec { confirmed: Some(date_of(day)), ..spec.clone() }, cancel: None })
    }
}
