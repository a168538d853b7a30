//! The leader's state: the cluster state, which exists only while this controller leads, and the fair-share accounting,
//! which every controller keeps since any may become the leader.

use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

use super::cluster::ClusterState;
use super::fairness::FairShareAccounting;
use crate::settings::{Properties, Settings};
use crate::sync::lock;

/// Owner of the cluster state and of the fair-share accounting.
pub struct LeaderState {
    cluster: Mutex<Option<ClusterState>>,
    accounting: Mutex<FairShareAccounting>,
}

impl LeaderState {
    /// The state of a controller that does not lead.
    pub fn new(settings: &Settings, properties: &Properties, now: Instant) -> Self {
        Self { cluster: Mutex::default(), accounting: Mutex::new(FairShareAccounting::new(settings, properties, now)) }
    }

    /// The cluster state; None while this controller does not lead. The lock must not be held across an await.
    pub fn cluster(&self) -> MutexGuard<'_, Option<ClusterState>> {
        lock(&self.cluster)
    }

    /// The fair-share accounting. It may be locked while the cluster state is locked, never the other way round.
    pub fn accounting(&self) -> MutexGuard<'_, FairShareAccounting> {
        lock(&self.accounting)
    }

    /// Whether this controller acts as the leader.
    pub fn leads(&self) -> bool {
        self.cluster().is_some()
    }

    /// The fencing token under which this controller leads.
    pub fn fencing_token(&self) -> Option<u64> {
        self.cluster().as_ref().map(|cluster| cluster.fencing_token)
    }
}
