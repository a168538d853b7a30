//! When the leader stores which cancellations are confirmed, and which watermarks of other controllers are valid.
//!
//! The leader stores a confirmation before any user is told (`ConfirmedCancellations`), and every controller, the leader
//! too, tells its users what its watch has reported. So a controller whose watch cache is proven up to date knows of each
//! cancellation that no user has been told of. The leader stores for all cancellations together, and only if that
//! confirms one. The functions are pure.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::jobs::JobId;
use crate::records::leadership::{ConfirmedCancellations, LeaderRecord, Watermark};

/// Minimum time between two writes of the confirmed cancellations; each is one change.
const STORE_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of ends that wait for their confirmation one by one. The oldest ones beyond it are confirmed with
/// later ones.
const MAX_PENDING_ENDS: usize = 8192;

/// Time without a new acknowledgement of some controller after which the watermark is stored, and stored again at this
/// interval, without any cancellation: the controller may know a cancellation by a later revision than the one at which
/// it was stored, for example after it has read the store.
const LAG_LIMIT: Duration = Duration::from_secs(10);

/// Returns the watermark that a controller may send or store as the leader, given the fencing token of its loaded cluster
/// state and a revision up to which cancellations are confirmed. None unless the last leader record that it has
/// observed, which is at least as recent as the cluster state, names this process and token. After another process's
/// leader record, the cluster state may hold ends unknown to the successor, whose commands the workers then follow.
pub fn own_watermark(
    me: &str,
    cluster: Option<(u64, u64)>,
    leader_record: Option<&(LeaderRecord, u64)>,
) -> Option<Watermark> {
    let ((fencing_token, revision), (leader, version)) = (cluster?, leader_record?);
    (leader.incarnation == me && *version == fencing_token).then_some(Watermark { fencing_token, revision })
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

/// Ends that the leader may have to confirm, and when it stored confirmations.
#[derive(Debug, Default)]
pub struct UnconfirmedCancellations {
    /// Ends that may be cancellations, each with a revision at which it was stored.
    pending: BTreeSet<(u64, JobId)>,
    /// Revision of the load of the cluster state: all ends up to it are to be confirmed.
    loaded: Option<u64>,
    /// When a write was last due.
    store_tried_at: Option<Instant>,
    /// Watermark that every controller has acknowledged.
    acknowledged: Option<Unchanged>,
}

impl UnconfirmedCancellations {
    /// The state after the load of a cluster state with all ends up to this revision.
    pub fn after_load(revision: u64) -> Self {
        Self { loaded: Some(revision), ..Self::default() }
    }

    /// Records that the leader has observed an end, stored at this revision, that may be a cancellation.
    pub fn observe_end(&mut self, id: &JobId, revision: u64) {
        self.pending.insert((revision, id.clone()));
        if self.pending.len() > MAX_PENDING_ENDS {
            self.pending.pop_first();
        }
    }

    /// Forgets ends that need no confirmation.
    pub fn forget(&mut self, needs_none: impl Fn(&JobId) -> bool) {
        self.pending.retain(|(_, id)| !needs_none(id));
    }

    /// Returns whether `offered` is to be stored now in place of `stored`, because it confirms a cancellation that
    /// `stored` does not, and counts that as a try.
    pub fn take_store_due(
        &mut self,
        stored: Option<&ConfirmedCancellations>,
        offered: &ConfirmedCancellations,
        now: Instant,
    ) -> bool {
        let stored_limit = |id: &JobId| stored.map_or(0, |stored| stored.limit_for(id));
        self.pending.retain(|(revision, id)| *revision > stored_limit(id));
        self.loaded = self.loaded.filter(|revision| *revision > stored.map_or(0, |s| s.last_revision()));
        let confirms_end = self.pending.iter().any(|(revision, id)| *revision <= offered.limit_for(id));
        let releases = stored.is_some_and(|stored| !stored.held.is_subset(&offered.held));
        let follows_load = self.loaded.is_some_and(|revision| revision <= offered.last_revision());
        let interval_passed = self.store_tried_at.is_none_or(|at| now.saturating_duration_since(at) >= STORE_INTERVAL);
        let due = (confirms_end || releases || follows_load) && interval_passed;
        if due {
            self.store_tried_at = Some(now);
        }
        due
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
