//! VMs, a store, a network and callers, driven by a schedule.

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

/// Switches the protections; a test switches one off to see that the check notices.
#[derive(Debug, Clone, Copy)]
#[expect(clippy::struct_excessive_bools, reason = "each is a switch of its own")]
pub(crate) struct Protections {
    /// The store checks versions.
    pub(crate) fence: bool,
    /// A lost answer is settled by reading the log.
    pub(crate) settle: bool,
    /// A call is dispatched only once its claim is durable.
    pub(crate) claim_first: bool,
    /// A key belongs to one body.
    pub(crate) body_check: bool,
}

impl Default for Protections {
    fn default() -> Self {
        Self {
            fence: true,
            settle: true,
            claim_first: true,
            body_check: true,
        }
    }
}

#[derive(Debug, Clone)]
enum Kind {
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

/// A store call; the VM may have given it up while it is still on its way.
#[derive(Debug, Clone)]
struct Call {
    vm: usize,
    life: u64,
    id: u64,
    kind: Kind,
    waited_for: bool,
}

#[derive(Debug, Clone, PartialEq)]
enum Phase {
    Claiming { holder: usize, life: u64 },
    Granted,
    Sent,
    Ended,
}

#[derive(Debug, Clone)]
struct Attempt {
    vm: usize,
    life: u64,
    key: u64,
    body: u64,
    nonce: u64,
    phase: Phase,
    verdict: Option<Verdict>,
    ran: bool,
}

struct Vm {
    life: u64,
    shard: ClaimShard,
}

pub(crate) struct World {
    protections: Protections,
    split: bool,
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
}

impl World {
    pub(crate) fn new(protections: Protections, split: bool) -> Self {
        let vm = |life| Vm {
            life,
            shard: ClaimShard::new(options()),
        };
        Self {
            protections,
            split,
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
            0..40 => self.arrive(pick),
            40..130 => self.serve_call(pick, false),
            130..138 => self.serve_call(pick, true),
            138..150 => self.abandon_call(pick),
            150..156 => self.drop_call(pick),
            156..200 => self.advance_attempt(pick),
            200..212 => self.give_up(pick),
            212..220 => self.move_claim(pick),
            220..228 => {
                self.restart(pick);
                Ok(())
            }
            _ => self.tick(pick),
        }
    }

    fn tick(&mut self, pick: usize) -> Check {
        self.now += Duration::from_millis(60);
        self.feed(pick % VMS, ShardEvent::Tick)
    }

    /// Returns the VM that is asked for a claim.
    fn holder(&self, pick: usize) -> usize {
        if self.split { pick / 7 % VMS } else { 0 }
    }

    fn arrive(&mut self, pick: usize) -> Check {
        if self.attempts.len() >= MAX_ATTEMPTS {
            return self.tick(pick);
        }
        let vm = pick % VMS;
        let key = pick as u64 / 3 % KEYS;
        // One attempt in eight uses the key for another body.
        let body = if pick.is_multiple_of(8) { 2 } else { 1 };
        let holder = self.holder(pick);
        let number = self.attempts.len();
        self.attempts.push(Attempt {
            vm,
            life: self.vms[vm].life,
            key,
            body,
            nonce: number as u64 + 1,
            phase: Phase::Claiming {
                holder,
                life: self.vms[holder].life,
            },
            verdict: None,
            ran: false,
        });
        if !self.protections.claim_first {
            self.attempts[number].phase = Phase::Granted;
            return Ok(());
        }
        self.claim(number, holder)
    }

    fn claim(&mut self, number: usize, holder: usize) -> Check {
        let attempt = &self.attempts[number];
        let body = if self.protections.body_check {
            attempt.body
        } else {
            0
        };
        let claim = Claim {
            key: [attempt.key, 0],
            body,
            nonce: attempt.nonce,
            vm: format!("vm-{}", attempt.vm).into(),
            incarnation: attempt.life,
            at: self.now,
            deadline: self.now + Duration::from_secs(10),
        };
        let ticket = number as u64;
        self.feed(holder, ShardEvent::Claim { ticket, claim })
    }

