//! Tests of heat rules: validation, active hours, evaluation of readings, switching over time, and backlog reports.
//! `interleaved_simulation` covers several controllers.

mod interleaved_simulation;

use super::backlog::{BACKLOG_STAGES_S, Backlog};
use super::decide::HeatChange;
use super::readings::{MAX_CLOCK_SKEW_MS, median_reading};
use super::rule::HeatSignal;
use super::*;
use crate::declarations::DeclarationKind;

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;
/// 2026-07-14 00:00 UTC, in Unix milliseconds.
const MIDNIGHT_MS: u64 = 1_783_987_200_000;

/// Rule active from 11:00 to 15:00 at UTC+1, which is 10:00 to 14:00 UTC.
fn rule() -> HeatRule {
    serde_json::from_value(serde_json::json!({
        "classes": ["vents"], "from": "11:00", "to": "15:00", "offset_min": 60,
        "sensors": ["a", "b", "c"], "hot_above": 32.0, "over_below": 29.0, "hot_days": ["2026-07-20"],
        "fresh_s": 900.0, "assume": "not", "longest_s": 7200.0, "most_part": 0.5,
    }))
    .unwrap()
}

fn reading(value: f64, at_ms: u64) -> Reading {
    Reading { value, at_ms }
}

/// An invalid specification must be rejected when it is declared, not found when the rule is due to apply. The error
/// names the field and its value.
#[test]
fn invalid_rules_are_rejected_with_field_and_value() {
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

/// Operators copy the example file, so it must be valid.
#[test]
fn example_rules_are_valid() {
    let mut rules: Vec<serde_json::Value> =
        serde_json::from_str(include_str!("../../../deploy/example-heat.json")).unwrap();
    for rule in &mut rules {
        rule.as_object_mut().unwrap().remove("name");
        let rule: HeatRule = serde_json::from_value(rule.clone()).unwrap();
        assert_eq!(rule.check(&["airflow-solve"], &[]), Ok(()));
    }
}

#[test]
fn hours_at_returns_the_active_hours_containing_a_time() {
    // (name, from, to, offset in minutes, minutes since MIDNIGHT_MS, expected local day with begin and end in hours
    // since MIDNIGHT_MS)
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
        let ms = |minutes: i64| (MIDNIGHT_MS as i64 + minutes * MINUTE_MS as i64) as u64;
        let want = want.map(|(day, begin, end)| rule::RuleHours {
            day: day.parse().unwrap(),
            begin_ms: ms(begin * h),
            end_ms: ms(end * h),
        });
        assert_eq!(rule.hours_at(ms(minute)), want, "{name}");
    }
}

/// Contradictory readings are resolved by their median; stale readings and readings from the future are ignored.
#[test]
fn assess_uses_the_median_of_fresh_readings() {
    let now = MIDNIGHT_MS + 11 * HOUR_MS;
    let hours = rule().hours_at(now).unwrap();
    // (name, readings as (value, age in minutes), expected signal)
    type Case = (&'static str, &'static [(f64, i64)], HeatSignal);
    let cases: [Case; 10] = [
        ("no reading", &[], HeatSignal::Unknown),
        ("one hot reading", &[(33.0, 1)], HeatSignal::Hot(33.0)),
        ("at the upper threshold", &[(32.0, 1)], HeatSignal::Between(32.0)),
        ("at the lower threshold", &[(29.0, 1)], HeatSignal::Between(29.0)),
        ("below the lower threshold", &[(28.9, 1)], HeatSignal::Over(28.9)),
        ("one of three sensors too low", &[(33.0, 1), (34.0, 2), (-40.0, 1)], HeatSignal::Hot(33.0)),
        ("one of three sensors too high", &[(20.0, 1), (90.0, 2), (21.0, 1)], HeatSignal::Over(21.0)),
        ("a tie counts as hot", &[(33.0, 1), (20.0, 1)], HeatSignal::Hot(33.0)),
        ("a stale reading is ignored", &[(33.0, 16), (20.0, 15)], HeatSignal::Over(20.0)),
        ("a reading too far in the future is ignored", &[(33.0, -2), (20.0, -1)], HeatSignal::Over(20.0)),
    ];
    for (name, readings, want) in cases {
        let at = |ago: i64| (now as i64 - ago * MINUTE_MS as i64) as u64;
        let readings: Vec<Reading> = readings.iter().map(|(value, ago)| reading(*value, at(*ago))).collect();
        assert_eq!(rule().assess(&hours, readings.iter(), now), want, "{name}");
    }
    let hot_day = HeatRule { hot_days: vec![hours.day], ..rule() };
    assert_eq!(hot_day.assess(&hours, [reading(1.0, now)].iter(), now), HeatSignal::HotDay);
    assert_eq!(median_reading([f64::NAN].into_iter()), None);
}

