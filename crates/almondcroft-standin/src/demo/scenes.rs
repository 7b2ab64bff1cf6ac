//! What the demo shows.

use super::{Caller, StreamEnd, World};
use std::time::Duration;

/// Tokens of the menu.
const MENU_TOKENS: u64 = 120;

/// Plays all scenes; returns whether everything held.
pub(super) async fn play(world: &World) -> bool {
    let caller = Caller::default();
    let scenes = [
        (
            "an order sent to both VMs ran once",
            order_once(world, &caller).await,
        ),
        (
            "an engine died before its first token and the caller did not notice",
            engine_dies(world, &caller).await,
        ),
        (
            "a menu arrived whole although the entry VM died in the middle",
            vm_dies(world, &caller).await,
        ),
    ];
    for (name, held) in &scenes {
        println!("{}  {name}", if *held { "held  " } else { "FAILED" });
    }
    scenes.iter().all(|(_, held)| *held)
}

async fn order_once(world: &World, caller: &Caller) -> bool {
    let urls = world.vm_urls();
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
    same && world.orders_state.executions().len() == 1
}

async fn engine_dies(world: &World, caller: &Caller) -> bool {
    let urls = world.vm_urls();
    let faults = crate::engine::EngineFaults {
        die_before_token: true,
        ..Default::default()
    };
    world.set_engine_faults(0, &faults).await;
    // One request for each engine, so that one of them meets the engine that dies.
    let one = caller.stream(&urls[0], "soup for the first club", 20);
    let other = caller.stream(&urls[0], "soup for the second club", 20);
    let (one, other) = futures_lite::future::zip(one, other).await;
    println!(
        "        streams: {} and {} tokens",
        one.tokens, other.tokens
    );
    let whole = |end: &StreamEnd, tokens| *end == StreamEnd::Done && tokens == 20;
    whole(&one.end, one.tokens) && whole(&other.end, other.tokens)
}

async fn vm_dies(world: &World, caller: &Caller) -> bool {
    let urls = world.vm_urls();
    let prompt = "a week of lunches for the club of San Blas";
    let expected = caller.stream(&urls[1], prompt, MENU_TOKENS).await;
    let streaming = caller.stream(&urls[0], prompt, MENU_TOKENS);
    let killing = async {
        almondcroftd::sleep(Duration::from_millis(600)).await;
        world.vms[0].crash();
    };
    let (part, ()) = futures_lite::future::zip(streaming, killing).await;
    let Some(last_id) = &part.last_id else {
        return false;
    };
    let rest = caller.resume(&urls[1], last_id).await;
    println!(
        "        menu: {} tokens before the death ({:?}), {} after it",
        part.tokens, part.end, rest.tokens
    );
    let whole = format!("{}{}", part.text, rest.text);
    part.tokens > 0
        && part.end == StreamEnd::Broken
        && rest.end == StreamEnd::Done
        && whole == expected.text
}
