//! Planning windows: when they open and close, which job's turn it is, and reports of each instance that closes
//! unclaimed (docs/calendar.md).
//!
//! Jobs come from users only: nothing here submits, cancels or ends one.

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
