//! Handles to the state and the services that the API for users depends on.

use std::sync::{Arc, Mutex};

use crate::audit::Auditor;
use crate::history::job_history::JobHistory;
use crate::jobs::admission::Admission;
use crate::machine_kinds::SharedCatalog;
use crate::membership::Membership;
use crate::settings::Settings;
use crate::store::handle::StateStore;
use crate::traffic::Traffic;
use crate::workers::WorkerService;

/// Serves users' requests at one controller, whether it is the leader or not.
pub struct UserService {
    /// Settings of the platform.
    pub settings: Arc<Settings>,
    /// The state service and its watch cache.
    pub store: Arc<StateStore>,
    /// The ends of jobs.
    pub history: Arc<JobHistory>,
    /// Leadership and the state of the other controllers, which decide what this controller may report to users.
    pub membership: Arc<Membership>,
    /// The machine catalog, by which jobs are checked for feasibility.
    pub catalog: Arc<SharedCatalog>,
    /// Records each write that the state service has acknowledged.
    pub audit: Arc<Auditor>,
    /// Counts of responses.
    pub traffic: Arc<Traffic>,
    /// Serves workers' heartbeats, which arrive at the same listener.
    pub workers: Arc<WorkerService>,
    /// Admission control of the submissions that wait for their write.
    pub admission: Mutex<Admission>,
}
