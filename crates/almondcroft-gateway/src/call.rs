//! A caller's request, with its route, service and customer.

use crate::adapter::{CallMeta, Generation};
use crate::lifecycle::Guard;
use almondcroft_core::gateway::{CallKind, CustomerSpec, RouteSpec};
use almondcroft_core::quarantine::{Fingerprint, PartId};
use almondcroft_core::{RequestId, ServiceId, Timestamp};
use almondcroft_proto::http1::RequestHead;
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// An admitted request.
#[derive(Debug)]
pub(crate) struct Call {
    /// Identifies the request within this process; callers' ids may repeat.
    pub(crate) id: RequestId,
    pub(crate) head: RequestHead,
    pub(crate) meta: CallMeta,
    pub(crate) body: Vec<u8>,
    pub(crate) route: Arc<RouteSpec>,
    pub(crate) service: ServiceId,
    pub(crate) customer: Option<Arc<CustomerSpec>>,
    pub(crate) received_at: Timestamp,
    pub(crate) fingerprint: Fingerprint,
    /// The parts that its prompt may share with others.
    pub(crate) parts: Vec<PartId>,
    pub(crate) order: Order,
    /// Counts the body against the memory budget as long as the call exists.
    pub(crate) _body_guard: Guard,
}

impl Call {
    /// Returns the id that the caller gave the request, or `-` if there is none.
    pub(crate) fn external_id(&self) -> &str {
        self.meta.id.as_deref().unwrap_or("-")
    }

    /// Returns the id of the customer for logs and metrics, or `-` if there is none.
    pub(crate) fn customer_label(&self) -> &str {
        self.customer.as_ref().map_or("-", |c| c.id.as_str())
    }

    /// Returns the ids of the parts of the prompt for logs, or `-` if there are none.
    pub(crate) fn part_names(&self) -> String {
        let generation = self.meta.generation.as_ref();
        let names = generation.map_or(String::new(), |generation| generation.parts.join(","));
        if names.is_empty() { "-".into() } else { names }
    }

    /// Returns the time after which a response is of no use to the caller.
    pub(crate) fn deadline(&self) -> Timestamp {
        let limit = self.route.timeout;
        self.received_at + self.meta.timeout.map_or(limit, |time| time.min(limit))
    }

    /// Returns the time until the deadline.
    pub(crate) fn time_left(&self, now: Timestamp) -> Duration {
        self.deadline().saturating_sub(now)
    }

    /// Returns the priority of the request; the customer's takes precedence over the route's.
    pub(crate) fn priority(&self) -> u8 {
        let customer_priority = self.customer.as_ref().and_then(|c| c.priority);
        customer_priority.unwrap_or(self.route.priority)
    }

    /// Returns whether the request may run more than once.
    pub(crate) fn may_repeat(&self) -> bool {
        self.route.may_repeat()
    }

    /// Returns whether two targets may run the request at once; a generation must not run at two engines.
    pub(crate) fn may_run_twice_at_once(&self) -> bool {
        self.may_repeat() && !self.is_stream()
    }

    /// Returns whether the response is a stream that may be resumed.
    pub(crate) fn is_resumable(&self) -> bool {
        self.route.is_resumable()
    }

    /// Returns the id of the last event that the caller has, if it resumes a stream.
    pub(crate) fn last_event(&self) -> Option<u64> {
        self.meta.last_event.filter(|_| self.is_resumable())
    }

    pub(crate) fn is_stream(&self) -> bool {
        self.route.kind == CallKind::Stream
    }
}

/// Identifies what a caller wants across its attempts, and its size, for logs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Order {
    hash: u64,
    /// Tokens of the prompt.
    pub(crate) prompt: u32,
    /// Maximum tokens of output.
    pub(crate) output: u32,
}

impl Order {
    pub(crate) fn new(path: &str, body: &[u8], generation: Option<&Generation>) -> Self {
        Self {
            hash: fingerprint(path, "", body),
            prompt: generation.map_or(0, |generation| generation.prompt),
            output: generation.map_or(0, |generation| generation.max_output),
        }
    }

    /// Returns the form of the hash used in logs.
    pub(crate) fn id(&self) -> String {
        format!("{:016x}", self.hash)
    }
}

/// Returns a hash of path, customer and body, which identifies a request when it is sent again.
pub(crate) fn fingerprint(path: &str, customer: &str, body: &[u8]) -> Fingerprint {
    let mut hash = Xxh3::new();
    for part in [path.as_bytes(), customer.as_bytes(), body] {
        hash.update(&part.len().to_le_bytes());
        hash.update(part);
    }
    hash.digest()
}
