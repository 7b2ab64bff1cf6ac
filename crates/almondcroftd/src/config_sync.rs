//! Brings the configuration of the store into force.

use crate::app::App;
use crate::members::announce;
use crate::runtime::sleep;
use almondcroft_proto::object::{CONFIG_KEY, ConfigObject};
use std::sync::Arc;
use std::time::Duration;

/// Time that a watch waits for a change.
const WATCH_HOLD: Duration = Duration::from_secs(20);

/// Time between two attempts while the store fails.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Watches the configuration until the daemon ends.
pub(crate) fn start(app: &Arc<App>) {
    let app = Arc::clone(app);
    crate::runtime::spawn(async move {
        let mut version = 0;
        while !app.lifecycle.is_crashed() {
            match app.store.watch(CONFIG_KEY, version, WATCH_HOLD).await {
                Ok(Some(stored)) => {
                    version = stored.version;
                    take(&app, &stored.bytes).await;
                }
                Ok(None) => {}
                Err(_) => sleep(RETRY_DELAY).await,
            }
        }
    });
}

async fn take(app: &Arc<App>, bytes: &[u8]) {
    let object = match ConfigObject::from_bytes(bytes) {
        Ok(object) => object,
        Err(error) => {
            log::error!(event = "config-unreadable", error:% = error; "");
            return;
        }
    };
    if app.offer_config(object.config) {
        announce(app).await;
    }
}
