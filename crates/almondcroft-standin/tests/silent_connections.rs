//! Connections of a daemon to the store that go silent for good, behind a proxy that keeps acknowledging.

#![cfg(target_os = "linux")]
#![allow(dead_code, reason = "the test double serves other test programs too")]

#[path = "../../../platform/tests/gateway/proxy.rs"]
mod proxy;

use almondcroft_standin::demo::LocalDeployment;
use almondcroft_standin::processes::Launcher;
use almondcroftd::{block_on, sleep};
use proxy::{Proxy, Silence};
use serde_json::json;
use std::path::Path;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_almondcroft-standin");

/// Time within which a change of the configuration is active on all VMs, of docs/CAPACITY.md.
const CHANGE_TIME: Duration = Duration::from_secs(5);

/// Waits until the log of a daemon names as many activated configurations; returns how long that took.
async fn wait_for(log: &Path, count: usize) -> Duration {
    let started_at = Instant::now();
    let activated = || {
        let text = std::fs::read_to_string(log).unwrap_or_default();
        text.matches("event=config revision=").count()
    };
    while activated() < count {
        assert!(started_at.elapsed() < Duration::from_secs(30), "{count}");
        sleep(Duration::from_millis(20)).await;
    }
    started_at.elapsed()
}

/// Guards against a change of the configuration that is learned late because the connection of the watch has gone silent.
#[test]
fn changes_are_learned_after_the_watch_went_silent() {
    block_on(async {
        let deployment = LocalDeployment::start(0, 1).await.unwrap();
        let store = deployment.store.url();
        let proxy = Proxy::start(store.trim_start_matches("http://").parse().unwrap());
        deployment.apply(&deployment.sheet()).await.unwrap();
        let folder = std::env::temp_dir().join(format!("almondcroft-{}", uuid::Uuid::new_v4()));
        std::fs::create_dir_all(&folder).unwrap();
        let settings = json!({
            "vm": "entry-0", "region": "quito", "zone": "quito-a", "listen": "127.0.0.1:0",
            "store": format!("http://{}", proxy.address), "handle_secret": "handles of a test only",
            "peer_secret": "peers of a test only",
        });
        let launcher = Launcher::new(Path::new(PROGRAM), &folder);
        let entry = launcher.start("entry", "entry-0", &settings).unwrap();
        let log = folder.join("entry-0.log");
        wait_for(&log, 1).await;
        // The watch that follows the first configuration is waiting.
        sleep(Duration::from_millis(500)).await;
        proxy.silence(Silence::Both);
        let changed = deployment
            .sheet()
            .replace(&deployment.orders.url(), "http://127.0.0.1:9");
        deployment.apply(&changed).await.unwrap();
        let time = wait_for(&log, 2).await;
        drop(entry);
        std::fs::remove_dir_all(&folder).unwrap();
        assert!(time <= CHANGE_TIME, "{time:?}");
    });
}
