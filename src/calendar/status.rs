//! What is stored of a window, and how operators read it.

use serde::{Deserialize, Serialize};
use tracing::Level;

use super::spec::{Day, Span, Spec, date_of};
use crate::jobs::{JobId, JobSpec};

/// Missed instances kept until an operator confirms them; of older ones only the number is.
pub const MOST_MISSED: usize = 16;
/// An end decided later than this was not seen as it came.
const PROMPT_MS: u64 = 60_000;

fn no(flag: &bool) -> bool {
    !flag
}

fn none(n: &u32) -> bool {
    *n == 0
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    Unclaimed,
    Late,
    #[serde(rename = "withdrawn")]
    Cancelled,
    NoRoom,
}

/// How an instance ended. There is no way back from either.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    Met,
    Missed(Reason),
}

/// How a claimed job ended, as it was first seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Over {
    /// When, in ms since 1970.
    Done(u64),
    #[serde(rename = "withdrawn")]
    Cancelled,
}

/// A job and its turn, from 1: neither is given twice in an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    pub job: JobId,
    pub turn: u32,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub over: Option<Over>,
}

/// An instance of which something is to be remembered. Its times stay as they were when the first
/// of it was stored, however the spec changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    pub day: Day,
    pub opens_ms: u64,
    pub closes_ms: u64,
    /// Turns up to this one have come.
    #[serde(default, skip_serializing_if = "none")]
    pub turn: u32,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub claims: Vec<Claim>,
    /// Its latest possible start passed with turns that nobody claimed.
    #[serde(default, skip_serializing_if = "no")]
    pub unclaimed: bool,
    /// A claimed job has not begun at its latest possible start.
    #[serde(default, skip_serializing_if = "no")]
    pub late: bool,
    /// Since when an end is owed, and how a claimed job ended is not known here.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub asked_ms: Option<u64>,
}

impl Instance {
    pub fn new(span: Span) -> Self {
        let Span { day, opens_ms, closes_ms } = span;
        Self { day, opens_ms, closes_ms, turn: 0, claims: Vec::new(), unclaimed: false, late: false, asked_ms: None }
    }

    /// Whether there is anything that the spec and the time alone do not tell.
    pub fn is_blank(&self) -> bool {
        self.claims.is_empty() && !self.unclaimed && self.asked_ms.is_none()
    }

    pub fn span(&self) -> Span {
        Span { day: self.day, opens_ms: self.opens_ms, closes_ms: self.closes_ms }
    }

    /// Claims whose jobs were not cancelled: a cancelled one leaves room for another in a turn of its own.
    pub fn live(&self) -> usize {
        self.claims.iter().filter(|c| c.over != Some(Over::Cancelled)).count()
    }

    /// Claimed jobs that were done in time.
    pub fn in_time(&self, until_ms: u64) -> usize {
        self.claims.iter().filter(|c| matches!(c.over, Some(Over::Done(at)) if at <= until_ms)).count()
    }

    /// `planned`, `open` or `claimed`: an instance that has ended is kept elsewhere.
    pub fn state(&self, now_ms: u64) -> &'static str {
        match (self.claims.is_empty(), now_ms < self.opens_ms) {
            (false, _) => "claimed",
            (true, true) => "planned",
            (true, false) => "open",
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    pub day: Day,
    pub closes_ms: u64,
    pub outcome: Outcome,
    pub jobs: u32,
    pub claimed: u32,
    pub done: u32,
    /// When this was decided.
    pub at_ms: u64,
}

/// Missed instances that were dropped unconfirmed, since there were too many.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dropped {
    pub count: u64,
    pub last: Day,
}

/// What the jobs of the last claimed instance took: room is made for the like of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Used {
    pub day: Day,
    pub cores: f64,
    /// The largest of them.
    pub like: JobSpec,
}

/// What the leader has stored of a window.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Status {
    /// When a leader first saw it, where its spec does not tell since when it is.
    #[serde(default)]
    pub from_ms: Option<u64>,
    /// The instance that ended last. None up to this day is ever looked at again.
    #[serde(default)]
    pub last: Option<Ended>,
    /// The instance that is to end next, once anything is stored of it.
    #[serde(default)]
    pub current: Option<Instance>,
    /// Instances that were missed and that nobody has confirmed yet.
    #[serde(default)]
    pub missed: Vec<Ended>,
    /// What was dropped of these unconfirmed, since there were too many.
    #[serde(default)]
    pub dropped: Option<Dropped>,
    /// What the jobs of the last claimed instance took.
    #[serde(default)]
    pub used: Option<Used>,
}

impl Status {
    /// The day of the instance that ended last.
    pub fn last_day(&self) -> Option<Day> {
        self.last.as_ref().map(|ended| ended.day)
    }

    /// The instance that is to end next: as stored, or as the spec says where nothing is.
    pub fn instance(&self, spec: &Spec, now_ms: u64) -> Option<Instance> {
        let from_ms = spec.declared_ms.or(self.from_ms).unwrap_or(now_ms);
        let next = || spec.following(self.last_day(), from_ms).map(Instance::new);
        self.current.clone().or_else(next)
    }

    /// Notes an instance that has ended.
    pub fn note(&mut self, ended: Ended) {
        if ended.outcome != Outcome::Met {
            self.missed.push(ended.clone());
            while self.missed.len() > MOST_MISSED {
                let last = self.missed.remove(0).day;
                let count = self.dropped.map_or(1, |d| d.count.saturating_add(1));
                self.dropped = Some(Dropped { count, last });
            }
        }
        self.last = Some(ended);
    }

