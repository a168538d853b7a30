//! Rules by cases: what is refused, the hours, what is hot, on and off through time; then several controllers.

mod interleaved_simulation;

use super::backlog::{BACKLOG_STAGES_S, Backlog};
use super::decide::HeatChange;
use super::readings::{MAX_CLOCK_SKEW_MS, median_reading};
use super::rule::HeatSignal;
use super::*;
use crate::declarations::DeclarationKind;

const MINUTE: u64 = 60_000;
const HOUR: u64 = 60 * MINUTE;
/// Midnight before the 14th of July 2026 in UTC, in ms since 1970.
const DAY: u64 = 1_783_987_200_000;

/// From 11:00 to 15:00 an hour ahead of UTC: 10:00 to 14:00 in UTC.
fn rule() -> HeatRule {
    serde_json::from_value(serde_json::json!({
        "classes": ["vents"], "from": "11:00", "to": "15:00", "offset_min": 60,
        "sensors": ["a", "b", "c"], "hot_above": 32.0, "over_below": 29.0, "hot_days": ["2026-07-20"],
        "fresh_s": 900.0, "assume": "not", "longest_s": 7200.0, "most_part": 0.5,
    }))
    .unwrap()
}

fn read(value: f64, at_ms: u64) -> Reading {
    Reading { value, at_ms }
}

/// A mistake in a spec must not be found at noon: each is named by field and value.
#[test]
fn bad_rules_are_refused_by_field_and_value() {
    type Change = fn(&mut HeatRule);
    let cases: [(&str, Change); 16] = [
        ("", |_| ()),
        ("", |r| (r.classes, r.teams) = (vec![], vec!["growers".into()])),
        ("", |r| (r.sensors, r.hot_above, r.over_below) = (vec![], None, None)),
        ("classes: []", |r| r.classes.clear()),
        ("classes: \"vent\"", |r| r.classes = vec!["vent".into()]),
        ("teams: \"red\"", |r| r.teams = vec!["red".into()]),
        ("to: 11:00:00", |r| r.to = r.from),
        ("offset_min: 900", |r| r.offset_min = 900),
        ("hot_above: is needed", |r| r.hot_above = None),
        ("hot_above: NaN", |r| r.hot_above = Some(f64::NAN)),
        ("over_below: 33 is above", |r| r.over_below = Some(33.0)),
        ("assume: \"not\"", |r| (r.sensors, r.hot_days) = (vec![], vec![])),
        ("sensors: 17", |r| r.sensors = vec!["a".into(); 17]),
        ("fresh_s: 0", |r| r.fresh_s = 0.0),
        ("longest_s: NaN", |r| r.longest_s = f64::NAN),
        ("most_part: 1 ", |r| r.most_part = 1.0),
    ];
    for (want, change) in cases {
        let mut rule = rule();
        change(&mut rule);
        match rule.check(&["vents"], &["growers"]) {
            Ok(()) => assert_eq!(want, ""),
            Err(problem) => assert!(!want.is_empty() && problem.to_string().starts_with(want), "{want}: {problem}"),
        }
    }
    for (field, value) in
        [("from", "25:00"), ("to", "noon"), ("hot_days", "2026-02-30"), ("assume", "maybe"), ("name", "x")]
    {
        let mut spec = serde_json::to_value(rule()).unwrap();
        spec[field] = if field == "hot_days" { serde_json::json!([value]) } else { value.into() };
        assert!(serde_json::from_value::<HeatRule>(spec).is_err(), "{field}");
    }
}

/// What operators copy must be well formed.
#[test]
fn the_example_can_be_declared() {
    let mut rules: Vec<serde_json::Value> =
        serde_json::from_str(include_str!("../../../deploy/example-heat.json")).unwrap();
    for rule in &mut rules {
        rule.as_object_mut().unwrap().remove("name");
        let rule: HeatRule = serde_json::from_value(rule.clone()).unwrap();
        assert_eq!(rule.check(&["airflow-solve"], &[]), Ok(()));
    }
}

