//! The API that users, workers and health checks call.
//!
//! `routes` maps paths to request handlers. `submission` decodes, checks and writes a job, `feasibility` checks whether a
//! job could ever run, `lookup` reports the status of a job, and `cancellation` cancels one. `write_tracker` finds out the
//! outcome of unanswered writes, `response` defines the responses to users, and `service` holds the handles to the state
//! that these modules use.

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
