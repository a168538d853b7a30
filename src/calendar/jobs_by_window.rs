//! Assigns open jobs to windows, once for all windows.
//!
//! By the specs a job belongs to one window at most, so that two windows never give it a turn each: to one whose turns
//! name it, else to the one that closes first, else to the first by name. A stored claim stays where it is, however
//! specs change.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use super::spec::{InstanceSpan, WindowSpec, WindowTimes};
use super::status::WindowStatus;
use super::step::WindowJob;
use crate::jobs::record::JobRecord;
use crate::jobs::{JobId, Shape};

/// A window's spec with its status.
pub struct DeclaredWindow {
    pub name: String,
    pub spec: WindowSpec,
    pub status: WindowStatus,
    times: Option<WindowTimes>,
}

impl DeclaredWindow {
    pub fn new(name: &str, spec: WindowSpec, status: WindowStatus) -> Self {
        Self { name: name.to_owned(), times: spec.times(), spec, status }
    }

    /// The instance that a job accepted at this moment belongs to. One that is stored keeps its times.
    fn instance_for_job(&self, at_ms: u64) -> Option<InstanceSpan> {
        let by_spec = || self.times.as_ref()?.instance_for_job(at_ms);
        let Some(current) = self.status.current.as_ref() else { return by_spec() };
        let from = current.opens_ms.saturating_sub(u64::from(self.spec.early_s) * 1000);
        if (from..current.closes_ms).contains(&at_ms) {
            return Some(current.span());
        }
        by_spec().filter(|span| span.day != current.day)
    }
}

/// Open jobs by window, as they were accepted.
#[derive(Debug, Default)]
pub struct JobsByWindow {
    by_window: HashMap<String, Vec<WindowJob>>,
}

impl JobsByWindow {
    /// The open jobs that belong to each of these windows.
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
            // A service never ends: it could not be done by a closing.
            if job.shape == Shape::Service || claimed.contains(&job.id) {
                continue;
            }
            let Some(of_class) = by_class.get(&(job.team.as_str(), job.class.as_str())) else { continue };
            let instance_for_job =
                of_class.iter().filter_map(|window| Some((*window, window.instance_for_job(record.accepted_ms)?)));
            let first = instance_for_job.min_by_key(|(window, span)| {
                let named = window.spec.turns.iter().any(|turn| **turn == *job.id);
                (!named, span.closes_ms, window.name.as_str())
            });
            let open = |(window, span): &(&DeclaredWindow, InstanceSpan)| {
                window.status.last_day().is_none_or(|last| span.day > last)
            };
            if let Some((window, span)) = first.filter(open) {
                let window_job = WindowJob { record: record.clone(), day: span.day };
                window_jobs.entry(window.name.clone()).or_default().push(window_job);
            }
        }
        for of_window in window_jobs.values_mut() {
            of_window.sort_by(|a, b| {
                (a.record.accepted_ms, &a.record.spec.id).cmp(&(b.record.accepted_ms, &b.record.spec.id))
            });
        }
        Self { by_window: window_jobs }
    }

    /// The jobs that belong to this window.
    pub fn of_window(&self, window: &str) -> &[WindowJob] {
        self.by_window.get(window).map_or(&[], Vec::as_slice)
    }
}
