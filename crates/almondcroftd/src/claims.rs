//! Claims of idempotency keys, made at this VM or at the peer that appends to the key's shard.

mod driver;

use crate::app::App;
use crate::runtime::within;
use almondcroft_core::Timestamp;
use almondcroft_core::ledger::{Claim, ClaimAnswer, Entry, shard_of};
use almondcroft_core::membership::{Evidence, rank_members};
use almondcroft_proto::peer::{CLAIM_METHOD, ClaimParams, RECORD_METHOD, RecordParams};
use async_channel::Sender;
use driver::{Command, Driver};
use std::sync::Arc;
use std::time::Duration;

/// Fraction of the time for a claim after which the next VM is tried.
const PEER_TIMEOUT_FRACTION: f64 = 0.7;

/// Fraction of the time for a claim that a VM spends on a claim of another VM.
const FORWARDED_TIMEOUT_FRACTION: f64 = 0.6;

/// Answer to a claim that no VM could process.
const UNAVAILABLE: ClaimAnswer = ClaimAnswer::Unavailable { loaded: false };

/// Number of attempts to send an entry to the VM that appends to its shard, before this VM appends it.
const RECORD_ATTEMPTS: u32 = 5;

/// Holds the command channels of the claim shards.
#[derive(Debug)]
pub(crate) struct Claims {
    shards: Vec<(Sender<Command>, async_channel::Receiver<Command>)>,
}

impl Claims {
    pub(crate) fn new(shards: u32) -> Self {
        Self {
            shards: (0..shards).map(|_| async_channel::unbounded()).collect(),
        }
    }

    /// Starts one task per shard.
    pub(crate) fn start(app: &Arc<App>) {
        for (index, (sender, receiver)) in app.claims.shards.iter().enumerate() {
            let driver = Driver::new(
                index,
                app.settings.ledger,
                app.store.clone(),
                app.clock,
                sender.clone(),
            );
            let lifecycle = Arc::clone(&app.lifecycle);
            let receiver = receiver.clone();
            crate::runtime::spawn(async move {
                let aborted = async {
                    lifecycle.wait_aborted().await;
                };
                futures_lite::future::or(driver.run(receiver), aborted).await;
            });
        }
    }

    /// Claims a key at this VM, even if another VM should append to the shard.
    pub(crate) async fn claim_local(
        &self,
        shard: u32,
        claim: Claim,
        limit: Duration,
    ) -> ClaimAnswer {
        let Some((sender, _)) = self.shards.get(shard as usize) else {
            return UNAVAILABLE;
        };
        let (answer_sender, answer_receiver) = async_channel::bounded(1);
        let ticket = rand::random();
        let command = Command::Claim {
            ticket,
            claim,
            answer_sender,
        };
        if sender.try_send(command).is_err() {
            return UNAVAILABLE;
        }
        if let Some(Ok(answer)) = within(limit, answer_receiver.recv()).await {
            return answer;
        }
        let _ = sender.try_send(Command::Timeout { ticket });
        answer_receiver.recv().await.unwrap_or(UNAVAILABLE)
    }

    /// Appends an entry to a shard at this VM.
    pub(crate) fn record_local(&self, shard: u32, entry: Entry) {
        if let Some((sender, _)) = self.shards.get(shard as usize) {
            let _ = sender.try_send(Command::Append(entry));
        }
    }
}

/// Claims a key at the VM that appends to its shard, or at the next one if that VM does not respond.
pub(crate) async fn claim(app: &Arc<App>, claim: Claim, deadline: Timestamp) -> ClaimAnswer {
    let shard = shard_of(claim.key, app.settings.shards);
    let order = rank_members(
        &app.members.reachable_vms(app.clock.now()),
        u64::from(shard),
    );
    for vm in order {
        let remaining = deadline.saturating_sub(app.clock.now());
        if remaining.is_zero() {
            break;
        }
        if vm == app.settings.vm {
            return app.claims.claim_local(shard, claim, remaining).await;
        }
        let Some(address) = app.members.address(&vm) else {
            continue;
        };
        let params = ClaimParams {
            shard,
            claim: claim.clone(),
        };
        let limit = remaining.min(
            app.settings
                .limits
                .claim_time
                .mul_f64(PEER_TIMEOUT_FRACTION),
        );
        match app.peers.call(&address, CLAIM_METHOD, &params, limit).await {
            Ok(answer) => return answer,
            Err(error) => {
                log::info!(event = "claim-peer-failed", vm = vm.as_str(), error:% = error; "");
                app.members
                    .observe(&vm, Evidence::TimedOut, app.clock.now());
            }
        }
    }
    UNAVAILABLE
}

/// Returns the time that a VM spends on a claim of another VM, which must receive the answer before
/// it tries the next VM.
pub(crate) fn forwarded_claim_timeout(app: &App) -> Duration {
    app.settings
        .limits
        .claim_time
        .mul_f64(FORWARDED_TIMEOUT_FRACTION)
}

/// Sends an entry to the VM that appends to its shard, in the background.
pub(crate) fn record(app: &Arc<App>, entry: Entry) {
    let app = Arc::clone(app);
    let guard = app.lifecycle.track();
    crate::runtime::spawn(async move {
        deliver_record(&app, entry).await;
        drop(guard);
    });
}

async fn deliver_record(app: &Arc<App>, entry: Entry) {
    let shard = shard_of(entry.key(), app.settings.shards);
    let params = RecordParams { shard, entry };
    for _ in 0..RECORD_ATTEMPTS {
        let order = rank_members(
            &app.members.reachable_vms(app.clock.now()),
            u64::from(shard),
        );
        let Some(vm) = order.first() else {
            break;
        };
        if *vm == app.settings.vm {
            break;
        }
        let Some(address) = app.members.address(vm) else {
            break;
        };
        let limit = Duration::from_secs(1);
        let delivered = app
            .peers
            .call::<bool>(&address, RECORD_METHOD, &params, limit);
        if delivered.await.is_ok() {
            return;
        }
        app.members.observe(vm, Evidence::TimedOut, app.clock.now());
    }
    app.claims.record_local(shard, params.entry);
}
