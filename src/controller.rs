//! One controller: what its parts share, behind short locks that are never held across an await.

mod absence;
mod confirmation;
mod display;
mod hands;
mod leadership;
mod news;
mod over;
mod serving_state;
mod shares;

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use tracing::{error, info};

pub use over::Over;
pub(crate) use shares::WRITES;
use shares::{REQUESTS, SHARE_EVERY, first_budget};

use crate::fleet;
use crate::fleet::cloud::CloudClient;
use crate::history::reader::{self, History};
use crate::history::sweep;
use crate::jobs::admission::Admission;
use crate::machine_kinds::SharedCatalog;
use crate::membership::mesh::Heard;
use crate::membership::serving_state::{Health, LetGo};
use crate::membership::unreachable_leader::UnreachableLeader;
use crate::membership::watermark::Unconfirmed;
use crate::membership::{self, mesh};
use crate::process_pause::{BEAT, PauseDetector};
use crate::protocol::Http;
use crate::scheduling::leader_state::LeaderState;
use crate::settings::{Properties, Settings};
use crate::store::audit::{self, Audit};
use crate::store::handle::StateStore;
use crate::store::{StateClient, watch};
use crate::traffic::Traffic;
use crate::wakeups::Wakeups;

/// All that the parts of one controller share.
pub struct Controller {
    /// The platform's settings, as checked at the start.
    pub settings: Settings,
    /// The operators' properties, as checked at the start.
    pub properties: Properties,
    /// Names this process among all that ever ran; rental names are made from it.
    pub incarnation: String,
    /// Connections to the cloud, the state service and workers.
    pub http: Http,
    /// Counts of requests and messages by kind, for operators.
    pub traffic: Arc<Traffic>,
    /// The state service: its client, the watch cache and the read barrier.
    pub store: Arc<StateStore>,
    /// Client of the cloud, which keeps to its rate limit.
    pub cloud: CloudClient,
    /// Answers questions about jobs that are not open by the watch cache.
    pub history: Arc<History>,
    /// What the store has acknowledged and is compared with from time to time.
    pub audit: Mutex<Audit>,
    /// The machine types that the cloud offers.
    pub catalog: Arc<SharedCatalog>,
    /// The leader's cluster state and the fair-share accounting.
    pub leader: Arc<LeaderState>,
    /// What the other controllers said last.
    pub heard: Mutex<Heard>,
    /// Submissions that wait to be written.
    pub admission: Mutex<Admission>,
    /// Notifications between the tasks of this controller.
    pub wakeups: Arc<Wakeups>,
    /// Notices that this process was paused.
    pause_detector: Mutex<PauseDetector>,
    /// Was paused for so long that another may lead by now; nothing is done until the store says.
    unproven: AtomicBool,
    unreachable_leader: Mutex<UnreachableLeader>,
    /// What users and machines are told while little can be proven.
    health: Mutex<Health>,
    let_go: Mutex<LetGo>,
    /// Cancellations that other controllers may not have heard this leader confirm.
    unconfirmed: Mutex<Unconfirmed>,
    leader_tasks: Mutex<Vec<tokio::task::AbortHandle>>,
    /// Orders that are marked as done wait for a higher fencing token (`cloud_orders`).
    marks_pressed: AtomicBool,
}

impl Controller {
    /// A controller that does nothing before `start`.
    pub fn new(settings: Settings, properties: Properties) -> Arc<Self> {
        let now = Instant::now();
        let http = Http::default();
        let traffic = Arc::<Traffic>::default();
        let (limits, others) = (&settings.params.state, settings.peers.len());
        let requests = first_budget(REQUESTS, limits.rps, others, now);
        let writes = first_budget(WRITES, limits.write_rps, others, now);
        let state = settings.endpoints.state.clone();
        let client = StateClient::new(http.clone(), state, requests, writes, traffic.clone());
        let store = Arc::new(StateStore::new(Arc::new(client)));
        let cloud = CloudClient::new(http.clone(), &settings, traffic.clone(), now);
        Arc::new(Self {
            incarnation: format!("{:016x}", rand::random::<u64>()),
            http,
            traffic,
            store,
            cloud,
            history: Arc::new(History::new(&settings)),
            audit: Mutex::default(),
            catalog: Arc::default(),
            leader: Arc::new(LeaderState::new(&settings, &properties, now)),
            heard: Mutex::default(),
            admission: Mutex::new(Admission::new(now)),
            wakeups: Arc::default(),
            pause_detector: Mutex::new(PauseDetector::new(now)),
            unproven: AtomicBool::new(false),
            unreachable_leader: Mutex::default(),
            health: Mutex::default(),
            let_go: Mutex::default(),
            unconfirmed: Mutex::default(),
            leader_tasks: Mutex::default(),
            marks_pressed: AtomicBool::new(false),
            settings,
            properties,
        })
    }

    /// Starts everything but the listener for users and workers.
    pub fn start(self: &Arc<Self>) {
        tokio::spawn(watch::run(self.clone()));
        tokio::spawn(watch::run_read_barrier(self.clone()));
        tokio::spawn(reader::run(self.clone()));
        tokio::spawn(sweep::run(self.history.clone(), self.store.client.clone()));
        tokio::spawn(audit::run(self.clone()));
        tokio::spawn(membership::run(self.clone()));
        tokio::spawn(mesh::listen(self.clone()));
        for peer in &self.settings.peers {
            tokio::spawn(mesh::tell(self.clone(), peer.clone()));
        }
        tokio::spawn(fleet::learn_catalog(self.clone()));
        let traffic = self.traffic.clone();
        tokio::spawn(async move { traffic.run().await });
        let node = self.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(SHARE_EVERY).await;
                node.share();
            }
        });
        let node = self.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(BEAT).await;
                node.beat(Instant::now());
            }
        });
    }
}

/// The whole controller on the current thread, until it is killed.
pub fn serve(settings: Settings, properties: Properties) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let node = Controller::new(settings, properties);
        info!(node = node.settings.node, incarnation = node.incarnation, "starting");
        // The address first: whoever had it under this name is gone, which membership goes by.
        let outcome = async {
            let acceptor = crate::users::bind(&node).await?;
            node.start();
            crate::users::serve(node.clone(), acceptor).await
        }
        .await;
        if let Err(error) = &outcome {
            error!(%error, addr = node.settings.listen, "cannot serve");
        }
        outcome
    })
}
