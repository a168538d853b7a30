//! The cached keys of the election lease and of leadership, and the marker of an upgraded store.

use serde::de::DeserializeOwned;
use serde_json::Value;
use tracing::warn;

use super::decode;
use crate::jobs::record::{
    LEADER_RECORD_KEY, LEASE_HOLDER_KEY, TAKEOVER_REQUEST_KEY, UPGRADED_KEY, UpgradeRecord, WATERMARK_KEY,
};
use crate::records::leadership::{ConfirmedCancellations, LeaderRecord, LeaseHolder, TakeoverRequest};

/// The value of one key and the key's version. A key whose value cannot be decoded counts as present and is overwritten
/// on condition of its version: if it counted as absent, no controller could ever acquire the lease or lead again.
#[derive(Debug, Default)]
pub(super) enum VersionedKey<T> {
    /// The key does not exist.
    #[default]
    Absent,
    /// The decoded value and the version of the key.
    Decoded((T, u64)),
    /// The version of a key whose value cannot be decoded.
    Undecodable(u64),
}

impl<T: DeserializeOwned> VersionedKey<T> {
    /// Decodes the value of a key that exists at `version`.
    fn decode(key: &str, value: &Value, version: u64) -> Self {
        decode(key, value).map_or(Self::Undecodable(version), |value| Self::Decoded((value, version)))
    }
}

impl<T> VersionedKey<T> {
    /// Returns the value and the version of the key; none if the key is absent or its value cannot be decoded.
    pub(super) fn value(&self) -> Option<&(T, u64)> {
        match self {
            Self::Decoded(value) => Some(value),
            Self::Absent | Self::Undecodable(_) => None,
        }
    }

    /// Returns the version of the key; 0 if it is absent.
    pub(super) fn version(&self) -> u64 {
        match self {
            Self::Absent => 0,
            Self::Decoded((_, version)) | Self::Undecodable(version) => *version,
        }
    }

    /// Returns the version of the key if its value cannot be decoded.
    pub(super) fn undecodable_version(&self) -> Option<u64> {
        match self {
            Self::Undecodable(version) => Some(*version),
            Self::Absent | Self::Decoded(_) => None,
        }
    }
}

/// The cached keys that are neither jobs nor declarations.
#[derive(Debug, Default)]
pub(super) struct ControlKeys {
    pub(super) lease_holder: VersionedKey<LeaseHolder>,
    pub(super) leader_record: VersionedKey<LeaderRecord>,
    pub(super) takeover_request: VersionedKey<TakeoverRequest>,
    pub(super) confirmed: VersionedKey<ConfirmedCancellations>,
    pub(super) upgraded: Option<UpgradeRecord>,
}

impl ControlKeys {
    /// Sets one of these keys. Returns false if the key is none of them.
    pub(super) fn set(&mut self, key: &str, value: &Value, version: u64) -> bool {
        match key {
            LEASE_HOLDER_KEY => self.lease_holder = VersionedKey::decode(key, value, version),
            LEADER_RECORD_KEY => self.leader_record = VersionedKey::decode(key, value, version),
            TAKEOVER_REQUEST_KEY => self.takeover_request = VersionedKey::decode(key, value, version),
            WATERMARK_KEY => self.confirmed = decode_confirmed(key, value, version),
            // The marker is written once and never again: if an undecodable one did not count, every controller would
            // wait forever for a decodable one.
            UPGRADED_KEY => self.upgraded = Some(decode(key, value).unwrap_or(UpgradeRecord { old_jobs_kept: true })),
            _ => return false,
        }
        true
    }

    /// Removes one of these keys. Returns false if the key is none of them.
    pub(super) fn remove(&mut self, key: &str) -> bool {
        match key {
            LEASE_HOLDER_KEY => self.lease_holder = VersionedKey::Absent,
            LEADER_RECORD_KEY => self.leader_record = VersionedKey::Absent,
            TAKEOVER_REQUEST_KEY => self.takeover_request = VersionedKey::Absent,
            WATERMARK_KEY => self.confirmed = VersionedKey::Absent,
            _ => return false,
        }
        true
    }
}

/// Decodes the confirmed cancellations. A value that is ahead of the store counts as undecodable: it would confirm
/// cancellations that no leader knows of.
fn decode_confirmed(key: &str, value: &Value, version: u64) -> VersionedKey<ConfirmedCancellations> {
    let decoded = VersionedKey::<ConfirmedCancellations>::decode(key, value, version);
    match decoded.value() {
        Some((confirmed, _)) if !is_within_store(key, confirmed, version) => VersionedKey::Undecodable(version),
        _ => decoded,
    }
}

/// Returns whether confirmed cancellations are valid: their revisions and their fencing token cannot exceed the version
/// of their key.
fn is_within_store(key: &str, confirmed: &ConfirmedCancellations, version: u64) -> bool {
    let is_valid = confirmed.last_revision() <= version && confirmed.watermark.fencing_token <= version;
    if !is_valid {
        warn!(key, ?confirmed, revision = version, "stored watermark ahead of the store; ignoring it");
    }
    is_valid
}