    /// What an operator has confirmed is shown no more.
    pub fn confirm(&mut self, up_to: Day) {
        self.missed.retain(|ended| ended.day > up_to);
        self.dropped = self.dropped.filter(|dropped| dropped.last > up_to);
    }

    /// The last day that an operator can confirm, if anything is to be confirmed.
    pub fn confirmable(&self) -> Option<Day> {
        let dropped = self.dropped.map(|d| d.last);
        self.missed.iter().map(|ended| ended.day).chain(dropped).max()
    }
}

fn reason(reason: Reason) -> &'static str {
    match reason {
        Reason::Unclaimed => "unclaimed",
        Reason::Late => "late",
        Reason::Cancelled => "withdrawn",
        Reason::NoRoom => "no room",
    }
}

fn how_long(ms: u64) -> String {
    let s = ms / 1000;
    match s {
        0..120 => format!("{s} s"),
        120..7200 => format!("{} min", s / 60),
        _ => format!("{} h", s / 3600),
    }
}

impl Ended {
    fn line(&self) -> String {
        let outcome = match self.outcome {
            Outcome::Met => "met".to_owned(),
            Outcome::Missed(why) => format!("missed: {}", reason(why)),
        };
        let counts = format!("{} of {} claimed, {} done in time", self.claimed, self.jobs, self.done);
        let told = self.at_ms.saturating_sub(self.closes_ms);
        let late =
            if told > PROMPT_MS { format!(", told {} after its closing", how_long(told)) } else { String::new() };
        format!("{} {outcome} ({counts}{late})", date_of(self.day))
    }
}

/// Lines for operators: when it is, the instance to come, what ended last, what is to be confirmed.
pub fn tell(spec: &Spec, status: &Status, now_ms: u64) -> Vec<String> {
    let cores = if spec.cores > 0.0 { format!(", cores {}", spec.cores) } else { String::new() };
    let mut lines = vec![format!("{}, team {}, jobs {}{cores}", spec.when(), spec.team, spec.jobs)];
    match status.instance(spec, now_ms) {
        None => lines.push("  nothing more to come".into()),
        Some(instance) => {
            let mut line = format!("  {} {}", date_of(instance.day), instance.state(now_ms));
            if now_ms < instance.opens_ms {
                line += &format!(", opens in {}", how_long(instance.opens_ms - now_ms));
            } else if now_ms < instance.closes_ms {
                line += &format!(", closes in {}", how_long(instance.closes_ms - now_ms));
            } else {
                line += ", closed, end not decided yet";
            }
            lines.push(line);
            for claim in &instance.claims {
                let state = match claim.over {
                    Some(Over::Done(at)) if at > instance.closes_ms => "done late",
                    Some(Over::Done(_)) => "done",
                    Some(Over::Cancelled) => "withdrawn",
                    None if claim.turn <= instance.turn => "its turn has come",
                    None => "waits for its turn",
                };
                lines.push(format!("    turn {} {} {state}", claim.turn, claim.job));
            }
            if instance.unclaimed {
                lines.push("    unclaimed at its latest possible start".into());
            }
            if instance.late {
                lines.push("    late: a claimed job had not begun at its latest possible start".into());
            }
        }
    }
    let unconfirmed = |ended: &&Ended| status.missed.iter().all(|missed| missed.day != ended.day);
    lines.extend(status.last.iter().filter(unconfirmed).map(|ended| format!("  {}", ended.line())));
    lines.extend(status.missed.iter().rev().map(|ended| format!("  {}, not confirmed", ended.line())));
    if let Some(dropped) = status.dropped {
        let (count, last) = (dropped.count, date_of(dropped.last));
        lines.push(format!("  {count} older missed ones up to {last} are not kept, not confirmed"));
    }
    lines
}

/// What a change of status owes the log: each stage once.
pub fn news(name: &str, before: &Status, after: &Status) -> Vec<(Level, String)> {
    let mut lines = Vec::new();
    let was = before.current.as_ref();
    let ended = |day: Day| after.last_day().is_some_and(|last| day <= last);
    if let Some(now) = &after.current {
        let was = was.filter(|was| was.day == now.day);
        let date = date_of(now.day);
        let claims = now.claims.get(was.map_or(0, |w| w.claims.len())..).unwrap_or_default();
        lines.extend(
            claims.iter().map(|c| (Level::INFO, format!("window {name} {date}: turn {} claimed by {}", c.turn, c.job))),
        );
        if now.turn > was.map_or(0, |w| w.turn) {
            lines.push((Level::INFO, format!("window {name} {date}: turn {} has come", now.turn)));
        }
        if now.unclaimed && !was.is_some_and(|w| w.unclaimed) {
            let why = "unclaimed at its latest possible start, its room is given back";
            lines.push((Level::WARN, format!("window {name} {date}: {why}")));
        }
        if now.late && !was.is_some_and(|w| w.late) {
            let why = "late, a claimed job has not begun at its latest possible start";
            lines.push((Level::WARN, format!("window {name} {date}: {why}")));
        }
    }
    let told = before.last_day();
    let new = |ended: &&Ended| told.is_none_or(|told| ended.day > told);
    lines.extend(after.missed.iter().filter(new).map(|e| (Level::WARN, format!("window {name} {}", e.line()))));
    let met = after.last.iter().filter(new).filter(|e| e.outcome == Outcome::Met);
    lines.extend(met.map(|e| (Level::INFO, format!("window {name} {}", e.line()))));
    let dropped = |status: &Status| status.dropped.map_or(0, |d| d.count);
    if dropped(after) > dropped(before) {
        let count = dropped(after);
        lines.push((Level::WARN, format!("window {name}: {count} missed ones are dropped unconfirmed")));
    }
    debug_assert!(after.current.as_ref().is_none_or(|now| !ended(now.day)));
    lines
}
