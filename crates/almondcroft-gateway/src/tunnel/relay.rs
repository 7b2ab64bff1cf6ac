//! Copies bytes between the two ends of a tunnel.

use crate::connection::{Connection, Sender};
use crate::state::Gateway;
use almondcroft_core::TargetId;
use almondcroft_proto::http1::parse_response;
use futures_lite::future::or;
use std::io;

/// Maximum size of the head of a response that is observed, in bytes.
const MAX_OBSERVED_HEAD: usize = 32 * 1024;

/// Copies bytes in both directions until one end closes; returns how the tunnel ended.
///
/// A response that ends with its connection is complete only after an orderly close. So both ends are reset unless
/// one was closed in order: also after an error, when the tunnel's time is over, and when this process ends.
pub(super) async fn relay(
    gateway: &Gateway,
    target_id: &TargetId,
    mut vm: Connection,
    mut target: Connection,
) -> &'static str {
    let (to_vm, to_target) = (vm.sender(), target.sender());
    to_vm.reset_on_close();
    to_target.reset_on_close();
    let mut observer = HeadObserver {
        gateway,
        target: target_id,
        head: Some(Vec::new()),
    };
    let requests = async {
        let copied = copy(&mut vm, &to_target, |_| {}).await;
        ("vm-closed", copied)
    };
    let responses = async {
        let copied = copy(&mut target, &to_vm, |bytes| observer.observe(bytes)).await;
        ("target-closed", copied)
    };
    let (end, copied) = or(requests, responses).await;
    if copied.is_err() {
        return "broken";
    }
    to_vm.end_on_close();
    to_target.end_on_close();
    end
}

async fn copy(
    from: &mut Connection,
    to: &Sender,
    mut observe: impl FnMut(&[u8]),
) -> io::Result<()> {
    while from.fill().await? > 0 {
        let bytes = from.buffered();
        observe(bytes);
        to.send(bytes).await?;
        let count = bytes.len();
        from.consume(count);
    }
    Ok(())
}

/// Applies what a target states about itself in the head of its first response.
struct HeadObserver<'a> {
    gateway: &'a Gateway,
    target: &'a TargetId,
    /// What arrived of the head; `None` once it was observed.
    head: Option<Vec<u8>>,
}

impl HeadObserver<'_> {
    fn observe(&mut self, bytes: &[u8]) {
        let Some(received) = &mut self.head else {
            return;
        };
        received.extend_from_slice(bytes);
        while let Ok(Some((head, used))) = parse_response(received, MAX_OBSERVED_HEAD) {
            if head.status < 200 {
                received.drain(..used);
                continue;
            }
            let meta = self.gateway.dialect.read_response(&head);
            self.gateway.observe_response(self.target, &head, &meta);
            self.head = None;
            return;
        }
        if received.len() >= MAX_OBSERVED_HEAD {
            self.head = None;
        }
    }
}
