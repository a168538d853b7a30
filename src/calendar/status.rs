//! The status of a planning window.

use serde::{Deserialize, Serialize};

use super::spec::{Day, InstanceSpan, WindowSpec};
use crate::jobs::{JobId, JobSpec};

/// Maximum number of missed instances kept until an operator confirms them; older ones are only counted.
pub const MAX_MISSED: usize = 16;
/// An outcome decided later than this after the closing is reported with its delay: no leader observed the closing when
/// it happened.
const MAX_PROMPT_DELAY_MS: u64 = 60_000;

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
    /// Too few jobs claimed a turn.
    Unclaimed,
    /// A claimed job was not done in time.
    Late,
    /// Claimed jobs were cancelled.
    #[serde(rename = "withdrawn")]
    Cancelled,
    /// A claimed job was submitted in time and never placed.
    NoRoom,
}

/// The final outcome of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceOutcome {
    /// All expected jobs were done in time.
    Met,
    /// Not all expected jobs were done in time.
    Missed(MissedReason),
}

/// How a claimed job ended, as first observed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimEnd {
    /// The job was done at this time, in ms since the Unix epoch.
    Done(u64),
    /// The job was cancelled.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

/// The claim of a turn by a job. Within an instance each job has at most one turn and each turn at most one job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnClaim {
    /// The job that claimed the turn.
    pub job: JobId,
    /// The turn, from 1.
    pub turn: u32,
    /// How the job ended, once that is known.
    #[serde(default, rename = "over", skip_serializing_if = "Option::is_none")]
    pub end: Option<ClaimEnd>,
}

/// The stored state of an instance. Its times stay as they were when it was first stored, even if the specification
/// changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowInstance {
    /// The local date of the opening, which identifies the instance.
    pub day: Day,
    /// When the instance opens, in ms since the Unix epoch.
    pub opens_ms: u64,
    /// When the instance closes, in ms since the Unix epoch.
    pub closes_ms: u64,
    /// Jobs with a turn up to this one may be placed.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub turn: u32,
    /// The claimed turns, in the order of the claims.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub claims: Vec<TurnClaim>,
    /// Whether the latest possible start passed with unclaimed turns.
    #[serde(default, skip_serializing_if = "is_false")]
    pub unclaimed: bool,
    /// Whether a claimed job was not placed by its latest possible start.
    #[serde(default, skip_serializing_if = "is_false")]
    pub late: bool,
    /// Since when the outcome is due but unknown, because the leader does not know how a claimed job ended.
    #[serde(default, rename = "asked_ms", skip_serializing_if = "Option::is_none")]
    pub undecided_since_ms: Option<u64>,
}

impl WindowInstance {
    /// Creates an instance without claims.
    pub fn new(span: InstanceSpan) -> Self {
        let InstanceSpan { day, opens_ms, closes_ms } = span;
        Self {
            day,
            opens_ms,
            closes_ms,
            turn: 0,
            claims: Vec::new(),
            unclaimed: false,
            late: false,
            undecided_since_ms: None,
        }
    }

    /// Returns whether the instance holds nothing beyond what follows from the specification and the time.
    pub fn is_blank(&self) -> bool {
        self.claims.is_empty() && !self.unclaimed && self.undecided_since_ms.is_none()
    }

    /// Returns the times of the instance.
    pub fn span(&self) -> InstanceSpan {
        InstanceSpan { day: self.day, opens_ms: self.opens_ms, closes_ms: self.closes_ms }
    }

    /// Counts the claims whose jobs were not cancelled. Instead of a cancelled job another may claim a turn of its own.
    pub fn active_claims(&self) -> usize {
        self.claims.iter().filter(|c| c.end != Some(ClaimEnd::Cancelled)).count()
    }

    /// Counts the claimed jobs that were done by `until_ms`.
    pub fn done_in_time(&self, until_ms: u64) -> usize {
        self.claims.iter().filter(|c| matches!(c.end, Some(ClaimEnd::Done(at)) if at <= until_ms)).count()
    }

    /// Returns `planned`, `open` or `claimed`; closed instances are of type `ClosedInstance`.
    pub fn state_name(&self, now_ms: u64) -> &'static str {
        match (self.claims.is_empty(), now_ms < self.opens_ms) {
            (false, _) => "claimed",
            (true, true) => "planned",
            (true, false) => "open",
        }
    }
}

