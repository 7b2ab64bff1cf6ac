//! Loans of extra sends between VMs.
//!
//! A VM whose part of the retry budget is spent asks peers that say that they can spare some. A lost datagram costs
//! the lender one extra send, and the borrower a moment.

use super::message::{Datagram, Loan, LoanEnd, LoanRequest};
use super::send;
use crate::clock;
use crate::runtime::{sleep, within};
use crate::state::{Gateway, lock};
use almondcroft_core::gateway::{ExtraSend, LOAN_TIME};
use almondcroft_core::{ServiceId, Timestamp, VmId};
use async_channel::{Receiver, Sender, bounded};
use rand::seq::{IndexedRandom, IteratorRandom};
use smol::Async;
use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time to wait for the response of a peer; a round trip between regions takes a third of it.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(120);

/// Number of peers that are asked for one extra send.
const MAX_LENDERS: usize = 3;

/// Delay before messages are sent again after the channel has failed.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Number of messages that wait to be sent.
const QUEUE: usize = 256;

/// An extra send that a peer has lent.
#[derive(Debug, Clone)]
pub(crate) struct Borrowed {
    pub(crate) lender: VmId,
    pub(crate) until: Timestamp,
    address: SocketAddr,
    nonce: u64,
}

/// A message with its recipient.
type Outgoing = (SocketAddr, Datagram);

/// Passes messages about loans to the task that sends them, and responses back.
#[derive(Debug)]
pub(crate) struct LoanDesk {
    queue: (Sender<Outgoing>, Receiver<Outgoing>),
    waiting: Mutex<HashMap<u64, Sender<bool>>>,
    /// Loans of this VM that have not run out, with their end.
    lent: Mutex<HashMap<u64, (ServiceId, Timestamp)>>,
}

impl Default for LoanDesk {
    fn default() -> Self {
        Self {
            queue: bounded(QUEUE),
            waiting: Mutex::default(),
            lent: Mutex::default(),
        }
    }
}

impl LoanDesk {
    /// Delivers a response to the request that waits for it.
    pub(super) fn apply(&self, loan: Loan) {
        if let Some(waiter) = lock(&self.waiting).remove(&loan.nonce) {
            // The request may have stopped waiting.
            let _ = waiter.try_send(loan.granted);
        }
    }

    /// Tells the lender that a loan has been used or is not needed.
    pub(crate) fn end(&self, borrowed: &Borrowed, used: bool) {
        let end = Datagram::LoanEnd(LoanEnd {
            nonce: borrowed.nonce,
            used,
        });
        // Otherwise the lender counts it until it runs out.
        let _ = self.queue.0.try_send((borrowed.address, end));
    }

    /// Asks one peer; returns whether it lends.
    async fn ask(
        &self,
        address: SocketAddr,
        nonce: u64,
        service: &ServiceId,
        send: ExtraSend,
    ) -> bool {
        let (sender, receiver) = bounded(1);
        lock(&self.waiting).insert(nonce, sender);
        let request = LoanRequest {
            nonce,
            service: service.clone(),
            resumption: send == ExtraSend::Resumption,
        };
        let request = Datagram::LoanRequest(request);
        let is_queued = self.queue.0.try_send((address, request)).is_ok();
        let response = async { receiver.recv().await.unwrap_or_default() };
        let granted = is_queued && within(RESPONSE_TIMEOUT, response).await == Some(true);
        lock(&self.waiting).remove(&nonce);
        granted
    }
}

/// Borrows an extra send from a peer; `None` if those that were asked lend none.
pub(crate) async fn borrow(
    gateway: &Gateway,
    service: &ServiceId,
    send: ExtraSend,
) -> Option<Borrowed> {
    for (lender, address) in choose_lenders(gateway, service) {
        let (asked_at, nonce) = (clock::now(), rand::random());
        if gateway.loans.ask(address, nonce, service, send).await {
            return Some(Borrowed {
                lender,
                until: asked_at + LOAN_TIME,
                address,
                nonce,
            });
        }
    }
    None
}

/// Chooses peers that can lend: first known ones, then random ones of zones that can.
fn choose_lenders(gateway: &Gateway, service: &ServiceId) -> Vec<(VmId, SocketAddr)> {
    let (single, zones) = lock(&gateway.fleet).lenders(service, clock::now());
    let peers = lock(&gateway.peers);
    let mut random = rand::rng();
    let known = single.choose_multiple(&mut random, MAX_LENDERS).cloned();
    let mut chosen: Vec<VmId> = known.collect();
    let missing = MAX_LENDERS - chosen.len();
    for zone in zones.choose_multiple(&mut random, missing) {
        let in_zone = peers.iter().filter(|(_, entry)| entry.zone == *zone);
        chosen.extend(in_zone.map(|(vm, _)| vm).choose(&mut rand::rng()).cloned());
    }
    let addressed = chosen
        .into_iter()
        .filter_map(|vm| peers.get(&vm).map(|entry| (vm.clone(), entry.address)));
    addressed.collect()
}

/// Lends an extra send if this VM can spare it; returns the encoded response.
pub(super) fn respond(gateway: &Gateway, request: &LoanRequest) -> Vec<u8> {
    let kind = if request.resumption {
        ExtraSend::Resumption
    } else {
        ExtraSend::Repeat
    };
    let now = clock::now();
    let granted = gateway.lend(kind, &request.service, now);
    if granted {
        let mut lent = lock(&gateway.loans.lent);
        lent.retain(|_, (_, until)| *until > now);
        lent.insert(request.nonce, (request.service.clone(), now + LOAN_TIME));
    }
    Datagram::Loan(Loan {
        nonce: request.nonce,
        granted,
    })
    .encode()
}

/// Records what has become of a loan of this VM.
pub(super) fn apply_end(gateway: &Gateway, end: LoanEnd) {
    let loan = lock(&gateway.loans.lent).remove(&end.nonce);
    if let Some((service, until)) = loan {
        gateway.end_loan(&service, until, end.used, clock::now());
    }
}

/// Sends the messages that wait.
pub(super) async fn send_messages(gateway: Arc<Gateway>, socket: Arc<Async<UdpSocket>>) {
    loop {
        let Ok((address, message)) = gateway.loans.queue.1.recv().await else {
            sleep(RETRY_DELAY).await;
            continue;
        };
        send(&socket, &message.encode(), address);
    }
}
