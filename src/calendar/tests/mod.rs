//! Tests of planning windows by cases: validation, times, outcomes, turns, intents and events.

mod interleaved_simulation;
mod properties;

use std::collections::HashMap;
use std::sync::Arc;

use serde_json::{Value, json};

use super::describe::{describe, describe_closed};
use super::events::{WindowEvent, status_events};
use super::intents::{RemainingQuota, add_intents};
use super::jobs_by_window::{DeclaredWindow, JobsByWindow};
use super::spec::{Day, WindowSpec, format_day, parse_day};
use super::status::{ClaimEnd, InstanceOutcome, MissedReason, WindowStatus};
use super::step::{CLOSE_GRACE_MS, JobProgress, StepContext, WindowJob, next_status};
use crate::declarations::KnownNames;
use crate::jobs::record::JobRecord;
use crate::jobs::{JobId, JobSpec, Shape};
use crate::scheduling::intents::Intents;

/// One hour in ms.
const HOUR_MS: u64 = 3_600_000;
/// 2026-12-02, a Wednesday.
const DAY: Day = 20_789;
/// Midnight UTC of `DAY`, in ms since the Unix epoch.
const MIDNIGHT_MS: u64 = DAY as u64 * 24 * HOUR_MS;

/// Returns a window open daily from 06:00 to 08:00 UTC for two jobs of class `plan` or `roster`, with some fields
/// replaced.
pub fn window(fields: Value) -> WindowSpec {
    let mut spec = json!({"team": "red", "classes": ["plan", "roster"], "opens": "06:00", "closes": "08:00",
                          "jobs": 2, "estimate_s": 600.0, "declared_ms": MIDNIGHT_MS});
    for (field, value) in fields.as_object().unwrap() {
        spec[field] = value.clone();
    }
    serde_json::from_value(spec).unwrap()
}

/// Returns the record of job `run-N` of team `red`.
pub fn job(n: usize, class: &str, accepted_ms: u64) -> Arc<JobRecord> {
    let mut spec = crate::jobs::tests::spec();
    (spec.id, spec.class, spec.team) = (format!("run-{n}").into(), class.into(), "red".into());
    spec.image_gb = 0.0;
    Arc::new(JobRecord { spec, accepted_ms })
}

/// The jobs with their progress, and the wall-clock time.
#[derive(Default)]
pub struct World {
    pub now_ms: u64,
    pub jobs: Vec<Arc<JobRecord>>,
    pub progress_by_job: HashMap<JobId, JobProgress>,
}

/// Seconds that every open job is expected to take from its start to its end.
pub const EXPECTED_S: f64 = 600.0;

impl World {
    pub fn at(now_ms: u64) -> Self {
        Self { now_ms, ..Self::default() }
    }

    pub fn submit(&mut self, n: usize, class: &str) {
        self.jobs.push(job(n, class, self.now_ms));
        self.set(n, JobProgress::Open { begun: false, accepted_ms: self.now_ms, expected_s: EXPECTED_S });
    }

    pub fn set(&mut self, n: usize, progress: JobProgress) {
        self.progress_by_job.insert(format!("run-{n}").into(), progress);
    }

    pub fn begin(&mut self, n: usize) {
        if let Some(JobProgress::Open { begun, .. }) = self.progress_by_job.get_mut(format!("run-{n}").as_str()) {
            *begun = true;
        }
    }

    pub fn window_jobs(&self, name: &str, spec: &WindowSpec, status: &WindowStatus) -> Vec<WindowJob> {
        let declared_window = DeclaredWindow::new(name, spec.clone(), status.clone());
        let open = |r: &&Arc<JobRecord>| matches!(self.progress_by_job.get(&r.spec.id), Some(JobProgress::Open { .. }));
        JobsByWindow::new(&[declared_window], self.jobs.iter().filter(open)).of_window(name).to_vec()
    }

    pub fn step(&self, spec: &WindowSpec, status: &WindowStatus) -> WindowStatus {
        let window_jobs = self.window_jobs("w", spec, status);
        next_status(spec, status, &self.context(&window_jobs, &|id| self.progress(id)))
    }