/// Each step states the minutes since 10:00 UTC, the reading at that time, and the expected state and reason.
#[test]
fn rule_switches_on_and_off_through_time() {
    let hot_assumed = HeatRule { assume: rule::AssumedHeat::Hot, ..rule() };
    let overnight =
        HeatRule { from: "23:00".parse().unwrap(), to: "01:00".parse().unwrap(), offset_min: 0, ..hot_assumed.clone() };
    let ten_oclock = |days: u64| (days * 24 * 60) as i64;
    type Step = (i64, Option<f64>, bool, HeatReason);
    let cases: [(&str, HeatRule, Vec<Step>); 7] = [
        (
            "hysteresis: between the thresholds the state is kept",
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
            "without readings, assume \"not\" switches off",
            rule(),
            vec![(1, Some(33.0), true, HeatReason::Hot(33.0)), (20, None, false, HeatReason::NoReading)],
        ),
        (
            "without readings, assume \"hot\" switches on until a reading arrives",
            hot_assumed.clone(),
            vec![(0, None, true, HeatReason::AssumedHot), (20, Some(20.0), false, HeatReason::Over(20.0))],
        ),
        (
            "switches off after its maximum duration, stays off for these hours, and may apply again the next day",
            rule(),
            vec![
                (5, Some(33.0), true, HeatReason::Hot(33.0)),
                (124, Some(33.0), true, HeatReason::Hot(33.0)),
                (125, Some(33.0), false, HeatReason::RanOut),
                (200, Some(20.0), false, HeatReason::RanOut),
                (239, Some(40.0), false, HeatReason::RanOut),
                (ten_oclock(1) + 1, Some(33.0), true, HeatReason::Hot(33.0)),
            ],
        ),
        (
            "no leader at the scheduled end: the rule is switched off before it can be switched on again",
            rule(),
            vec![
                (200, Some(33.0), true, HeatReason::Hot(33.0)),
                (ten_oclock(1) + 2, Some(30.0), false, HeatReason::Hours),
                (ten_oclock(1) + 3, Some(30.0), false, HeatReason::Hours),
                (ten_oclock(1) + 4, Some(33.0), true, HeatReason::Hot(33.0)),
            ],
        ),
        (
            "a declared hot day applies regardless of readings",
            rule(),
            vec![
                (ten_oclock(6), Some(10.0), true, HeatReason::HotDay),
                (ten_oclock(6) + 119, None, true, HeatReason::HotDay),
            ],
        ),
        (
            "hours that pass midnight are one period",
            overnight,
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
            let now = (MIDNIGHT_MS as i64 + 10 * HOUR_MS as i64 + minute * MINUTE_MS as i64) as u64;
            let readings: Vec<Reading> = value.into_iter().map(|v| reading(v, now)).collect();
            let next = decide_heat(&rule, &status, readings.iter(), 7, now);
            let changed = next.is_some();
            status = next.unwrap_or(status);
            assert_eq!((status.on, status.reason), (on, reason), "{name}: minute {minute}");
            assert_eq!(status.applies_at(now), on, "{name}: minute {minute}");
            assert_eq!(
                decide_heat(&rule, &status, readings.iter(), 8, now),
                None,
                "{name}: decided again at minute {minute}"
            );
            assert!(!changed || status.fencing_token == 7 && status.history.len() <= 8);
        }
    }
}