#[test]
fn hours_by_cases() {
    // (name, from, to, offset, moment, day and when they began and end in hours since the 14th in UTC)
    type Case = (&'static str, &'static str, &'static str, i32, i64, Option<(&'static str, i64, i64)>);
    let h = 60;
    let cases: [Case; 9] = [
        ("before", "11:00", "15:00", 60, 10 * h - 1, None),
        ("at the beginning", "11:00", "15:00", 60, 10 * h, Some(("2026-07-14", 10, 14))),
        ("at the end", "11:00", "15:00", 60, 14 * h, None),
        ("over midnight, before it", "22:00", "02:00", 0, 23 * h, Some(("2026-07-14", 22, 26))),
        ("over midnight, after it", "22:00", "02:00", 0, 25 * h, Some(("2026-07-14", 22, 26))),
        ("over midnight, at noon", "22:00", "02:00", 0, 12 * h, None),
        ("until midnight", "20:00", "00:00", 0, 24 * h - 1, Some(("2026-07-14", 20, 24))),
        ("another day here than in UTC", "11:00", "15:00", 840, -2 * h, Some(("2026-07-14", -3, 1))),
        ("a day behind", "20:00", "22:00", -600, 7 * h, Some(("2026-07-13", 6, 8))),
    ];
    for (name, from, to, offset_min, minute, want) in cases {
        let rule = HeatRule { from: from.parse().unwrap(), to: to.parse().unwrap(), offset_min, ..rule() };
        let ms = |minutes: i64| (DAY as i64 + minutes * MINUTE as i64) as u64;
        let want = want.map(|(day, begin, end)| rule::RuleHours {
            day: day.parse().unwrap(),
            begin_ms: ms(begin * h),
            end_ms: ms(end * h),
        });
        assert_eq!(rule.hours_at(ms(minute)), want, "{name}");
    }
}

/// Contradictory readings are settled by a stated rule, and old or future ones do not count.
#[test]
fn heat_signal_by_cases() {
    let now = DAY + 11 * HOUR;
    let hours = rule().hours_at(now).unwrap();
    // (name, readings as (value, minutes ago), what is thought)
    type Case = (&'static str, &'static [(f64, i64)], HeatSignal);
    let cases: [Case; 10] = [
        ("nothing read", &[], HeatSignal::Unknown),
        ("one is hot", &[(33.0, 1)], HeatSignal::Hot(33.0)),
        ("at the threshold", &[(32.0, 1)], HeatSignal::Between(32.0)),
        ("at the other", &[(29.0, 1)], HeatSignal::Between(29.0)),
        ("over", &[(28.9, 1)], HeatSignal::Over(28.9)),
        ("one wrong sensor of three", &[(33.0, 1), (34.0, 2), (-40.0, 1)], HeatSignal::Hot(33.0)),
        ("one wrong sensor the other way", &[(20.0, 1), (90.0, 2), (21.0, 1)], HeatSignal::Over(21.0)),
        ("a tie is hot", &[(33.0, 1), (20.0, 1)], HeatSignal::Hot(33.0)),
        ("the old one does not count", &[(33.0, 16), (20.0, 15)], HeatSignal::Over(20.0)),
        ("nor the one of tomorrow", &[(33.0, -2), (20.0, -1)], HeatSignal::Over(20.0)),
    ];
    for (name, readings, want) in cases {
        let at = |ago: i64| (now as i64 - ago * MINUTE as i64) as u64;
        let readings: Vec<Reading> = readings.iter().map(|(value, ago)| read(*value, at(*ago))).collect();
        assert_eq!(rule().assess(&hours, readings.iter(), now), want, "{name}");
    }
    let hot_day = HeatRule { hot_days: vec![hours.day], ..rule() };
    assert_eq!(hot_day.assess(&hours, [read(1.0, now)].iter(), now), HeatSignal::HotDay);
    assert_eq!(median_reading([f64::NAN].into_iter()), None);
}

