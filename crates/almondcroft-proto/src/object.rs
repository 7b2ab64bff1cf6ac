//! Messages of the platform's object API.
//!
//! `GET /objects/{key}` returns the bytes with the version as `ETag`. `PUT` accepts `If-Match` or
//! `If-None-Match: *`. `GET /objects?prefix=` lists keys. `GET /watch/{key}?after=VERSION` responds
//! once the object has a higher version, or with 204 after a timeout.

use crate::json_parts::{elements, member, members};
use flate2::Compression;
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;
use serde::{Deserialize, Serialize};
use std::io::{BufReader, Read};

/// Maximum size of a decompressed configuration object, in bytes.
pub const MAX_UNPACKED_BYTES: u64 = 16 * 1024 * 1024;

/// Path prefix of objects.
pub const OBJECTS_PATH: &str = "/objects/";
/// Path prefix of watches.
pub const WATCH_PATH: &str = "/watch/";

/// Header with the era of the store, in all of its responses; it rises by one each time that the store
/// is restored from an older copy.
pub const ERA_HEADER: &str = "store-era";

/// Key of the current configuration.
pub const CONFIG_KEY: &str = "config/head";
/// Key prefix of the [`VmStatus`] objects, in which VMs confirm the revision they applied.
pub const STATUS_PREFIX: &str = "status/";
/// Key prefix of the ledger's segments.
pub const CLAIMS_PREFIX: &str = "claims/";
/// Key prefix of the audit entries, one per accepted sheet.
pub const AUDIT_PREFIX: &str = "audit/";

/// Response to a request that lists keys.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct KeyList {
    /// The keys, sorted.
    pub keys: Vec<String>,
}

impl KeyList {
    /// Reads a list and the number of its elements that are no texts, and so the keys of no object that almondcroft
    /// writes; returns `None` if it is no list.
    #[must_use]
    pub fn read(text: &[u8]) -> Option<(Self, usize)> {
        let elements = elements(member(&members(text)?, "keys")?)?;
        let keys = elements.iter();
        let keys: Vec<String> = keys
            .filter_map(|key| serde_json::from_slice(key).ok())
            .collect();
        let unreadable = elements.len() - keys.len();
        Some((Self { keys }, unreadable))
    }
}

/// Records who applied a revision, when, and what it changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// The revision.
    pub revision: u64,
    /// The operator who applied it.
    pub who: String,
    /// Time of the apply, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The changes, one line each.
    pub changes: Vec<String>,
    /// Unique id of the apply.
    pub apply_id: String,
}

/// The configuration as stored, with the apply that wrote it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigObject {
    /// The configuration.
    pub config: almondcroft_core::config::Config,
    /// Unique id of the apply that wrote it; shows whether a write with a lost response took
    /// effect.
    pub apply_id: String,
    /// The operator who applied it.
    pub who: String,
    /// Time of the apply, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Earlier revisions with the ids of the applies that wrote them, newest first.
    #[serde(default)]
    pub earlier: Vec<(u64, String)>,
}

impl ConfigObject {
    /// Encodes the object for the store as gzip-compressed JSON.
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

    /// Decodes a stored object.
    ///
    /// # Errors
    ///
    /// Returns an error for bytes that are not a configuration object, or that decompress to more
    /// than [`MAX_UNPACKED_BYTES`].
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        let decoder = GzDecoder::new(bytes).take(MAX_UNPACKED_BYTES);
        serde_json::from_reader(BufReader::new(decoder))
    }
}

/// The revision that a VM has applied, as it reports it in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmStatus {
    /// The VM.
    pub vm: String,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Address of the VM.
    pub address: String,
    /// The applied revision.
    pub revision: u64,
    /// When it was applied, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}
