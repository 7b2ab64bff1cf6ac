//! Copies a running generation to another engine.
//!
//! The first copy is made while the generation runs; the second, short one stops it. The stream of
//! the source then ends, and the relay goes on at the destination.

use crate::adapter::PlainCall;
use crate::call::Call;
use crate::clock;
use crate::exchange::round_trip;
use crate::link::Link;
use crate::runtime::{spawn, within};
use crate::state::{Gateway, lock};
use almondcroft_core::RequestId;
use almondcroft_core::gateway::Choice;
use async_channel::{Receiver, bounded};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time for one copy; several generations queue on a link.
const COPY_TIME: Duration = Duration::from_secs(3);

/// Time to open a connection to the source.
const CONNECT_TIME: Duration = Duration::from_millis(400);

/// Destinations that are tried.
const MAX_DESTINATIONS: u32 = 2;

/// Longest answer to a copy, in bytes.
const MAX_ANSWER: usize = 64 * 1024;

/// Names where a generation goes on and the copy from which it does.
#[derive(Debug, Clone)]
pub(crate) struct Moved {
    pub(crate) target: Choice,
    pub(crate) handle: SmolStr,
}

/// Starts to move a generation; the result arrives when its source has stopped or the move failed.
pub(crate) fn start(
    gateway: &Arc<Gateway>,
    call: &Arc<Call>,
    request: &RequestId,
    source: &Choice,
) -> Option<Receiver<Option<Moved>>> {
    let config = gateway.config()?;
    let engine = config.pools.get(&call.service)?.engine.as_ref()?;
    if !engine.moves {
        return None;
    }
    let (sender, receiver) = bounded(1);
    let mover = Mover {
        gateway: Arc::clone(gateway),
        call: Arc::clone(call),
        request: request.clone(),
        source: source.clone(),
    };
    spawn(async move {
        let result = mover.run().await;
        // The stream may have ended meanwhile.
        let _ = sender.try_send(result);
    });
    Some(receiver)
}

struct Mover {
    gateway: Arc<Gateway>,
    call: Arc<Call>,
    request: RequestId,
    source: Choice,
}

impl Mover {
    async fn run(&self) -> Option<Moved> {
        for _ in 0..MAX_DESTINATIONS {
            let now = clock::now();
            let Some(target) = lock(&self.gateway.fleet).destination(&self.request, now) else {
                self.log("no-destination", None, now);
                return None;
            };
            let copied = self.copy(target.address, false).await;
            self.log(outcome(copied.as_ref()), Some(&target), now);
            match copied {
                Some((200, _)) => {}
                Some((404, _)) | None => return None,
                Some(_) => continue,
            }
            let now = clock::now();
            let stopped = self.copy(target.address, true).await;
            self.log(outcome(stopped.as_ref()), Some(&target), now);
            let (status, body) = stopped?;
            if !matches!(status, 200 | 503) {
                return None;
            }
            let handle = self.gateway.dialect.read_copy(&body)?;
            return Some(Moved { target, handle });
        }
        None
    }

    async fn copy(&self, to: SocketAddr, last: bool) -> Option<(u16, Vec<u8>)> {
        let name = self.call.name();
        let call = self.gateway.dialect.copy_call(name, to, last);
        within(COPY_TIME, self.ask(&call)).await.flatten()
    }

    async fn ask(&self, call: &PlainCall) -> Option<(u16, Vec<u8>)> {
        let address = self.source.address;
        let kept = self.gateway.pool.take(address, false, clock::now());
        let mut link = match kept {
            Some(link) => link,
            None => Link::connect(address, CONNECT_TIME).await.ok()?,
        };
        let (head, body) = round_trip(&mut link, address, call, MAX_ANSWER)
            .await
            .ok()?;
        if head.keeps_alive() {
            let meta = self.gateway.dialect.read_answer(&head);
            self.gateway
                .pool
                .put(address, link, meta.keep, clock::now());
        }
        Some((head.status, body))
    }

    fn log(&self, outcome: &str, target: Option<&Choice>, since: Duration) {
        let took = clock::now().saturating_sub(since);
        log::info!(event = "copy", request = self.call.name(),
            from = self.source.target.as_str(),
            target_id = target.map_or("-", |choice| choice.target.as_str()), outcome = outcome,
            took_ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX); "");
    }
}

const fn outcome(answer: Option<&(u16, Vec<u8>)>) -> &'static str {
    match answer {
        Some((200, _)) => "copied",
        Some((404, _)) => "no-run",
        Some((409, _)) => "busy",
        Some((503, _)) => "no-room",
        Some(_) => "failed",
        None => "unreachable",
    }
}
