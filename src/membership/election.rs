//! Election and leadership: which controller holds the election lease, and which leads.
//!
//! The lease holder's key is attached to a lease of the state service. The lease holder writes the leader record; the
//! version of that key is the leader's fencing token, which workers compare and on which every write of a placement is
//! conditional. Clocks only decide how soon a new lease holder follows: a deposed leader is stopped by the version, not
//! by the time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::{debug, info, warn};

use super::leadership_transfer::LeadershipTransfer;
use super::lease_timing::{LeaseTiming, renewal_first};
use super::state::Membership;
use super::step::{ElectionObservations, Step, next_step};
use super::unreadable::UnreadableLeaseHolder;
use super::watermark::WatermarkStall;
use crate::jobs::record::{LEADER, LEASE_HOLDER, WATERMARK};
use crate::records::leadership::{LeaderRecord, LeaseHolder, Watermark};
use crate::store::budget::RequestPriority;
use crate::store::{Change, CompareAndSwapOutcome, Condition, StoreError};

/// A process ends the election lease of those before it on its address this often at the most: two controllers
/// that were given one name by mistake must not do so to each other for ever.
const MOST_EXPIRED: u32 = 2;

/// Stands for a lease holder whose key cannot be read; no incarnation is empty.
const UNREADABLE: &str = "";

/// This controller's own leader record stands, and it does not act on it: the write was carried out and not
/// answered. It is written again, which answers under which fencing token to begin, or to go on.
fn own_record_unanswered(me: &str, leader_record: Option<(&str, u64)>, fencing_token: Option<u64>) -> bool {
    leader_record.is_some_and(|(leader, version)| {
        leader == me && fencing_token.is_none_or(|fencing_token| fencing_token < version)
    })
}

/// What this controller knows of who holds the lease and leads at the moment it looks.
struct ElectionView {
    lease_holder: Option<LeaseHolder>,
    lease_holder_version: u64,
    unreadable_lease_holder: Option<u64>,
    leader_record: Option<(LeaderRecord, u64)>,
    leader_record_version: u64,
}

impl ElectionView {
    /// None while the store is not read.
    fn of(membership: &Membership) -> Option<Self> {
        let watch_cache = membership.store.watch_cache();
        watch_cache.is_ready().then(|| Self {
            lease_holder: watch_cache.lease_holder().map(|(lease_holder, _)| lease_holder.clone()),
            lease_holder_version: watch_cache.lease_holder_version(),
            unreadable_lease_holder: watch_cache.unreadable_lease_holder(),
            leader_record: watch_cache.leader_record().cloned(),
            leader_record_version: watch_cache.leader_record_version(),
        })
    }

    /// Who holds the lease; a name that no process has where that cannot be read.
    fn lease_holder(&self) -> Option<&str> {
        let unreadable = self.unreadable_lease_holder.map(|_| UNREADABLE);
        self.lease_holder.as_ref().map(|lease_holder| lease_holder.incarnation.as_str()).or(unreadable)
    }
}

/// What this controller keeps of its own part in who holds the lease.
struct ElectionParticipant {
    timing: LeaseTiming,
    /// The lease on which it leads, or led last.
    lease: Option<u64>,
    renewed: Instant,
    wrote_leader_record_last: bool,
    /// Predecessors whose election lease it has ended.
    expired: u32,
    leadership_transfer: LeadershipTransfer,
    unreadable: UnreadableLeaseHolder,
}

impl ElectionParticipant {
    fn new(life: Duration) -> Self {
        Self {
            timing: LeaseTiming { life },
            lease: None,
            renewed: Instant::now(),
            wrote_leader_record_last: false,
            expired: 0,
            leadership_transfer: LeadershipTransfer::default(),
            unreadable: UnreadableLeaseHolder::default(),
        }
    }

    /// Gives the election lease up where workers reach another controller. False if there is nothing to give up.
    async fn transfer_leadership(&mut self, membership: &Membership) -> bool {
        if let (Some(lease), Some(takeover_request)) =
            (self.lease, membership.takeover_request_to_answer(Instant::now()))
            && self.leadership_transfer.begins(takeover_request, lease, Instant::now())
        {
            warn!("leader unreachable for workers; releasing the election lease to another controller");
        }
        let Some(lease) = self.leadership_transfer.to_release() else { return false };
        match membership.store.client.release(lease).await {
            Ok(()) => {
                self.lease = None;
                self.leadership_transfer.released(Instant::now());
            }
            Err(error) => {
                debug!(%error, "election lease release failed");
                tokio::time::sleep(crate::sync::jitter(self.timing.retry())).await;
            }
        }
        true
    }