    fn feed(&mut self, vm: usize, event: ShardEvent) -> Check {
        let actions = self.vms[vm].shard.handle(event, self.now);
        let life = self.vms[vm].life;
        for action in actions {
            match action {
                ShardAction::Load { id, from } => self.calls.push(Call {
                    vm,
                    life,
                    id,
                    kind: Kind::Load {
                        next: from,
                        found: Vec::new(),
                    },
                    waited_for: true,
                }),
                ShardAction::Write {
                    id,
                    index,
                    expected,
                    segment,
                } => self.calls.push(Call {
                    vm,
                    life,
                    id,
                    kind: Kind::Write {
                        index,
                        expected,
                        segment,
                    },
                    waited_for: true,
                }),
                ShardAction::Delete { .. } => {}
                ShardAction::Answer { ticket, answer } => self.answered(vm, ticket, &answer)?,
            }
        }
        Ok(())
    }

    /// Takes an answer to a claim to the VM that waits for it, if it still does.
    fn answered(&mut self, holder: usize, ticket: u64, answer: &ClaimAnswer) -> Check {
        let number = usize::try_from(ticket).unwrap();
        let expected = Phase::Claiming {
            holder,
            life: self.vms[holder].life,
        };
        let attempt = &self.attempts[number];
        if attempt.phase != expected || attempt.life != self.vms[attempt.vm].life {
            return Ok(());
        }
        match answer {
            ClaimAnswer::Granted => {
                self.attempts[number].phase = Phase::Granted;
                Ok(())
            }
            ClaimAnswer::Done(outcome) => self.check_outcome(number, outcome),
            ClaimAnswer::Running { .. } => self.end(number, Some(Verdict::MayHaveRun)),
            ClaimAnswer::Mismatch => self.end(number, None),
            ClaimAnswer::Unavailable { loaded } => self.refuse(number, *loaded),
        }
    }

    /// Ends an attempt that could not be claimed, and so never runs.
    fn refuse(&mut self, number: usize, loaded: bool) -> Check {
        let attempt = self.attempts[number].clone();
        let key = [attempt.key, 0];
        let nonce = attempt.nonce;
        let holder = self.holder(number);
        self.feed(holder, ShardEvent::Note(Entry::Release { key, nonce }))?;
        let verdict = if loaded {
            Verdict::NotRun
        } else {
            Verdict::MayHaveRun
        };
        self.end(number, Some(verdict))
    }

    fn check_outcome(&mut self, number: usize, outcome: &Outcome) -> Check {
        let attempt = self.attempts[number].clone();
        let runs = self.runs.get(&attempt.key).cloned().unwrap_or_default();
        let Some(status) = outcome.status else {
            return self.end(number, Some(Verdict::MayHaveRun));
        };
        let (nonce, body) = *runs.first().ok_or("an outcome without a run")?;
        if u64::from(status) != 100 + nonce {
            return Err(format!("answered {status}, but attempt {nonce} ran"));
        }
        if body != attempt.body {
            return Err("answered with the outcome of another body".into());
        }
        self.end(number, Some(Verdict::Ran))
    }

    fn end(&mut self, number: usize, verdict: Option<Verdict>) -> Check {
        let attempt = &mut self.attempts[number];
        attempt.phase = Phase::Ended;
        attempt.verdict = verdict;
        if verdict == Some(Verdict::NotRun) {
            if attempt.ran {
                return Err("answered not-run, but the attempt ran".into());
            }
            if !self.split && self.runs.contains_key(&attempt.key) {
                return Err("answered not-run, but an earlier attempt ran".into());
            }
        }
        Ok(())
    }

    /// The store acts on a call, or on the next part of it.
    fn serve_call(&mut self, pick: usize, stale: bool) -> Check {
        if self.calls.is_empty() {
            return self.tick(pick);
        }
        let index = pick % self.calls.len();
        let mut call = self.calls.swap_remove(index);
        let event = match &mut call.kind {
            Kind::Write {
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
                        version: self.version,
                    }
                } else {
                    ShardEvent::WriteFailed { id: call.id }
                }
            }
            Kind::Load { next, found } => {
                let first = self.objects.keys().next().copied();
                let index = next.or(first).unwrap_or(0);
                let object = self.objects.get(&index);
                let read = object.and_then(|versions| {
                    let back = usize::from(stale && versions.len() > 1);
                    versions.get(versions.len() - 1 - back)
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
                    segments: std::mem::take(found),
                }
            }
        };
        self.deliver(&call, event)
    }

    fn deliver(&mut self, call: &Call, event: ShardEvent) -> Check {
        if !call.waited_for || self.vms[call.vm].life != call.life {
            return Ok(());
        }
        self.feed(call.vm, event)
    }

