//! A simulation of VMs, a store, a network and callers, driven by a schedule.

use almondcroft_core::ledger::{
    Claim, ClaimAnswer, ClaimShard, Entry, Expected, Outcome, Segment, ShardAction, ShardEvent,
    ShardOptions,
};
use almondcroft_core::{Timestamp, Verdict};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

const VMS: usize = 3;
const KEYS: u64 = 2;
const MAX_ATTEMPTS: usize = 10;

/// The enabled protections; a test disables one to verify that the check detects it.
#[derive(Debug, Clone, Copy)]
#[expect(clippy::struct_excessive_bools, reason = "each flag is independent")]
pub(crate) struct Protections {
    /// The store checks versions.
    pub(crate) fence: bool,
    /// The log is read again when the response to a write is lost.
    pub(crate) reread_log: bool,
    /// A call is sent only after its claim is durable.
    pub(crate) claim_first: bool,
    /// A key is accepted with one body only.
    pub(crate) body_check: bool,
    /// The store states its era.
    pub(crate) era: bool,
}

impl Default for Protections {
    fn default() -> Self {
        Self {
            fence: true,
            reread_log: true,
            claim_first: true,
            body_check: true,
            era: true,
        }
    }
}

#[derive(Debug, Clone)]
enum CallKind {
    Load {
        next: Option<u64>,
        found: Vec<(u64, u64, Segment)>,
    },
    Write {
        index: u64,
        expected: Expected,
        segment: Segment,
    },
}

/// A store call; it can still be in transit after its VM abandoned it.
#[derive(Debug, Clone)]
struct Call {
    vm: usize,
    incarnation: u64,
    id: u64,
    kind: CallKind,
    awaited: bool,
}

#[derive(Debug, Clone, PartialEq)]
enum Phase {
    Claiming { appender: usize, incarnation: u64 },
    Granted,
    Sent,
    Ended,
}

#[derive(Debug, Clone)]
struct Attempt {
    vm: usize,
    incarnation: u64,
    key: u64,
    body: u64,
    nonce: u64,
    phase: Phase,
    verdict: Option<Verdict>,
    ran: bool,
}

struct Vm {
    incarnation: u64,
    shard: ClaimShard,
}

pub(crate) struct Simulation {
    protections: Protections,
    many_appenders: bool,
    era: u64,
    /// What the store held at an earlier time.
    backup: (BTreeMap<u64, Vec<(u64, Segment)>>, u64),
    issued: HashMap<u64, Timestamp>,
    now: Timestamp,
    vms: Vec<Vm>,
    objects: BTreeMap<u64, Vec<(u64, Segment)>>,
    version: u64,
    calls: Vec<Call>,
    attempts: Vec<Attempt>,
    runs: HashMap<u64, Vec<(u64, u64)>>,
}

type Check = Result<(), String>;

fn options() -> ShardOptions {
    ShardOptions::default()
        .interval(Duration::from_millis(5))
        .segment_bytes(500)
        .max_batch(4)
        .clock_margin(Duration::from_millis(1))
}

impl Simulation {
    pub(crate) fn new(protections: Protections, many_appenders: bool) -> Self {
        let vm = |incarnation| Vm {
            incarnation,
            shard: ClaimShard::new(options()),
        };
        Self {
            protections,
            many_appenders,
            era: 1,
            backup: (BTreeMap::new(), 0),
            issued: HashMap::new(),
            now: Duration::from_secs(1_000_000),
            vms: (0..VMS).map(|_| vm(1)).collect(),
            objects: BTreeMap::new(),
            version: 0,
            calls: Vec::new(),
            attempts: Vec::new(),
            runs: HashMap::new(),
        }
    }

    pub(crate) fn run(&mut self, words: &[u32]) -> Check {
        for word in words {
            self.step(*word)?;
        }
        Ok(())
    }

    fn step(&mut self, word: u32) -> Check {
        self.now += Duration::from_millis(u64::from(word >> 28));
        let pick = (word >> 8) as usize & 0xffff;
        match word & 0xff {
            0..40 => self.add_attempt(pick),
            40..130 => self.process_call(pick, false),
            130..138 => self.process_call(pick, true),
            138..150 => self.abandon_call(pick),
            150..156 => self.drop_call(pick),
            156..200 => self.advance_attempt(pick),
            200..212 => self.time_out_claim(pick),
            212..220 => self.move_claim(pick),
            220..228 => {
                self.restart(pick);
                Ok(())
            }
            228..231 => {
                self.backup = (self.objects.clone(), self.version);
                Ok(())
            }
            231..233 => {
                self.restore();
                Ok(())
            }
            _ => self.tick(pick),
        }
    }