    /// What is to be done next.
    fn decide_step(&mut self, membership: &Membership, view: &ElectionView) -> Step {
        let fencing_token = membership.leader.cluster().as_ref().map(|cluster| cluster.fencing_token);
        let assigned = view.leader_record.as_ref().map(|(a, version)| (a.incarnation.as_str(), *version));
        let own_name =
            view.lease_holder.as_ref().is_some_and(|lease_holder| lease_holder.node == membership.settings.node);
        let nobody = self.unreadable.expires(view.unreadable_lease_holder, self.timing.life, Instant::now());
        let renew_due = self.renewed.elapsed() >= self.timing.renew_every();
        let step = next_step(ElectionObservations {
            me: &membership.incarnation,
            lease_holder: view.lease_holder(),
            lease_holder_gone: nobody || (own_name && self.expired < MOST_EXPIRED),
            leader: assigned.map(|(leader, _)| leader),
            new_fencing_token_wanted: membership.new_fencing_token_wanted()
                || own_record_unanswered(&membership.incarnation, assigned, fencing_token),
            renewal_due: renew_due,
        });
        renewal_first(step, self.wrote_leader_record_last, renew_due)
    }

    async fn take_step(
        &mut self,
        membership: &Arc<Membership>,
        view: &ElectionView,
        step: &Step,
    ) -> Result<(), StoreError> {
        self.wrote_leader_record_last = *step == Step::WriteLeaderRecord;
        match step {
            Step::Wait => Ok(()),
            Step::Expire => {
                expire(membership, view.lease_holder_version).await?;
                self.expired += u32::from(view.unreadable_lease_holder.is_none());
                Ok(())
            }
            Step::Campaign => {
                campaign(membership, &mut self.lease, self.timing.life).await?;
                self.renewed = Instant::now();
                Ok(())
            }
            Step::Renew => self.renew(membership).await,
            Step::WriteLeaderRecord => {
                let writing = write_leader_record(membership, view.lease_holder_version, view.leader_record_version);
                let outcome = tokio::time::timeout(self.timing.write_timeout(), writing).await;
                outcome.unwrap_or(Err(StoreError::Unanswered))
            }
        }
    }

    async fn renew(&mut self, membership: &Membership) -> Result<(), StoreError> {
        let Some(lease) = self.lease else { return Ok(()) };
        let alive = membership.store.client.renew(lease).await?;
        self.renewed = Instant::now();
        if !alive {
            info!("election lease expired");
            self.lease = None;
        }
        Ok(())
    }
}

/// Leads, or waits until it can, for ever.
pub async fn run(membership: Arc<Membership>) {
    let mut participant = ElectionParticipant::new(membership.properties.election_lease);
    let mut stall = WatermarkStall::default();
    loop {
        let _ = tokio::time::timeout(participant.timing.look_every(), membership.wakeups.membership.notified()).await;
        let Some(view) = ElectionView::of(&membership) else { continue };
        membership.check_deposed();
        if participant.transfer_leadership(&membership).await {
            continue;
        }
        if view.lease_holder().is_none() && participant.leadership_transfer.stands_back(Instant::now()) {
            continue;
        }
        let step = participant.decide_step(&membership, &view);
        if let Err(error) = participant.take_step(&membership, &view, &step).await {
            debug!(%error, ?step, "membership step failed");
            tokio::time::sleep(crate::sync::jitter(participant.timing.retry())).await;
        }
        maintain_watermark(&membership, &mut stall).await;
    }
}

/// Tells of a watermark that does not advance, and stores it for those who do not hear it.
async fn maintain_watermark(membership: &Membership, stall: &mut WatermarkStall) {
    let waiting = membership.history.hidden_cancellations().above_watermark;
    if let Some(long) = stall.due_for_log(waiting, membership.history.watermark(), Instant::now()) {
        warn!(
            waiting,
            for_s = long.as_secs(),
            leader = membership.leader_node(),
            "cancellations unconfirmed by the leader; answering their users with 503"
        );
    }
    if let Some(watermark) = membership.watermark_to_store(Instant::now()) {
        store_watermark(membership, watermark).await;
    }
}

