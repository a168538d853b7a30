//! The calendar of planning windows: what opens and closes when, whose turn it is, and that none
//! slips past unclaimed without a word. docs/calendar.md has the argument.
//!
//! Jobs come from users alone: nothing here submits, withdraws or ends one.

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
