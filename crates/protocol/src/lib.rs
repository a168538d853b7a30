//! The messages that hollylanding exchanges with users, workers, the cloud and the state service.
//!
//! Every message is defined once, here, for the daemon as well as for the emulator and clients. Rust names are the
//! standard terms of the field; the names of the deployment's protocol appear only in serde renames. Bodies are
//! MessagePack over HTTP/1.1 ([`encode`], [`decode`], [`Http`]).

#![warn(missing_docs)]

pub mod cloud;
mod codec;
mod http;
pub mod jobs;
pub mod state;
mod text;
pub mod users;
pub mod workers;

pub use codec::{DecodeError, MAX_BODY_BYTES, decode, decode_whole, encode};
pub use http::{CallError, Http};
