//! One caller's request, with all that was found out about it.

use crate::adapter::CallMeta;
use crate::lifecycle::Guard;
use almondcroft_core::gateway::{CallKind, CustomerSpec, RouteSpec};
use almondcroft_core::quarantine::Fingerprint;
use almondcroft_core::{RequestId, ServiceId, Timestamp};
use almondcroft_proto::http1::RequestHead;
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// Holds one request on its way to a target.
#[derive(Debug)]
pub(crate) struct Call {
    /// Identifies it within this process; callers' ids may repeat.
    pub(crate) id: RequestId,
    pub(crate) head: RequestHead,
    pub(crate) meta: CallMeta,
    pub(crate) body: Vec<u8>,
    pub(crate) route: Arc<RouteSpec>,
    pub(crate) service: ServiceId,
    pub(crate) customer: Option<Arc<CustomerSpec>>,
    pub(crate) arrived: Timestamp,
    pub(crate) fingerprint: Fingerprint,
    /// Counts the body as long as it is kept.
    pub(crate) _held: Guard,
}

impl Call {
    /// Returns the caller's id, for logs.
    pub(crate) fn name(&self) -> &str {
        self.meta.id.as_deref().unwrap_or("-")
    }

    /// Returns the customer, for logs and metrics.
    pub(crate) fn customer_name(&self) -> &str {
        self.customer.as_ref().map_or("-", |c| c.id.as_str())
    }

    /// Returns the time at which its answer counts for nothing.
    pub(crate) fn deadline(&self) -> Timestamp {
        let limit = self.route.timeout;
        self.arrived + self.meta.deadline.map_or(limit, |time| time.min(limit))
    }

    /// Returns the time that is left.
    pub(crate) fn left(&self, now: Timestamp) -> Duration {
        self.deadline().saturating_sub(now)
    }

    /// Returns its rank; the customer's goes before the route's.
    pub(crate) fn priority(&self) -> u8 {
        let own = self.customer.as_ref().and_then(|c| c.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Returns whether it may run more than once.
    pub(crate) fn repeats(&self) -> bool {
        self.route.kind.may_repeat()
    }

    pub(crate) fn is_stream(&self) -> bool {
        self.route.kind == CallKind::Stream
    }
}

/// Returns what identifies a request whoever sends it again: path, customer and body.
pub(crate) fn fingerprint(path: &str, customer: &str, body: &[u8]) -> Fingerprint {
    let mut hash = Xxh3::new();
    for part in [path.as_bytes(), customer.as_bytes(), body] {
        hash.update(&part.len().to_le_bytes());
        hash.update(part);
    }
    hash.digest()
}
