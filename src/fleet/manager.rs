//! Handles to the state and the services that the fleet's loops use.

use std::sync::Arc;

use super::cloud::CloudClient;
use crate::machine_kinds::SharedCatalog;
use crate::membership::Membership;
use crate::scheduling::leader_state::LeaderState;
use crate::settings::{Properties, Settings};
use crate::store::handle::StateStore;
use crate::wakeups::Wakeups;

/// Provisions and terminates machines while this controller leads, and reads the catalog whether it leads or not.
pub struct Fleet {
    /// The platform's settings.
    pub settings: Arc<Settings>,
    /// The operators' properties.
    pub properties: Arc<Properties>,
    /// The state service, where orders to the cloud are stored before they are carried out.
    pub store: Arc<StateStore>,
    /// Whether this controller may act as the leader, and the incarnation after which orders are named.
    pub membership: Arc<Membership>,
    /// The cluster state, from which it is decided which machines to provision and to terminate.
    pub leader: Arc<LeaderState>,
    /// The machine types, kept up to date by `poll_catalog`.
    pub catalog: Arc<SharedCatalog>,
    /// Client of the cloud, which keeps to its rate limit.
    pub cloud: CloudClient,
    /// Wakes placement and the commands to workers.
    pub wakeups: Arc<Wakeups>,
}