/// Who holds the lease decides how soon there is a leader and nothing else: the leader record stands until a new lease
/// holder writes the next one, and whatever its leader has sent is judged by that.
pub(crate) fn lease_removal(version: u64) -> (Condition, Change) {
    (Condition::at(LEASE_HOLDER, version), Change::Drop { drop: LEASE_HOLDER.into() })
}

async fn expire(membership: &Membership, version: u64) -> Result<(), StoreError> {
    let (condition, change) = lease_removal(version);
    let outcome = membership.store.client.compare_and_swap(&[condition], &[change], RequestPriority::Critical).await?;
    info!(?outcome, "stale election lease revoked");
    membership.store.read_barrier.wait().await;
    Ok(())
}

/// The election lease for whoever finds none.
pub(crate) fn lease_acquisition(me: &LeaseHolder, lease: u64) -> (Condition, Change) {
    let value = serde_json::to_value(me).unwrap_or_default();
    (Condition::absent(LEASE_HOLDER), Change::Write { write: LEASE_HOLDER.into(), value, permit: Some(lease) })
}

async fn campaign(membership: &Membership, permit: &mut Option<u64>, life: Duration) -> Result<(), StoreError> {
    let lease = match *permit {
        Some(lease) if membership.store.client.renew(lease).await? => lease,
        _ => membership.store.client.grant(life).await?,
    };
    *permit = Some(lease);
    let me = LeaseHolder { node: membership.settings.node.clone(), incarnation: membership.incarnation.clone() };
    let (condition, change) = lease_acquisition(&me, lease);
    match membership.store.client.compare_and_swap(&[condition], &[change], RequestPriority::Critical).await? {
        CompareAndSwapOutcome::Applied(version) => {
            info!(revision = version, "election lease acquired");
            membership.store.watch_cache().note_lease_holder(me, version);
            membership.wakeups.membership.notify_one();
        }
        CompareAndSwapOutcome::Failed(_) => {
            membership.store.read_barrier.wait().await;
        }
        CompareAndSwapOutcome::LeaseExpired => *permit = None,
    }
    Ok(())
}

/// A leader, named by whoever holds the lease and on what it has read: nobody else may have been named since.
pub(crate) fn leader_record_write(
    leader: &LeaderRecord,
    lease_holder_version: u64,
    version: u64,
) -> ([Condition; 2], Change) {
    let change = Change::write(LEADER, serde_json::to_value(leader).unwrap_or_default());
    ([Condition::at(LEASE_HOLDER, lease_holder_version), Condition::at(LEADER, version)], change)
}

/// Writes this controller as leader. Done again, it raises the fencing token: every command given under
/// the older one is dead wherever the new one has been seen.
async fn write_leader_record(
    membership: &Arc<Membership>,
    lease_holder_version: u64,
    version: u64,
) -> Result<(), StoreError> {
    let record = LeaderRecord {
        node: membership.settings.node.clone(),
        incarnation: membership.incarnation.clone(),
        teams: membership.settings.params.teams.iter().map(|t| t.name.clone()).collect(),
    };
    let (conditions, change) = leader_record_write(&record, lease_holder_version, version);
    match membership.store.client.compare_and_swap(&conditions, &[change], RequestPriority::Critical).await? {
        CompareAndSwapOutcome::Applied(fencing_token) => {
            if membership.store.watch_cache().note_leader_record(record, fencing_token) {
                membership.become_leader(fencing_token);
            } else {
                warn!(fencing_token, "leader record superseded; not becoming leader");
            }
        }
        outcome => {
            warn!(?outcome, "leader record write rejected; refreshing the watch cache and retrying");
            membership.store.read_barrier.wait().await;
        }
    }
    Ok(())
}

/// That it is stored under the leader record that its fencing token names makes it true. A late copy of an older one
/// only makes a controller that has just started wait for the next.
pub(super) fn watermark_write(watermark: Watermark) -> (Condition, Change) {
    let value = serde_json::to_value(watermark).unwrap_or_default();
    (Condition::at(LEADER, watermark.fencing_token), Change::write(WATERMARK, value))
}

/// Controllers that do not hear this leader read it there.
async fn store_watermark(membership: &Membership, watermark: Watermark) {
    let (condition, change) = watermark_write(watermark);
    match membership.store.client.compare_and_swap(&[condition], &[change], RequestPriority::Critical).await {
        Ok(CompareAndSwapOutcome::Applied(_)) => membership.record_confirmed(watermark.revision, Instant::now()),
        outcome => debug!(?outcome, "watermark write failed"),
    }
}

#[cfg(test)]
mod tests;
