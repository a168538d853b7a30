//! Leases: keys attached to one are deleted when it ends.

use std::time::Duration;

use hyper::Method;

use super::{REQUEST_TIMEOUT, StateClient, StoreError, decode_response};
use crate::protocol;
use crate::protocol::state::GrantedLease;
use crate::store::budget::RequestPriority;

impl StateClient {
    /// Creates a lease that expires after `ttl` unless it is renewed, and returns its id. The keys attached to it are
    /// deleted when it ends.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<u64, StoreError> {
        let body = protocol::encode(&serde_json::json!({"lifeMs": ttl.as_millis() as u64}));
        match self.call(Method::POST, "/grants", Some(body), REQUEST_TIMEOUT, RequestPriority::Critical).await? {
            (200, body) => Ok(decode_response::<GrantedLease>(&body)?.permit),
            (status, _) => Err(StoreError::UnexpectedStatus { status, request: "a lease grant" }),
        }
    }

    /// Revokes a lease at once and deletes the keys attached to it.
    pub async fn revoke_lease(&self, lease: u64) -> Result<(), StoreError> {
        let path = format!("/grants/{lease}");
        match self.call(Method::DELETE, &path, None, REQUEST_TIMEOUT, RequestPriority::Critical).await? {
            (200..=299 | 404, _) => Ok(()),
            (status, _) => Err(StoreError::UnexpectedStatus { status, request: "a lease revocation" }),
        }
    }

    /// Renews a lease. Returns false if it no longer exists.
    pub async fn renew_lease(&self, lease: u64) -> Result<bool, StoreError> {
        let path = format!("/grants/{lease}/renew");
        match self
            .call(
                Method::POST,
                &path,
                Some(protocol::encode(&serde_json::json!({}))),
                REQUEST_TIMEOUT,
                RequestPriority::Critical,
            )
            .await?
        {
            (200, _) => Ok(true),
            (404, _) => Ok(false),
            (status, _) => Err(StoreError::UnexpectedStatus { status, request: "a lease renewal" }),
        }
    }
}