/// On and off as time goes on: minutes since 10:00 in UTC, what is read then, and what holds after it.
#[test]
fn rule_switches_on_and_off_through_time() {
    let hot_assumed = HeatRule { assume: rule::AssumedHeat::Hot, ..rule() };
    let nights =
        HeatRule { from: "23:00".parse().unwrap(), to: "01:00".parse().unwrap(), offset_min: 0, ..hot_assumed.clone() };
    let tenth = |days: u64| (days * 24 * 60) as i64;
    type Step = (i64, Option<f64>, bool, HeatReason);
    let cases: [(&str, HeatRule, Vec<Step>); 7] = [
        (
            "hysteresis: between the thresholds it stays as it is",
            rule(),
            vec![
                (-1, Some(40.0), false, HeatReason::Hours),
                (0, Some(31.0), false, HeatReason::Hours),
                (1, Some(33.0), true, HeatReason::Hot(33.0)),
                (9, Some(30.0), true, HeatReason::Hot(33.0)),
                (12, Some(28.0), false, HeatReason::Over(28.0)),
                (13, Some(31.0), false, HeatReason::Over(28.0)),
                (14, Some(33.0), true, HeatReason::Hot(33.0)),
            ],
        ),
        (
            "without readings what the rule says: not hot",
            rule(),
            vec![(1, Some(33.0), true, HeatReason::Hot(33.0)), (20, None, false, HeatReason::NoReading)],
        ),
        (
            "without readings what the rule says: hot, until one tells",
            hot_assumed.clone(),
            vec![(0, None, true, HeatReason::AssumedHot), (20, Some(20.0), false, HeatReason::Over(20.0))],
        ),
        (
            "runs out by itself, and not on again in these hours; the next day it is new",
            rule(),
            vec![
                (5, Some(33.0), true, HeatReason::Hot(33.0)),
                (124, Some(33.0), true, HeatReason::Hot(33.0)),
                (125, Some(33.0), false, HeatReason::RanOut),
                (200, Some(20.0), false, HeatReason::RanOut),
                (239, Some(40.0), false, HeatReason::RanOut),
                (tenth(1) + 1, Some(33.0), true, HeatReason::Hot(33.0)),
            ],
        ),
        (
            "nobody was there at the end: what was on ends first",
            rule(),
            vec![
                (200, Some(33.0), true, HeatReason::Hot(33.0)),
                (tenth(1) + 2, Some(30.0), false, HeatReason::Hours),
                (tenth(1) + 3, Some(30.0), false, HeatReason::Hours),
                (tenth(1) + 4, Some(33.0), true, HeatReason::Hot(33.0)),
            ],
        ),
        (
            "a declared day, whatever is read",
            rule(),
            vec![(tenth(6), Some(10.0), true, HeatReason::HotDay), (tenth(6) + 119, None, true, HeatReason::HotDay)],
        ),
        (
            "over midnight it is one stretch",
            nights,
            vec![
                (780, None, true, HeatReason::AssumedHot),
                (899, None, true, HeatReason::AssumedHot),
                (900, None, false, HeatReason::Hours),
            ],
        ),
    ];
    for (name, rule, steps) in cases {
        let mut status = HeatStatus::default();
        for (minute, value, on, reason) in steps {
            let now = (DAY as i64 + 10 * HOUR as i64 + minute * MINUTE as i64) as u64;
            let readings: Vec<Reading> = value.into_iter().map(|v| read(v, now)).collect();
            let next = decide_heat(&rule, &status, readings.iter(), 7, now);
            let changed = next.is_some();
            status = next.unwrap_or(status);
            assert_eq!((status.on, status.reason), (on, reason), "{name}: minute {minute}");
            assert_eq!(status.applies_at(now), on, "{name}: minute {minute}");
            assert_eq!(
                decide_heat(&rule, &status, readings.iter(), 8, now),
                None,
                "{name}: once is enough, minute {minute}"
            );
            assert!(!changed || status.fencing_token == 7 && status.history.len() <= 8);
        }
    }
}

