//! Hashes of keys and bodies.

use crate::Timestamp;
use sha2::{Digest, Sha256};
use std::time::Duration;

/// Hash of customer, service and idempotency key.
pub type KeyHash = [u64; 2];
/// Hash of method, path and body.
pub type BodyHash = u64;
/// Identifies one attempt to claim a key.
pub type Nonce = u64;

const WORD_BYTES: usize = size_of::<u64>();

fn first_word(bytes: &[u8]) -> u64 {
    let mut word = [0; WORD_BYTES];
    word.copy_from_slice(&bytes[..WORD_BYTES]);
    u64::from_le_bytes(word)
}

fn digest(parts: &[&[u8]]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}

/// Hashes an idempotency key within its customer and service.
#[must_use]
pub fn hash_key(customer: &str, service: &str, key: &str) -> KeyHash {
    let bytes = digest(&[customer.as_bytes(), service.as_bytes(), key.as_bytes()]);
    [first_word(&bytes), first_word(&bytes[WORD_BYTES..])]
}

/// Hashes the method, path and body of a keyed call.
#[must_use]
pub fn hash_body(method: &str, path: &str, body: &[u8]) -> BodyHash {
    first_word(&digest(&[method.as_bytes(), path.as_bytes(), body]))
}

/// Returns the shard of a key.
///
/// # Panics
///
/// Panics if `shards` is zero.
#[must_use]
pub fn shard_of(key: KeyHash, shards: u32) -> u32 {
    u32::try_from(key[0] % u64::from(shards)).expect("a remainder is below its divisor")
}

/// Returns the timestamp in a `UUIDv7` key, or `None` for any other key.
#[must_use]
pub fn key_time(key: &str) -> Option<Timestamp> {
    let uuid = uuid::Uuid::try_parse(key).ok()?;
    if uuid.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(Duration::new(seconds, nanos))
}

#[cfg(test)]
mod tests;
