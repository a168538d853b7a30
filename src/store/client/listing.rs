//! Listings of keys, page by page.

use hyper::Method;

use super::{KeyValuePage, REQUEST_TIMEOUT, StateClient, StoreError, decode_response};
use crate::protocol::state::KeyVersionPage;
use crate::store::budget::RequestPriority;

/// Maximum number of keys on one page of a listing; only one page is in memory at a time.
const PAGE_SIZE: u64 = 250;

/// A listing in progress. Each page is consistent as of its own revision, which is never older than that of the page
/// before.
pub struct Pages<'a> {
    client: &'a StateClient,
    prefix: &'a str,
    after_key: Option<String>,
    has_more: bool,
}

impl Pages<'_> {
    /// Reads the next page; none after the last. After an error the same page can be requested again.
    pub async fn next(&mut self) -> Result<Option<KeyValuePage>, StoreError> {
        if !self.has_more {
            return Ok(None);
        }
        let mut path = format!("/keys?prefix={}&most={PAGE_SIZE}", self.prefix);
        if let Some(key) = &self.after_key {
            path.push_str("&since=");
            path.push_str(&percent_encode(key));
        }
        let page: KeyValuePage =
            match self.client.call(Method::GET, &path, None, REQUEST_TIMEOUT * 2, RequestPriority::Critical).await? {
                (200, body) => decode_response(&body)?,
                (status, _) => return Err(StoreError::UnexpectedStatus { status, request: "a listing" }),
            };
        self.has_more = page.more && !page.items.is_empty();
        self.after_key = page.items.last().map(|item| item.path.clone());
        Ok(Some(page))
    }
}

/// Percent-encodes a key for a URI. Without it, a key with a character that no URI may contain would end every listing
/// at that key.
pub(in crate::store) fn percent_encode(key: &str) -> String {
    let is_unreserved = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte);
    let mut encoded = String::with_capacity(key.len());
    for byte in key.bytes() {
        if is_unreserved(byte) {
            encoded.push(char::from(byte));
        } else {
            encoded.push_str(&format!("%{byte:02X}"));
        }
    }
    encoded
}

impl StateClient {
    /// Lists the keys under a prefix page by page, starting after `after_key` if it is given.
    pub fn pages<'a>(&'a self, prefix: &'a str, after_key: Option<&str>) -> Pages<'a> {
        Pages { client: self, prefix, after_key: after_key.map(str::to_owned), has_more: true }
    }

    /// Reads one page of the keys under a prefix with their versions: at most `limit` keys, starting after `after_key`
    /// if it is given. The values are skipped while the response is decoded.
    pub async fn key_versions(
        &self,
        prefix: &str,
        after_key: Option<&str>,
        limit: usize,
        priority: RequestPriority,
    ) -> Result<KeyVersionPage, StoreError> {
        let since = after_key.map(|key| format!("&since={}", percent_encode(key))).unwrap_or_default();
        let path = format!("/keys?prefix={prefix}&most={limit}{since}");
        match self.call(Method::GET, &path, None, REQUEST_TIMEOUT * 2, priority).await? {
            (200, body) => decode_response(&body),
            (status, _) => Err(StoreError::UnexpectedStatus { status, request: "a listing" }),
        }
    }
}