/// An instance whose outcome has been decided.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClosedInstance {
    /// The local date of the opening, which identifies the instance.
    pub day: Day,
    /// When the instance closed, in ms since the Unix epoch.
    pub closes_ms: u64,
    /// The outcome.
    pub outcome: InstanceOutcome,
    /// The number of jobs that had to be done.
    pub jobs: u32,
    /// The number of claimed turns.
    pub claimed: u32,
    /// The number of claimed jobs that were done in time.
    pub done: u32,
    /// When the outcome was decided, in ms since the Unix epoch.
    #[serde(rename = "at_ms")]
    pub decided_ms: u64,
}

/// Summary of missed instances that were dropped unconfirmed to keep at most `MAX_MISSED`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DroppedMisses {
    /// The number of dropped instances.
    pub count: u64,
    /// The day of the last dropped instance.
    pub last: Day,
}

/// The resource usage of the jobs of the last claimed instance, from which the capacity for the next one is estimated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PastUsage {
    /// The day of the instance.
    pub day: Day,
    /// Total cores of the claimed jobs.
    pub cores: f64,
    /// The specification of the job with the most cores.
    #[serde(rename = "like")]
    pub job_spec: JobSpec,
}

/// The stored status of a window.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct WindowStatus {
    /// When a leader first evaluated the window, if the specification has no time of declaration.
    #[serde(default, rename = "from_ms")]
    pub first_seen_ms: Option<u64>,
    /// The last closed instance. Instances up to its day are never evaluated again.
    #[serde(default)]
    pub last: Option<ClosedInstance>,
    /// The instance that closes next, once it has state to store.
    #[serde(default)]
    pub current: Option<WindowInstance>,
    /// Missed instances that no operator has confirmed yet.
    #[serde(default)]
    pub missed: Vec<ClosedInstance>,
    /// Summary of the missed instances that were dropped unconfirmed because there were too many.
    #[serde(default)]
    pub dropped: Option<DroppedMisses>,
    /// Resource usage of the last claimed instance.
    #[serde(default, rename = "used")]
    pub past_usage: Option<PastUsage>,
}

impl WindowStatus {
    /// Returns the day of the last closed instance.
    pub fn last_day(&self) -> Option<Day> {
        self.last.as_ref().map(|closed| closed.day)
    }

    /// Returns the instance that closes next: the stored one, or else the next one by the specification.
    pub fn instance(&self, spec: &WindowSpec, now_ms: u64) -> Option<WindowInstance> {
        let from_ms = spec.declared_ms.or(self.first_seen_ms).unwrap_or(now_ms);
        let next = || spec.next_instance(self.last_day(), from_ms).map(WindowInstance::new);
        self.current.clone().or_else(next)
    }

    /// Records a closed instance.
    pub fn close_instance(&mut self, closed: ClosedInstance) {
        if closed.outcome != InstanceOutcome::Met {
            self.missed.push(closed.clone());
            while self.missed.len() > MAX_MISSED {
                let last = self.missed.remove(0).day;
                let count = self.dropped.map_or(1, |d| d.count.saturating_add(1));
                self.dropped = Some(DroppedMisses { count, last });
            }
        }
        self.last = Some(closed);
    }

    /// Removes the missed instances up to the day that an operator has confirmed.
    pub fn confirm(&mut self, up_to: Day) {
        self.missed.retain(|closed| closed.day > up_to);
        self.dropped = self.dropped.filter(|dropped| dropped.last > up_to);
    }

    /// Returns the last day that an operator can confirm, if there are missed instances.
    pub fn last_confirmable_day(&self) -> Option<Day> {
        let dropped = self.dropped.map(|d| d.last);
        self.missed.iter().map(|closed| closed.day).chain(dropped).max()
    }
}

impl ClosedInstance {
    /// Returns how long after the closing the outcome was decided, if it was not decided promptly.
    pub fn delay_ms(&self) -> Option<u64> {
        Some(self.decided_ms.saturating_sub(self.closes_ms)).filter(|delay_ms| *delay_ms > MAX_PROMPT_DELAY_MS)
    }
}

impl MissedReason {
    /// Returns the reason as shown to operators.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unclaimed => "unclaimed",
            Self::Late => "late",
            Self::Cancelled => "withdrawn",
            Self::NoRoom => "no room",
        }
    }
}
