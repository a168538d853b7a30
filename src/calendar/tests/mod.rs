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
use super::step::{GRACE_MS, JobProgress, StepContext, WindowJob, next_status};
use crate::declarations::KnownNames;
use crate::jobs::record::JobRecord;
use crate::jobs::{JobId, JobSpec, Shape};
use crate::scheduling::intents::Intents;

const HOUR: u64 = 3_600_000;
/// 2026-12-02, a Wednesday.
const DAY: Day = 20_789;
const MIDNIGHT: u64 = DAY as u64 * 24 * HOUR;

/// Daily from 06:00 to 08:00 UTC, two jobs of class `plan`; with these fields instead.
pub fn window(fields: Value) -> WindowSpec {
    let mut spec = json!({"team": "red", "classes": ["plan", "roster"], "opens": "06:00", "closes": "08:00",
                          "jobs": 2, "estimate_s": 600.0, "declared_ms": MIDNIGHT});
    for (field, value) in fields.as_object().unwrap() {
        spec[field] = value.clone();
    }
    serde_json::from_value(spec).unwrap()
}

pub fn job(n: usize, class: &str, at_ms: u64) -> Arc<JobRecord> {
    let mut spec = crate::jobs::tests::spec();
    (spec.id, spec.class, spec.team) = (format!("run-{n}").into(), class.into(), "red".into());
    spec.image_gb = 0.0;
    Arc::new(JobRecord { spec, accepted_ms: at_ms })
}

/// Jobs as users and workers make them, and the time of day.
#[derive(Default)]
pub struct World {
    pub now_ms: u64,
    pub jobs: Vec<Arc<JobRecord>>,
    pub progress_by_job: HashMap<JobId, JobProgress>,
}

/// What an open job needs from its start to its end, here.
pub const EXPECTED_S: f64 = 600.0;

impl World {
    pub fn at(now_ms: u64) -> Self {
        Self { now_ms, ..Self::default() }
    }