    /// Lets the store come back from its backup.
    fn restore(&mut self) {
        (self.objects, self.version) = self.backup.clone();
        self.era += u64::from(self.protections.era);
    }

    fn tick(&mut self, pick: usize) -> Check {
        self.now += Duration::from_millis(60);
        self.handle_event(pick % VMS, ShardEvent::Tick)
    }

    /// Returns the VM that receives a claim.
    fn appender(&self, pick: usize) -> usize {
        if self.many_appenders {
            pick / 7 % VMS
        } else {
            0
        }
    }

    fn add_attempt(&mut self, pick: usize) -> Check {
        if self.attempts.len() >= MAX_ATTEMPTS {
            return self.tick(pick);
        }
        let vm = pick % VMS;
        let key = pick as u64 / 3 % KEYS;
        // One attempt in eight uses the key for another body.
        let body = if pick.is_multiple_of(8) { 2 } else { 1 };
        let appender = self.appender(pick);
        let attempt_index = self.attempts.len();
        self.attempts.push(Attempt {
            vm,
            incarnation: self.vms[vm].incarnation,
            key,
            body,
            nonce: attempt_index as u64 + 1,
            phase: Phase::Claiming {
                appender,
                incarnation: self.vms[appender].incarnation,
            },
            verdict: None,
            ran: false,
        });
        if !self.protections.claim_first {
            self.attempts[attempt_index].phase = Phase::Granted;
            return Ok(());
        }
        self.send_claim(attempt_index, appender)
    }

    fn send_claim(&mut self, attempt_index: usize, appender: usize) -> Check {
        let attempt = &self.attempts[attempt_index];
        let body = if self.protections.body_check {
            attempt.body
        } else {
            0
        };
        let issued_at = *self.issued.entry(attempt.key).or_insert(self.now);
        let claim = Claim {
            key: [attempt.key, 0],
            body,
            nonce: attempt.nonce,
            vm: format!("vm-{}", attempt.vm).into(),
            incarnation: attempt.incarnation,
            at: self.now,
            issued_at: Some(issued_at),
            deadline: self.now + Duration::from_secs(10),
        };
        let ticket = attempt_index as u64;
        self.handle_event(appender, ShardEvent::Claim { ticket, claim })
    }

    fn handle_event(&mut self, vm: usize, event: ShardEvent) -> Check {
        let actions = self.vms[vm].shard.handle(event, self.now);
        let incarnation = self.vms[vm].incarnation;
        for action in actions {
            match action {
                ShardAction::Load { id, from } => self.calls.push(Call {
                    vm,
                    incarnation,
                    id,
                    kind: CallKind::Load {
                        next: from,
                        found: Vec::new(),
                    },
                    awaited: true,
                }),
                ShardAction::Write {
                    id,
                    index,
                    expected,
                    segment,
                } => self.calls.push(Call {
                    vm,
                    incarnation,
                    id,
                    kind: CallKind::Write {
                        index,
                        expected,
                        segment,
                    },
                    awaited: true,
                }),
                ShardAction::Delete { .. } => {}
                ShardAction::Answer { ticket, answer } => self.on_answer(vm, ticket, &answer)?,
            }
        }
        Ok(())
    }

    /// Delivers the answer to a claim if its attempt still waits for it.
    fn on_answer(&mut self, appender: usize, ticket: u64, answer: &ClaimAnswer) -> Check {
        let attempt_index = usize::try_from(ticket).unwrap();
        let expected = Phase::Claiming {
            appender,
            incarnation: self.vms[appender].incarnation,
        };
        let attempt = &self.attempts[attempt_index];
        if attempt.phase != expected || attempt.incarnation != self.vms[attempt.vm].incarnation {
            return Ok(());
        }
        match answer {
            ClaimAnswer::Granted => {
                self.attempts[attempt_index].phase = Phase::Granted;
                Ok(())
            }
            ClaimAnswer::Done(outcome) => self.check_outcome(attempt_index, outcome),
            ClaimAnswer::Running { .. } => {
                self.end_attempt(attempt_index, Some(Verdict::MayHaveRun))
            }
            ClaimAnswer::Mismatch => self.end_attempt(attempt_index, None),
            ClaimAnswer::Unavailable { loaded } => self.release_attempt(attempt_index, *loaded),
        }
    }

