//! Datagrams between VMs.

mod query;

use query::whole_millis;
pub(crate) use query::{AgeMs, TargetUpdate, age_ms};
pub(super) use query::{CursorMessage, EvacuationList, Query, Response, TargetPage};

use crate::state::Departure;
use almondcroft_core::gateway::{
    EntryRemoval, LimitStatement, PeerLoad, PeerSnapshot, SendCounts, StorePosition, ZoneDigest,
};
use almondcroft_core::quarantine::{CrashId, Fingerprint, PartEvidence, PartId, Quarantine};
use almondcroft_core::{Era, Revision, ServiceId, TargetId, Timestamp, VmId, ZoneId};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Maximum load number accepted from one VM for one target; the sum over a thousand VMs is exact
/// and does not saturate.
const MAX_LOAD_NUMBER: u32 = 4_000_000;

/// Maximum limit of a target that is shared, in requests a second.
const MAX_LIMIT: f64 = 1_000_000.0;

/// Maximum number of VMs accepted for one zone.
const MAX_VMS: u32 = 100_000;

/// A datagram from one VM to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Datagram {
    /// Reports the load that a VM puts on the targets.
    #[serde(rename = "news")]
    Snapshot(SnapshotMessage),
    /// Reports the load that a zone's VMs put on the targets.
    #[serde(rename = "digest")]
    Digest(DigestMessage),
    /// Asks for a VM's view of the platform's store.
    #[serde(rename = "question")]
    Query(Query),
    /// Responds to a query.
    #[serde(rename = "answer")]
    Response(Response),
    /// Asks a VM to lend an extra send.
    #[serde(rename = "loan-request")]
    LoanRequest(LoanRequest),
    /// Grants or refuses a loan.
    #[serde(rename = "loan")]
    Loan(Loan),
    /// Tells the lender what has become of a loan.
    #[serde(rename = "loan-end")]
    LoanEnd(LoanEnd),
}

/// Asks a VM to lend an extra send of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LoanRequest {
    pub(crate) nonce: u64,
    pub(crate) service: ServiceId,
    /// Whether it is for a resumption; otherwise it is for a repeat.
    pub(crate) resumption: bool,
}

/// Ends a loan before it runs out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LoanEnd {
    pub(crate) nonce: u64,
    pub(crate) used: bool,
}

/// Responds to a [`LoanRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Loan {
    pub(crate) nonce: u64,
    pub(crate) granted: bool,
}

impl Datagram {
    pub(super) fn decode(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }

    pub(super) fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a datagram serializes")
    }

    /// Encodes the datagram; leaves out targets until it fits into `max_bytes`.
    fn encode_within(mut self, max_bytes: usize) -> Vec<u8> {
        loop {
            let bytes = self.encode();
            let left_out = match &mut self {
                Self::Snapshot(message) => message.leave_out_targets(),
                Self::Digest(message) => message.sums.leave_out_targets(),
                Self::Query(_)
                | Self::Response(_)
                | Self::LoanRequest(_)
                | Self::Loan(_)
                | Self::LoanEnd(_) => false,
            };
            if bytes.len() <= max_bytes || !left_out {
                return bytes;
            }
        }
    }
}

