//! Handles to the state and the services that communication with workers depends on.

use std::sync::Arc;

use crate::machine_kinds::SharedCatalog;
use crate::membership::Membership;
use crate::protocol::Http;
use crate::scheduling::leader_state::LeaderState;
use crate::settings::Settings;
use crate::traffic::Traffic;
use crate::wakeups::Wakeups;

/// Responds to heartbeats at one controller, and sends commands while that controller is the leader.
pub struct WorkerService {
    /// Settings of the platform.
    pub settings: Arc<Settings>,
    /// Whether this controller may respond, and otherwise which one is the leader.
    pub membership: Arc<Membership>,
    /// The cluster state that heartbeats are reconciled with, while this controller is the leader.
    pub leader: Arc<LeaderState>,
    /// The machine catalog.
    pub catalog: Arc<SharedCatalog>,
    /// Signals that wake placement, the group commit and the dispatch of commands.
    pub wakeups: Arc<Wakeups>,
    /// HTTP client for commands to workers.
    pub http: Http,
    /// Counts of heartbeats and commands.
    pub traffic: Arc<Traffic>,
}
