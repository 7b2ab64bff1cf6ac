//! Takes other VMs' word for what the platform's store holds.
//!
//! Every VM could watch the store itself, but calls are dear and the store is the same for all. In a
//! large fleet a few VMs, the scouts, watch it without a pause; the others ask one of them twice a
//! second, and look themselves only where no scout can tell.

use super::message::{Answer, Datagram, Question, TargetsTold, age};
use super::{MAX_DATAGRAM, send};
use crate::clock;
use crate::runtime::sleep;
use crate::state::{Gateway, lock};
use almondcroft_core::VmId;
use rand::seq::IndexedRandom;
use smol::Async;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

/// Time between two questions; well below the time in which a target must be known to leave.
const ASK_TIME: Duration = Duration::from_millis(500);

/// Questions that may go without an answer before the store is taken to be away if a scout says so.
const LOST_ASKS: u32 = 2;

/// Asks scouts as long as this VM relies on them.
pub(super) async fn ask(gateway: Arc<Gateway>, socket: Arc<Async<UdpSocket>>) {
    loop {
        sleep(ASK_TIME).await;
        let now = clock::now();
        let scouts = gateway.scouts(now).unwrap_or_default();
        let Some(scout) = scouts.choose(&mut rand::rng()) else {
            continue;
        };
        let Some(address) = address_of(&gateway, scout) else {
            continue;
        };
        let question = Question {
            nonce: lock(&gateway.asks).start(now, &mut rand::rng()),
            targets: gateway.targets_revision(),
        };
        send(&socket, &Datagram::Question(question).encode(), address);
    }
}

fn address_of(gateway: &Gateway, vm: &VmId) -> Option<SocketAddr> {
    lock(&gateway.vms).get(vm).copied()
}

/// Answers a question with what this VM knows.
pub(super) fn answer(gateway: &Gateway, question: &Question) -> Vec<u8> {
    let now = clock::now();
    let (told, away) = gateway.targets_since(question.targets, now);
    let targets =
        told.map(|(revision, at, events)| TargetsTold::new(revision, age(at, now), events, now));
    let mut answer = Answer {
        nonce: question.nonce,
        config: gateway
            .config_known()
            .map(|(revision, at)| (revision, age(at, now))),
        targets,
        away,
    };
    let bytes = Datagram::Answer(answer.clone()).encode();
    if bytes.len() <= MAX_DATAGRAM {
        return bytes;
    }
    // The other VM looks itself.
    answer.targets = None;
    Datagram::Answer(answer).encode()
}

/// Takes in an answer.
pub(super) fn take(gateway: &Gateway, answer: Answer) {
    let Some(asked) = lock(&gateway.asks).complete(answer.nonce) else {
        return;
    };
    let now = clock::now();
    let dated = |age| asked.observed_at(Duration::from_millis(age));
    if let Some((revision, age)) = answer.config {
        gateway.hear_config(revision, dated(age));
    }
    if let Some(told) = answer.targets {
        let (revision, at) = (told.revision, dated(told.age));
        let events = told.into_events(now);
        gateway.change_targets(|directory| {
            directory.mark_store_available(now);
            directory.apply_changes(events, (revision, at), now)
        });
    } else if answer.away {
        gateway.change_targets(|directory| {
            let known = directory.complete_at();
            if known.is_none_or(|at| at + ASK_TIME * LOST_ASKS < now) {
                directory.mark_store_unavailable();
            }
            Vec::new()
        });
    }
}
