//! Leader election: holding the election lease and writing the leader record.
//!
//! The lease holder's key is attached to a lease of the state service. The lease holder writes the leader record; the
//! version of that key is the leader's fencing token, which workers compare and on which every write of a placement is
//! conditional. Clocks only decide how soon a new lease holder succeeds: a deposed leader is stopped by the version,
//! not by time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::{debug, info, warn};

use super::leadership_transfer::LeadershipTransfer;
use super::lease_timing::{LeaseTiming, prefer_due_renewal};
use super::state::Membership;
use super::step::{ElectionObservations, Step, next_step};
use super::unreadable::UnreadableLeaseHolder;
use crate::jobs::record::{LEADER_RECORD_KEY, LEASE_HOLDER_KEY};
use crate::records::leadership::{LeaderRecord, LeaseHolder, StoredConfirmations};
use crate::store::budget::RequestPriority;
use crate::store::{Change, CompareAndSwapOutcome, Condition, StoreError};

/// Leases of predecessors with the same name that a process revokes at most. Two controllers that were given one name
/// by mistake would otherwise revoke each other's leases for ever.
const MAX_REVOKED_LEASES: u32 = 2;

/// Incarnation that stands for a lease holder whose key can't be decoded; no real incarnation is empty.
const UNDECODABLE_INCARNATION: &str = "";

/// Whether the leader record names this process under a fencing token that it doesn't lead with yet: the write was
/// applied, but its answer was lost. The record is written again to obtain the fencing token with which to lead.
fn own_record_unanswered(me: &str, leader_record: Option<(&str, u64)>, fencing_token: Option<u64>) -> bool {
    leader_record.is_some_and(|(leader, version)| {
        leader == me && fencing_token.is_none_or(|fencing_token| fencing_token < version)
    })
}

/// Snapshot of the watch cache's lease holder and leader record.
struct ElectionView {
    lease_holder: Option<LeaseHolder>,
    lease_holder_version: u64,
    /// Version of a lease holder's key that can't be decoded.
    unreadable_lease_holder: Option<u64>,
    leader_record: Option<(LeaderRecord, u64)>,
    leader_record_version: u64,
}

impl ElectionView {
    /// Takes the snapshot; none while the watch cache is not loaded.
    fn of(membership: &Membership) -> Option<Self> {
        let watch_cache = membership.store.watch_cache();
        watch_cache.is_ready().then(|| Self {
            lease_holder: watch_cache.lease_holder().map(|(lease_holder, _)| lease_holder.clone()),
            lease_holder_version: watch_cache.lease_holder_version(),
            unreadable_lease_holder: watch_cache.undecodable_lease_holder_version(),
            leader_record: watch_cache.leader_record().cloned(),
            leader_record_version: watch_cache.leader_record_version(),
        })
    }

    /// Returns the incarnation of the lease holder, `UNDECODABLE_INCARNATION` if its key can't be decoded.
    fn lease_holder(&self) -> Option<&str> {
        let unreadable = self.unreadable_lease_holder.map(|_| UNDECODABLE_INCARNATION);
        self.lease_holder.as_ref().map(|lease_holder| lease_holder.incarnation.as_str()).or(unreadable)
    }
}

/// State of this controller as a participant in the election.
struct ElectionParticipant {
    timing: LeaseTiming,
    /// Lease that this process holds, or last tried to hold.
    lease: Option<u64>,
    /// When the lease was last renewed.
    renewed_at: Instant,
    wrote_leader_record_last: bool,
    /// Leases of predecessors that this process has revoked.
    revoked_leases: u32,
    leadership_transfer: LeadershipTransfer,
    unreadable: UnreadableLeaseHolder,
}

impl ElectionParticipant {
    fn new(life: Duration) -> Self {
        Self {
            timing: LeaseTiming { life },
            lease: None,
            renewed_at: Instant::now(),
            wrote_leader_record_last: false,
            revoked_leases: 0,
            leadership_transfer: LeadershipTransfer::default(),
            unreadable: UnreadableLeaseHolder::default(),
        }
    }

    /// Releases the election lease if workers reach another controller and not this one. Returns false if there is no
    /// lease to release.
    async fn transfer_leadership(&mut self, membership: &Membership) -> bool {
        if let (Some(lease), Some(takeover_request)) =
            (self.lease, membership.takeover_request_to_answer(Instant::now()))
            && self.leadership_transfer.start_if_due(takeover_request, lease, Instant::now())
        {
            warn!("leader unreachable for workers; releasing the election lease to another controller");
        }
        let Some(lease) = self.leadership_transfer.lease_to_release() else { return false };
        match membership.store.client.revoke_lease(lease).await {
            Ok(()) => {
                self.lease = None;
                self.leadership_transfer.record_release(Instant::now());
            }
            Err(error) => {
                debug!(%error, "election lease release failed");
                tokio::time::sleep(crate::sync::jitter(self.timing.retry_pause())).await;
            }
        }
        true
    }

