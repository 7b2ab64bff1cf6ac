//! Messages between entry VMs, carried as JSON-RPC 2.0.
//!
//! Each request is authenticated by a header with an HMAC of its body under the key that the VMs of a
//! deployment share.

use almondcroft_core::config::Config;
use almondcroft_core::ledger::{Claim, Entry};
use almondcroft_core::membership::Evidence;
use almondcroft_core::{Incarnation, Revision, TargetId, VmId};
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::fmt::Write;

/// Path of the interface.
pub const RPC_PATH: &str = "/peer";
/// Header of the authentication code.
pub const AUTH_HEADER: &str = "almondcroft-peer-auth";

/// Method that claims a key at the VM that appends to its shard.
pub const CLAIM: &str = "claim";
/// Method that records an outcome or a release.
pub const NOTE: &str = "note";
/// Method that probes a VM and exchanges news.
pub const HELLO: &str = "hello";
/// Method that reads the configuration in force.
pub const CONFIG: &str = "config";

fn code(secret: &str, body: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::new_from_slice(secret.as_bytes()).expect("HMAC takes keys of any length");
    mac.update(body);
    mac
}

/// Returns the authentication code of a message, in hexadecimal digits.
///
/// # Panics
///
/// Never: HMAC takes keys of any length.
#[must_use]
pub fn seal(secret: &str, body: &[u8]) -> String {
    let mut text = String::new();
    for byte in code(secret, body).finalize().into_bytes() {
        write!(text, "{byte:02x}").expect("writing to a string succeeds");
    }
    text
}

/// Returns whether a message has the right authentication code.
///
/// # Panics
///
/// Never: HMAC takes keys of any length.
#[must_use]
pub fn is_sealed(secret: &str, body: &[u8], text: &str) -> bool {
    let pairs = text.as_bytes().chunks(2);
    let bytes: Option<Vec<u8>> = pairs
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok())
        .collect();
    bytes.is_some_and(|bytes| code(secret, body).verify_slice(&bytes).is_ok())
}

/// Asks for a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimParams {
    /// The shard of the key.
    pub shard: u32,
    /// The claim.
    pub claim: Claim,
}

/// Hands over an entry for the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoteParams {
    /// The shard of the key.
    pub shard: u32,
    /// The entry.
    pub entry: Entry,
}

/// Tells a neighbour what is new.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Hello {
    /// The VM that speaks.
    pub vm: VmId,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// Whether it is about to stop.
    #[serde(default)]
    pub leaving: bool,
    /// The revision that it has in force.
    pub revision: Revision,
    /// What it saw of targets lately.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub news: Vec<TargetNews>,
    /// Requests that crashed targets, and how often.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<(u64, u32)>,
}

/// Tells what was seen of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetNews {
    /// The target.
    pub target: TargetId,
    /// What was seen.
    pub evidence: Evidence,
    /// Times that it may be passed on.
    pub hops: u8,
}

/// Answers a request for the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigAnswer {
    /// The configuration in force.
    pub config: Config,
}