/// Reports the load that one VM puts on each target, and what else the VM shares with its peers.
///
/// The numbers of a target are its requests, then its tokens: expected, still to prefill,
/// migratable and incoming.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct SnapshotMessage {
    pub(super) vm: VmId,
    /// Availability zone of the VM; empty if it is unknown.
    #[serde(default)]
    pub(super) zone: ZoneId,
    /// Time since the VM began to shut down, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    draining: Option<AgeMs>,
    /// Whether the VM reaches no target itself.
    #[serde(default, skip_serializing_if = "is_false")]
    cut_off: bool,
    loads: Vec<(TargetId, [u32; 5])>,
    sends: Vec<(ServiceId, u32, u32)>,
    /// Revision of the VM's configuration.
    #[serde(default)]
    pub(super) config: Revision,
    /// Targets that the VM recently saw leaving.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) departures: Vec<Departure>,
    /// Entries that the VM recently saw disappear; VMs of earlier versions list them with the departures.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    removals: Vec<RemovalMessage>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(super) crashes: Vec<(Fingerprint, u32)>,
    /// Requests that targets survived after crashes, with the time since.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    survivals: Vec<(Fingerprint, AgeMs)>,
    /// Requests that were tried, with the number of trials and the time since the last one.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    trials: Vec<(Fingerprint, u32, AgeMs)>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    parts: Vec<PartMessage>,
    /// Those of the parts whose responses made progress since their crashes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    progressed_parts: Vec<PartId>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    limits: Vec<LimitMessage>,
    /// Extra sends that the VM can lend; VMs of earlier versions do not say.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    spare: Option<Vec<(ServiceId, u32)>>,
}

/// Reports an entry that disappeared: the target, its incarnation, and the position up to which the VM knows all changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct RemovalMessage(TargetId, u64, Era, Revision);

impl From<&EntryRemoval> for RemovalMessage {
    fn from(removal: &EntryRemoval) -> Self {
        let StorePosition { era, revision } = removal.position;
        Self(removal.target.clone(), removal.incarnation, era, revision)
    }
}

impl From<RemovalMessage> for EntryRemoval {
    fn from(RemovalMessage(target, incarnation, era, revision): RemovalMessage) -> Self {
        Self {
            target,
            incarnation,
            position: StorePosition { era, revision },
        }
    }
}

/// Reports the limit that a target states: the target, its incarnation, thousandths of a request a second,
/// and the age of the statement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct LimitMessage(TargetId, u64, Option<u32>, AgeMs);

impl From<LimitStatement> for LimitMessage {
    fn from(statement: LimitStatement) -> Self {
        let thousandths = |limit: f64| Duration::from_secs_f64(limit.min(MAX_LIMIT)).as_millis();
        let limit = statement.per_second.map(thousandths);
        let limit = limit.map(|limit| u32::try_from(limit).unwrap_or(u32::MAX));
        let age = whole_millis(statement.age);
        Self(statement.target, statement.incarnation, limit, age)
    }
}

impl From<LimitMessage> for LimitStatement {
    fn from(LimitMessage(target, incarnation, limit, age): LimitMessage) -> Self {
        Self {
            target,
            incarnation,
            per_second: limit.map(|limit| f64::from(limit) / 1_000.0),
            age: Duration::from_millis(age),
        }
    }
}

/// Reports the crashes of a part of prompts: the part, the crashes with their ages, the age of the last
/// response that a target survived, and the age of the last trial with the crashes of all trials.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct PartMessage(
    PartId,
    Vec<(CrashId, AgeMs)>,
    Option<AgeMs>,
    Option<(AgeMs, Vec<CrashId>)>,
);

impl From<PartEvidence> for PartMessage {
    fn from(evidence: PartEvidence) -> Self {
        let crashes = evidence.crashes.into_iter();
        Self(
            evidence.part,
            crashes
                .map(|(crash, age)| (crash, whole_millis(age)))
                .collect(),
            evidence.survived.map(whole_millis),
            evidence
                .trial
                .map(|(age, failed)| (whole_millis(age), failed)),
        )
    }
}

impl From<PartMessage> for PartEvidence {
    fn from(PartMessage(part, crashes, survived, trial): PartMessage) -> Self {
        let age = Duration::from_millis;
        let crashes = crashes.into_iter();
        Self {
            part,
            crashes: crashes.map(|(crash, ms)| (crash, age(ms))).collect(),
            survived: survived.map(age),
            has_progressed: false,
            trial: trial.map(|(ms, failed)| (age(ms), failed)),
        }
    }
}

