//! Traits and types for platform adapters.
//!
//! An adapter translates between a platform's messages and the gateway's types. It decides nothing
//! and keeps no state.

use almondcroft_core::gateway::{EntryEvent, GatewayConfig};
use almondcroft_core::quarantine::{Fingerprint, RefusedPart};
use almondcroft_core::{CustomerId, Era, ModelId, Revision, TargetId, Timestamp, ZoneId};
use almondcroft_proto::http1::{Headers, RequestHead, ResponseHead};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::Duration;

/// Describes the generation that a request asks for.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Generation {
    /// The model.
    pub model: ModelId,
    /// Number of tokens of the prompt.
    pub prompt: u32,
    /// Maximum number of output tokens.
    pub max_output: u32,
    /// Number of output tokens that the caller expects.
    pub output_hint: Option<u32>,
    /// Ids of the parts of the prompt, in order; other prompts may contain all but the last.
    pub parts: Vec<SmolStr>,
}

/// What the headers of a caller's request state.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CallMeta {
    /// The id that the caller gave the request.
    pub id: Option<SmolStr>,
    /// Time that the caller is willing to wait.
    pub timeout: Option<Duration>,
    /// The customer's API key.
    pub key: Option<SmolStr>,
    /// The generation, if the request asks for one.
    pub generation: Option<Generation>,
    /// Id of the last event that the caller has of a stream; counts on resumable routes only.
    pub last_event: Option<u64>,
}

/// Names the copy of a KV cache from which a target resumes a generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Continuation {
    /// Address of the target that holds the copy.
    pub holder: SocketAddr,
    /// Handle of the copy at its holder.
    pub handle: SmolStr,
    /// Id of the last event that the caller received.
    pub last_event: u64,
}

/// What the gateway sets on a request to a target.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SendMeta {
    /// Time until the deadline.
    pub time_left: Duration,
    /// The only target that may run it.
    pub target: TargetId,
    /// The customer, if the request came with a key.
    pub customer: Option<CustomerId>,
    /// Priority at an engine; 0 is the highest.
    pub engine_priority: Option<u8>,
    /// Engine that keeps a backup of the generation's KV cache.
    pub backup: Option<SocketAddr>,
    /// Copy from which the generation resumes.
    pub resume: Option<Continuation>,
    /// Id of the event after which a stream goes on without a copy.
    pub last_event: Option<u64>,
}

/// A number of requests a second, over all VMs together, that a target's response may state.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum StatedLimit {
    /// It states no limit.
    #[default]
    None,
    /// It states this many.
    PerSecond(f64),
    /// What it states is not a number of requests.
    Unreadable,
}

/// What the headers of a target's response state.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ResponseMeta {
    /// Id of the request to which the target responds.
    pub id: Option<SmolStr>,
    /// Whether the response bears the target's stamp.
    pub stamped: bool,
    /// Whether the target states that it did not run the request.
    pub not_run: bool,
    /// Numbers of running and of waiting requests at the target.
    pub load: Option<(u32, u32)>,
    /// Time for which the target keeps an idle connection open.
    pub keep_alive: Option<Duration>,
    /// Whether the target states that it is leaving.
    pub leaving: bool,
    /// Time for which the target states to be cold.
    pub cold: Option<Duration>,
    /// Time for which the target asks for no further requests.
    pub retry_after: Option<Duration>,
    /// The limit on its requests that the target states.
    pub rate_limit: StatedLimit,
    /// The limit that the target states on the requests that it can turn away.
    pub refusal_limit: StatedLimit,
}

/// A small request of the gateway's own, to an engine or to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlCall {
    /// The method.
    pub method: &'static str,
    /// The path with the query.
    pub path: String,
    /// The body, in JSON; empty for none.
    pub body: Vec<u8>,
}

/// Translates the headers of callers and targets, and the calls that copy KV caches.
pub trait Dialect: Send + Sync {
    /// Reads a caller's request.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with a header that the protocol defines.
    fn read_call(&self, head: &RequestHead) -> Result<CallMeta, &'static str>;

    /// Returns the headers of a request to a target.
    fn write_call(&self, head: &RequestHead, send: &SendMeta) -> Headers;

    /// Reads the headers of a target's response.
    fn read_response(&self, head: &ResponseHead) -> ResponseMeta;

    /// Marks a reply of the gateway's own as the response to a request.
    fn mark_response(&self, headers: &mut Headers, id: &str);

    /// Returns the call that asks an engine to copy a generation's KV cache.
    ///
    /// With `last`, the engine stops the generation first.
    fn copy_call(&self, request: &str, to: SocketAddr, last: bool) -> ControlCall;

    /// Returns the call that asks an engine to free a copy that it has sent, at both ends.
    fn free_copy_call(&self, handle: &str) -> ControlCall;

