//! Planning windows: when they open and close, which job's turn it is, and that operators are told of each one that
//! closes unclaimed (docs/calendar.md).
//!
//! Jobs come from users only: nothing here submits, cancels or ends one.

mod declare;
mod intents;
mod jobs_by_window;
mod spec;
mod status;
mod step;
#[cfg(test)]
mod tests;

pub use declare::Window;
pub use jobs_by_window::JobsByWindow;
pub use spec::Spec;
pub use status::Status;