impl SnapshotMessage {
    pub(super) fn new(
        vm: VmId,
        snapshot: &PeerSnapshot,
        crashes: Vec<(Fingerprint, u32)>,
        departures: Vec<Departure>,
    ) -> Self {
        let loads = snapshot.loads.iter();
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
        let sends = snapshot.sends.iter();
        let mut sends: Vec<_> = sends
            .map(|(service, counts)| (service.clone(), counts.requests, counts.extra))
            .collect();
        sends.sort_unstable();
        let spare = snapshot.spare_sends.as_ref().map(|spare| {
            let mut spare: Vec<_> = spare
                .iter()
                .map(|(service, count)| (service.clone(), *count))
                .collect();
            spare.sort_unstable();
            spare
        });
        Self {
            vm,
            zone: snapshot.zone.clone(),
            draining: snapshot
                .draining_since
                .map(|since| age_ms(since, snapshot.at)),
            cut_off: snapshot.is_cut_off,
            loads,
            sends,
            config: 0,
            departures,
            removals: Vec::new(),
            crashes,
            survivals: Vec::new(),
            trials: Vec::new(),
            parts: Vec::new(),
            progressed_parts: Vec::new(),
            limits: Vec::new(),
            spare,
        }
    }

    /// Sets the entries that the VM recently saw disappear.
    pub(super) fn with_removals(mut self, removals: &[EntryRemoval]) -> Self {
        self.removals = removals.iter().map(RemovalMessage::from).collect();
        self
    }

    /// Returns the entries that the VM recently saw disappear.
    pub(super) fn entry_removals(&self) -> Vec<EntryRemoval> {
        let removals = self.removals.iter().cloned();
        removals.map(EntryRemoval::from).collect()
    }

    /// Sets what the VM knows of requests that crashed targets, beside the counts.
    pub(super) fn with_quarantine(mut self, quarantine: &Quarantine, now: Timestamp) -> Self {
        let survivals = quarantine.survivals(now).into_iter();
        self.survivals = survivals
            .map(|(fingerprint, age)| (fingerprint, whole_millis(age)))
            .collect();
        let trials = quarantine.trials(now).into_iter();
        self.trials = trials
            .map(|(fingerprint, count, age)| (fingerprint, count, whole_millis(age)))
            .collect();
        self
    }

    /// Merges what the VM knows of requests that crashed targets.
    pub(super) fn merge_into(&self, quarantine: &mut Quarantine, now: Timestamp) {
        for (fingerprint, age) in &self.survivals {
            quarantine.merge_survival(*fingerprint, Duration::from_millis(*age), now);
        }
        for (fingerprint, count) in &self.crashes {
            quarantine.merge(*fingerprint, *count, now);
        }
        for (fingerprint, count, age) in &self.trials {
            quarantine.merge_trials(*fingerprint, *count, Duration::from_millis(*age), now);
        }
    }

    /// Sets the limits that targets state.
    pub(super) fn with_limits(mut self, limits: Vec<LimitStatement>) -> Self {
        self.limits = limits.into_iter().map(LimitMessage::from).collect();
        self
    }

    /// Returns the limits that targets state.
    pub(super) fn stated_limits(&self) -> Vec<LimitStatement> {
        let limits = self.limits.iter().cloned();
        limits.map(LimitStatement::from).collect()
    }

    /// Sets what the VM knows of parts of prompts that crash targets.
    pub(super) fn with_parts(mut self, parts: Vec<PartEvidence>) -> Self {
        let progressed = parts.iter().filter(|evidence| evidence.has_progressed);
        self.progressed_parts = progressed.map(|evidence| evidence.part).collect();
        self.parts = parts.into_iter().map(PartMessage::from).collect();
        self
    }

