//! Watermarks of the leader: which are valid, and when the leader stores its own for controllers that don't receive it.
//!
//! Controllers send each other watermarks (`mesh`), which costs no request to the store. A controller that doesn't
//! receive the leader's lines, for example because connections between controllers are refused, would never confirm a
//! cancellation to its users. The leader sees from the acknowledgements that a controller lags, and stores the
//! watermark for it. The functions are pure.

use std::time::{Duration, Instant};

use crate::records::leadership::{LeaderRecord, Watermark};

/// Time after which the watermark is stored for a cancellation that some controller has not acknowledged.
/// Acknowledgements arrive with the lines, one a second.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(2500);
/// Minimum time between two writes of the watermark for cancellations; each is one change.
const STORE_INTERVAL: Duration = Duration::from_secs(1);

/// Time without a new acknowledgement of some controller after which the watermark is stored, and stored again at this
/// interval, without any cancellation: the controller may know a cancellation by a later revision than the one at which
/// it was stored, for example after it has read the store.
const LAG_LIMIT: Duration = Duration::from_secs(10);

/// Returns the watermark that a controller may send as the leader: the fencing token of its loaded cluster state and
/// the revision up to which that holds all ends. None unless the last leader record that it has observed, which is at
/// least as recent as the cluster state, names this process and token. After another process's leader record, the
/// cluster state may hold ends unknown to the successor, whose commands the workers then follow.
pub fn own_watermark(
    me: &str,
    cluster: Option<(u64, u64)>,
    leader_record: Option<&(LeaderRecord, u64)>,
) -> Option<Watermark> {
    let ((fencing_token, revision), (leader, version)) = (cluster?, leader_record?);
    (leader.incarnation == me && *version == fencing_token).then_some(Watermark { fencing_token, revision })
}

/// Revisions of the oldest and the newest unconfirmed cancellation.
#[derive(Debug, Clone, Copy)]
struct UnconfirmedRange {
    oldest: u64,
    newest: u64,
    /// Time since which `oldest` is the oldest.
    since: Instant,
}

/// A revision, and the time since which it is unchanged.
#[derive(Debug, Clone, Copy)]
struct Unchanged {
    revision: u64,
    since: Instant,
}

impl Unchanged {
    /// Keeps the time if the revision is the same as before, and starts now otherwise.
    fn update(before: Option<Self>, revision: u64, now: Instant) -> Self {
        before.filter(|before| before.revision == revision).unwrap_or(Self { revision, since: now })
    }
}

/// Cancellations that the leader may not have confirmed to every other controller.
#[derive(Debug, Default)]
pub struct UnconfirmedCancellations {
    range: Option<UnconfirmedRange>,
    /// When a write of the watermark was last due.
    store_tried_at: Option<Instant>,
    /// Watermark that every controller has acknowledged.
    acknowledged: Option<Unchanged>,
}

impl UnconfirmedCancellations {
    /// Records that the leader has observed a cancellation that was stored at this revision.
    pub fn observe_end(&mut self, revision: u64, now: Instant) {
        let range = self.range.unwrap_or(UnconfirmedRange { oldest: revision, newest: revision, since: now });
        self.range =
            Some(UnconfirmedRange { oldest: range.oldest.min(revision), newest: range.newest.max(revision), ..range });
    }

    /// Records that every controller knows a watermark of at least this revision, received or stored.
    pub fn record_confirmed(&mut self, watermark: u64, now: Instant) {
        let unconfirmed = self.range.filter(|range| range.newest > watermark);
        self.range = unconfirmed.map(|range| match range.oldest > watermark {
            true => range,
            false => UnconfirmedRange { oldest: watermark + 1, newest: range.newest, since: now },
        });
    }

    /// Returns whether some controller has lagged for so long that the watermark is to be stored now, and counts that
    /// as a try. `acknowledged` is the watermark that every controller has acknowledged.
    pub fn take_store_due_for_lag(&mut self, acknowledged: u64, watermark: u64, now: Instant) -> bool {
        let unchanged = Unchanged::update(self.acknowledged, acknowledged, now);
        self.acknowledged = Some(unchanged);
        let limit_passed = |at: Instant| now.saturating_duration_since(at) >= LAG_LIMIT;
        let due =
            watermark > acknowledged && limit_passed(unchanged.since) && self.store_tried_at.is_none_or(limit_passed);
        if due {
            self.store_tried_at = Some(now);
        }
        due
    }

    /// Returns whether the watermark is to be stored now for an unconfirmed cancellation, and counts that as a try.
    pub fn take_store_due(&mut self, now: Instant) -> bool {
        let is_overdue =
            self.range.is_some_and(|range| now.saturating_duration_since(range.since) >= ACKNOWLEDGEMENT_TIMEOUT);
        let interval_passed = self.store_tried_at.is_none_or(|at| now.saturating_duration_since(at) >= STORE_INTERVAL);
        if is_overdue && interval_passed {
            self.store_tried_at = Some(now);
        }
        is_overdue && interval_passed
    }
}

/// Time without an advance of the watermark after which waiting cancellations are logged.
const STALL_LOG_DELAY: Duration = Duration::from_secs(10);
/// Minimum time between two such log messages.
const LOG_INTERVAL: Duration = Duration::from_secs(60);

/// Detects a watermark that doesn't advance while cancellations wait for it.
#[derive(Debug, Default)]
pub struct WatermarkStall {
    /// The watermark while cancellations wait for it.
    stalled: Option<Unchanged>,
    /// When the stall was last logged.
    logged_at: Option<Instant>,
}

impl WatermarkStall {
    /// Returns for how long the watermark has not advanced if that is to be logged now. `waiting` is the number of
    /// cancellations above the watermark.
    pub fn due_for_log(&mut self, waiting: usize, watermark: u64, now: Instant) -> Option<Duration> {
        self.stalled = (waiting > 0).then(|| Unchanged::update(self.stalled, watermark, now));
        let stalled_for = now.saturating_duration_since(self.stalled?.since);
        let interval_passed = self.logged_at.is_none_or(|at| now.saturating_duration_since(at) >= LOG_INTERVAL);
        if stalled_for < STALL_LOG_DELAY || !interval_passed {
            return None;
        }
        self.logged_at = Some(now);
        Some(stalled_for)
    }
}

#[cfg(test)]
mod tests;