    pub fn intents(&self, spec: &WindowSpec, status: &WindowStatus, quota: RemainingQuota) -> Intents {
        let window_jobs = self.window_jobs("w", spec, status);
        let job_spec = |id: &JobId| self.jobs.iter().find(|r| r.spec.id == *id).map(|r| r.spec.clone());
        let mut intents = Intents::default();
        add_intents(
            "w",
            spec,
            status,
            &self.context(&window_jobs, &|id| self.progress(id)),
            &job_spec,
            quota,
            &mut intents,
        );
        intents
    }

    fn progress(&self, id: &JobId) -> JobProgress {
        self.progress_by_job.get(id).copied().unwrap_or(JobProgress::Unknown)
    }

    fn context<'a>(
        &self,
        window_jobs: &'a [WindowJob],
        progress: &'a dyn Fn(&JobId) -> JobProgress,
    ) -> StepContext<'a> {
        StepContext { now_ms: self.now_ms, progress, window_jobs }
    }
}

/// A quota that no test exhausts.
const AMPLE_QUOTA: RemainingQuota = RemainingQuota { cpus: 1e6, gpus: 1e6 };

/// An invalid specification is refused before it is written, with the field and its value.
#[test]
fn invalid_specs_are_refused_with_field_and_value() {
    let mut settings = crate::settings::tests::example();
    let objective = |class: &str| json!({"kind": "deadline", "class": class});
    settings.params.objectives = serde_json::from_value(json!([objective("plan"), objective("roster")])).unwrap();
    let names = KnownNames::from_settings(&settings);
    assert_eq!(window(json!({})).check(&names), Ok(()));
    let three_ids: Vec<String> = (0..3).map(|n| format!("run-{n}")).collect();
    for (fields, want) in [
        (json!({"team": "mauve"}), "team: \"mauve\""),
        (json!({"classes": []}), "classes: 0 are not"),
        (json!({"classes": ["plan", "x"]}), "classes[1]: \"x\""),
        (json!({"opens": "25:00"}), "opens: \"25:00\""),
        (json!({"closes": "8"}), "closes: \"8\""),
        (json!({"closes": "05:00"}), "closes: 05:00 is not after 06:00"),
        (json!({"closes": "06:00"}), "closes: 06:00 is not after 06:00"),
        (json!({"closes_next_day": true}), "closes: 08:00 is more than a day after 06:00"),
        (json!({"days": []}), "days: []"),
        (json!({"days": ["mon", "someday"]}), "days[1]: \"someday\""),
        (json!({"date": "2026-02-30"}), "date: \"2026-02-30\""),
        (json!({"date": "2026-12-24", "days": ["mon"]}), "date: there are days"),
        (json!({"utc_offset_min": 900}), "utc_offset_min: 900"),
        (json!({"jobs": 0}), "jobs: 0"),
        (json!({"jobs": 33}), "jobs: 33"),
        (json!({"cores": 21.0}), "cores: 21 is not between 0 and 20"),
        (json!({"estimate_s": -1.0}), "estimate_s: -1"),
        (json!({"turns": three_ids}), "turns: 3 are more than the 2"),
        (json!({"turns": ["plan", "other"]}), "turns[1]: \"other\""),
        (json!({"turns": ["run-1", "run-1"]}), "turns[1]: \"run-1\" has a turn already"),
        (json!({"early_s": 43_201}), "early_s: 43201"),
        (json!({"room_s": 43_201}), "room_s: 43201"),
    ] {
        let problem = window(fields.clone()).check(&names).unwrap_err().to_string();
        assert!(problem.contains(want), "{fields}: {problem}");
    }
    assert_eq!(window(json!({"closes": "05:00", "closes_next_day": true})).check(&names), Ok(()));
}