    /// Returns what the VM knows of parts of prompts that crash targets.
    pub(super) fn part_evidence(&self) -> Vec<PartEvidence> {
        let parts = self.parts.iter().cloned().map(PartEvidence::from);
        let with_progress = |evidence: PartEvidence| PartEvidence {
            has_progressed: self.progressed_parts.contains(&evidence.part),
            ..evidence
        };
        parts.map(with_progress).collect()
    }

    /// Sets the revision of the VM's configuration.
    pub(super) const fn with_config(mut self, revision: Revision) -> Self {
        self.config = revision;
        self
    }

    /// Encodes the message; leaves out targets until it fits into `max_bytes`.
    pub(super) fn encode(self, max_bytes: usize) -> Vec<u8> {
        Datagram::Snapshot(self).encode_within(max_bytes)
    }

    /// Leaves out half of the targets, or of the departures and removals if there are none; returns whether there were any.
    fn leave_out_targets(&mut self) -> bool {
        if self.loads.is_empty() {
            let counts = (self.departures.len(), self.removals.len());
            // The last ones are the newest.
            self.departures.drain(..counts.0.div_ceil(2));
            self.removals.drain(..counts.1.div_ceil(2));
            return counts != (0, 0);
        }
        self.loads.truncate(self.loads.len() / 2);
        true
    }

    pub(super) fn into_snapshot(self, at: Timestamp) -> PeerSnapshot {
        let loads = self.loads.into_iter();
        let load = |(id, numbers): (TargetId, [u32; 5])| {
            let numbers = numbers.map(|number| number.min(MAX_LOAD_NUMBER));
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
            zone: self.zone,
            draining_since: self
                .draining
                .map(|age| at.saturating_sub(Duration::from_millis(age))),
            is_cut_off: self.cut_off,
            loads: loads.map(load).collect(),
            sends: sends.map(count).collect(),
            spare_sends: self.spare.map(|spare| spare.into_iter().collect()),
        }
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_false(flag: &bool) -> bool {
    !*flag
}

/// Reports the summed load of the VMs of one availability zone, for the other zones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct DigestMessage {
    /// The sums, with the name of the VM that made them.
    pub(super) sums: SnapshotMessage,
    vms: u32,
    candidates: Vec<VmId>,
    /// Whether a VM of the receiver's zone passed it on.
    pub(super) forwarded: bool,
}

impl DigestMessage {
    /// Sets what the zone knows of requests that crashed targets, beside the counts.
    pub(super) fn with_quarantine(mut self, quarantine: &Quarantine, now: Timestamp) -> Self {
        self.sums = self.sums.with_quarantine(quarantine, now);
        self
    }

    /// Sets what the zone knows of parts of prompts that crash targets.
    pub(super) fn with_parts(mut self, parts: Vec<PartEvidence>) -> Self {
        self.sums = self.sums.with_parts(parts);
        self
    }

    pub(super) fn new(vm: VmId, digest: &ZoneDigest, crashes: Vec<(Fingerprint, u32)>) -> Self {
        Self {
            sums: SnapshotMessage::new(vm, &digest.sums, crashes, Vec::new()),
            vms: u32::try_from(digest.vm_count).unwrap_or(u32::MAX),
            candidates: digest.candidates.clone(),
            forwarded: false,
        }
    }

    /// Sets the limits that targets state.
    pub(super) fn with_limits(mut self, limits: Vec<LimitStatement>) -> Self {
        self.sums = self.sums.with_limits(limits);
        self
    }

    /// Encodes the message; leaves out targets until it fits into `max_bytes`.
    pub(super) fn encode(self, max_bytes: usize) -> Vec<u8> {
        Datagram::Digest(self).encode_within(max_bytes)
    }

    pub(super) fn into_digest(self, at: Timestamp) -> ZoneDigest {
        ZoneDigest {
            sums: self.sums.into_snapshot(at),
            vm_count: usize::try_from(self.vms.min(MAX_VMS)).unwrap_or_default(),
            candidates: self.candidates,
        }
    }
}

#[cfg(test)]
mod tests;
