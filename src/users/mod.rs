//! The API that users, workers and health checks call.
//!
//! `routes` is the framework's side, with one handler per path. `submission` parses, checks and writes a job, `feasibility`
//! says whether it could ever run, `lookup` tells what its users may hear of it, and `withdrawal` ends it. `reply` holds
//! their answers.

mod feasibility;
mod lookup;
mod reply;
mod routes;
mod submission;
mod withdrawal;

pub use routes::{bind, router, serve};
