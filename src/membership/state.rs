//! State of one controller's membership: the election, its peers and its own proofs, each behind a short lock.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Instant;

use tokio::task::AbortHandle;

use super::mesh::peers::PeerStates;
use super::serving_state::{HealthCheck, LeaderSearches};
use super::unreachable_leader::UnreachableLeader;
use super::watermark::UnconfirmedCancellations;
use crate::history::job_history::JobHistory;
use crate::machine_kinds::SharedCatalog;
use crate::process_pause::PauseDetector;
use crate::scheduling::leader_state::LeaderState;
use crate::settings::{Properties, Settings};
use crate::store::handle::StateStore;
use crate::wakeups::Wakeups;

/// Starts the loops that run only while this controller leads.
type StartLeaderLoops = Box<dyn Fn() -> Vec<AbortHandle> + Send + Sync>;

/// Membership of one controller: its part in the election, and its knowledge of the leader and of its peers.
pub struct Membership {
    /// The platform's settings.
    pub settings: Arc<Settings>,
    /// The operators' properties.
    pub properties: Arc<Properties>,
    /// Random identifier of this process, unique among all that ever ran; the names of cloud orders contain it.
    pub incarnation: String,
    pub(super) store: Arc<StateStore>,
    pub(super) history: Arc<JobHistory>,
    pub(super) leader: Arc<LeaderState>,
    pub(super) catalog: Arc<SharedCatalog>,
    pub(super) wakeups: Arc<Wakeups>,
    /// Last reports of the other controllers.
    pub(super) peer_states: Mutex<PeerStates>,
    /// Detects pauses of this process.
    pub(super) pause_detector: Mutex<PauseDetector>,
    /// Whether this process was paused for so long that another may lead by now; nothing is decided until the store
    /// proves the state.
    pub(super) unproven: AtomicBool,
    /// Workers that come back after they were redirected to the leader.
    pub(super) unreachable_leader: Mutex<UnreachableLeader>,
    /// Health as reported to the load balancer.
    pub(super) health: Mutex<HealthCheck>,
    /// Machines sent to look for another leader while leadership is unproven.
    pub(super) leader_searches: Mutex<LeaderSearches>,
    /// Cancellations that this leader may not have confirmed to every other controller.
    pub(super) unconfirmed: Mutex<UnconfirmedCancellations>,
    /// Starts the loops of the leader.
    pub(super) start_leader_loops: OnceLock<StartLeaderLoops>,
    /// Running loops of the leader, which are aborted when it steps down.
    pub(super) leader_tasks: Mutex<Vec<AbortHandle>>,
    /// Whether orders marked as done wait for a higher fencing token (`fleet::order_storage`).
    pub(super) orders_want_new_fencing_token: AtomicBool,
}

impl Membership {
    /// Creates the membership of a controller that knows no peer and doesn't lead.
    pub fn new(
        settings: Arc<Settings>,
        properties: Arc<Properties>,
        store: Arc<StateStore>,
        history: Arc<JobHistory>,
        leader: Arc<LeaderState>,
        catalog: Arc<SharedCatalog>,
        wakeups: Arc<Wakeups>,
    ) -> Self {
        Self {
            settings,
            properties,
            incarnation: format!("{:016x}", rand::random::<u64>()),
            store,
            history,
            leader,
            catalog,
            wakeups,
            peer_states: Mutex::default(),
            pause_detector: Mutex::new(PauseDetector::new(Instant::now())),
            unproven: AtomicBool::new(false),
            unreachable_leader: Mutex::default(),
            health: Mutex::default(),
            leader_searches: Mutex::default(),
            unconfirmed: Mutex::default(),
            start_leader_loops: OnceLock::new(),
            leader_tasks: Mutex::default(),
            orders_want_new_fencing_token: AtomicBool::new(false),
        }
    }

    /// Sets the function that starts the loops whenever this controller becomes the leader; only the first call counts.
    /// The loops are aborted when it steps down.
    pub fn set_leader_loops(&self, start: impl Fn() -> Vec<AbortHandle> + Send + Sync + 'static) {
        let _ = self.start_leader_loops.set(Box::new(start));
    }
}
