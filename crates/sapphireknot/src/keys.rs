//! API keys of organisations.
//!
//! Only digests of the keys are kept. A digest is looked up by its first bytes and then compared in constant time, so
//! that the duration of a look-up reveals nothing about the remaining bytes.

use std::{collections::HashMap, fmt};

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::{
    config::ConfigDocument,
    ids::{KeyId, OrganisationId},
};

/// Length of the digest prefix that selects the bucket.
const BUCKET_BYTES: usize = 8;

/// SHA-256 digest of a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of `key`.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Creates a digest from 32 bytes.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Returns the digest as bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Parses a digest from 64 hexadecimal digits.
    pub fn from_hex(text: &str) -> Option<Self> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes).ok()?;
        Some(Self(bytes))
    }

    /// Formats the digest as 64 hexadecimal digits.
    pub fn to_hex(self) -> String {
        hex::encode(self.0)
    }

    fn bucket(&self) -> [u8; BUCKET_BYTES] {
        let mut bucket = [0; BUCKET_BYTES];
        bucket.copy_from_slice(&self.0[..BUCKET_BYTES]);
        bucket
    }
}

impl fmt::Debug for KeyDigest {
    /// Omits the digest, so that it does not appear in logs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// Organisation and identifier of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyOwner {
    /// Organisation that owns the key.
    pub organisation: OrganisationId,
    /// Identifier of the key.
    pub key: KeyId,
}

/// Keys of all organisations, indexed by digest.
#[derive(Debug, Default)]
pub struct KeyRing {
    buckets: HashMap<[u8; BUCKET_BYTES], Vec<(KeyDigest, KeyOwner)>>,
}

impl KeyRing {
    /// Indexes the keys of `document`; skips malformed digests, which [`crate::config::check_document`] rejects.
    pub fn new(document: &ConfigDocument) -> Self {
        let mut ring = Self::default();
        for organisation in &document.organisations {
            for key in &organisation.keys {
                let Some(digest) = KeyDigest::from_hex(&key.sha256) else { continue };
                let owner = KeyOwner { organisation: organisation.id.clone(), key: key.id.clone() };
                ring.buckets.entry(digest.bucket()).or_default().push((digest, owner));
            }
        }
        ring
    }

    /// Returns the owner of the key with `digest`.
    pub fn owner(&self, digest: &KeyDigest) -> Option<&KeyOwner> {
        let bucket = self.buckets.get(&digest.bucket())?;
        let is_same = |other: &KeyDigest| bool::from(other.0.ct_eq(&digest.0));
        bucket.iter().find(|(other, _)| is_same(other)).map(|(_, owner)| owner)
    }
}
