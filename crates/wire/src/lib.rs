//! What hollylanding says to users, workers, the cloud and the state service, and hears from them.
//!
//! Every message is written once, here: the daemon is one side of it, stand-ins and clients the
//! other. Names are the field's; the deployment's words appear only in serde renames. Bodies are
//! MessagePack over HTTP/1.1 ([`encode`], [`decode`], [`Http`]).

pub mod cloud;
mod codec;
mod http;
pub mod jobs;
pub mod state;
mod text;
pub mod users;
pub mod workers;

pub use codec::{BODY_LIMIT, DecodeError, decode, decode_whole, encode};
pub use http::{CallError, Http};
