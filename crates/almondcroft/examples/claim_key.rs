//! Claims one key at two VMs; the store's conditional update lets only one of them run the call.

use almondcroft::core::ledger::{
    Claim, ClaimAnswer, ClaimShard, Expected, Segment, ShardAction, ShardEvent, ShardOptions,
    hash_body, hash_key,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// An in-memory store with the conditional update that the ledger needs.
#[derive(Default)]
struct Store {
    objects: BTreeMap<u64, (u64, Segment)>,
    version: u64,
}

impl Store {
    fn execute(&mut self, action: ShardAction) -> Result<ShardEvent, ClaimAnswer> {
        match action {
            ShardAction::Load { id, from } => {
                let first = from.unwrap_or(0);
                let found = self.objects.range(first..);
                let segments = found
                    .map(|(index, (version, segment))| (*index, *version, segment.clone()))
                    .collect();
                Ok(ShardEvent::Loaded {
                    id,
                    era: 1,
                    segments,
                })
            }
            ShardAction::Write {
                id,
                index,
                expected,
                segment,
            } => {
                let current = self.objects.get(&index);
                let current =
                    current.map_or(Expected::Absent, |(version, _)| Expected::Version(*version));
                if current != expected {
                    return Ok(ShardEvent::WriteFailed { id });
                }
                self.version += 1;
                self.objects.insert(index, (self.version, segment));
                let version = self.version;
                Ok(ShardEvent::Written {
                    id,
                    era: 1,
                    version,
                })
            }
            ShardAction::Delete { .. } => Ok(ShardEvent::Tick),
            ShardAction::Answer { answer, .. } => Err(answer),
        }
    }
}

fn claim(shard: &mut ClaimShard, store: &mut Store, vm: &str, nonce: u64) -> ClaimAnswer {
    let mut now = Duration::from_secs(1_000);
    let claim = Claim {
        key: hash_key("san-blas", "orders", "order-17"),
        body: hash_body("POST", "/confirm", b"{\"fish\":12}"),
        nonce,
        vm: vm.into(),
        incarnation: 1,
        at: now,
        issued_at: Some(now),
        deadline: now + Duration::from_secs(10),
    };
    let mut actions = shard.handle(
        ShardEvent::Claim {
            ticket: nonce,
            claim,
        },
        now,
    );
    loop {
        now += Duration::from_millis(100);
        let event = match actions.pop().map(|action| store.execute(action)) {
            Some(Err(answer)) => return answer,
            Some(Ok(event)) => event,
            None => ShardEvent::Tick,
        };
        actions.extend(shard.handle(event, now));
    }
}

fn main() {
    let mut store = Store::default();
    let mut first_shard = ClaimShard::new(ShardOptions::default());
    let mut second_shard = ClaimShard::new(ShardOptions::default());
    println!(
        "entry-1: {:?}",
        claim(&mut first_shard, &mut store, "entry-1", 1)
    );
    println!(
        "entry-2: {:?}",
        claim(&mut second_shard, &mut store, "entry-2", 2)
    );
}
