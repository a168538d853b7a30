//! Connections between controllers, which exchange JSON lines: whether the store serves the sender, the leader's counts
//! for display, and its watermark. Of these, only the watermark affects what may be confirmed to users; a watermark
//! stays valid however late it arrives, and without it less is confirmed.

mod line;
pub(super) mod peers;
mod receive;
mod send;

pub use line::MAX_SERVICE_LEVELS;
pub use receive::{accept_connections, accepted_watermark};
pub use send::send_lines;

#[cfg(test)]
mod tests;
