//! Handles to the state and the services that communication with workers uses.

use std::sync::Arc;

use crate::machine_kinds::SharedCatalog;
use crate::membership::Membership;
use crate::protocol::Http;
use crate::scheduling::leader_state::LeaderState;
use crate::settings::Settings;
use crate::traffic::Traffic;
use crate::wakeups::Wakeups;

/// Answers heartbeats at one controller, and sends commands while it leads.
pub struct WorkerService {
    /// The platform's settings.
    pub settings: Arc<Settings>,
    /// Whether this controller may answer, and who leads otherwise.
    pub membership: Arc<Membership>,
    /// The cluster state that heartbeats are compared with.
    pub leader: Arc<LeaderState>,
    /// The machine types.
    pub catalog: Arc<SharedCatalog>,
    /// Wakes placement and the group commit.
    pub wakeups: Arc<Wakeups>,
    /// Connections to workers.
    pub http: Http,
    /// Counts of heartbeats and commands.
    pub traffic: Arc<Traffic>,
}
