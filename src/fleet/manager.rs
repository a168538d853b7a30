//! What the fleet's loops work with.

use std::sync::Arc;

use super::cloud::CloudClient;
use crate::machine_kinds::SharedCatalog;
use crate::membership::Membership;
use crate::scheduling::leader_state::LeaderState;
use crate::settings::{Properties, Settings};
use crate::store::handle::StateStore;
use crate::wakeups::Wakeups;

/// Scales machines out and in while this controller leads, and reads the catalog always.
pub struct Fleet {
    /// The platform's settings.
    pub settings: Arc<Settings>,
    /// The operators' properties.
    pub properties: Arc<Properties>,
    /// The state service, where orders to the cloud are stored before they are carried out.
    pub store: Arc<StateStore>,
    /// Whether this controller may act as the leader, and the incarnation after which orders are named.
    pub membership: Arc<Membership>,
    /// The cluster state, by which machines are ordered and returned.
    pub leader: Arc<LeaderState>,
    /// The machine types, which are read here.
    pub catalog: Arc<SharedCatalog>,
    /// Client of the cloud, which keeps to its rate limit.
    pub cloud: CloudClient,
    /// Wakes placement and the commands to workers.
    pub wakeups: Arc<Wakeups>,
}