    /// The VM gives a call up; the store may still act on it, or already has.
    fn abandon_call(&mut self, pick: usize) -> Check {
        if self.calls.is_empty() {
            return self.tick(pick);
        }
        let index = pick % self.calls.len();
        if !self.calls[index].waited_for {
            return Ok(());
        }
        let call = self.calls[index].clone();
        self.calls[index].waited_for = false;
        self.deliver(&call, failure(&call, self.protections.settle, self.version))
    }

    /// A call is lost before it reaches the store.
    fn drop_call(&mut self, pick: usize) -> Check {
        if self.calls.is_empty() {
            return self.tick(pick);
        }
        let index = pick % self.calls.len();
        let call = self.calls.swap_remove(index);
        self.deliver(&call, failure(&call, self.protections.settle, self.version))
    }

    /// Lets an attempt do its next step at the target.
    fn advance_attempt(&mut self, pick: usize) -> Check {
        if self.attempts.is_empty() {
            return Ok(());
        }
        let number = pick % self.attempts.len();
        let attempt = self.attempts[number].clone();
        if attempt.life != self.vms[attempt.vm].life {
            return Ok(());
        }
        let fate = pick / 64 % 8;
        match attempt.phase {
            // The target refuses the connection.
            Phase::Granted if fate == 0 => self.refuse(number, true),
            Phase::Granted => {
                self.attempts[number].phase = Phase::Sent;
                self.execute(number)
            }
            Phase::Sent => {
                // The target can die after it ran the call.
                let status = (fate != 0).then(|| 100 + u16::try_from(attempt.nonce).unwrap());
                let entry = Entry::Outcome {
                    key: [attempt.key, 0],
                    nonce: attempt.nonce,
                    outcome: Outcome {
                        status,
                        media: None,
                        body: None,
                    },
                };
                let holder = self.holder(pick);
                self.feed(holder, ShardEvent::Note(entry))?;
                let verdict = if status.is_some() {
                    Verdict::Ran
                } else {
                    Verdict::MayHaveRun
                };
                self.end(number, Some(verdict))
            }
            Phase::Claiming { .. } | Phase::Ended => Ok(()),
        }
    }

    fn execute(&mut self, number: usize) -> Check {
        let attempt = &mut self.attempts[number];
        attempt.ran = true;
        let runs = self.runs.entry(attempt.key).or_default();
        runs.push((attempt.nonce, attempt.body));
        if runs.len() > 1 {
            return Err(format!("key {} ran twice: {runs:?}", attempt.key));
        }
        Ok(())
    }

    fn give_up(&mut self, pick: usize) -> Check {
        if self.attempts.is_empty() {
            return Ok(());
        }
        let number = pick % self.attempts.len();
        let Phase::Claiming { holder, life } = self.attempts[number].phase else {
            return Ok(());
        };
        if self.vms[holder].life != life {
            return self.refuse(number, false);
        }
        let ticket = number as u64;
        self.feed(holder, ShardEvent::GiveUp { ticket })
    }

    /// An attempt hears nothing and asks another VM, with the same nonce.
    fn move_claim(&mut self, pick: usize) -> Check {
        if self.attempts.is_empty() {
            return Ok(());
        }
        let number = pick % self.attempts.len();
        let attempt = &self.attempts[number];
        let waiting = matches!(attempt.phase, Phase::Claiming { .. });
        if !waiting || attempt.life != self.vms[attempt.vm].life {
            return Ok(());
        }
        let holder = self.holder(pick / 3);
        self.attempts[number].phase = Phase::Claiming {
            holder,
            life: self.vms[holder].life,
        };
        self.claim(number, holder)
    }

    fn restart(&mut self, pick: usize) {
        let vm = &mut self.vms[pick % VMS];
        vm.life += 1;
        vm.shard = ClaimShard::new(options());
    }
}

/// Returns what a VM makes of a call without an answer.
fn failure(call: &Call, settle: bool, version: u64) -> ShardEvent {
    let id = call.id;
    match &call.kind {
        Kind::Load { .. } => ShardEvent::LoadFailed { id },
        Kind::Write { .. } if settle => ShardEvent::WriteFailed { id },
        Kind::Write { .. } => ShardEvent::Written {
            id,
            version: version + 1,
        },
    }
}
