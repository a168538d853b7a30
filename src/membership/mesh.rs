//! Connections between controllers, which exchange JSON lines: whether the store serves the sender, the leader's counts
//! for display, and its watermark. Only the watermark decides what users may be told; it stays true however late it
//! arrives, and without it they are told less.

mod line;
pub(super) mod peers;
mod receive;
mod send;

pub use line::MOST_ROWS;
pub use receive::{accept_connections, accepted_watermark};
pub use send::send_lines;

#[cfg(test)]
mod tests;