/// Offsets, weekdays and dates decide which instance a time belongs to and which instance is next.
#[test]
fn instance_of_a_time_and_next_instance_follow_the_schedule() {
    for (day, date) in [(0, "1970-01-01"), (DAY, "2026-12-02"), (DAY + 1, "2026-12-03"), (11_016, "2000-02-29")] {
        assert_eq!((parse_day(date), format_day(day)), (Some(day), date.to_owned()));
    }
    let overnight = json!({"opens": "22:00", "closes": "05:00", "closes_next_day": true});
    // (name, fields, hours after midnight UTC, day of its instance, day of the next instance to close)
    let cases = [
        ("during the instance", json!({}), 7.0, Some(0), 0),
        ("before the opening", json!({}), 5.0, None, 0),
        ("at the closing", json!({}), 8.0, None, 1),
        ("early acceptance", json!({"early_s": 7200}), 5.0, Some(0), 0),
        ("an hour ahead of UTC", json!({"utc_offset_min": 60}), 5.0, Some(0), 0),
        ("far ahead of UTC", json!({"utc_offset_min": 840}), 16.5, Some(1), 1),
        ("over midnight, before midnight", overnight.clone(), 23.0, Some(0), 0),
        ("over midnight, after midnight", overnight, 2.0, Some(-1), -1),
        ("weekday not listed", json!({"days": ["tue", "thu"]}), 7.0, None, 1),
        ("weekday listed", json!({"days": ["wed"]}), 7.0, Some(0), 0),
        ("weekday listed, closed", json!({"days": ["wed"]}), 9.0, None, 7),
        ("date", json!({"date": "2026-12-02"}), 7.0, Some(0), 0),
        ("date that has passed", json!({"date": "2026-12-01"}), 7.0, None, -1),
        (
            "open instance before early acceptance of the next",
            json!({"closes": "23:00", "early_s": 43_200}),
            22.0,
            Some(0),
            0,
        ),
    ];
    for (name, fields, hours, instance_day, next_day) in cases {
        let (spec, at_ms) = (window(fields), MIDNIGHT_MS + (hours * HOUR_MS as f64) as u64);
        assert_eq!(spec.times().unwrap().instance_for_job(at_ms).map(|span| span.day - DAY), instance_day, "{name}");
        assert_eq!(spec.next_instance(None, at_ms).map(|span| span.day - DAY), Some(next_day), "{name}");
    }
    assert_eq!(
        window(json!({"date": "2026-12-02"})).next_instance(Some(DAY), 0),
        None,
        "a date has no further instance"
    );
}

/// The outcome of an instance follows from the claims and the ends of its jobs. Once decided it is final, even if the
/// wall clock steps back.
#[test]
fn outcome_follows_from_claims_and_job_ends() {
    type Action = fn(&mut World);
    let done_in_time: Action = |w| (1..=2).for_each(|n| w.set(n, JobProgress::Done { at_ms: None }));
    let missed = InstanceOutcome::Missed;
    // (name, submitted jobs, minutes after the opening, action on the jobs, outcome, claimed, done)
    let cases: [(&str, usize, u64, Action, InstanceOutcome, u32, u32); 10] = [
        ("met", 2, 0, done_in_time, InstanceOutcome::Met, 2, 2),
        ("no job submitted", 0, 0, |_| (), missed(MissedReason::Unclaimed), 0, 0),
        (
            "one of two jobs submitted",
            1,
            0,
            |w| w.set(1, JobProgress::Done { at_ms: None }),
            missed(MissedReason::Unclaimed),
            1,
            1,
        ),
        ("never placed", 2, 0, |w| w.set(1, JobProgress::Done { at_ms: None }), missed(MissedReason::NoRoom), 2, 1),
        ("still running", 2, 0, |w| (1..=2).for_each(|n| w.begin(n)), missed(MissedReason::Late), 2, 0),
        ("submitted after the latest start", 2, 115, |_| (), missed(MissedReason::Late), 2, 0),
        (
            "done after the closing",
            2,
            0,
            |w| (1..=2).for_each(|n| w.set(n, JobProgress::Done { at_ms: Some(u64::MAX) })),
            missed(MissedReason::Late),
            2,
            0,
        ),
        (
            "cancelled",
            2,
            0,
            |w| (1..=2).for_each(|n| w.set(n, JobProgress::Cancelled)),
            missed(MissedReason::Cancelled),
            2,
            0,
        ),
        (
            "unknown end",
            2,
            0,
            |w| (1..=2).for_each(|n| w.set(n, JobProgress::Unknown)),
            missed(MissedReason::Late),
            2,
            0,
        ),
        ("more jobs than expected", 3, 0, done_in_time, InstanceOutcome::Met, 2, 2),
    ];
    let spec = window(json!({}));
    for (name, jobs, minute, action, want, claimed, done) in cases {
        let mut world = World::at(MIDNIGHT_MS + 6 * HOUR_MS + minute * 60_000);
        (1..=jobs).for_each(|n| world.submit(n, "plan"));
        let mut status = world.step(&spec, &WindowStatus::default());
        action(&mut world);
        status = world.step(&spec, &status);
        for after_s in [0, 2, 4, 62, 65] {
            world.now_ms = MIDNIGHT_MS + 8 * HOUR_MS + after_s * 1000;
            status = world.step(&spec, &status);
        }
        let last = status.last.clone().unwrap();
        assert_eq!((last.outcome, last.claimed, last.done, last.day), (want, claimed, done, DAY), "{name}");
        assert_eq!(status.missed.len(), usize::from(want != InstanceOutcome::Met), "{name}");
        let decision_delay_s = (last.decided_ms - last.closes_ms.min(last.decided_ms)) / 1000;
        assert_eq!(decision_delay_s > 60, name == "unknown end", "{name}: the end is queried first");
        // A wall clock that steps back reopens nothing, not even for jobs submitted now.
        world.now_ms = MIDNIGHT_MS + 7 * HOUR_MS;
        world.submit(9, "plan");
        assert_eq!(world.step(&spec, &status), status, "{name}");
    }
}

