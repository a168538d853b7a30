//! Implements planning windows as a kind of declaration.

use super::describe::describe;
use super::events::{WindowEvent, status_events};
use super::intents::{RemainingQuota, add_intents};
use super::jobs_by_window::{DeclaredWindow, JobsByWindow};
use super::spec::{WindowSpec, format_day, parse_day};
use super::status::WindowStatus;
use super::step::{JobProgress, StepContext, expected_s, next_status};
use crate::declarations::{
    DeclarationKind, DeclarationLogic, DeclarationView, KnownNames, NamedSpec, SpecError, VerbOutcome,
};
use crate::jobs::{End, JobId};
use crate::scheduling::cluster::TeamUsage;
use crate::scheduling::intents::Intents;

/// The declaration logic of planning windows.
pub struct Window;

/// Returns the progress of an accepted job. A job that is neither open nor has a known end has ended in an unknown way;
/// its end is queried.
fn job_progress(view: &DeclarationView, id: &JobId) -> JobProgress {
    match ((view.job_end)(id), view.cluster.job(id)) {
        (Some(End::Done), _) => JobProgress::Done {
            // The time at which the job ended, not the time at which the window's status is stored.
            at_ms: view.cluster.ended_at(id).map(|ended_at| {
                let age_ms = view.now.saturating_duration_since(ended_at).as_millis();
                view.now_ms.saturating_sub(u64::try_from(age_ms).unwrap_or(u64::MAX))
            }),
        },
        (Some(End::Cancelled), _) => JobProgress::Cancelled,
        (None, Some(job)) if job.ended.is_none() => JobProgress::Open {
            begun: job.never_placed_fraction() < 1.0,
            accepted_ms: job.record.accepted_ms,
            expected_s: expected_s(job.agreement.run_time.as_secs_f64(), job.spec().image_gb),
        },
        (None, _) => {
            view.query_job_end(id);
            JobProgress::Unknown
        }
    }
}

/// Returns the open jobs by window, computed on first use.
fn jobs_by_window<'v>(view: &'v DeclarationView) -> &'v JobsByWindow {
    view.jobs_by_window.get_or_init(|| {
        let declared_window = |NamedSpec { name, spec, .. }: NamedSpec<WindowSpec>| {
            let status = view.registry.status::<Window>(name).map(|status| status.value).unwrap_or_default();
            DeclaredWindow::new(name, spec, status)
        };
        let windows: Vec<DeclaredWindow> = view.registry.specs::<Window>().map(declared_window).collect();
        let open_jobs = view.cluster.jobs().filter(|(_, job)| job.ended.is_none());
        JobsByWindow::new(&windows, open_jobs.map(|(_, job)| &job.record))
    })
}

/// Returns the cores and accelerators that remain within the limits of the window's team.
fn remaining_quota(spec: &WindowSpec, view: &DeclarationView) -> RemainingQuota {
    let TeamUsage { cpus, gpus } = view.cluster.team_usage.get(&spec.team).copied().unwrap_or_default();
    let remaining = |limit: f64, used: f64| if limit > 0.0 { limit - used } else { f64::INFINITY };
    view.settings.team(&spec.team).map_or(RemainingQuota { cpus: 0.0, gpus: 0.0 }, |team| RemainingQuota {
        cpus: remaining(team.cpus_max, cpus),
        gpus: remaining(team.gpus_max, gpus),
    })
}

impl DeclarationLogic for Window {
    const KIND: DeclarationKind = DeclarationKind::Window;
    type Spec = WindowSpec;
    type Status = WindowStatus;
    type Event = WindowEvent;

    fn check_spec(spec: &WindowSpec, names: &KnownNames) -> Result<(), SpecError> {
        spec.check(names)
    }

    /// Keeps the confirmed date. A changed schedule applies from now on: instances that closed earlier do not belong to
    /// the new specification.
    fn spec_to_store(spec: WindowSpec, before: Option<&WindowSpec>, now_ms: u64) -> WindowSpec {
        let confirmed = before.and_then(|before| before.confirmed.clone());
        let same_times = before.filter(|before| before.describe_schedule() == spec.describe_schedule());
        let declared_ms = same_times.and_then(|before| before.declared_ms).or(Some(now_ms));
        WindowSpec { confirmed: spec.confirmed.or(confirmed), declared_ms, ..spec }
    }

    fn next_status(
        name: &str,
        spec: &WindowSpec,
        status: &WindowStatus,
        view: &DeclarationView,
    ) -> Option<WindowStatus> {
        let window_jobs = jobs_by_window(view).of_window(name);
        let context = StepContext { now_ms: view.now_ms, progress: &|id| job_progress(view, id), window_jobs };
        let next = next_status(spec, status, &context);
        (next != *status).then_some(next)
    }

    fn add_intents(
        name: &str,
        spec: &WindowSpec,
        status: &WindowStatus,
        view: &DeclarationView,
        intents: &mut Intents,
    ) {
        let window_jobs = jobs_by_window(view).of_window(name);
        let context = StepContext { now_ms: view.now_ms, progress: &|id| job_progress(view, id), window_jobs };
        let job_spec = |id: &JobId| view.cluster.job(id).map(|job| job.spec().clone());
        add_intents(name, spec, status, &context, &job_spec, remaining_quota(spec, view), intents);
    }

    fn describe(_: &str, spec: &WindowSpec, status: &WindowStatus, now_ms: u64) -> Vec<String> {
        describe(spec, status, now_ms)
    }

    fn status_events(before: &WindowStatus, after: &WindowStatus) -> Vec<WindowEvent> {
        status_events(before, after)
    }

    fn apply_verb(
        verb: &str,
        spec: &WindowSpec,
        status: &WindowStatus,
        _: u64,
    ) -> Result<VerbOutcome<WindowSpec>, SpecError> {
        if verb != "confirm" {
            return Err(SpecError::unknown_verb(verb, DeclarationKind::Window));
        }
        let confirmed = spec.confirmed.as_deref().and_then(parse_day);
        let last = status.last_confirmable_day();
        let Some(day) = last.filter(|day| confirmed.is_none_or(|confirmed| *day > confirmed)) else {
            return Err(SpecError::new("confirm", "nothing of it is to be confirmed"));
        };
        Ok(VerbOutcome { spec: WindowSpec { confirmed: Some(format_day(day)), ..spec.clone() }, cancel: None })
    }
}