/// What is stored holds no longer than it says, whoever is there to end it, and clocks that step.
#[test]
fn ends_and_clocks_by_cases() {
    let (rule, at) = (rule(), DAY + 11 * HOUR);
    let decided = |status: &HeatStatus, value: f64, now| decide_heat(&rule, status, [read(value, now)].iter(), 9, now);
    let on = decided(&HeatStatus::default(), 33.0, at).unwrap();
    assert_eq!((on.until_ms, on.fencing_token), (at + 2 * HOUR, 9));
    assert!(on.applies_at(at + 2 * HOUR - 1) && !on.applies_at(at + 2 * HOUR), "without anybody who writes");
    // A successor whose clock is behind undoes nothing, though it is before the hours by its own.
    let early = decided(&HeatStatus::default(), 33.0, DAY + 10 * HOUR).unwrap();
    assert_eq!(decided(&early, 31.0, DAY + 10 * HOUR - 20_000), None);
    assert!(early.applies_at(DAY + 10 * HOUR - 20_000));
    // What a clock that was far ahead has decided does not hold, and is decided anew.
    let wrong = decided(&HeatStatus::default(), 33.0, at + 24 * HOUR).unwrap();
    assert!(!wrong.applies_at(at));
    let mended = decided(&wrong, 33.0, at).unwrap();
    assert_eq!((mended.on, mended.reason), (false, HeatReason::Clock));
    assert!(decided(&mended, 33.0, at).unwrap().on);
    assert!(wrong.since_ms > at + MAX_CLOCK_SKEW_MS);
    // The operator changes the rule: what is on ends by what it says now.
    let shorter = HeatRule { longest_s: 3600.0, ..rule.clone() };
    let next = decide_heat(&shorter, &on, [read(33.0, at)].iter(), 9, at).unwrap();
    assert_eq!((next.on, next.until_ms, next.history.len()), (true, at + HOUR, 1));
    let out = decide_heat(&shorter, &on, [read(33.0, at)].iter(), 9, at + HOUR).unwrap();
    assert_eq!((out.on, out.reason, out.ran_out_of_ms), (false, HeatReason::RanOut, Some(at)));
    // And longer again: the rest of the longer time is left.
    let again = decide_heat(&rule, &out, [read(33.0, at + HOUR)].iter(), 9, at + HOUR).unwrap();
    assert_eq!((again.on, again.until_ms), (true, at + 2 * HOUR));
    let moved = HeatRule { from: "13:00".parse().unwrap(), ..rule.clone() };
    assert_eq!(
        decide_heat(&moved, &on, [].iter(), 9, at + 1000).map(|s| (s.on, s.reason)),
        Some((false, HeatReason::Hours))
    );
}

#[test]
fn history_is_bounded() {
    let mut status = HeatStatus::default();
    for n in 0..40u64 {
        let now = DAY + 10 * HOUR + n * 1000;
        let value = if n % 2 == 0 { 33.0 } else { 20.0 };
        status = decide_heat(&rule(), &status, [read(value, now)].iter(), n, now).unwrap();
    }
    let epochs: Vec<u64> = status.history.iter().map(|change: &HeatChange| change.fencing_token).collect();
    assert_eq!(epochs, (32..40).collect::<Vec<u64>>());
    assert!(serde_json::to_string(&status).unwrap().len() < 1024);
}

/// Each stage is told once, what waits is told each minute, and the end of it too.
#[test]
fn backlog_is_reported_by_cases() {
    let waits = |jobs, oldest_s: u64, minute: u64| Backlog {
        jobs,
        oldest_s,
        oldest: (jobs > 0).then(|| "run-000001".into()),
        as_of_ms: DAY + minute * MINUTE,
        stage: BACKLOG_STAGES_S.iter().filter(|s| oldest_s >= **s).count(),
    };
    // (name, what was told, what is, told and the stage)
    type Case = (&'static str, Option<Backlog>, Backlog, Option<usize>);
    let cases: [Case; 8] = [
        ("waits a little", None, waits(3, 59, 1), None),
        ("the first stage", None, waits(3, 60, 1), Some(1)),
        ("the same stage, at once", Some(waits(3, 60, 1)), waits(4, 80, 1), None),
        ("the same stage, a minute later", Some(waits(3, 60, 1)), waits(4, 120, 2), Some(1)),
        ("the next stage, at once", Some(waits(3, 60, 1)), waits(4, 240, 1), Some(2)),
        ("no longer", Some(waits(3, 240, 1)), waits(0, 0, 1), Some(2)),
        ("still nothing", Some(waits(0, 0, 1)), waits(0, 0, 9), None),
        ("again, and a stage that was told", Some(Backlog { stage: 2, ..waits(0, 0, 1) }), waits(1, 70, 3), Some(2)),
    ];
    for (name, before, now, want) in cases {
        assert_eq!(Backlog::next(before.as_ref(), now).map(|w| w.stage), want, "{name}");
    }
}