    pub fn submit(&mut self, n: usize, class: &str) {
        self.jobs.push(job(n, class, self.now_ms));
        self.set(n, JobProgress::Open { begun: false, at_ms: self.now_ms, expected_s: EXPECTED_S });
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

    pub fn intents(&self, spec: &WindowSpec, status: &WindowStatus, left: RemainingQuota) -> Intents {
        let window_jobs = self.window_jobs("w", spec, status);
        let shape = |id: &JobId| self.jobs.iter().find(|r| r.spec.id == *id).map(|r| r.spec.clone());
        let mut intents = Intents::default();
        add_intents(
            "w",
            spec,
            status,
            &self.context(&window_jobs, &|id| self.progress(id)),
            &shape,
            left,
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

const PLENTY: RemainingQuota = RemainingQuota { cpus: 1e6, gpus: 1e6 };

/// A bad spec is refused by field and value, before it is written.
#[test]
fn bad_specs_are_refused_by_field_and_value() {
    let mut settings = crate::settings::tests::example();
    let objective = |class: &str| json!({"kind": "deadline", "class": class});
    settings.params.objectives = serde_json::from_value(json!([objective("plan"), objective("roster")])).unwrap();
    let names = KnownNames::from_settings(&settings);
    assert_eq!(window(json!({})).check(&names), Ok(()));
    let many: Vec<String> = (0..3).map(|n| format!("run-{n}")).collect();
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
        (json!({"turns": many}), "turns: 3 are more than the 2"),
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

/// Which instance a moment belongs to and which one comes next, by offsets, days and dates.
#[test]
fn instances_by_cases() {
    for (day, date) in [(0, "1970-01-01"), (DAY, "2026-12-02"), (DAY + 1, "2026-12-03"), (11_016, "2000-02-29")] {
        assert_eq!((parse_day(date), format_day(day)), (Some(day), date.to_owned()));
    }
    let overnight = json!({"opens": "22:00", "closes": "05:00", "closes_next_day": true});
    // (name, fields, hours after midnight UTC, the day it belongs to, the day of the first to close after)
    let cases = [
        ("inside", json!({}), 7.0, Some(0), 0),
        ("before", json!({}), 5.0, None, 0),
        ("at its closing", json!({}), 8.0, None, 1),
        ("early", json!({"early_s": 7200}), 5.0, Some(0), 0),
        ("an hour ahead of UTC", json!({"utc_offset_min": 60}), 5.0, Some(0), 0),
        ("far ahead of UTC", json!({"utc_offset_min": 840}), 16.5, Some(1), 1),
        ("over midnight, before", overnight.clone(), 23.0, Some(0), 0),
        ("over midnight, after", overnight, 2.0, Some(-1), -1),
        ("on other days", json!({"days": ["tue", "thu"]}), 7.0, None, 1),
        ("on this day", json!({"days": ["wed"]}), 7.0, Some(0), 0),
        ("on this day, past", json!({"days": ["wed"]}), 9.0, None, 7),
        ("once", json!({"date": "2026-12-02"}), 7.0, Some(0), 0),
        ("once, past already", json!({"date": "2026-12-01"}), 7.0, None, -1),
        ("the next one early, this one open", json!({"closes": "23:00", "early_s": 43_200}), 22.0, Some(0), 0),
    ];
    for (name, fields, hours, belongs, first) in cases {
        let (spec, at) = (window(fields), MIDNIGHT + (hours * HOUR as f64) as u64);
        assert_eq!(spec.times().unwrap().instance_for_job(at).map(|span| span.day - DAY), belongs, "{name}");
        assert_eq!(spec.next_instance(None, at).map(|span| span.day - DAY), Some(first), "{name}");
    }
    assert_eq!(window(json!({"date": "2026-12-02"})).next_instance(Some(DAY), 0), None, "once, and over");
}

/// How one instance ends, by what its jobs did.
#[test]
fn ends_by_cases() {
    type Do = fn(&mut World);
    let done_in_time: Do = |w| (1..=2).for_each(|n| w.set(n, JobProgress::Done { at_ms: None }));
    let missed = InstanceOutcome::Missed;
    // (name, jobs submitted, at this many minutes, what becomes of them, the end, claimed and done)
    let cases: [(&str, usize, u64, Do, InstanceOutcome, u32, u32); 10] = [
        ("met", 2, 0, done_in_time, InstanceOutcome::Met, 2, 2),
        ("nobody came", 0, 0, |_| (), missed(MissedReason::Unclaimed), 0, 0),
        (
            "one of two came",
            1,
            0,
            |w| w.set(1, JobProgress::Done { at_ms: None }),
            missed(MissedReason::Unclaimed),
            1,
            1,
        ),
        ("never a place", 2, 0, |w| w.set(1, JobProgress::Done { at_ms: None }), missed(MissedReason::NoRoom), 2, 1),
        ("still runs", 2, 0, |w| (1..=2).for_each(|n| w.begin(n)), missed(MissedReason::Late), 2, 0),
        ("came past the latest start", 2, 115, |_| (), missed(MissedReason::Late), 2, 0),
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
            "withdrawn",
            2,
            0,
            |w| (1..=2).for_each(|n| w.set(n, JobProgress::Cancelled)),
            missed(MissedReason::Cancelled),
            2,
            0,
        ),
        (
            "over, nobody knows how",
            2,
            0,
            |w| (1..=2).for_each(|n| w.set(n, JobProgress::Unknown)),
            missed(MissedReason::Late),
            2,
            0,
        ),
        ("more than expected", 3, 0, done_in_time, InstanceOutcome::Met, 2, 2),
    ];
    let spec = window(json!({}));
    for (name, jobs, minute, act, want, claimed, done) in cases {
        let mut world = World::at(MIDNIGHT + 6 * HOUR + minute * 60_000);
        (1..=jobs).for_each(|n| world.submit(n, "plan"));
        let mut status = world.step(&spec, &WindowStatus::default());
        act(&mut world);
        status = world.step(&spec, &status);
        for after_s in [0, 2, 4, 62, 65] {
            world.now_ms = MIDNIGHT + 8 * HOUR + after_s * 1000;
            status = world.step(&spec, &status);
        }
        let last = status.last.clone().unwrap();
        assert_eq!((last.outcome, last.claimed, last.done, last.day), (want, claimed, done, DAY), "{name}");
        assert_eq!(status.missed.len(), usize::from(want != InstanceOutcome::Met), "{name}");
        let asked_s = (last.at_ms - last.closes_ms.min(last.at_ms)) / 1000;
        assert_eq!(asked_s > 60, name.starts_with("over"), "{name}: the store is asked first");
        // A time of day that steps back opens nothing again, not even for jobs that come now.
        world.now_ms = MIDNIGHT + 7 * HOUR;
        world.submit(9, "plan");
        assert_eq!(world.step(&spec, &status), status, "{name}");
    }
}

/// Turns go as listed, then as accepted; none is given twice, and whoever comes for one that was
/// cancelled has the last.
#[test]
fn turns_by_cases() {
    // (name, turns, jobs, who comes in this order, who has which turn)
    type Case = (&'static str, Value, u32, &'static [(usize, &'static str)], &'static [(usize, u32)]);
    let cases: [Case; 6] = [
        ("as accepted", json!([]), 3, &[(5, "plan"), (3, "roster")], &[(5, 1), (3, 2)]),
        ("by class", json!(["roster", "plan"]), 3, &[(5, "plan"), (3, "roster")], &[(5, 2), (3, 1)]),
        ("by id before class", json!(["plan", "run-5"]), 2, &[(5, "plan"), (3, "plan")], &[(5, 2), (3, 1)]),
        ("beyond the list", json!(["roster"]), 3, &[(5, "plan"), (3, "plan")], &[(5, 2), (3, 3)]),
        ("no more than expected", json!(["roster"]), 2, &[(5, "plan"), (3, "plan")], &[(5, 2)]),
        ("another class", json!([]), 3, &[(5, "other"), (3, "plan")], &[(3, 1)]),
    ];
    for (name, turns, jobs, window_jobs, want) in cases {
        let spec = window(json!({"turns": turns, "jobs": jobs}));
        let mut world = World::at(MIDNIGHT + 6 * HOUR);
        let mut status = WindowStatus::default();
        for (n, class) in window_jobs {
            world.submit(*n, class);
            world.now_ms += 1000;
            status = world.step(&spec, &status);
        }
        let claims = status.current.clone().map_or(Vec::new(), |i| i.claims);
        let mut has: Vec<(usize, u32)> =
            claims.iter().map(|c| (c.job["run-".len()..].parse().unwrap(), c.turn)).collect();
        let mut want = want.to_vec();
        has.sort_unstable();
        want.sort_unstable();
        assert_eq!(has, want, "{name}");
    }
    let spec = window(json!({}));
    let mut world = World::at(MIDNIGHT + 6 * HOUR);
    (1..=2).for_each(|n| world.submit(n, "plan"));
    let status = world.step(&spec, &WindowStatus::default());
    world.set(1, JobProgress::Cancelled);
    world.submit(3, "plan");
    let claims = world.step(&spec, &status).current.unwrap().claims;
    assert_eq!(claims.iter().map(|c| c.turn).collect::<Vec<_>>(), [1, 2, 3], "turn 1 stays that of the withdrawn");
    assert_eq!(claims[0].end, Some(ClaimEnd::Cancelled));
}

/// Whose turn it is: the one before has begun or is over, or waiting on would cost a window.
#[test]
fn turn_advances_by_cases() {
    let spec = window(json!({"turns": ["roster", "plan"], "early_s": 600}));
    let mut world = World::at(MIDNIGHT + 6 * HOUR - 60_000);
    let turn = |status: &WindowStatus| status.current.as_ref().map_or(0, |i| i.turn);
    world.submit(2, "plan");
    let mut status = world.step(&spec, &WindowStatus::default());
    assert_eq!((turn(&status), world.intents(&spec, &status, PLENTY).deferred_jobs.len()), (0, 1), "not open yet");
    world.now_ms += 60_000;
    status = world.step(&spec, &status);
    assert_eq!(turn(&status), 1, "turn 1 is awaited");
    let mut awaited = status.clone();
    world.now_ms = MIDNIGHT + 8 * HOUR - (EXPECTED_S * 1000.0 * 1.2) as u64 - 1;
    awaited = world.step(&spec, &awaited);
    assert_eq!((turn(&awaited), awaited.current.as_ref().unwrap().unclaimed), (1, false));
    world.now_ms += 1;
    awaited = world.step(&spec, &awaited);
    assert_eq!((turn(&awaited), awaited.current.as_ref().unwrap().unclaimed), (2, true), "nobody claimed it in time");

    world.now_ms = MIDNIGHT + 6 * HOUR + 60_000;
    world.submit(1, "roster");
    status = world.step(&spec, &status);
    let intents = world.intents(&spec, &status, PLENTY);
    assert_eq!((turn(&status), intents.window_turns.len(), intents.deferred_jobs.len()), (1, 1, 1));
    // It waits for room: the other goes once it would be too late itself.
    let mut waits = status.clone();
    world.now_ms = MIDNIGHT + 8 * HOUR - (EXPECTED_S * 1000.0) as u64;
    waits = world.step(&spec, &waits);
    assert_eq!((turn(&waits), waits.current.as_ref().unwrap().late), (2, true));
    assert_eq!(
        world.intents(&spec, &waits, PLENTY).window_turns[&JobId::from("run-1")].position,
        1,
        "it stays the first"
    );

    world.now_ms = MIDNIGHT + 6 * HOUR + 61_000;
    world.begin(1);
    let after = world.step(&spec, &status);
    assert_eq!(turn(&after), 2);
    assert_eq!(world.intents(&spec, &status, PLENTY).deferred_jobs.len(), 1, "not before it is stored");
    assert_eq!(world.intents(&spec, &after, PLENTY).deferred_jobs.len(), 0);
    world.now_ms = MIDNIGHT;
    assert_eq!(turn(&world.step(&spec, &after)), 2, "a clock that steps back takes no turn back");
}

/// Room is asked for ahead of the opening, within what is expected and what the team may take, and
/// given back where nobody claims.
#[test]
fn reserved_capacity_by_cases() {
    let tasks = |fields: Value, hours: f64, left: RemainingQuota| {
        let world = World::at(MIDNIGHT + (hours * HOUR as f64) as u64);
        let intents = world.intents(&window(fields), &WindowStatus::default(), left);
        intents.capacity.iter().map(|capacity| (capacity.tasks, capacity.needed_in_s)).collect::<Vec<_>>()
    };
    let some = |cpus| RemainingQuota { cpus, gpus: 0.0 };
    for (name, fields, hours, left, want) in [
        ("nothing declared, never used", json!({}), 6.0, PLENTY, vec![]),
        ("long before", json!({"cores": 12.0}), 5.5, PLENTY, vec![]),
        ("soon", json!({"cores": 12.0}), 5.9, PLENTY, vec![(12, 360.0)]),
        ("open", json!({"cores": 12.0}), 6.1, PLENTY, vec![(12, 0.0)]),
        ("a while after", json!({"cores": 12.0}), 6.2, PLENTY, vec![]),
        ("kept for longer", json!({"cores": 12.0, "room_s": 7200}), 7.7, PLENTY, vec![(12, 0.0)]),
        ("past the latest start", json!({"cores": 12.0, "room_s": 7200}), 7.81, PLENTY, vec![]),
        ("all that its team has left", json!({"cores": 12.0}), 6.0, some(5.5), vec![(5, 0.0)]),
        ("its team has nothing left", json!({"cores": 12.0}), 6.0, some(-3.0), vec![]),
    ] {
        assert_eq!(tasks(fields, hours, left), want, "{name}");
    }

    // What was used is remembered, and half of it is asked for once one of two has claimed.
    let spec = window(json!({}));
    let mut world = World::at(MIDNIGHT + 6 * HOUR);
    (1..=2).for_each(|n| world.submit(n, "plan"));
    let mut status = world.step(&spec, &WindowStatus::default());
    (1..=2).for_each(|n| world.set(n, JobProgress::Done { at_ms: None }));
    status = world.step(&spec, &status);
    world.now_ms += 24 * HOUR;
    assert_eq!(world.intents(&spec, &status, PLENTY).capacity.iter().map(|r| r.tasks).sum::<u64>(), 2);
    world.submit(3, "plan");
    status = world.step(&spec, &status);
    assert_eq!(world.intents(&spec, &status, PLENTY).capacity.iter().map(|r| r.tasks).sum::<u64>(), 1);

    // A gang whose turn has not come has whole room or none.
    for (cores, want) in [(7.0, 0), (8.0, 8)] {
        let spec = window(json!({"turns": ["roster", "plan"], "cores": cores, "room_s": 0}));
        let mut world = World::at(MIDNIGHT + 6 * HOUR);
        let mut gang = JobSpec::clone(&job(1, "plan", 0).spec);
        (gang.shape, gang.tasks) = (Shape::Gang, 8);
        world.submit(1, "plan");
        world.jobs[0] = Arc::new(JobRecord { spec: gang, accepted_ms: world.now_ms });
        let status = world.step(&spec, &WindowStatus::default());
        let capacity = world.intents(&spec, &status, PLENTY).capacity;
        assert_eq!(capacity.iter().map(|r| r.tasks).sum::<u64>(), want, "{cores}");
    }
}

/// A job has a turn in one window at the most, and a claim that is stored stays.
#[test]
fn jobs_belong_to_one_window() {
    let declared_window =
        |name: &str, fields: Value| DeclaredWindow::new(name, window(fields), WindowStatus::default());
    let at = MIDNIGHT + 7 * HOUR;
    let of = |windows: &[DeclaredWindow], record: &Arc<JobRecord>| -> Vec<String> {
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
    assert_eq!(of(&windows, &job(1, "plan", at)), ["b"], "the first to close, then by name");
    assert_eq!(of(&windows, &job(7, "plan", at)), ["d"], "who names it");
    assert_eq!(of(&windows, &job(1, "plan", at + 2 * HOUR + HOUR / 2)), ["d"]);
    assert_eq!(of(&windows, &job(1, "plan", at + 5 * HOUR)), [""; 0]);
    let mut service = JobSpec::clone(&job(1, "plan", at).spec);
    service.shape = Shape::Service;
    assert_eq!(of(&windows, &Arc::new(JobRecord { spec: service, accepted_ms: at })), [""; 0]);
    // The window that it belongs to has ended: it goes to no other.
    let mut world = World::at(MIDNIGHT + 8 * HOUR + GRACE_MS);
    windows[1].status = world.step(&windows[1].spec, &WindowStatus::default());
    assert_eq!(of(&windows, &job(1, "plan", at)), [""; 0]);
    // Claimed by one: no other takes it, whatever is declared later.
    world.now_ms = at;
    world.submit(1, "plan");
    windows[2].status = world.step(&windows[2].spec, &WindowStatus::default());
    windows[1].status = WindowStatus::default();
    assert_eq!(of(&windows, &job(1, "plan", at)), [""; 0]);
}

/// Missed ones are told once a stage, kept until confirmed, and bounded; what is dropped is told.
#[test]
fn stages_are_reported_once_and_missed_instances_kept() {
    let mut spec = window(json!({}));
    let mut world = World::at(MIDNIGHT + 5 * HOUR);
    let mut status = world.step(&spec, &WindowStatus::default());
    let mut events = Vec::new();
    for minutes in [180, 181, 183, 184, 200] {
        world.now_ms = MIDNIGHT + (5 * 60 + minutes) * 60_000;
        let after = world.step(&spec, &status);
        events.extend(status_events(&status, &after));
        status = after;
    }
    let [WindowEvent::Unclaimed(day), WindowEvent::Closed(closed)] = events.as_slice() else {
        panic!("not each once: {events:?}")
    };
    assert_eq!(format_day(*day), "2026-12-02");
    assert_eq!(describe_closed(closed), "2026-12-02 missed: unclaimed (0 of 2 claimed, 0 done in time)");
    assert!(describe(&spec, &status, world.now_ms).iter().any(|l| l.contains("2026-12-02 missed: unclaimed")));

    // Twenty days on, and nobody looked: all are told in order, with how late.
    world.now_ms += 20 * 24 * HOUR;
    let after = world.step(&spec, &status);
    let days: Vec<Day> = after.missed.iter().map(|e| e.day).collect();
    assert_eq!(days, ((DAY + 5)..=(DAY + 20)).collect::<Vec<_>>());
    assert_eq!(after.dropped.unwrap().count, 5);
    let events = status_events(&status, &after);
    assert_eq!(events.len(), 17, "each that is kept, and how many are not: {events:?}");
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

/// A status has to fit what a value may take, whatever a day brings.
#[test]
fn the_largest_status_fits() {
    let spec = window(json!({"jobs": 32}));
    let mut world = World::at(MIDNIGHT + 7 * HOUR);
    let mut status = WindowStatus::default();
    for day in 0..20 {
        world.now_ms = MIDNIGHT + day * 24 * HOUR + 7 * HOUR;
        (0..32).for_each(|n| world.submit(10_000_000_000_000_000 + (day * 32) as usize + n, "plan"));
        status = world.step(&spec, &status);
        for (_, progress) in world.progress_by_job.iter_mut() {
            *progress = JobProgress::Done { at_ms: Some(world.now_ms + 3 * HOUR) };
        }
        status = world.step(&spec, &status);
    }
    assert_eq!((status.missed.len(), status.current.as_ref().unwrap().claims.len()), (16, 32));
    let bytes = serde_json::to_vec(&status).unwrap().len();
    assert!(bytes + 1200 < crate::declarations::records::MAX_VALUE_BYTES, "{bytes}");
    assert_eq!(serde_json::from_slice::<WindowStatus>(&serde_json::to_vec(&status).unwrap()).unwrap(), status);
}
