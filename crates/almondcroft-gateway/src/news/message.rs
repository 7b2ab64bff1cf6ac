//! The datagrams that one VM sends to another.

mod question;

pub(super) use question::{Answer, Question, TargetsTold, age};

use crate::state::Departure;
use almondcroft_core::gateway::{PeerLoad, PeerSnapshot, SendCounts};
use almondcroft_core::quarantine::Fingerprint;
use almondcroft_core::{Revision, ServiceId, TargetId, Timestamp, VmId};
use serde::{Deserialize, Serialize};

/// Greatest number that is believed of one VM at one target; a thousand VMs' sum is still exact.
const MAX_NUMBER: u32 = 4_000_000;

/// Holds one datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum Datagram {
    /// Tells what a VM has at the targets.
    News(Message),
    /// Asks what is known of the platform's store.
    Question(Question),
    /// Answers a question.
    Answer(Answer),
}

impl Datagram {
    pub(super) fn decode(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }

    pub(super) fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a datagram serializes")
    }
}

/// Holds what one VM has at the targets: requests, then tokens: expected, unread,
/// movable and arriving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Message {
    pub(super) vm: VmId,
    loads: Vec<(TargetId, [u32; 5])>,
    sends: Vec<(ServiceId, u32, u32)>,
    /// Revision of the configuration that the VM holds.
    #[serde(default)]
    pub(super) config: Revision,
    /// Targets that were seen to leave lately.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) departures: Vec<Departure>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) crashes: Vec<(Fingerprint, u32)>,
}

impl Message {
    pub(super) fn new(
        vm: VmId,
        news: &PeerSnapshot,
        crashes: Vec<(Fingerprint, u32)>,
        departures: Vec<Departure>,
    ) -> Self {
        let loads = news.loads.iter();
        let mut loads: Vec<_> = loads
            .map(|(id, load)| {
                let numbers = [
                    load.count,
                    load.tokens,
                    load.prefill_tokens,
                    load.migration_tokens,
                    load.incoming_tokens,
                ];
                (id.clone(), numbers)
            })
            .collect();
        loads.sort_unstable();
        let sends = news.sends.iter();
        let mut sends: Vec<_> = sends
            .map(|(service, counts)| (service.clone(), counts.requests, counts.extra))
            .collect();
        sends.sort_unstable();
        Self {
            vm,
            loads,
            sends,
            config: 0,
            departures,
            crashes,
        }
    }

    /// Sets the revision of the configuration that the VM holds.
    pub(super) const fn with_config(mut self, revision: Revision) -> Self {
        self.config = revision;
        self
    }

    /// Encodes the message; leaves targets out until it fits.
    pub(super) fn encode(mut self, most: usize) -> Vec<u8> {
        loop {
            let datagram = Datagram::News(self);
            let bytes = datagram.encode();
            let Datagram::News(message) = datagram else {
                return bytes;
            };
            if bytes.len() <= most || message.loads.is_empty() {
                return bytes;
            }
            self = message;
            let half = self.loads.len() / 2;
            self.loads.truncate(half);
        }
    }

    pub(super) fn into_news(self, at: Timestamp) -> PeerSnapshot {
        let loads = self.loads.into_iter();
        let load = |(id, numbers): (TargetId, [u32; 5])| {
            let numbers = numbers.map(|number| number.min(MAX_NUMBER));
            let [
                count,
                tokens,
                prefill_tokens,
                migration_tokens,
                incoming_tokens,
            ] = numbers;
            let load = PeerLoad {
                count,
                tokens,
                prefill_tokens,
                migration_tokens,
                incoming_tokens,
            };
            (id, load)
        };
        let sends = self.sends.into_iter();
        let count = |(service, requests, extra)| (service, SendCounts { requests, extra });
        PeerSnapshot {
            at,
            loads: loads.map(load).collect(),
            sends: sends.map(count).collect(),
        }
    }
}

#[cfg(test)]
mod tests;
