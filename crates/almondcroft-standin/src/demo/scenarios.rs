//! Scenarios of the demo.

use super::{Caller, LocalDeployment, StreamEnd};
use std::time::Duration;

/// Length of the menu, in tokens.
const MENU_TOKENS: u64 = 120;

/// Runs all scenarios, prints their results and returns whether all passed.
pub(super) async fn run_all(deployment: &LocalDeployment) -> bool {
    let caller = Caller::default();
    let scenarios = [
        (
            "an order sent to both entry VMs ran once",
            order_runs_once(deployment, &caller).await,
        ),
        (
            "streams completed although an engine crashed before its first token",
            engine_crashes(deployment, &caller).await,
        ),
        (
            "a stream was resumed at the other entry VM after its VM crashed",
            vm_crashes(deployment, &caller).await,
        ),
    ];
    for (name, passed) in &scenarios {
        println!("{}  {name}", if *passed { "passed" } else { "FAILED" });
    }
    scenarios.iter().all(|(_, passed)| *passed)
}

async fn order_runs_once(deployment: &LocalDeployment, caller: &Caller) -> bool {
    let urls = deployment.vm_urls();
    let key = uuid::Uuid::now_v7().to_string();
    let order = "{\"fish\":12}";
    let first = caller.call(&urls[0], "orders", Some(&key), order);
    let second = caller.call(&urls[1], "orders", Some(&key), order);
    let (first, second) = futures_lite::future::zip(first, second).await;
    println!(
        "        order: {} {} / {} {}",
        first.status, first.body, second.status, second.body
    );
    let same = first.status == 200 && first == second;
    same && deployment.orders_state.executions().len() == 1
}

async fn engine_crashes(deployment: &LocalDeployment, caller: &Caller) -> bool {
    let urls = deployment.vm_urls();
    let faults = crate::engine::EngineFaults {
        die_before_token: true,
        ..Default::default()
    };
    deployment.set_engine_faults(0, &faults).await;
    // Sends one request per engine, so that one of them is placed on the engine that crashes.
    let one = caller.stream(&urls[0], "soup for the first club", 20);
    let other = caller.stream(&urls[0], "soup for the second club", 20);
    let (one, other) = futures_lite::future::zip(one, other).await;
    println!(
        "        streams: {} and {} tokens",
        one.tokens, other.tokens
    );
    let is_complete = |end: &StreamEnd, tokens| *end == StreamEnd::Done && tokens == 20;
    is_complete(&one.end, one.tokens) && is_complete(&other.end, other.tokens)
}

async fn vm_crashes(deployment: &LocalDeployment, caller: &Caller) -> bool {
    let urls = deployment.vm_urls();
    let prompt = "a week of lunches for the club of San Blas";
    let expected = caller.stream(&urls[1], prompt, MENU_TOKENS).await;
    let streaming = caller.stream(&urls[0], prompt, MENU_TOKENS);
    let crashing = async {
        almondcroftd::sleep(Duration::from_millis(600)).await;
        deployment.vms[0].crash();
    };
    let (first, ()) = futures_lite::future::zip(streaming, crashing).await;
    let Some(last_id) = &first.last_id else {
        return false;
    };
    let rest = caller.resume(&urls[1], last_id).await;
    println!(
        "        menu: {} tokens before the crash ({:?}), {} after it",
        first.tokens, first.end, rest.tokens
    );
    let text = format!("{}{}", first.text, rest.text);
    first.tokens > 0
        && first.end == StreamEnd::Broken
        && rest.end == StreamEnd::Done
        && text == expected.text
}
