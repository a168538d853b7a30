//! What is stored of a window.

use serde::{Deserialize, Serialize};

use super::spec::{Day, InstanceSpan, WindowSpec};
use crate::jobs::{JobId, JobSpec};

/// Missed instances kept until an operator confirms them; of older ones only the number is.
pub const MAX_MISSED: usize = 16;
/// An end that is decided this much later than the closing was not observed as it happened.
const PROMPT_CLOSE_MS: u64 = 60_000;

fn is_false(flag: &bool) -> bool {
    !flag
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

/// Why an instance was missed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MissedReason {
    Unclaimed,
    Late,
    #[serde(rename = "withdrawn")]
    Cancelled,
    NoRoom,
}

/// How an instance ended; final in either case.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceOutcome {
    Met,
    Missed(MissedReason),
}

/// How a claimed job ended, as it was first seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimEnd {
    /// When, in ms since 1970.
    Done(u64),
    #[serde(rename = "withdrawn")]
    Cancelled,
}

/// A job with its turn, counted from 1: neither is given twice in an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnClaim {
    pub job: JobId,
    pub turn: u32,
    /// How the job ended, once that is known.
    #[serde(default, rename = "over", skip_serializing_if = "Option::is_none")]
    pub end: Option<ClaimEnd>,
}

/// An instance of which something is to be remembered. Its times stay as they were when the first
/// of it was stored, however the spec changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowInstance {
    pub day: Day,
    pub opens_ms: u64,
    pub closes_ms: u64,
    /// Turns up to this one have come.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub turn: u32,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub claims: Vec<TurnClaim>,
    /// Its latest possible start passed with turns that nobody claimed.
    #[serde(default, skip_serializing_if = "is_false")]
    pub unclaimed: bool,
    /// A claimed job has not begun at its latest possible start.
    #[serde(default, skip_serializing_if = "is_false")]
    pub late: bool,
    /// Since when an end is owed, and how a claimed job ended is not known here.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub asked_ms: Option<u64>,
}

impl WindowInstance {
    pub fn new(span: InstanceSpan) -> Self {
        let InstanceSpan { day, opens_ms, closes_ms } = span;
        Self { day, opens_ms, closes_ms, turn: 0, claims: Vec::new(), unclaimed: false, late: false, asked_ms: None }
    }

    /// Whether it holds nothing beyond what follows from the spec and the time.
    pub fn is_blank(&self) -> bool {
        self.claims.is_empty() && !self.unclaimed && self.asked_ms.is_none()
    }

    pub fn span(&self) -> InstanceSpan {
        InstanceSpan { day: self.day, opens_ms: self.opens_ms, closes_ms: self.closes_ms }
    }

    /// Claims whose jobs were not cancelled: a cancelled one leaves room for another in a turn of its own.
    pub fn active_claims(&self) -> usize {
        self.claims.iter().filter(|c| c.end != Some(ClaimEnd::Cancelled)).count()
    }

    /// Claimed jobs that were done in time.
    pub fn done_in_time(&self, until_ms: u64) -> usize {
        self.claims.iter().filter(|c| matches!(c.end, Some(ClaimEnd::Done(at)) if at <= until_ms)).count()
    }

    /// `planned`, `open` or `claimed`; closed instances are kept elsewhere.
    pub fn state_name(&self, now_ms: u64) -> &'static str {
        match (self.claims.is_empty(), now_ms < self.opens_ms) {
            (false, _) => "claimed",
            (true, true) => "planned",
            (true, false) => "open",
        }
    }
}

/// An instance that has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClosedInstance {
    pub day: Day,
    pub closes_ms: u64,
    pub outcome: InstanceOutcome,
    pub jobs: u32,
    pub claimed: u32,
    pub done: u32,
    /// When this was decided.
    pub at_ms: u64,
}

/// Missed instances that were dropped unconfirmed, since more than `MAX_MISSED` were kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DroppedMisses {
    pub count: u64,
    pub last: Day,
}

/// What the jobs of the last claimed instance used: capacity for the next one is estimated from it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PastUsage {
    pub day: Day,
    pub cores: f64,
    /// The largest of them.
    pub like: JobSpec,
}

/// What the leader has stored of a window.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct WindowStatus {
    /// When a leader first saw it, where its spec does not tell since when it is.
    #[serde(default)]
    pub from_ms: Option<u64>,
    /// The instance that ended last. None up to this day is ever looked at again.
    #[serde(default)]
    pub last: Option<ClosedInstance>,
    /// The instance that is to end next, once anything is stored of it.
    #[serde(default)]
    pub current: Option<WindowInstance>,
    /// Instances that were missed and that nobody has confirmed yet.
    #[serde(default)]
    pub missed: Vec<ClosedInstance>,
    /// What was dropped of these unconfirmed, since there were too many.
    #[serde(default)]
    pub dropped: Option<DroppedMisses>,
    /// What the jobs of the last claimed instance took.
    #[serde(default)]
    pub used: Option<PastUsage>,
}

impl WindowStatus {
    /// The day of the instance that ended last.
    pub fn last_day(&self) -> Option<Day> {
        self.last.as_ref().map(|ended| ended.day)
    }

    /// The instance that is to end next: as stored, or as the spec says where nothing is.
    pub fn instance(&self, spec: &WindowSpec, now_ms: u64) -> Option<WindowInstance> {
        let from_ms = spec.declared_ms.or(self.from_ms).unwrap_or(now_ms);
        let next = || spec.next_instance(self.last_day(), from_ms).map(WindowInstance::new);
        self.current.clone().or_else(next)
    }

    /// Records an instance that has ended.
    pub fn close_instance(&mut self, ended: ClosedInstance) {
        if ended.outcome != InstanceOutcome::Met {
            self.missed.push(ended.clone());
            while self.missed.len() > MAX_MISSED {
                let last = self.missed.remove(0).day;
                let count = self.dropped.map_or(1, |d| d.count.saturating_add(1));
                self.dropped = Some(DroppedMisses { count, last });
            }
        }
        self.last = Some(ended);
    }

    /// Removes missed instances up to the day that an operator has confirmed.
    pub fn confirm(&mut self, up_to: Day) {
        self.missed.retain(|ended| ended.day > up_to);
        self.dropped = self.dropped.filter(|dropped| dropped.last > up_to);
    }

    /// The last day that an operator can confirm, if anything is to be confirmed.
    pub fn last_confirmable_day(&self) -> Option<Day> {
        let dropped = self.dropped.map(|d| d.last);
        self.missed.iter().map(|ended| ended.day).chain(dropped).max()
    }
}

impl ClosedInstance {
    /// How long after the closing this was decided, if it was not decided promptly.
    pub fn delay_ms(&self) -> Option<u64> {
        Some(self.at_ms.saturating_sub(self.closes_ms)).filter(|delay_ms| *delay_ms > PROMPT_CLOSE_MS)
    }
}

impl MissedReason {
    /// The reason as operators read it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unclaimed => "unclaimed",
            Self::Late => "late",
            Self::Cancelled => "withdrawn",
            Self::NoRoom => "no room",
        }
    }
}