    /// Determines the next step.
    fn decide_step(&mut self, membership: &Membership, view: &ElectionView) -> Step {
        let fencing_token = membership.leader.cluster().as_ref().map(|cluster| cluster.fencing_token);
        let leader_record =
            view.leader_record.as_ref().map(|(leader, version)| (leader.incarnation.as_str(), *version));
        let has_own_name =
            view.lease_holder.as_ref().is_some_and(|lease_holder| lease_holder.node == membership.settings.node);
        let is_undecodable = self.unreadable.is_expired(view.unreadable_lease_holder, self.timing.life, Instant::now());
        let renewal_due = self.renewed_at.elapsed() >= self.timing.renewal_interval();
        let step = next_step(ElectionObservations {
            me: &membership.incarnation,
            lease_holder: view.lease_holder(),
            lease_holder_gone: is_undecodable || (has_own_name && self.revoked_leases < MAX_REVOKED_LEASES),
            leader: leader_record.map(|(leader, _)| leader),
            new_fencing_token_wanted: membership.new_fencing_token_wanted()
                || own_record_unanswered(&membership.incarnation, leader_record, fencing_token),
            renewal_due,
        });
        prefer_due_renewal(step, self.wrote_leader_record_last, renewal_due)
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
                self.revoked_leases += u32::from(view.unreadable_lease_holder.is_none());
                Ok(())
            }
            Step::Campaign => {
                campaign(membership, &mut self.lease, self.timing.life).await?;
                self.renewed_at = Instant::now();
                Ok(())
            }
            Step::Renew => self.renew(membership).await,
            Step::WriteLeaderRecord => {
                let writing = write_leader_record(membership, view);
                let outcome = tokio::time::timeout(self.timing.write_timeout(), writing).await;
                outcome.unwrap_or(Err(StoreError::Unanswered))
            }
        }
    }

    async fn renew(&mut self, membership: &Membership) -> Result<(), StoreError> {
        let Some(lease) = self.lease else { return Ok(()) };
        let alive = membership.store.client.renew_lease(lease).await?;
        self.renewed_at = Instant::now();
        if !alive {
            info!("election lease expired");
            self.lease = None;
        }
        Ok(())
    }
}

/// Takes part in the election for ever: campaigns, and leads while this process holds the lease.
pub async fn run(membership: Arc<Membership>) {
    let mut participant = ElectionParticipant::new(membership.properties.election_lease);
    loop {
        let _ =
            tokio::time::timeout(participant.timing.check_interval(), membership.wakeups.membership.notified()).await;
        let Some(view) = ElectionView::of(&membership) else { continue };
        membership.check_deposed();
        if participant.transfer_leadership(&membership).await {
            continue;
        }
        if view.lease_holder().is_none() && participant.leadership_transfer.backs_off(Instant::now()) {
            continue;
        }
        let step = participant.decide_step(&membership, &view);
        if let Err(error) = participant.take_step(&membership, &view, &step).await {
            debug!(%error, ?step, "membership step failed");
            tokio::time::sleep(crate::sync::jitter(participant.timing.retry_pause())).await;
        }
    }
}

/// Condition and change that remove the lease holder's key. The lease holder only decides how soon there is a leader:
/// the leader record stands until a new lease holder writes the next one, and the commands of its leader are judged by
/// it.
pub(crate) fn lease_removal(version: u64) -> (Condition, Change) {
    (Condition::at(LEASE_HOLDER_KEY, version), Change::Drop { drop: LEASE_HOLDER_KEY.into() })
}

async fn expire(membership: &Membership, version: u64) -> Result<(), StoreError> {
    let (condition, change) = lease_removal(version);
    let outcome = membership.store.client.compare_and_swap(&[condition], &[change], RequestPriority::Critical).await?;
    info!(?outcome, "stale election lease revoked");
    membership.store.read_barrier.wait_for_proof().await;
    Ok(())
}

/// Condition and change that take the election lease if nobody holds it.
pub(crate) fn lease_acquisition(me: &LeaseHolder, lease: u64) -> (Condition, Change) {
    let value = serde_json::to_value(me).unwrap_or_default();
    (Condition::absent(LEASE_HOLDER_KEY), Change::Write { write: LEASE_HOLDER_KEY.into(), value, permit: Some(lease) })
}

async fn campaign(membership: &Membership, held_lease: &mut Option<u64>, life: Duration) -> Result<(), StoreError> {
    let lease = match *held_lease {
        Some(lease) if membership.store.client.renew_lease(lease).await? => lease,
        _ => membership.store.client.grant_lease(life).await?,
    };
    *held_lease = Some(lease);
    let me = LeaseHolder { node: membership.settings.node.clone(), incarnation: membership.incarnation.clone() };
    let (condition, change) = lease_acquisition(&me, lease);
    match membership.store.client.compare_and_swap(&[condition], &[change], RequestPriority::Critical).await? {
        CompareAndSwapOutcome::Applied(version) => {
            info!(revision = version, "election lease acquired");
            membership.store.watch_cache().note_lease_holder(me, version);
            membership.wakeups.membership.notify_one();
        }
        CompareAndSwapOutcome::Failed(_) => {
            membership.store.read_barrier.wait_for_proof().await;
        }
        CompareAndSwapOutcome::LeaseExpired => *held_lease = None,
    }
    Ok(())
}

/// Conditions and change that write the leader record. They are refused if the lease holder or the leader record has
/// changed since they were read.
pub(crate) fn leader_record_write(
    leader: &LeaderRecord,
    lease_holder_version: u64,
    version: u64,
) -> ([Condition; 2], Change) {
    let change = Change::write(LEADER_RECORD_KEY, serde_json::to_value(leader).unwrap_or_default());
    ([Condition::at(LEASE_HOLDER_KEY, lease_holder_version), Condition::at(LEADER_RECORD_KEY, version)], change)
}

/// Writes the leader record for this process. Writing it again raises the fencing token: commands under an older token
/// are void wherever the new one has been seen.
async fn write_leader_record(membership: &Arc<Membership>, view: &ElectionView) -> Result<(), StoreError> {
    let record = LeaderRecord {
        node: membership.settings.node.clone(),
        incarnation: membership.incarnation.clone(),
        teams: membership.settings.params.teams.iter().map(|t| t.name.clone()).collect(),
        stored_confirmations: Some(StoredConfirmations::after(view.leader_record.as_ref())),
    };
    let (conditions, change) = leader_record_write(&record, view.lease_holder_version, view.leader_record_version);
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
            membership.store.read_barrier.wait_for_proof().await;
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
