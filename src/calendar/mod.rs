//! Planning windows: when their instances open and close, the order in which jobs take their turns, and reports of each
//! instance that closes unclaimed (docs/calendar.md).
//!
//! Only users submit jobs: nothing in this module submits, cancels or ends one.

mod describe;
mod events;
mod intents;
mod jobs_by_window;
mod spec;
mod status;
mod step;
#[cfg(test)]
mod tests;
mod window;

pub use events::WindowEvent;
pub use jobs_by_window::JobsByWindow;
pub use spec::WindowSpec;
pub use status::WindowStatus;
pub use window::Window;
