//! Handles to the state and the services that the API for users uses.

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

/// Answers users at one controller, whether it leads or not.
pub struct UserService {
    /// The platform's settings.
    pub settings: Arc<Settings>,
    /// The state service and its watch cache.
    pub store: Arc<StateStore>,
    /// Ends of jobs.
    pub history: Arc<JobHistory>,
    /// What this controller may tell users.
    pub membership: Arc<Membership>,
    /// The machine types, by which it is judged whether a job can ever run.
    pub catalog: Arc<SharedCatalog>,
    /// Records each write that the state service has acknowledged.
    pub audit: Arc<Auditor>,
    /// Counts of answers.
    pub traffic: Arc<Traffic>,
    /// Answers heartbeats, which come to the same listener.
    pub workers: Arc<WorkerService>,
    /// Submissions that wait to be written.
    pub admission: Mutex<Admission>,
}
