//! Messages of the platform's object API.
//!
//! `GET /objects/{key}` returns the bytes with the version as `ETag`. `PUT` takes `If-Match` or
//! `If-None-Match: *`. `GET /objects?prefix=` lists keys. `GET /watch/{key}?after=VERSION` answers
//! when the object has a higher version, or with 204 after a while.

use flate2::Compression;
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;
use serde::{Deserialize, Serialize};
use std::io::{BufReader, Read};

/// Most bytes that a configuration unpacks to.
pub const MAX_UNPACKED_BYTES: u64 = 16 * 1024 * 1024;

/// Path of objects.
pub const OBJECTS_PATH: &str = "/objects/";
/// Path of watches.
pub const WATCH_PATH: &str = "/watch/";

/// Key of the configuration in force.
pub const CONFIG_KEY: &str = "config/head";
/// Prefix of the revisions that VMs confirm.
pub const STATUS_PREFIX: &str = "status/";
/// Prefix of the ledger's segments.
pub const CLAIMS_PREFIX: &str = "claims/";
/// Prefix of the audit entries, one per accepted sheet.
pub const AUDIT_PREFIX: &str = "audit/";

/// Answers a listing.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct KeyList {
    /// The keys, in order.
    pub keys: Vec<String>,
}

/// States who accepted a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// The revision.
    pub revision: u64,
    /// The operator.
    pub who: String,
    /// When, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// What changed.
    pub changes: Vec<String>,
    /// Tells this apply from every other.
    pub apply_id: String,
}

/// Holds the configuration as it is kept in the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigObject {
    /// The configuration.
    pub config: almondcroft_core::config::Config,
    /// Tells the apply that wrote it from every other; settles a lost answer.
    pub apply_id: String,
    /// The operator.
    pub who: String,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Revisions before this one and the applies that wrote them, newest first.
    #[serde(default)]
    pub earlier: Vec<(u64, String)>,
}

impl ConfigObject {
    /// Encodes the object for the store: JSON, compressed by gzip.
    ///
    /// # Panics
    ///
    /// Never: a configuration always serializes, and writing to memory succeeds.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut encoder = GzEncoder::new(Vec::new(), Compression::default());
        serde_json::to_writer(&mut encoder, self).expect("a configuration serializes");
        encoder.finish().expect("writing to memory succeeds")
    }

    /// Decodes the object as the store holds it.
    ///
    /// # Errors
    ///
    /// Returns an error for bytes that are not such an object, or that unpack to more than
    /// [`MAX_UNPACKED_BYTES`].
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        let decoder = GzDecoder::new(bytes).take(MAX_UNPACKED_BYTES);
        serde_json::from_reader(BufReader::new(decoder))
    }
}

/// States what a VM has put in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmStatus {
    /// The VM.
    pub vm: String,
    /// The run of its process.
    pub incarnation: u64,
    /// Address of the VM.
    pub address: String,
    /// The revision in force.
    pub revision: u64,
    /// When it came into force, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}
