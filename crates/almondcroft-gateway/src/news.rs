//! News between the VMs of the fleet: what each has at the targets, and what crashes them.
//!
//! Load reports of targets are late, and two VMs that read the same report send to the same target.
//! Each VM knows exactly what it sent, so it tells the others in small datagrams; one that is lost
//! is made up for by the next. VMs find each other by a list in the platform's store.

mod message;
mod scouts;

use crate::adapter::{Item, Kind, PlainCall};
use crate::clock;
use crate::runtime::{sleep, spawn};
use crate::state::{Departure, Gateway, lock};
use crate::store::{CALL_TIME, StoreClient, StoreError};
use almondcroft_core::gateway::GossipFanout;
use almondcroft_core::quarantine::Fingerprint;
use almondcroft_core::{Revision, Timestamp};
use futures_lite::future::or;
use message::{Datagram, Message};
use rand::seq::index;
use smol::Async;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

/// Time between two rounds, in which a few VMs are told whatever changed.
const ROUND: Duration = Duration::from_millis(120);

/// Time for which changes gather before they are told; requests that begin together need one datagram.
const GATHER_TIME: Duration = Duration::from_millis(5);

/// Time between two looks at the list of VMs.
const LIST_TIME: Duration = Duration::from_secs(8);

/// Time between such looks while no other VM is known.
const FIRST_LIST_TIME: Duration = Duration::from_secs(1);

/// Longest datagram, in bytes; more than a few hundred targets do not fit and are left out.
const MAX_DATAGRAM: usize = 8 * 1024;

/// Status of a store that has the object already.
const CONFLICT: u16 = 409;

/// Starts to tell and to hear news, if the settings give an address for it.
pub(crate) fn start(gateway: &Arc<Gateway>) -> io::Result<()> {
    let Some(address) = gateway.settings.peers else {
        return Ok(());
    };
    let socket = Arc::new(Async::<UdpSocket>::bind(address)?);
    spawn(hear(Arc::clone(gateway), Arc::clone(&socket)));
    spawn(tell(Arc::clone(gateway), Arc::clone(&socket)));
    spawn(scouts::ask(Arc::clone(gateway), socket));
    spawn(find(Arc::clone(gateway), address));
    Ok(())
}

/// Takes this VM off the list, so that others stop telling it.
pub(crate) async fn unregister(gateway: Arc<Gateway>) {
    if gateway.settings.peers.is_none() {
        return;
    }
    let mut client = StoreClient::new(gateway.settings.store);
    let call = gateway.registry.unregister(&gateway.settings.vm);
    if let Err(error) = client.call(&call, CALL_TIME).await {
        // An entry of a VM that is gone costs the others a datagram a round.
        log::info!(event = "unregister-failed", error:% = error; "");
    }
}

async fn hear(gateway: Arc<Gateway>, socket: Arc<Async<UdpSocket>>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let (count, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::warn!(event = "news-failed", error:% = error; "");
                sleep(ROUND).await;
                continue;
            }
        };
        match Datagram::decode(&buffer[..count]) {
            Ok(Datagram::News(message)) => take(&gateway, message, from),
            Ok(Datagram::Question(question)) => {
                send(&socket, &scouts::answer(&gateway, &question), from);
            }
            Ok(Datagram::Answer(answer)) => scouts::take(&gateway, answer),
            Err(error) => log::warn!(event = "news-unreadable", from:% = from, error:% = error; ""),
        }
    }
}

fn take(gateway: &Gateway, message: Message, from: SocketAddr) {
    let now = clock::now();
    if message.vm == gateway.settings.vm {
        return;
    }
    let known = lock(&gateway.vms).insert(message.vm.clone(), from);
    if known.is_none() {
        log::info!(event = "vm-heard", vm = message.vm.as_str(), address:% = from; "");
    }
    let mut quarantine = lock(&gateway.quarantine);
    for (fingerprint, count) in &message.crashes {
        quarantine.merge(*fingerprint, *count, now);
    }
    drop(quarantine);
    for departure in &message.departures {
        gateway.hear_departure(departure, &message.vm);
    }
    gateway.note_newer(message.config);
    let vm = message.vm.clone();
    lock(&gateway.fleet).apply_snapshot(vm, message.into_news(now));
}

