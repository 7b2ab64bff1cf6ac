//! Messages between entry VMs, carried as JSON-RPC 2.0.
//!
//! Each request is authenticated by a header with an HMAC-SHA-256 of its body, keyed with the secret
//! that the VMs of a deployment share.

use almondcroft_core::config::Config;
use almondcroft_core::ledger::{Claim, Entry};
use almondcroft_core::membership::Evidence;
use almondcroft_core::{Incarnation, Revision, TargetId, VmId};
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::fmt::Write;

/// Path of the JSON-RPC endpoint.
pub const RPC_PATH: &str = "/peer";
/// Header that carries the authentication code.
pub const AUTH_HEADER: &str = "almondcroft-peer-auth";

/// Method that claims an idempotency key at the VM that appends to the key's shard.
pub const CLAIM_METHOD: &str = "claim";
/// Method that records the outcome or the release of a claim.
pub const RECORD_METHOD: &str = "note";
/// Method that probes a VM and exchanges gossip messages.
pub const GOSSIP_METHOD: &str = "hello";
/// Method that returns the current configuration.
pub const CONFIG_METHOD: &str = "config";

fn body_mac(secret: &str, body: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::new_from_slice(secret.as_bytes()).expect("HMAC accepts keys of any length");
    mac.update(body);
    mac
}

/// Returns the authentication code of a message body, in hexadecimal digits.
///
/// # Panics
///
/// Never: HMAC accepts keys of any length.
#[must_use]
pub fn compute_auth_code(secret: &str, body: &[u8]) -> String {
    let mut text = String::new();
    for byte in body_mac(secret, body).finalize().into_bytes() {
        write!(text, "{byte:02x}").expect("writing to a string succeeds");
    }
    text
}

/// Returns whether `text` is the authentication code of a message body.
///
/// # Panics
///
/// Never: HMAC accepts keys of any length.
#[must_use]
pub fn verify_auth_code(secret: &str, body: &[u8], text: &str) -> bool {
    let pairs = text.as_bytes().chunks(2);
    let bytes: Option<Vec<u8>> = pairs
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok())
        .collect();
    bytes.is_some_and(|bytes| body_mac(secret, body).verify_slice(&bytes).is_ok())
}

/// Parameters of [`CLAIM_METHOD`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimParams {
    /// Shard of the idempotency key.
    pub shard: u32,
    /// The requested claim.
    pub claim: Claim,
}

/// Parameters of [`RECORD_METHOD`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordParams {
    /// Shard of the idempotency key.
    pub shard: u32,
    /// The entry to append to the shard's log.
    pub entry: Entry,
}

/// State that a VM shares with its neighbours, as parameters and response of [`GOSSIP_METHOD`].
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct GossipMessage {
    /// The sending VM.
    pub vm: VmId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Whether it is draining.
    #[serde(default)]
    pub leaving: bool,
    /// The configuration revision that it has applied.
    pub revision: Revision,
    /// Recent observations of targets.
    #[serde(rename = "news", default, skip_serializing_if = "Vec::is_empty")]
    pub observations: Vec<TargetObservation>,
    /// Fingerprints of requests that crashed targets, with the number of crashes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<(u64, u32)>,
}

/// Health evidence about a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetObservation {
    /// The target.
    pub target: TargetId,
    /// The evidence.
    pub evidence: Evidence,
    /// How many more times it may be forwarded.
    pub hops: u8,
}

/// Response of [`CONFIG_METHOD`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigResponse {
    /// The current configuration.
    pub config: Config,
}