    /// Releases the claim of an attempt that will not run, and ends the attempt.
    fn release_attempt(&mut self, attempt_index: usize, loaded: bool) -> Check {
        let attempt = self.attempts[attempt_index].clone();
        let key = [attempt.key, 0];
        let nonce = attempt.nonce;
        let appender = self.appender(attempt_index);
        self.handle_event(appender, ShardEvent::Append(Entry::Release { key, nonce }))?;
        let verdict = if loaded {
            Verdict::NotRun
        } else {
            Verdict::MayHaveRun
        };
        self.end_attempt(attempt_index, Some(verdict))
    }

    fn check_outcome(&mut self, attempt_index: usize, outcome: &Outcome) -> Check {
        let attempt = self.attempts[attempt_index].clone();
        let runs = self.runs.get(&attempt.key).cloned().unwrap_or_default();
        let Some(status) = outcome.status else {
            return self.end_attempt(attempt_index, Some(Verdict::MayHaveRun));
        };
        let (nonce, body) = *runs.first().ok_or("an outcome without a run")?;
        if u64::from(status) != 100 + nonce {
            return Err(format!("answered {status}, but attempt {nonce} ran"));
        }
        if body != attempt.body {
            return Err("answered with the outcome of another body".into());
        }
        self.end_attempt(attempt_index, Some(Verdict::Ran))
    }

    fn end_attempt(&mut self, attempt_index: usize, verdict: Option<Verdict>) -> Check {
        let attempt = &mut self.attempts[attempt_index];
        attempt.phase = Phase::Ended;
        attempt.verdict = verdict;
        if verdict == Some(Verdict::NotRun) {
            if attempt.ran {
                return Err("answered not-run, but the attempt ran".into());
            }
            if !self.many_appenders && self.runs.contains_key(&attempt.key) {
                return Err("answered not-run, but an earlier attempt ran".into());
            }
        }
        Ok(())
    }

    /// Lets the store process a write, or read one segment of a load.
    fn process_call(&mut self, pick: usize, stale: bool) -> Check {
        if self.calls.is_empty() {
            return self.tick(pick);
        }
        let index = pick % self.calls.len();
        let mut call = self.calls.swap_remove(index);
        let event = match &mut call.kind {
            CallKind::Write {
                index,
                expected,
                segment,
            } => {
                let current = self.objects.get(index).and_then(|object| object.last());
                let found =
                    current.map_or(Expected::Absent, |(version, _)| Expected::Version(*version));
                if found == *expected || !self.protections.fence {
                    self.version += 1;
                    let object = self.objects.entry(*index).or_default();
                    object.push((self.version, segment.clone()));
                    ShardEvent::Written {
                        id: call.id,
                        era: self.era,
                        version: self.version,
                    }
                } else {
                    ShardEvent::WriteFailed { id: call.id }
                }
            }
            CallKind::Load { next, found } => {
                let first = self.objects.keys().next().copied();
                let index = next.or(first).unwrap_or(0);
                let object = self.objects.get(&index);
                let read = object.and_then(|versions| {
                    let lag = usize::from(stale && versions.len() > 1);
                    versions.get(versions.len() - 1 - lag)
                });
                if let Some((version, segment)) = read {
                    found.push((index, *version, segment.clone()));
                    if segment.sealed {
                        *next = Some(index + 1);
                        self.calls.push(call);
                        return Ok(());
                    }
                }
                ShardEvent::Loaded {
                    id: call.id,
                    era: self.era,
                    segments: std::mem::take(found),
                }
            }
        };
        self.deliver(&call, event)
    }

    fn deliver(&mut self, call: &Call, event: ShardEvent) -> Check {
        if !call.awaited || self.vms[call.vm].incarnation != call.incarnation {
            return Ok(());
        }
        self.handle_event(call.vm, event)
    }

    /// Lets a VM abandon a call; the store may still process it, or have processed part of it.
    fn abandon_call(&mut self, pick: usize) -> Check {
        if self.calls.is_empty() {
            return self.tick(pick);
        }
        let index = pick % self.calls.len();
        if !self.calls[index].awaited {
            return Ok(());
        }
        let call = self.calls[index].clone();
        self.calls[index].awaited = false;
        self.deliver(
            &call,
            failure_event(&call, self.protections.reread_log, self.era, self.version),
        )
    }