/// A stored status applies no longer than its end, even if no leader writes the change, and decisions tolerate clock
/// steps and changed rules.
#[test]
fn status_ends_on_time_despite_clock_steps_and_rule_changes() {
    let (rule, at_ms) = (rule(), MIDNIGHT_MS + 11 * HOUR_MS);
    let decide =
        |status: &HeatStatus, value: f64, now| decide_heat(&rule, status, [reading(value, now)].iter(), 9, now);
    let on = decide(&HeatStatus::default(), 33.0, at_ms).unwrap();
    assert_eq!((on.until_ms, on.fencing_token), (at_ms + 2 * HOUR_MS, 9));
    assert!(
        on.applies_at(at_ms + 2 * HOUR_MS - 1) && !on.applies_at(at_ms + 2 * HOUR_MS),
        "the rule must end even if no leader writes the change"
    );
    // A new leader whose clock is behind undoes no decision, although the hours have not begun by its own clock.
    let early = decide(&HeatStatus::default(), 33.0, MIDNIGHT_MS + 10 * HOUR_MS).unwrap();
    assert_eq!(decide(&early, 31.0, MIDNIGHT_MS + 10 * HOUR_MS - 20_000), None);
    assert!(early.applies_at(MIDNIGHT_MS + 10 * HOUR_MS - 20_000));
    // A decision made with a clock far in the future does not apply, and is made again.
    let wrong = decide(&HeatStatus::default(), 33.0, at_ms + 24 * HOUR_MS).unwrap();
    assert!(!wrong.applies_at(at_ms));
    let corrected = decide(&wrong, 33.0, at_ms).unwrap();
    assert_eq!((corrected.on, corrected.reason), (false, HeatReason::Clock));
    assert!(decide(&corrected, 33.0, at_ms).unwrap().on);
    assert!(wrong.since_ms > at_ms + MAX_CLOCK_SKEW_MS);
    // After the operator changes the rule, the end follows the changed rule.
    let shorter = HeatRule { longest_s: 3600.0, ..rule.clone() };
    let next = decide_heat(&shorter, &on, [reading(33.0, at_ms)].iter(), 9, at_ms).unwrap();
    assert_eq!((next.on, next.until_ms, next.history.len()), (true, at_ms + HOUR_MS, 1));
    let out = decide_heat(&shorter, &on, [reading(33.0, at_ms)].iter(), 9, at_ms + HOUR_MS).unwrap();
    assert_eq!((out.on, out.reason, out.ran_out_of_ms), (false, HeatReason::RanOut, Some(at_ms)));
    // When the duration is extended again, the rest of the longer duration remains.
    let again = decide_heat(&rule, &out, [reading(33.0, at_ms + HOUR_MS)].iter(), 9, at_ms + HOUR_MS).unwrap();
    assert_eq!((again.on, again.until_ms), (true, at_ms + 2 * HOUR_MS));
    let moved = HeatRule { from: "13:00".parse().unwrap(), ..rule.clone() };
    assert_eq!(
        decide_heat(&moved, &on, [].iter(), 9, at_ms + 1000).map(|s| (s.on, s.reason)),
        Some((false, HeatReason::Hours))
    );
}

#[test]
fn status_keeps_the_last_eight_changes() {
    let mut status = HeatStatus::default();
    for n in 0..40u64 {
        let now = MIDNIGHT_MS + 10 * HOUR_MS + n * 1000;
        let value = if n % 2 == 0 { 33.0 } else { 20.0 };
        status = decide_heat(&rule(), &status, [reading(value, now)].iter(), n, now).unwrap();
    }
    let fencing_tokens: Vec<u64> = status.history.iter().map(|change: &HeatChange| change.fencing_token).collect();
    assert_eq!(fencing_tokens, (32..40).collect::<Vec<u64>>());
    assert!(serde_json::to_string(&status).unwrap().len() < 1024);
}

/// The backlog is reported once at each stage, then every minute, and once when it is empty again.
#[test]
fn backlog_is_reported_at_stages_at_intervals_and_when_empty() {
    let backlog = |jobs, oldest_s: u64, minute: u64| Backlog {
        jobs,
        oldest_s,
        oldest: (jobs > 0).then(|| "run-000001".into()),
        as_of_ms: MIDNIGHT_MS + minute * MINUTE_MS,
        stage: BACKLOG_STAGES_S.iter().filter(|s| oldest_s >= **s).count(),
    };
    // (name, last report, current backlog, stage of the expected report)
    type Case = (&'static str, Option<Backlog>, Backlog, Option<usize>);
    let cases: [Case; 8] = [
        ("below the first stage", None, backlog(3, 59, 1), None),
        ("first stage reached", None, backlog(3, 60, 1), Some(1)),
        ("same stage, within the interval", Some(backlog(3, 60, 1)), backlog(4, 80, 1), None),
        ("same stage, after the interval", Some(backlog(3, 60, 1)), backlog(4, 120, 2), Some(1)),
        ("next stage reached, within the interval", Some(backlog(3, 60, 1)), backlog(4, 240, 1), Some(2)),
        ("backlog empty", Some(backlog(3, 240, 1)), backlog(0, 0, 1), Some(2)),
        ("backlog still empty", Some(backlog(0, 0, 1)), backlog(0, 0, 9), None),
        (
            "jobs wait again, at a stage already reported",
            Some(Backlog { stage: 2, ..backlog(0, 0, 1) }),
            backlog(1, 70, 3),
            Some(2),
        ),
    ];
    for (name, before, now, want) in cases {
        assert_eq!(Backlog::next_report(before.as_ref(), now).map(|report| report.stage), want, "{name}");
    }
}