async fn tell(gateway: Arc<Gateway>, socket: Arc<Async<UdpSocket>>) {
    let mut teller = Teller {
        gateway,
        plan: GossipFanout::default(),
        crashes: Vec::new(),
        departures: Vec::new(),
        config: 0,
    };
    loop {
        let due = async {
            sleep(ROUND).await;
            false
        };
        let changed = async {
            teller.gateway.urgent_news().await;
            sleep(GATHER_TIME).await;
            true
        };
        let changed = or(changed, due).await;
        let (bytes, others) = teller.next(changed, clock::now());
        for other in others {
            send(&socket, &bytes, other);
        }
    }
}

/// Remembers what the other VMs were told.
struct Teller {
    gateway: Arc<Gateway>,
    plan: GossipFanout,
    crashes: Vec<(Fingerprint, u32)>,
    departures: Vec<Departure>,
    config: Revision,
}

impl Teller {
    /// Returns the next datagram and the VMs that get it.
    fn next(&mut self, changed: bool, now: Timestamp) -> (Vec<u8>, Vec<SocketAddr>) {
        let gateway = &self.gateway;
        let mut news = lock(&gateway.fleet).local_snapshot(now);
        news.sends = gateway.sends(now);
        let crashes = lock(&gateway.quarantine).crash_counts(now);
        let departures = gateway.departures(now);
        let config = gateway.config_known().map_or(0, |(revision, _)| revision);
        let newer = config != self.config && gateway.scouts(now).is_none();
        let departed = departures
            .iter()
            .any(|gone| !self.departures.contains(gone));
        let vm = gateway.settings.vm.clone();
        let message =
            Message::new(vm, &news, crashes.clone(), departures.clone()).with_config(config);
        let others = self.others();
        let places = if newer || departed {
            (0..others.len()).collect()
        } else if changed || crashes != self.crashes {
            let count = self.plan.take(others.len(), now);
            index::sample(&mut rand::rng(), others.len(), count).into_vec()
        } else {
            self.plan.refresh_peers(others.len(), ROUND)
        };
        self.crashes = crashes;
        self.departures = departures;
        self.config = config;
        let told = places.into_iter().map(|place| others[place]).collect();
        (message.encode(MAX_DATAGRAM), told)
    }

    /// Lists the other VMs in an order that stays.
    fn others(&self) -> Vec<SocketAddr> {
        let mut others: Vec<SocketAddr> = lock(&self.gateway.vms).values().copied().collect();
        others.sort_unstable();
        others
    }
}

fn send(socket: &Async<UdpSocket>, bytes: &[u8], to: SocketAddr) {
    // The next datagram makes up for a lost one.
    if let Err(error) = socket.get_ref().send_to(bytes, to) {
        log::debug!(event = "news-lost", to:% = to, error:% = error; "");
    }
}

/// Registers this VM and looks for the others.
async fn find(gateway: Arc<Gateway>, address: SocketAddr) {
    let mut client = StoreClient::new(gateway.settings.store);
    let own = gateway.settings.vm.clone();
    let mut registered = false;
    loop {
        if !registered {
            let call = gateway.registry.register(&own, address);
            registered = match client.call(&call, CALL_TIME).await {
                Ok(_) | Err(StoreError::Status(CONFLICT)) => true,
                Err(error) => {
                    log::info!(event = "register-failed", error:% = error; "");
                    false
                }
            };
        }
        let call = gateway.registry.list(Kind::Vms, None);
        if let Err(error) = list(&gateway, &mut client, &call).await {
            log::info!(event = "vms-unknown", error:% = error; "");
        }
        let alone = lock(&gateway.vms).is_empty();
        sleep(if alone { FIRST_LIST_TIME } else { LIST_TIME }).await;
    }
}

async fn list(
    gateway: &Gateway,
    client: &mut StoreClient,
    call: &PlainCall,
) -> Result<(), StoreError> {
    let body = client.call(call, CALL_TIME).await?;
    let batch = gateway
        .registry
        .read_list(Kind::Vms, &body, clock::now())
        .map_err(StoreError::Unreadable)?;
    let mut vms = lock(&gateway.vms);
    vms.clear();
    for item in batch.items {
        if let Item::Vm(name, Some(address)) = item
            && name != gateway.settings.vm
        {
            vms.insert(name, address);
        }
    }
    Ok(())
}