    /// Reads the handle of a copy from the response to [`Dialect::copy_call`].
    fn read_copy_handle(&self, body: &[u8]) -> Option<SmolStr>;
}

/// The kinds of objects in the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ObjectKind {
    /// The configuration.
    Config,
    /// The targets.
    Targets,
    /// The availability zones that are evacuated.
    Evacuations,
    /// The entry VMs.
    Vms,
}

impl ObjectKind {
    /// Returns the form used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Targets => "targets",
            Self::Evacuations => "evacuations",
            Self::Vms => "vms",
        }
    }
}

/// A decoded object of the store.
#[derive(Debug, Clone)]
pub enum Item {
    /// A configuration.
    Config(Box<GatewayConfig>),
    /// A target that is present or was removed.
    Target(EntryEvent),
    /// An availability zone, and whether it is evacuated.
    Evacuation(ZoneId, bool),
    /// An entry VM; `None` if it was removed.
    Vm(SmolStr, Option<VmEntry>),
    /// An object that cannot be decoded, with the reason and its name, which is empty if it cannot be decoded either.
    Unreadable(SmolStr, String),
}

/// How an entry VM is registered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmEntry {
    /// Address at which it receives gossip.
    pub address: SocketAddr,
    /// Its availability zone; empty if it is unknown.
    pub zone: ZoneId,
    /// The parts of prompts that it refuses, as far as it stores them.
    pub refused_parts: Vec<RefusedPart>,
    /// The requests that it refuses, as far as it stores them.
    pub refused_requests: Vec<StoredRequest>,
}

impl VmEntry {
    /// Creates the entry of a VM that refuses nothing.
    pub(crate) const fn new(address: SocketAddr, zone: ZoneId) -> Self {
        Self {
            address,
            zone,
            refused_parts: Vec::new(),
            refused_requests: Vec::new(),
        }
    }

    /// Returns whether it refuses something.
    pub(crate) const fn has_refusals(&self) -> bool {
        !self.refused_parts.is_empty() || !self.refused_requests.is_empty()
    }

    /// Returns whether it refuses the same as another one, whenever each crash or trial was.
    pub(crate) fn refuses_like(&self, other: &Self) -> bool {
        let identities = |entry: &Self| -> Vec<(Fingerprint, u32, u32)> {
            let requests = entry.refused_requests.iter();
            requests.map(StoredRequest::identity).collect()
        };
        self.refused_parts == other.refused_parts && identities(self) == identities(other)
    }
}

/// A request that VMs refuse, as it is stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoredRequest {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Number of targets that it crashed.
    pub crashes: u32,
    /// Number of trials.
    pub trials: u32,
    /// Time of day of the last crash or trial, in seconds since 1970.
    pub last_s: u64,
}

impl StoredRequest {
    /// Returns all but the time, which the VMs do not know alike.
    const fn identity(&self) -> (Fingerprint, u32, u32) {
        (self.fingerprint, self.crashes, self.trials)
    }
}

/// A page of a list, or the changes that a watch returned.
#[derive(Debug, Clone, Default)]
pub struct Batch {
    /// The objects.
    pub items: Vec<Item>,
    /// Revision of the store that the objects reflect.
    pub revision: Revision,
    /// Name after which the list continues; `None` at its end.
    pub next: Option<SmolStr>,
}

/// Translates calls to the platform's store.
pub trait Registry: Send + Sync {
    /// Returns the call that lists the objects after a name, or from the start.
    fn list(&self, kind: ObjectKind, after: Option<&str>) -> ControlCall;

    /// Returns the call that waits for changes after a revision, for at most `wait`.
    fn watch(&self, kind: ObjectKind, since: Revision, wait: Duration) -> ControlCall;

    /// Returns the call that registers an entry VM.
    fn register(&self, vm: &str, entry: &VmEntry) -> ControlCall;

    /// Returns the call that replaces the registration of an entry VM.
    fn update(&self, vm: &str, entry: &VmEntry) -> ControlCall;

    /// Returns the call that removes an entry VM.
    fn unregister(&self, vm: &str) -> ControlCall;

    /// Reads the era of the store, which each of its responses states; `None` if it is missing.
    ///
    /// # Errors
    ///
    /// Returns the text if it is not an era.
    fn read_era(&self, head: &ResponseHead) -> Result<Option<Era>, String>;

    /// Reads the response to [`Registry::list`].
    ///
    /// # Errors
    ///
    /// Returns the reason if the response is not a list.
    fn read_list(&self, kind: ObjectKind, body: &[u8], now: Timestamp) -> Result<Batch, String>;

    /// Reads the response to [`Registry::watch`].
    ///
    /// # Errors
    ///
    /// Returns the reason if the response cannot be read as changes.
    fn read_changes(&self, kind: ObjectKind, body: &[u8], now: Timestamp) -> Result<Batch, String>;
}
