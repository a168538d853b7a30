//! When the leader stores its watermark, because some controller does not hear it.
//!
//! Controllers tell each other watermarks (`mesh`), which costs no request to the store. A controller that does not
//! hear the leader, as where connections between controllers are refused, would never report a cancellation to its
//! users. The leader sees from the acknowledgements that one lags behind, and stores the watermark for it. Pure.

use std::time::{Duration, Instant};

use crate::records::leadership::{LeaderRecord, Watermark};

/// A cancellation that some controller has not acknowledged for this long is told through the store.
/// Acknowledgements come with the lines, one a second.
const PATIENCE: Duration = Duration::from_millis(2500);
/// The watermark is stored this often at the most: one change.
const GAP: Duration = Duration::from_secs(1);

/// Where a controller has acknowledged nothing new for so long, the watermark is stored this often without any
/// cancellation: it may know of one by a later revision than the one at which it was stored, as after a reading.
const LAGS: Duration = Duration::from_secs(10);

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

/// Cancellations that others may not have heard the leader confirm.
#[derive(Debug, Default)]
pub struct UnconfirmedCancellations {
    /// The oldest and the newest of them, and since when.
    range: Option<(u64, u64, Instant)>,
    tried: Option<Instant>,
    /// What every controller has acknowledged, and since when no more than that.
    acknowledged: Option<(u64, Instant)>,
}

impl UnconfirmedCancellations {
    /// The leader has heard of a cancellation that was stored at this revision.
    pub fn heard(&mut self, version: u64, now: Instant) {
        let (oldest, newest, since) = self.range.unwrap_or((version, version, now));
        self.range = Some((oldest.min(version), newest.max(version), since));
    }

    /// Every controller holds a watermark this high, told or stored.
    pub fn confirmed(&mut self, watermark: u64, now: Instant) {
        self.range = self.range.filter(|(_, newest, _)| *newest > watermark).map(|(oldest, newest, since)| {
            if oldest > watermark { (oldest, newest, since) } else { (watermark + 1, newest, now) }
        });
    }

    /// Whether some controller has fallen behind for long, so that the watermark is to be stored now; counts as
    /// tried. `acknowledged`: by every controller.
    pub fn lags(&mut self, acknowledged: u64, watermark: u64, now: Instant) -> bool {
        let since = self.acknowledged.filter(|(before, _)| *before == acknowledged).map_or(now, |(_, at)| at);
        self.acknowledged = Some((acknowledged, since));
        let long = |at: Instant| now.saturating_duration_since(at) >= LAGS;
        let due = watermark > acknowledged && long(since) && self.tried.is_none_or(long);
        if due {
            self.tried = Some(now);
        }
        due
    }

    /// Whether the watermark is to be stored now; counts as tried.
    pub fn due(&mut self, now: Instant) -> bool {
        let waits = self.range.is_some_and(|(.., since)| now.saturating_duration_since(since) >= PATIENCE);
        let rested = self.tried.is_none_or(|at| now.saturating_duration_since(at) >= GAP);
        if waits && rested {
            self.tried = Some(now);
        }
        waits && rested
    }
}

/// Cancellations that have waited for so long are told of in the log, this often.
const TOLD_AFTER: Duration = Duration::from_secs(10);
const TOLD_EVERY: Duration = Duration::from_secs(60);

/// Whether the watermark does not advance while cancellations wait for it.
#[derive(Debug, Default)]
pub struct WatermarkStall {
    /// The watermark, and since when it has been so with something waiting.
    stands: Option<(u64, Instant)>,
    told: Option<Instant>,
}

impl WatermarkStall {
    /// For how long it has not advanced, if that is to be told now. `waiting`: cancellations above it.
    pub fn tells(&mut self, waiting: usize, watermark: u64, now: Instant) -> Option<Duration> {
        let same = self.stands.filter(|(before, _)| *before == watermark && waiting > 0);
        self.stands = (waiting > 0).then(|| same.unwrap_or((watermark, now)));
        let long = now.saturating_duration_since(self.stands?.1);
        let rested = self.told.is_none_or(|at| now.saturating_duration_since(at) >= TOLD_EVERY);
        if long < TOLD_AFTER || !rested {
            return None;
        }
        self.told = Some(now);
        Some(long)
    }
}

#[cfg(test)]
mod tests;
