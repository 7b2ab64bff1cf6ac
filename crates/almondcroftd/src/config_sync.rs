//! Watches the configuration in the store and activates new revisions.

use crate::app::App;
use crate::members::announce_config;
use crate::runtime::sleep;
use almondcroft_proto::object::{CONFIG_KEY, ConfigObject};
use std::sync::Arc;
use std::time::Duration;

/// Longest time that a watch request waits for a change.
///
/// A connection may go silent for good, and only the end of this time shows it.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time between two watch requests while the store fails.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Starts a task that watches the configuration until the daemon stops.
pub(crate) fn start(app: &Arc<App>) {
    let app = Arc::clone(app);
    crate::runtime::spawn(async move {
        let (mut version, mut era) = (0, 0);
        while !app.lifecycle.is_crashed() {
            // Versions of an earlier era are given out again.
            if era < app.store.era() {
                (version, era) = (0, app.store.era());
            }
            match app.store.watch(CONFIG_KEY, version, WATCH_TIMEOUT).await {
                Ok(Some(stored)) => {
                    (version, era) = (stored.version, stored.era);
                    apply(&app, &stored.bytes).await;
                }
                Ok(None) => {}
                Err(_) => sleep(RETRY_DELAY).await,
            }
        }
    });
}

async fn apply(app: &Arc<App>, bytes: &[u8]) {
    let object = match ConfigObject::from_bytes(bytes) {
        Ok(object) => object,
        Err(error) => {
            log::error!(event = "config-unreadable", error:% = error; "");
            return;
        }
    };
    if app.offer_config(object.config) {
        announce_config(app).await;
    }
}
