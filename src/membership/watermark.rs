//! When the leader stores its watermark, because some controller does not hear it.
//!
//! Controllers tell each other watermarks (`mesh`), which costs no request to the store. A controller that does not
//! hear the leader, as where connections between controllers are refused, would never report a cancellation to its
//! users. The leader sees from the acknowledgements that one lags behind, and stores the watermark for it. Pure.

use std::time::{Duration, Instant};

use crate::records::leadership::{LeaderRecord, Watermark};

/// A cancellation that some controller has not acknowledged for this long is told through the store.
/// Acknowledgements come with the lines, one a second.
const ACKNOWLEDGE_WITHIN: Duration = Duration::from_millis(2500);
/// The watermark is stored this often at the most: one change.
const STORE_INTERVAL: Duration = Duration::from_secs(1);

/// Where a controller has acknowledged nothing new for so long, the watermark is stored this often without any
/// cancellation: it may know of one by a later revision than the one at which it was stored, as after a reading.
const LAG_LIMIT: Duration = Duration::from_secs(10);

/// What a controller may tell as the leader's watermark: its loaded cluster state's fencing token and what that holds,
/// and only if by all that it has heard, which is no less, it is still the one that is the leader. Past the leader
/// record of another it may hold ends that the successor has not heard of, whom workers obey by then.
pub fn own_watermark(
    me: &str,
    cluster: Option<(u64, u64)>,
    leader_record: Option<&(LeaderRecord, u64)>,
) -> Option<Watermark> {
    let ((fencing_token, revision), (leader, version)) = (cluster?, leader_record?);
    (leader.incarnation == me && *version == fencing_token).then_some(Watermark { fencing_token, revision })
}

/// The revisions of the oldest and the newest unconfirmed cancellation.
#[derive(Debug, Clone, Copy)]
struct UnconfirmedRange {
    oldest: u64,
    newest: u64,
    /// Since when the oldest has been so.
    since: Instant,
}

/// A revision that has been the same for a while.
#[derive(Debug, Clone, Copy)]
struct Unchanged {
    revision: u64,
    since: Instant,
}

impl Unchanged {
    /// The same value keeps its time; another one begins now.
    fn update(before: Option<Self>, revision: u64, now: Instant) -> Self {
        before.filter(|before| before.revision == revision).unwrap_or(Self { revision, since: now })
    }
}

/// Cancellations that others may not have heard the leader confirm.
#[derive(Debug, Default)]
pub struct UnconfirmedCancellations {
    range: Option<UnconfirmedRange>,
    /// When the watermark was last to be stored.
    tried: Option<Instant>,
    /// What every controller has acknowledged.
    acknowledged: Option<Unchanged>,
}

impl UnconfirmedCancellations {
    /// The leader has heard of a cancellation that was stored at this revision.
    pub fn observe_end(&mut self, version: u64, now: Instant) {
        let range = self.range.unwrap_or(UnconfirmedRange { oldest: version, newest: version, since: now });
        self.range =
            Some(UnconfirmedRange { oldest: range.oldest.min(version), newest: range.newest.max(version), ..range });
    }

    /// Every controller holds a watermark this high, told or stored.
    pub fn record_confirmed(&mut self, watermark: u64, now: Instant) {
        let left = self.range.filter(|range| range.newest > watermark);
        self.range = left.map(|range| match range.oldest > watermark {
            true => range,
            false => UnconfirmedRange { oldest: watermark + 1, newest: range.newest, since: now },
        });
    }

    /// Whether some controller has fallen behind for long, so that the watermark is to be stored now; counts as
    /// tried. `acknowledged`: by every controller.
    pub fn peer_lags(&mut self, acknowledged: u64, watermark: u64, now: Instant) -> bool {
        let unchanged = Unchanged::update(self.acknowledged, acknowledged, now);
        self.acknowledged = Some(unchanged);
        let long = |at: Instant| now.saturating_duration_since(at) >= LAG_LIMIT;
        let due = watermark > acknowledged && long(unchanged.since) && self.tried.is_none_or(long);
        if due {
            self.tried = Some(now);
        }
        due
    }

    /// Whether the watermark is to be stored now; counts as tried.
    pub fn take_store_due(&mut self, now: Instant) -> bool {
        let waits = self.range.is_some_and(|range| now.saturating_duration_since(range.since) >= ACKNOWLEDGE_WITHIN);
        let rested = self.tried.is_none_or(|at| now.saturating_duration_since(at) >= STORE_INTERVAL);
        if waits && rested {
            self.tried = Some(now);
        }
        waits && rested
    }
}

/// Cancellations that have waited for so long are logged, this often.
const LOG_AFTER: Duration = Duration::from_secs(10);
const LOG_INTERVAL: Duration = Duration::from_secs(60);

/// Whether the watermark does not advance while cancellations wait for it.
#[derive(Debug, Default)]
pub struct WatermarkStall {
    /// The watermark, as long as something waits for it.
    stalled: Option<Unchanged>,
    logged: Option<Instant>,
}

impl WatermarkStall {
    /// For how long it has not advanced, if that is to be told now. `waiting`: cancellations above it.
    pub fn due_for_log(&mut self, waiting: usize, watermark: u64, now: Instant) -> Option<Duration> {
        self.stalled = (waiting > 0).then(|| Unchanged::update(self.stalled, watermark, now));
        let long = now.saturating_duration_since(self.stalled?.since);
        let rested = self.logged.is_none_or(|at| now.saturating_duration_since(at) >= LOG_INTERVAL);
        if long < LOG_AFTER || !rested {
            return None;
        }
        self.logged = Some(now);
        Some(long)
    }
}

#[cfg(test)]
mod tests;
