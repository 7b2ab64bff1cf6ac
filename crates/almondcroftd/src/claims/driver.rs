//! Runs one claim shard against the store.

use crate::clock::Clock;
use crate::runtime::{sleep, spawn};
use crate::store::HttpStore;
use almondcroft_core::Era;
use almondcroft_core::ledger::{
    Claim, ClaimAnswer, ClaimShard, Entry, Listed, ObjectStore, Segment, ShardAction, ShardEvent,
    ShardOptions, StoreError, Ticket, Written,
};
use almondcroft_proto::object::CLAIMS_PREFIX;
use async_channel::{Receiver, Sender};
use std::collections::HashMap;
use std::time::Duration;

/// Longest wait for a command before the shard receives a tick.
const MAX_WAIT: Duration = Duration::from_hours(1);

/// A command for a shard's task.
#[derive(Debug)]
pub(crate) enum Command {
    /// Claims a key.
    Claim {
        /// Identifies the claim.
        ticket: Ticket,
        /// The claim.
        claim: Claim,
        /// Receives the answer.
        answer_sender: Sender<ClaimAnswer>,
    },
    /// Ends a claim that has timed out.
    Timeout {
        /// Identifies the claim.
        ticket: Ticket,
    },
    /// Appends an entry.
    Append(Entry),
    /// Passes an event to the shard, such as the end of a store request.
    Event(ShardEvent),
}

/// Runs a [`ClaimShard`] and executes its actions against the store.
pub(crate) struct Driver {
    prefix: String,
    shard: ClaimShard,
    store: HttpStore,
    clock: Clock,
    commands: Sender<Command>,
    answer_senders: HashMap<Ticket, Sender<ClaimAnswer>>,
}

impl Driver {
    pub(crate) fn new(
        index: usize,
        options: ShardOptions,
        store: HttpStore,
        clock: Clock,
        commands: Sender<Command>,
    ) -> Self {
        Self {
            prefix: format!("{CLAIMS_PREFIX}{index:04}/"),
            shard: ClaimShard::new(options),
            store,
            clock,
            commands,
            answer_senders: HashMap::new(),
        }
    }

    pub(crate) async fn run(mut self, commands: Receiver<Command>) {
        loop {
            let wait = self.time_to_wake();
            let next = async { commands.recv().await.ok() };
            let tick = async {
                sleep(wait).await;
                Some(Command::Event(ShardEvent::Tick))
            };
            let Some(command) = futures_lite::future::or(next, tick).await else {
                return;
            };
            let event = self.shard_event(command);
            let actions = self.shard.handle(event, self.clock.now());
            for action in actions {
                self.execute(action);
            }
        }
    }

    fn time_to_wake(&self) -> Duration {
        let wake = self.shard.next_wake();
        wake.map_or(MAX_WAIT, |wake| wake.saturating_sub(self.clock.now()))
    }

    fn shard_event(&mut self, command: Command) -> ShardEvent {
        match command {
            Command::Claim {
                ticket,
                claim,
                answer_sender,
            } => {
                self.answer_senders.insert(ticket, answer_sender);
                ShardEvent::Claim { ticket, claim }
            }
            Command::Timeout { ticket } => ShardEvent::Timeout { ticket },
            Command::Append(entry) => ShardEvent::Append(entry),
            Command::Event(event) => event,
        }
    }

    fn execute(&mut self, action: ShardAction) {
        match action {
            ShardAction::Answer { ticket, answer } => {
                if let Some(answer_sender) = self.answer_senders.remove(&ticket) {
                    let _ = answer_sender.try_send(answer);
                }
            }
            ShardAction::Load { id, from } => {
                let (store, prefix) = (self.store.clone(), self.prefix.clone());
                let commands = self.commands.clone();
                spawn(async move {
                    let event = match load_segments(&store, &prefix, from).await {
                        Ok((era, segments)) => ShardEvent::Loaded { id, era, segments },
                        Err(_) => ShardEvent::LoadFailed { id },
                    };
                    let _ = commands.try_send(Command::Event(event));
                });
            }
            ShardAction::Write {
                id,
                index,
                expected,
                segment,
            } => {
                let key = segment_key(&self.prefix, index);
                let (store, commands) = (self.store.clone(), self.commands.clone());
                spawn(async move {
                    let bytes = serde_json::to_vec(&segment).expect("a segment serializes");
                    let event = match store.put(&key, bytes, expected).await {
                        Ok(Written { era, version }) => ShardEvent::Written { id, era, version },
                        Err(_) => ShardEvent::WriteFailed { id },
                    };
                    let _ = commands.try_send(Command::Event(event));
                });
            }
            ShardAction::Delete { index } => {
                let key = segment_key(&self.prefix, index);
                let store = self.store.clone();
                spawn(async move {
                    let _ = store.delete(&key).await;
                });
            }
        }
    }
}

fn segment_key(prefix: &str, index: u64) -> String {
    format!("{prefix}{index:012}")
}

/// Segments, each after its index and the version of its object.
type Segments = Vec<(u64, u64, Segment)>;

/// Reads all segments of a shard, or those from an index on, with the era in which all were read.
async fn load_segments(
    store: &HttpStore,
    prefix: &str,
    from: Option<u64>,
) -> Result<(Era, Segments), StoreError> {
    let mut segments = Vec::new();
    let (mut index, era) = match from {
        Some(index) => (index, store.era()),
        None => match first_index(store, prefix).await? {
            (Some(index), era) => (index, era),
            (None, era) => return Ok((era, segments)),
        },
    };
    while let Some(stored) = store.get(&segment_key(prefix, index)).await? {
        let segment: Segment =
            serde_json::from_slice(&stored.bytes).map_err(|_| StoreError::Refused)?;
        let sealed = segment.sealed;
        segments.push((index, stored.version, segment));
        if !sealed {
            break;
        }
        index += 1;
    }
    if store.era() > era {
        return Err(StoreError::Refused);
    }
    Ok((era, segments))
}

async fn first_index(store: &HttpStore, prefix: &str) -> Result<(Option<u64>, Era), StoreError> {
    let Listed { keys, era } = store.list(prefix).await?;
    let first = keys
        .iter()
        .filter_map(|key| key.strip_prefix(prefix)?.parse().ok());
    Ok((first.min(), era))
}
