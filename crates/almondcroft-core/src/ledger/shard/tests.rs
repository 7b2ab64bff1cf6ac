use super::*;
use crate::ledger::Outcome;
use std::time::Duration;

const NOW: Timestamp = Duration::from_secs(1_000);

/// A store that holds one log and can come back from an older copy.
#[derive(Clone, Default)]
struct Log {
    era: Era,
    version: u64,
    segments: BTreeMap<u64, (u64, Segment)>,
}

impl Log {
    /// Carries out the actions of a shard until it needs nothing more; returns its answers.
    fn serve(
        &mut self,
        shard: &mut ClaimShard,
        event: ShardEvent,
        now: Timestamp,
    ) -> Vec<ClaimAnswer> {
        let mut answers = Vec::new();
        let mut actions = VecDeque::from(shard.handle(event, now));
        for _ in 0..20 {
            let event = match actions.pop_front() {
                Some(ShardAction::Answer { answer, .. }) => {
                    answers.push(answer);
                    continue;
                }
                Some(ShardAction::Load { id, from }) => self.load(id, from.unwrap_or(0)),
                Some(ShardAction::Write {
                    id,
                    index,
                    expected,
                    segment,
                }) => self.write(id, index, expected, segment),
                Some(ShardAction::Delete { .. }) => continue,
                None => ShardEvent::Tick,
            };
            actions.extend(shard.handle(event, now));
        }
        answers
    }

    fn load(&self, id: CallId, from: u64) -> ShardEvent {
        let segments = self.segments.range(from..);
        let segments =
            segments.map(|(index, (version, segment))| (*index, *version, segment.clone()));
        ShardEvent::Loaded {
            id,
            era: self.era,
            segments: segments.collect(),
        }
    }

    fn write(
        &mut self,
        id: CallId,
        index: u64,
        expected: Expected,
        segment: Segment,
    ) -> ShardEvent {
        let current = self.segments.get(&index);
        let current = current.map_or(Expected::Absent, |(version, _)| Expected::Version(*version));
        if current != expected {
            return ShardEvent::WriteFailed { id };
        }
        self.version += 1;
        self.segments.insert(index, (self.version, segment));
        ShardEvent::Written {
            id,
            era: self.era,
            version: self.version,
        }
    }

    fn restore(&mut self, backup: Self) {
        let era = self.era + 1;
        *self = Self { era, ..backup };
    }
}

fn claim(key: u64, nonce: u64, issued_at: Option<Timestamp>) -> ShardEvent {
    ShardEvent::Claim {
        ticket: nonce,
        claim: Claim {
            key: [key, 0],
            body: 1,
            nonce,
            vm: "vm-1".into(),
            incarnation: 1,
            at: NOW,
            issued_at,
            deadline: NOW + Duration::from_secs(10),
        },
    }
}

fn new_shard() -> ClaimShard {
    ClaimShard::new(ShardOptions::default().interval(Duration::ZERO))
}

const UNPROVEN: ClaimAnswer = ClaimAnswer::Unavailable { loaded: false };

#[test]
fn claim_lost_with_a_restoration_is_not_granted_again() {
    let (mut log, mut shard) = (
        Log {
            era: 1,
            ..Log::default()
        },
        new_shard(),
    );
    log.serve(&mut shard, claim(1, 1, Some(NOW)), NOW);
    let backup = log.clone();
    let granted = log.serve(&mut shard, claim(2, 2, Some(NOW)), NOW);
    assert_eq!(granted, [ClaimAnswer::Granted]);
    log.restore(backup);
    // This VM has restarted and knows only the log.
    let mut shard = new_shard();
    let later = NOW + Duration::from_secs(5);
    assert_eq!(
        log.serve(&mut shard, claim(2, 3, Some(NOW)), later),
        [UNPROVEN]
    );
    assert_eq!(log.serve(&mut shard, claim(3, 4, None), later), [UNPROVEN]);
    // A key that was issued after the restoration cannot have been claimed before.
    let issued_at = later + Duration::from_secs(3);
    let granted = log.serve(&mut shard, claim(4, 5, Some(issued_at)), issued_at);
    assert_eq!(granted, [ClaimAnswer::Granted]);
    // Another VM learns from the log which keys are unproven.
    let mut shard = new_shard();
    let recent = Some(NOW + Duration::from_secs(99));
    let much_later = NOW + Duration::from_secs(100);
    assert_eq!(
        log.serve(&mut shard, claim(2, 6, Some(NOW)), much_later),
        [UNPROVEN]
    );
    let granted = log.serve(&mut shard, claim(5, 7, recent), much_later);
    assert_eq!(granted, [ClaimAnswer::Granted]);
}

#[test]
fn outcome_lost_with_a_restoration_is_appended_again() {
    let (mut log, mut shard) = (
        Log {
            era: 1,
            ..Log::default()
        },
        new_shard(),
    );
    let backup = log.clone();
    log.serve(&mut shard, claim(1, 1, Some(NOW)), NOW);
    let outcome = Outcome::new(200, None, b"done");
    let entry = Entry::Outcome {
        key: [1, 0],
        nonce: 1,
        outcome: outcome.clone(),
    };
    log.serve(&mut shard, ShardEvent::Append(entry), NOW);
    log.restore(backup);
    let later = NOW + Duration::from_secs(5);
    log.serve(&mut shard, claim(2, 2, Some(later)), later);
    let mut other = new_shard();
    let answers = log.serve(&mut other, claim(1, 3, Some(NOW)), later);
    assert_eq!(answers, [ClaimAnswer::Done(outcome)]);
}
