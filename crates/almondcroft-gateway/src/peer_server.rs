//! Serves other VMs, at the address for gossip: copies of the store, and tunnels to targets.

use crate::caller::{read_page_request, send_page};
use crate::connection::Connection;
use crate::listener::{accept, bind};
use crate::runtime::spawn;
use crate::state::Gateway;
use crate::tunnel::TUNNEL_PATH;
use crate::{peer_view, tunnel};
use std::sync::Arc;

/// Starts the listener if the settings have an address for it.
pub(crate) fn start(gateway: &Arc<Gateway>) {
    let Some(address) = gateway.settings.peers else {
        return;
    };
    match bind(address) {
        Ok(listener) => {
            let shared = Arc::clone(gateway);
            spawn(accept(listener, move |connection| {
                serve(Arc::clone(&shared), connection)
            }));
        }
        // Peers use other VMs or the store.
        Err(error) => {
            log::warn!(event = "peers-unserved", address:% = address, error:% = error; "");
        }
    }
}

async fn serve(gateway: Arc<Gateway>, mut connection: Connection) {
    while let Some(head) = read_page_request(&mut connection).await {
        if head.path() == TUNNEL_PATH {
            return tunnel::serve(&gateway, connection, &head).await;
        }
        let page = peer_view::page(&gateway, head.path());
        if !send_page(&connection, &head, page).await {
            return;
        }
    }
}
