//! What a platform's adapter translates; adapters decide nothing and keep no state.

use almondcroft_core::gateway::{EntryEvent, GatewayConfig};
use almondcroft_core::{CustomerId, ModelId, Revision, TargetId, Timestamp};
use almondcroft_proto::http1::{Headers, RequestHead, ResponseHead};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::Duration;

/// Describes the generation that a request asks for.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Generation {
    /// The model.
    pub model: ModelId,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Most tokens of output.
    pub most: u32,
    /// Tokens of output that the caller expects.
    pub hint: Option<u32>,
}

/// Holds what a caller's request says beside its route.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CallMeta {
    /// The caller's id of the request.
    pub id: Option<SmolStr>,
    /// Time that the caller will wait.
    pub deadline: Option<Duration>,
    /// The key.
    pub key: Option<SmolStr>,
    /// The generation, if it asks for one.
    pub generation: Option<Generation>,
}

/// Tells a target where the memory of a generation lies that goes on there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Continuation {
    /// Target that names the copy.
    pub holder: SocketAddr,
    /// Names the copy there.
    pub handle: SmolStr,
    /// Last event that the caller has.
    pub after: u64,
}

/// Holds what the gateway sets on a request to a target.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SendMeta {
    /// Time that is left.
    pub left: Duration,
    /// The only target that may run it.
    pub target: TargetId,
    /// The customer, if the request came with a key.
    pub customer: Option<CustomerId>,
    /// Rank at an engine; 0 is first.
    pub rank: Option<u8>,
    /// Engine that is to keep a copy of the generation's memory.
    pub backup: Option<SocketAddr>,
    /// Copy from which the generation goes on.
    pub resume: Option<Continuation>,
}

/// Holds what a target's answer says beside its status.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct AnswerMeta {
    /// Request that is answered.
    pub id: Option<SmolStr>,
    /// Whether the target signed it.
    pub signed: bool,
    /// Whether the target says that it did not run the request.
    pub not_run: bool,
    /// Requests that run and that wait at the target.
    pub load: Option<(u32, u32)>,
    /// Time for which the target keeps the connection open while it is idle.
    pub keep: Option<Duration>,
}

/// Holds a small request that the gateway makes for itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainCall {
    /// The method.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// The body, in JSON; empty for none.
    pub body: Vec<u8>,
}

/// Translates between callers' and targets' headers and the gateway's types.
pub trait Dialect: Send + Sync {
    /// Reads a caller's request.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with a header that the protocol defines.
    fn read_call(&self, head: &RequestHead) -> Result<CallMeta, &'static str>;

    /// Returns the headers of a request to a target.
    fn write_call(&self, head: &RequestHead, send: &SendMeta) -> Headers;

    /// Reads a target's answer.
    fn read_answer(&self, head: &ResponseHead) -> AnswerMeta;

    /// Marks an answer of the gateway's own as the answer to a request.
    fn mark_answer(&self, headers: &mut Headers, id: &str);

    /// Asks an engine to copy a generation's memory; with `last`, to stop it first.
    fn copy_call(&self, request: &str, to: SocketAddr, last: bool) -> PlainCall;

    /// Reads the name of a copy from the answer to [`Dialect::copy_call`].
    fn read_copy(&self, body: &[u8]) -> Option<SmolStr>;
}

/// Names a kind of objects in the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// The configuration.
    Config,
    /// The targets.
    Targets,
    /// The VMs of this system.
    Vms,
}

impl Kind {
    /// Returns the form used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Targets => "targets",
            Self::Vms => "vms",
        }
    }
}

/// Holds one object of the store, decoded.
#[derive(Debug, Clone)]
pub enum Item {
    /// A configuration.
    Config(Box<GatewayConfig>),
    /// A target, or one that is gone.
    Target(EntryEvent),
    /// A VM of this system, with the address at which it hears news.
    Vm(SmolStr, Option<SocketAddr>),
    /// An object that cannot be read, with the reason.
    Unreadable(SmolStr, String),
}

/// Holds a part of a list, or the changes that a watch brought.
#[derive(Debug, Clone, Default)]
pub struct Batch {
    /// The objects.
    pub items: Vec<Item>,
    /// Revision of the store that they show.
    pub revision: Revision,
    /// Name after which the list goes on.
    pub next: Option<SmolStr>,
}

/// Translates calls to the platform's store.
pub trait Registry: Send + Sync {
    /// Lists objects, from after a name on.
    fn list(&self, kind: Kind, after: Option<&str>) -> PlainCall;

    /// Waits for changes since a revision.
    fn watch(&self, kind: Kind, since: Revision, wait: Duration) -> PlainCall;

    /// Registers a VM of this system.
    fn register(&self, vm: &str, address: SocketAddr) -> PlainCall;

    /// Takes a VM of this system off the list.
    fn unregister(&self, vm: &str) -> PlainCall;

    /// Reads the answer to [`Registry::list`].
    ///
    /// # Errors
    ///
    /// Returns the reason if the answer is not a list.
    fn read_list(&self, kind: Kind, body: &[u8], now: Timestamp) -> Result<Batch, String>;

    /// Reads the answer to [`Registry::watch`].
    ///
    /// # Errors
    ///
    /// Returns the reason if the answer holds no changes.
    fn read_changes(&self, kind: Kind, body: &[u8], now: Timestamp) -> Result<Batch, String>;
}
