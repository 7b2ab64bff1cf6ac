//! Periodic polls of the targets.

use crate::app::App;
use crate::http::{CallErrorKind, Outbound};
use crate::runtime::{sleep, spawn};
use almondcroft_core::TargetId;
use almondcroft_core::config::{Config, ServiceKind, Target};
use almondcroft_core::membership::Evidence;
use almondcroft_core::router::LoadReport;
use almondcroft_proto::engine::{LOAD_PATH, LoadResponse};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use trillium::Method;

/// Time between two polls of the targets.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Time for a target to respond to a poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between two ticks of the router.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Largest load report, in bytes.
const MAX_REPORT_BYTES: usize = 64 * 1024;

/// Starts the tasks that poll the targets and tick the router.
pub(crate) fn start(app: &Arc<App>) {
    let polling = Arc::clone(app);
    spawn(async move {
        let mut preemptions = HashMap::new();
        while !polling.lifecycle.is_crashed() {
            poll_all(&polling, &mut preemptions).await;
            sleep(POLL_INTERVAL).await;
        }
    });
    let ticking = Arc::clone(app);
    spawn(async move {
        while !ticking.lifecycle.is_crashed() {
            ticking.routing.tick(ticking.clock.now());
            sleep(TICK_INTERVAL).await;
        }
    });
}

async fn poll_all(app: &Arc<App>, preemptions: &mut HashMap<TargetId, u64>) {
    let config = app.config();
    let polls: Vec<_> = config
        .targets
        .values()
        .cloned()
        .map(|target| {
            let (app, config) = (Arc::clone(app), Arc::clone(&config));
            async_global_executor::spawn(async move { poll(&app, &config, &target).await })
        })
        .collect();
    for poll in polls {
        if let Some((target, count)) = poll.await {
            preemptions.insert(target, count);
        }
    }
    let total = preemptions
        .values()
        .fold(0_u64, |total, count| total.saturating_add(*count));
    app.metrics
        .preemptions
        .set(i64::try_from(total).unwrap_or(i64::MAX));
}

async fn poll(app: &Arc<App>, config: &Config, target: &Target) -> Option<(TargetId, u64)> {
    let response = match fetch_load(app, target).await {
        Ok(response) => response,
        Err(kind) => {
            let evidence = match kind {
                CallErrorKind::Refused => Evidence::Refused,
                CallErrorKind::TimedOut | CallErrorKind::Broken => Evidence::TimedOut,
            };
            app.observe_target(&target.id, evidence);
            return None;
        }
    };
    let evidence = if response.leaving {
        Evidence::Leaving
    } else {
        Evidence::Answered
    };
    app.observe_target(&target.id, evidence);
    let service = config.services.get(target.services.first()?)?;
    if service.kind == ServiceKind::Plain {
        return None;
    }
    let now = app.clock.now();
    let report = LoadReport {
        at: now.saturating_sub(Duration::from_millis(response.age_ms)),
        running: response.running,
        waiting: response.waiting,
        kv_used: response.kv_used,
        kv_total: response.kv_total,
        preemptions: response.preemptions,
    };
    app.routing.record_reported_load(&target.id, report, now);
    Some((target.id.clone(), response.preemptions))
}

async fn fetch_load(app: &Arc<App>, target: &Target) -> Result<LoadResponse, CallErrorKind> {
    let url = format!("{}{LOAD_PATH}", target.address);
    let call = app
        .outbound
        .call(Method::Get, &url, &[], Vec::new(), POLL_TIMEOUT);
    let conn = call.await.map_err(|error| error.kind)?;
    let bytes = Outbound::read_body(conn, MAX_REPORT_BYTES, POLL_TIMEOUT)
        .await
        .map_err(|error| error.kind)?;
    serde_json::from_slice(&bytes).map_err(|_| CallErrorKind::Broken)
}
