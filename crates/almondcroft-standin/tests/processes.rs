//! Daemons in separate processes that are killed, paused and stopped.

use almondcroft_standin::demo::{Caller, StreamEnd};
use almondcroft_standin::keyed_calls::{KeyedCallSetup, measure};
use almondcroft_standin::processes::Launcher;
use almondcroftd::block_on;
use serde_json::json;
use std::path::Path;

const PROGRAM: &str = env!("CARGO_BIN_EXE_almondcroft-standin");

#[test]
fn keyed_calls_through_kills_and_pauses() {
    for seed in [2, 3] {
        let setup = KeyedCallSetup {
            vms: 3,
            calls: 1_500,
            workers: 8,
            interval_ms: 25,
            shards: 4,
            targets: 1,
            seed,
            faults: true,
        };
        let report = block_on(measure(&setup, Path::new(PROGRAM))).unwrap();
        assert!(report.is_sound(), "{report:?}");
        assert!(report.kills + report.pauses > 0, "{report:?}");
        assert!(report.completed > 1_000, "{report:?}");
    }
}

#[test]
fn sigterm_without_work_exits_with_zero() {
    let folder = std::env::temp_dir().join(format!("almondcroft-{}", uuid::Uuid::new_v4()));
    std::fs::create_dir_all(&folder).unwrap();
    let launcher = Launcher::new(Path::new(PROGRAM), &folder);
    let settings = json!({
        "vm": "entry-0", "region": "quito", "zone": "quito-a", "listen": "127.0.0.1:0",
        "store": "http://127.0.0.1:9", "handle_secret": "handles of a test only",
        "peer_secret": "peers of a test only", "limits": {"drain_delay_ms": 10},
    });
    let mut entry = launcher.start("entry", "entry-0", &settings).unwrap();
    // A VM without a configuration refuses requests but keeps running.
    let streamed = block_on(Caller::default().stream(entry.url(), "soup", 5));
    assert!(matches!(streamed.end, StreamEnd::Problem(_)));
    entry.signal("TERM").unwrap();
    assert_eq!(entry.wait().unwrap(), Some(0));
    std::fs::remove_dir_all(&folder).unwrap();
}