/// Turns are assigned as listed, then in the order of acceptance. No turn is assigned twice, and a job that replaces a
/// cancelled one gets the last turn.
#[test]
fn turns_follow_the_list_then_acceptance() {
    // (name, turns, jobs, submitted jobs in order, the turn of each job)
    type Case = (&'static str, Value, u32, &'static [(usize, &'static str)], &'static [(usize, u32)]);
    let cases: [Case; 6] = [
        ("in order of acceptance", json!([]), 3, &[(5, "plan"), (3, "roster")], &[(5, 1), (3, 2)]),
        ("by class", json!(["roster", "plan"]), 3, &[(5, "plan"), (3, "roster")], &[(5, 2), (3, 1)]),
        ("by id before class", json!(["plan", "run-5"]), 2, &[(5, "plan"), (3, "plan")], &[(5, 2), (3, 1)]),
        ("beyond the list", json!(["roster"]), 3, &[(5, "plan"), (3, "plan")], &[(5, 2), (3, 3)]),
        ("not more than the expected jobs", json!(["roster"]), 2, &[(5, "plan"), (3, "plan")], &[(5, 2)]),
        ("class of another window", json!([]), 3, &[(5, "other"), (3, "plan")], &[(3, 1)]),
    ];
    for (name, turns, jobs, submitted, want) in cases {
        let spec = window(json!({"turns": turns, "jobs": jobs}));
        let mut world = World::at(MIDNIGHT_MS + 6 * HOUR_MS);
        let mut status = WindowStatus::default();
        for (n, class) in submitted {
            world.submit(*n, class);
            world.now_ms += 1000;
            status = world.step(&spec, &status);
        }
        let claims = status.current.clone().map_or(Vec::new(), |i| i.claims);
        let mut assigned: Vec<(usize, u32)> =
            claims.iter().map(|c| (c.job["run-".len()..].parse().unwrap(), c.turn)).collect();
        let mut want = want.to_vec();
        assigned.sort_unstable();
        want.sort_unstable();
        assert_eq!(assigned, want, "{name}");
    }
    let spec = window(json!({}));
    let mut world = World::at(MIDNIGHT_MS + 6 * HOUR_MS);
    (1..=2).for_each(|n| world.submit(n, "plan"));
    let status = world.step(&spec, &WindowStatus::default());
    world.set(1, JobProgress::Cancelled);
    world.submit(3, "plan");
    let claims = world.step(&spec, &status).current.unwrap().claims;
    assert_eq!(claims.iter().map(|c| c.turn).collect::<Vec<_>>(), [1, 2, 3], "turn 1 stays with the cancelled job");
    assert_eq!(claims[0].end, Some(ClaimEnd::Cancelled));
}

/// The turn advances once the job of the previous turn has begun or ended, or when further waiting would make a job
/// miss the closing.
#[test]
fn turn_advances_when_the_previous_job_began_or_waiting_is_too_late() {
    let spec = window(json!({"turns": ["roster", "plan"], "early_s": 600}));
    let mut world = World::at(MIDNIGHT_MS + 6 * HOUR_MS - 60_000);
    let turn = |status: &WindowStatus| status.current.as_ref().map_or(0, |i| i.turn);
    world.submit(2, "plan");
    let mut status = world.step(&spec, &WindowStatus::default());
    assert_eq!(
        (turn(&status), world.intents(&spec, &status, AMPLE_QUOTA).deferred_jobs.len()),
        (0, 1),
        "before the opening"
    );
    world.now_ms += 60_000;
    status = world.step(&spec, &status);
    assert_eq!(turn(&status), 1, "turn 1 is reserved for its listed class");
    let mut unclaimed = status.clone();
    world.now_ms = MIDNIGHT_MS + 8 * HOUR_MS - (EXPECTED_S * 1000.0 * 1.2) as u64 - 1;
    unclaimed = world.step(&spec, &unclaimed);
    assert_eq!((turn(&unclaimed), unclaimed.current.as_ref().unwrap().unclaimed), (1, false));
    world.now_ms += 1;
    unclaimed = world.step(&spec, &unclaimed);
    assert_eq!(
        (turn(&unclaimed), unclaimed.current.as_ref().unwrap().unclaimed),
        (2, true),
        "no job claimed turn 1 in time"
    );

    world.now_ms = MIDNIGHT_MS + 6 * HOUR_MS + 60_000;
    world.submit(1, "roster");
    status = world.step(&spec, &status);
    let intents = world.intents(&spec, &status, AMPLE_QUOTA);
    assert_eq!((turn(&status), intents.window_turns.len(), intents.deferred_jobs.len()), (1, 1, 1));
    // Job 1 is never placed: job 2 may be placed once it would be too late itself.
    let mut waiting = status.clone();
    world.now_ms = MIDNIGHT_MS + 8 * HOUR_MS - (EXPECTED_S * 1000.0) as u64;
    waiting = world.step(&spec, &waiting);
    assert_eq!((turn(&waiting), waiting.current.as_ref().unwrap().late), (2, true));
    assert_eq!(
        world.intents(&spec, &waiting, AMPLE_QUOTA).window_turns[&JobId::from("run-1")].position,
        1,
        "job 1 keeps the first turn"
    );

    world.now_ms = MIDNIGHT_MS + 6 * HOUR_MS + 61_000;
    world.begin(1);
    let after = world.step(&spec, &status);
    assert_eq!(turn(&after), 2);
    assert_eq!(
        world.intents(&spec, &status, AMPLE_QUOTA).deferred_jobs.len(),
        1,
        "deferred until the new turn is stored"
    );
    assert_eq!(world.intents(&spec, &after, AMPLE_QUOTA).deferred_jobs.len(), 0);
    world.now_ms = MIDNIGHT_MS;
    assert_eq!(turn(&world.step(&spec, &after)), 2, "a wall clock that steps back revokes no turn");
}

/// Capacity is requested ahead of the opening, within the expected cores and the team's quota, and released if no job
/// claims it.
#[test]
fn capacity_is_requested_before_the_opening_and_released_unclaimed() {
    let tasks = |fields: Value, hours: f64, quota: RemainingQuota| {
        let world = World::at(MIDNIGHT_MS + (hours * HOUR_MS as f64) as u64);
        let intents = world.intents(&window(fields), &WindowStatus::default(), quota);
        intents.capacity.iter().map(|capacity| (capacity.tasks, capacity.needed_in_s)).collect::<Vec<_>>()
    };
    let quota_of = |cpus| RemainingQuota { cpus, gpus: 0.0 };
    for (name, fields, hours, quota, want) in [
        ("no cores declared, no past usage", json!({}), 6.0, AMPLE_QUOTA, vec![]),
        ("long before the opening", json!({"cores": 12.0}), 5.5, AMPLE_QUOTA, vec![]),
        ("shortly before the opening", json!({"cores": 12.0}), 5.9, AMPLE_QUOTA, vec![(12, 360.0)]),
        ("after the opening", json!({"cores": 12.0}), 6.1, AMPLE_QUOTA, vec![(12, 0.0)]),
        ("after the reservation", json!({"cores": 12.0}), 6.2, AMPLE_QUOTA, vec![]),
        ("longer reservation", json!({"cores": 12.0, "room_s": 7200}), 7.7, AMPLE_QUOTA, vec![(12, 0.0)]),
        ("after the latest start", json!({"cores": 12.0, "room_s": 7200}), 7.81, AMPLE_QUOTA, vec![]),
        ("limited by the quota of its team", json!({"cores": 12.0}), 6.0, quota_of(5.5), vec![(5, 0.0)]),
        ("no quota left for its team", json!({"cores": 12.0}), 6.0, quota_of(-3.0), vec![]),
    ] {
        assert_eq!(tasks(fields, hours, quota), want, "{name}");
    }

    // Past usage is recorded, and half of it is requested once one of two jobs has claimed a turn.
    let spec = window(json!({}));
    let mut world = World::at(MIDNIGHT_MS + 6 * HOUR_MS);
    (1..=2).for_each(|n| world.submit(n, "plan"));
    let mut status = world.step(&spec, &WindowStatus::default());
    (1..=2).for_each(|n| world.set(n, JobProgress::Done { at_ms: None }));
    status = world.step(&spec, &status);
    world.now_ms += 24 * HOUR_MS;
    assert_eq!(world.intents(&spec, &status, AMPLE_QUOTA).capacity.iter().map(|r| r.tasks).sum::<u64>(), 2);
    world.submit(3, "plan");
    status = world.step(&spec, &status);
    assert_eq!(world.intents(&spec, &status, AMPLE_QUOTA).capacity.iter().map(|r| r.tasks).sum::<u64>(), 1);

    // For a gang whose turn has not started, capacity is requested for all of its tasks or none.
    for (cores, want) in [(7.0, 0), (8.0, 8)] {
        let spec = window(json!({"turns": ["roster", "plan"], "cores": cores, "room_s": 0}));
        let mut world = World::at(MIDNIGHT_MS + 6 * HOUR_MS);
        let mut gang = JobSpec::clone(&job(1, "plan", 0).spec);
        (gang.shape, gang.tasks) = (Shape::Gang, 8);
        world.submit(1, "plan");
        world.jobs[0] = Arc::new(JobRecord { spec: gang, accepted_ms: world.now_ms });
        let status = world.step(&spec, &WindowStatus::default());
        let capacity = world.intents(&spec, &status, AMPLE_QUOTA).capacity;
        assert_eq!(capacity.iter().map(|r| r.tasks).sum::<u64>(), want, "{cores}");
    }
}

/// A job belongs to at most one window, and a stored claim stays with its window.
#[test]
fn job_belongs_to_at_most_one_window() {
    let declared_window =
        |name: &str, fields: Value| DeclaredWindow::new(name, window(fields), WindowStatus::default());
    let accepted_ms = MIDNIGHT_MS + 7 * HOUR_MS;
    let windows_of = |windows: &[DeclaredWindow], record: &Arc<JobRecord>| -> Vec<String> {
        let jobs = JobsByWindow::new(windows, std::iter::once(record));
        let names = windows.iter().filter(|w| !jobs.of_window(&w.name).is_empty());
        names.map(|w| w.name.clone()).collect()
    };
    let mut windows = vec![
        declared_window("a", json!({"closes": "09:00"})),
        declared_window("b", json!({})),
        declared_window("c", json!({})),
        declared_window("d", json!({"closes": "10:00", "turns": ["run-7"]})),
        declared_window("e", json!({"team": "blue"})),
    ];
    assert_eq!(windows_of(&windows, &job(1, "plan", accepted_ms)), ["b"], "the first window to close, then by name");
    assert_eq!(windows_of(&windows, &job(7, "plan", accepted_ms)), ["d"], "the window that names it");
    assert_eq!(windows_of(&windows, &job(1, "plan", accepted_ms + 2 * HOUR_MS + HOUR_MS / 2)), ["d"]);
    assert_eq!(windows_of(&windows, &job(1, "plan", accepted_ms + 5 * HOUR_MS)), [""; 0]);
    let mut service = JobSpec::clone(&job(1, "plan", accepted_ms).spec);
    service.shape = Shape::Service;
    assert_eq!(windows_of(&windows, &Arc::new(JobRecord { spec: service, accepted_ms })), [""; 0]);
    // The instance that it belongs to has closed: it is not assigned to another window.
    let mut world = World::at(MIDNIGHT_MS + 8 * HOUR_MS + CLOSE_GRACE_MS);
    windows[1].status = world.step(&windows[1].spec, &WindowStatus::default());
    assert_eq!(windows_of(&windows, &job(1, "plan", accepted_ms)), [""; 0]);
    // A job with a stored claim is not assigned to another window, whatever is declared later.
    world.now_ms = accepted_ms;
    world.submit(1, "plan");
    windows[2].status = world.step(&windows[2].spec, &WindowStatus::default());
    windows[1].status = WindowStatus::default();
    assert_eq!(windows_of(&windows, &job(1, "plan", accepted_ms)), [""; 0]);
}

/// Each stage is reported once. Missed instances are kept until they are confirmed, up to a limit; dropped ones are
/// reported.
#[test]
fn stages_are_reported_once_and_missed_instances_kept_until_confirmed() {
    let mut spec = window(json!({}));
    let mut world = World::at(MIDNIGHT_MS + 5 * HOUR_MS);
    let mut status = world.step(&spec, &WindowStatus::default());
    let mut events = Vec::new();
    for minutes in [180, 181, 183, 184, 200] {
        world.now_ms = MIDNIGHT_MS + (5 * 60 + minutes) * 60_000;
        let after = world.step(&spec, &status);
        events.extend(status_events(&status, &after));
        status = after;
    }
    let [WindowEvent::Unclaimed(day), WindowEvent::Closed(closed)] = events.as_slice() else {
        panic!("expected each stage once: {events:?}")
    };
    assert_eq!(format_day(*day), "2026-12-02");
    assert_eq!(describe_closed(closed), "2026-12-02 missed: unclaimed (0 of 2 claimed, 0 done in time)");
    assert!(describe(&spec, &status, world.now_ms).iter().any(|l| l.contains("2026-12-02 missed: unclaimed")));

    // After twenty days without an evaluation all missed instances are reported in order, with their delays.
    world.now_ms += 20 * 24 * HOUR_MS;
    let after = world.step(&spec, &status);
    let days: Vec<Day> = after.missed.iter().map(|e| e.day).collect();
    assert_eq!(days, ((DAY + 5)..=(DAY + 20)).collect::<Vec<_>>());
    assert_eq!(after.dropped.unwrap().count, 5);
    let events = status_events(&status, &after);
    assert_eq!(events.len(), 17, "one per kept instance, and one with the dropped count: {events:?}");
    let WindowEvent::Closed(first) = &events[0] else { panic!("{events:?}") };
    let line = describe_closed(first);
    assert!(line.ends_with("0 done in time, told 360 h after its closing)"), "{line}");
    assert_eq!(events[16], WindowEvent::MissesDropped(5));
    spec.confirmed = Some(format_day(DAY + 10));
    let confirmed = world.step(&spec, &after);
    assert_eq!((confirmed.missed.len(), confirmed.dropped), (10, None));
    assert_eq!(confirmed.last_confirmable_day(), Some(DAY + 20));
    assert_eq!(status_events(&after, &confirmed), []);
}

/// The largest possible status has to fit within the size limit of a stored value.
#[test]
fn largest_status_fits_the_value_limit() {
    let spec = window(json!({"jobs": 32}));
    let mut world = World::at(MIDNIGHT_MS + 7 * HOUR_MS);
    let mut status = WindowStatus::default();
    for day in 0..20 {
        world.now_ms = MIDNIGHT_MS + day * 24 * HOUR_MS + 7 * HOUR_MS;
        (0..32).for_each(|n| world.submit(10_000_000_000_000_000 + (day * 32) as usize + n, "plan"));
        status = world.step(&spec, &status);
        for (_, progress) in world.progress_by_job.iter_mut() {
            *progress = JobProgress::Done { at_ms: Some(world.now_ms + 3 * HOUR_MS) };
        }
        status = world.step(&spec, &status);
    }
    assert_eq!((status.missed.len(), status.current.as_ref().unwrap().claims.len()), (16, 32));
    let bytes = serde_json::to_vec(&status).unwrap().len();
    assert!(bytes + 1200 < crate::declarations::records::MAX_VALUE_BYTES, "{bytes}");
    assert_eq!(serde_json::from_slice::<WindowStatus>(&serde_json::to_vec(&status).unwrap()).unwrap(), status);
}
