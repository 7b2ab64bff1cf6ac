//! Copies a running generation to another engine.
//!
//! The first copy is made while the generation runs; the second, short one stops it. The stream of
//! the source then ends, and the relay goes on at the destination.

use crate::adapter::PlainCall;
use crate::call::Call;
use crate::clock;
use crate::exchange::{CONNECT_TIME, round_trip};
use crate::logging::millis;
use crate::pool;
use crate::runtime::{sleep, spawn, within};
use crate::state::{Gateway, lock};
use almondcroft_core::gateway::Choice;
use almondcroft_core::{RequestId, Timestamp};
use async_channel::{Receiver, bounded};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time for one copy; several generations queue on a link.
const COPY_TIME: Duration = Duration::from_secs(3);

/// Destinations that are tried; each has refused a copy lately then.
const MAX_TRIES: u32 = 16;

/// Time from the notice in which destinations are tried.
const TRY_TIME: Duration = Duration::from_millis(1_600);

/// Pause while there is no destination, in which requests end and make room.
const TRY_PAUSE: Duration = Duration::from_millis(120);

/// Time in which a part is copied where no other copy is before it on the link.
const QUICK_COPY: Duration = Duration::from_millis(70);

/// Time from the notice after which the source is left, however busy its link is; the shortest notice
/// of the users' sites is 1.5 s.
const NOTICE_TIME: Duration = Duration::from_millis(1_100);

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
    if !engine.supports_migration {
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

/// Tells what came of a try to move a generation.
enum Tried {
    /// The source has stopped.
    Moved(Moved),
    /// The destination has no room.
    NoRoom,
    /// The source does not know the generation or is gone.
    Failed,
}

struct Mover {
    gateway: Arc<Gateway>,
    call: Arc<Call>,
    request: RequestId,
    source: Choice,
}

impl Mover {
    async fn run(&self) -> Option<Moved> {
        let since = clock::now();
        let delay = lock(&self.gateway.fleet).migration_delay(&self.request, since);
        sleep(delay).await;
        for _ in 0..MAX_TRIES {
            let now = clock::now();
            if now > since + TRY_TIME {
                break;
            }
            let target = lock(&self.gateway.fleet).choose_migration_target(&self.request, now);
            let Some(target) = target else {
                self.log("ahead", "no-destination", None, now);
                sleep(TRY_PAUSE).await;
                continue;
            };
            match self.move_to(target, since).await {
                Tried::Moved(moved) => return Some(moved),
                Tried::NoRoom => {}
                Tried::Failed => return None,
            }
        }
        None
    }

    /// Tries to move the generation to one target.
    ///
    /// The generation stands still while its last part is copied, and that part waits for other
    /// copies on the link. So what is new is copied again while it runs, until that takes no time.
    async fn move_to(&self, target: Choice, since: Timestamp) -> Tried {
        lock(&self.gateway.fleet).set_migration_target(&self.request, &target.target);
        self.gateway.request_gossip();
        pool::warm(&self.gateway, target.address, &self.call.service);
        loop {
            let begun = clock::now();
            let copied = self.copy(target.address, false).await;
            self.log("ahead", outcome(copied.as_ref()), Some(&target), begun);
            match copied {
                Some((200, _)) => {}
                Some((503 | 409, _)) => return self.no_room(&target),
                Some(_) | None => return Tried::Failed,
            }
            let now = clock::now();
            let took = now.saturating_sub(begun);
            let is_last = took < QUICK_COPY || now + took > since + NOTICE_TIME;
            if is_last {
                break;
            }
        }
        let stopping = clock::now();
        let stopped = self.copy(target.address, true).await;
        self.log("last", outcome(stopped.as_ref()), Some(&target), stopping);
        let Some((status, body)) = stopped else {
            return Tried::Failed;
        };
        match (status, self.gateway.dialect.read_copy(&body)) {
            (200 | 503, Some(handle)) => Tried::Moved(Moved { target, handle }),
            // Without a handle the generation was not stopped.
            (503 | 409, None) => self.no_room(&target),
            _ => Tried::Failed,
        }
    }

    fn tokens(&self) -> u32 {
        lock(&self.gateway.fleet).resident_tokens(&self.request)
    }

    fn no_room(&self, target: &Choice) -> Tried {
        lock(&self.gateway.fleet).record_rejection(&target.target, clock::now());
        Tried::NoRoom
    }

    async fn copy(&self, to: SocketAddr, last: bool) -> Option<(u16, Vec<u8>)> {
        let name = self.call.name();
        let call = self.gateway.dialect.copy_call(name, to, last);
        within(COPY_TIME, self.ask(&call, last)).await.flatten()
    }

    async fn ask(&self, call: &PlainCall, last: bool) -> Option<(u16, Vec<u8>)> {
        let address = self.source.address;
        let (mut link, _) = pool::connect(&self.gateway, address, false, CONNECT_TIME)
            .await
            .ok()?;
        let (head, body) = round_trip(&mut link, address, call, MAX_ANSWER)
            .await
            .ok()?;
        if head.keeps_alive() {
            let time = self.gateway.dialect.read_answer(&head).keep;
            pool::keep(&self.gateway, address, &self.call.service, link, time);
        } else if !last {
            // A target that leaves closes each connection, and the next copy follows at once.
            pool::warm(&self.gateway, address, &self.call.service);
        }
        Some((head.status, body))
    }

    fn log(&self, part: &str, outcome: &str, target: Option<&Choice>, since: Duration) {
        let took = clock::now().saturating_sub(since);
        log::info!(event = "copy", request = self.call.name(),
            from = self.source.target.as_str(),
            target_id = target.map_or("-", |choice| choice.target.as_str()), part = part, outcome = outcome,
            tokens = self.tokens(), beside = target.map_or(0, |choice| choice.request_count),
            took_ms = millis(took); "");
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