    /// Drops a call before it reaches the store.
    fn drop_call(&mut self, pick: usize) -> Check {
        if self.calls.is_empty() {
            return self.tick(pick);
        }
        let index = pick % self.calls.len();
        let call = self.calls.swap_remove(index);
        self.deliver(
            &call,
            failure_event(&call, self.protections.reread_log, self.era, self.version),
        )
    }

    /// Executes an attempt's next step at the target.
    fn advance_attempt(&mut self, pick: usize) -> Check {
        if self.attempts.is_empty() {
            return Ok(());
        }
        let attempt_index = pick % self.attempts.len();
        let attempt = self.attempts[attempt_index].clone();
        if attempt.incarnation != self.vms[attempt.vm].incarnation {
            return Ok(());
        }
        let fault_roll = pick / 64 % 8;
        match attempt.phase {
            // The target refuses the connection.
            Phase::Granted if fault_roll == 0 => self.release_attempt(attempt_index, true),
            Phase::Granted => {
                self.attempts[attempt_index].phase = Phase::Sent;
                self.run_attempt(attempt_index)
            }
            Phase::Sent => {
                // The target can crash after it ran the call.
                let status = (fault_roll != 0).then(|| 100 + u16::try_from(attempt.nonce).unwrap());
                let entry = Entry::Outcome {
                    key: [attempt.key, 0],
                    nonce: attempt.nonce,
                    outcome: Outcome {
                        status,
                        media: None,
                        body: None,
                    },
                };
                let appender = self.appender(pick);
                self.handle_event(appender, ShardEvent::Append(entry))?;
                let verdict = if status.is_some() {
                    Verdict::Ran
                } else {
                    Verdict::MayHaveRun
                };
                self.end_attempt(attempt_index, Some(verdict))
            }
            Phase::Claiming { .. } | Phase::Ended => Ok(()),
        }
    }

    fn run_attempt(&mut self, attempt_index: usize) -> Check {
        let attempt = &mut self.attempts[attempt_index];
        attempt.ran = true;
        let runs = self.runs.entry(attempt.key).or_default();
        runs.push((attempt.nonce, attempt.body));
        if runs.len() > 1 {
            return Err(format!("key {} ran twice: {runs:?}", attempt.key));
        }
        Ok(())
    }

    fn time_out_claim(&mut self, pick: usize) -> Check {
        if self.attempts.is_empty() {
            return Ok(());
        }
        let attempt_index = pick % self.attempts.len();
        let Phase::Claiming {
            appender,
            incarnation,
        } = self.attempts[attempt_index].phase
        else {
            return Ok(());
        };
        if self.vms[appender].incarnation != incarnation {
            return self.release_attempt(attempt_index, false);
        }
        let ticket = attempt_index as u64;
        self.handle_event(appender, ShardEvent::Timeout { ticket })
    }

    /// Sends a claim that got no answer to another VM, with the same nonce.
    fn move_claim(&mut self, pick: usize) -> Check {
        if self.attempts.is_empty() {
            return Ok(());
        }
        let attempt_index = pick % self.attempts.len();
        let attempt = &self.attempts[attempt_index];
        let waiting = matches!(attempt.phase, Phase::Claiming { .. });
        if !waiting || attempt.incarnation != self.vms[attempt.vm].incarnation {
            return Ok(());
        }
        let appender = self.appender(pick / 3);
        self.attempts[attempt_index].phase = Phase::Claiming {
            appender,
            incarnation: self.vms[appender].incarnation,
        };
        self.send_claim(attempt_index, appender)
    }

    fn restart(&mut self, pick: usize) {
        let vm = &mut self.vms[pick % VMS];
        vm.incarnation += 1;
        vm.shard = ClaimShard::new(options());
    }
}

/// Returns the event by which a VM handles a call without a response.
fn failure_event(call: &Call, reread_log: bool, era: u64, version: u64) -> ShardEvent {
    let id = call.id;
    match &call.kind {
        CallKind::Load { .. } => ShardEvent::LoadFailed { id },
        CallKind::Write { .. } if reread_log => ShardEvent::WriteFailed { id },
        CallKind::Write { .. } => ShardEvent::Written {
            id,
            era,
            version: version + 1,
        },
    }
}
