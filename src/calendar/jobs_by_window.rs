//! Assigns open jobs to windows, for all windows together.
//!
//! A job belongs to at most one window, so that it never gets a turn in two: to a window whose `turns` name it, or else
//! the one that closes first, or else the first by name. A stored claim stays with its window even if specifications
//! change.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use super::spec::{InstanceSpan, WindowSpec, WindowTimes};
use super::status::WindowStatus;
use super::step::WindowJob;
use crate::jobs::record::JobRecord;
use crate::jobs::{JobId, Shape};

/// A window with its specification and its status.
pub struct DeclaredWindow {
    /// The window's name.
    pub name: String,
    /// The specification.
    pub spec: WindowSpec,
    /// The stored status.
    pub status: WindowStatus,
    times: Option<WindowTimes>,
}

impl DeclaredWindow {
    /// Creates a window from its stored specification and status.
    pub fn new(name: &str, spec: WindowSpec, status: WindowStatus) -> Self {
        Self { name: name.to_owned(), times: spec.times(), spec, status }
    }

    /// Returns the instance that a job accepted at this time belongs to. A stored instance keeps its times.
    fn instance_for_job(&self, accepted_ms: u64) -> Option<InstanceSpan> {
        let by_spec = || self.times.as_ref()?.instance_for_job(accepted_ms);
        let Some(current) = self.status.current.as_ref() else { return by_spec() };
        let from_ms = current.opens_ms.saturating_sub(u64::from(self.spec.early_s) * 1000);
        if (from_ms..current.closes_ms).contains(&accepted_ms) {
            return Some(current.span());
        }
        by_spec().filter(|span| span.day != current.day)
    }
}

/// Open jobs by window, in the order of their acceptance.
#[derive(Debug, Default)]
pub struct JobsByWindow {
    by_window: HashMap<String, Vec<WindowJob>>,
}

impl JobsByWindow {
    /// Assigns open jobs to these windows.
    pub fn new<'a>(windows: &[DeclaredWindow], jobs: impl Iterator<Item = &'a Arc<JobRecord>>) -> Self {
        let mut by_class: HashMap<(&str, &str), Vec<&DeclaredWindow>> = HashMap::new();
        let mut claimed: HashSet<&JobId> = HashSet::new();
        for window in windows {
            for class in &window.spec.classes {
                by_class.entry((&window.spec.team, class)).or_default().push(window);
            }
            claimed.extend(window.status.current.iter().flat_map(|i| &i.claims).map(|claim| &claim.job));
        }
        let mut window_jobs: HashMap<String, Vec<WindowJob>> = HashMap::new();
        for record in jobs {
            let job = &record.spec;
            // A service never ends, so it cannot be done by a closing.
            if job.shape == Shape::Service || claimed.contains(&job.id) {
                continue;
            }
            let Some(windows_of_class) = by_class.get(&(job.team.as_str(), job.class.as_str())) else { continue };
            let candidates = windows_of_class
                .iter()
                .filter_map(|window| Some((*window, window.instance_for_job(record.accepted_ms)?)));
            let first = candidates.min_by_key(|(window, span)| {
                let is_named = window.spec.turns.iter().any(|turn| **turn == *job.id);
                (!is_named, span.closes_ms, window.name.as_str())
            });
            let is_not_closed = |(window, span): &(&DeclaredWindow, InstanceSpan)| {
                window.status.last_day().is_none_or(|last| span.day > last)
            };
            if let Some((window, span)) = first.filter(is_not_closed) {
                let window_job = WindowJob { record: record.clone(), day: span.day };
                window_jobs.entry(window.name.clone()).or_default().push(window_job);
            }
        }
        for jobs_of_window in window_jobs.values_mut() {
            jobs_of_window.sort_by(|a, b| {
                (a.record.accepted_ms, &a.record.spec.id).cmp(&(b.record.accepted_ms, &b.record.spec.id))
            });
        }
        Self { by_window: window_jobs }
    }

    /// Returns the open jobs that belong to a window.
    pub fn of_window(&self, window: &str) -> &[WindowJob] {
        self.by_window.get(window).map_or(&[], Vec::as_slice)
    }
}
