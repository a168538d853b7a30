//! The API that users, workers and health checks call.
//!
//! `routes` maps paths to request handlers. `submission` decodes, checks and writes a job, `feasibility` tells whether it
//! could ever run, `lookup` reports the status of a job, and `cancellation` ends it. `write_tracker` finds out the
//! outcome of writes that were not answered, and `response` holds the responses to users.

mod cancellation;
mod feasibility;
mod lookup;
mod response;
mod routes;
pub mod service;
mod submission;
mod write_tracker;

pub use routes::{bind, router, serve};
pub use service::UserService;
