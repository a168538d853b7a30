//! The API that users, workers and health checks call.
//!
//! `routes` is the framework's side, with one handler per path. `submission` parses, checks and writes a job,
//! `feasibility` says whether it could ever run, `lookup` tells what its users may hear of it, and `cancellation` ends
//! it.
//! `follow_ups` finds out what became of writes that were not answered, and `reply` holds the answers to users.

mod cancellation;
mod feasibility;
mod follow_ups;
mod lookup;
mod reply;
mod routes;
pub mod service;
mod submission;

pub use routes::{bind, router, serve};
pub use service::UserService;
