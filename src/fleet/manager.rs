//! Handles to the state and the services that fleet management uses.

use std::sync::Arc;

use super::cloud::CloudClient;
use crate::machine_kinds::SharedCatalog;
use crate::membership::Membership;
use crate::scheduling::leader_state::LeaderState;
use crate::settings::{Properties, Settings};
use crate::store::handle::StateStore;
use crate::wakeups::Wakeups;

/// State and services for fleet management. Machines are provisioned and terminated while this controller leads; the
/// catalog is read whether it leads or not.
pub struct Fleet {
    /// Settings of the platform.
    pub settings: Arc<Settings>,
    /// Properties that operators set.
    pub properties: Arc<Properties>,
    /// Store, where orders to the cloud are written before they are carried out.
    pub store: Arc<StateStore>,
    /// Tells whether this controller may act as the leader, and holds the incarnation, which is part of order names.
    pub membership: Arc<Membership>,
    /// Cluster state while this controller leads, from which provisioning and termination are decided.
    pub leader: Arc<LeaderState>,
    /// Catalog of machine types, kept up to date by [`poll_catalog`](super::poll_catalog).
    pub catalog: Arc<SharedCatalog>,
    /// Client of the cloud's API, which respects the rate limit.
    pub cloud: CloudClient,
    /// Notifications that wake this loop, placement and the dispatch of commands to workers.
    pub wakeups: Arc<Wakeups>,
}
