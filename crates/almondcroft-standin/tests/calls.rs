//! Calls that may not be repeated, and refused requests.

use almondcroft_standin::demo::{Caller, LocalDeployment, OTHER_TOKEN, Reply};
use almondcroft_standin::object_api::StoreFaults;
use almondcroft_standin::service::ServiceFaults;
use almondcroftd::{block_on, sleep};
use std::time::Duration;

const ORDER: &str = "{\"fish\":12}";

fn key() -> String {
    uuid::Uuid::now_v7().to_string()
}

fn verdict(reply: &Reply) -> &str {
    reply.verdict.as_deref().unwrap_or("none")
}

#[test]
fn call_without_key() {
    block_on(async {
        let deployment = LocalDeployment::start(1, 1).await.unwrap();
        let reply = Caller::default()
            .call(&deployment.vm_urls()[0], "orders", None, ORDER)
            .await;
        assert_eq!((reply.status, verdict(&reply)), (400, "not-run"));
        assert!(reply.body.contains("idempotency-key"));
        assert!(deployment.orders_state.executions().is_empty());
    });
}

#[test]
fn call_repeated_at_both_vms() {
    block_on(async {
        let deployment = LocalDeployment::start(2, 1).await.unwrap();
        let caller = Caller::default();
        let urls = deployment.vm_urls();
        let key = key();
        let mut replies = Vec::new();
        for turn in 0..6 {
            replies.push(
                caller
                    .call(&urls[turn % 2], "orders", Some(&key), ORDER)
                    .await,
            );
        }
        assert!(replies.iter().all(|reply| *reply == replies[0]));
        assert_eq!((replies[0].status, verdict(&replies[0])), (200, "ran"));
        assert_eq!(deployment.orders_state.executions().len(), 1);
    });
}

#[test]
fn call_key_with_other_body() {
    block_on(async {
        let deployment = LocalDeployment::start(2, 1).await.unwrap();
        let caller = Caller::default();
        let urls = deployment.vm_urls();
        let key = key();
        caller.call(&urls[0], "orders", Some(&key), ORDER).await;
        let other = caller.call(&urls[1], "orders", Some(&key), "{}").await;
        assert_eq!((other.status, verdict(&other)), (422, "not-run"));
        assert_eq!(deployment.orders_state.executions().len(), 1);
    });
}

#[test]
fn call_target_breaks_after_running() {
    block_on(async {
        let deployment = LocalDeployment::start(2, 1).await.unwrap();
        deployment.orders_state.set_faults(ServiceFaults {
            break_after: true,
            ..ServiceFaults::default()
        });
        let caller = Caller::default();
        let urls = deployment.vm_urls();
        let key = key();
        let first = caller.call(&urls[0], "orders", Some(&key), ORDER).await;
        assert_eq!(verdict(&first), "may-have-run");
        deployment.orders_state.set_faults(ServiceFaults::default());
        for url in &urls {
            let again = caller.call(url, "orders", Some(&key), ORDER).await;
            assert_eq!((again.status, verdict(&again)), (409, "may-have-run"));
        }
        assert_eq!(deployment.orders_state.executions().len(), 1);
    });
}

#[test]
fn call_target_crashed_is_not_run() {
    block_on(async {
        let deployment = LocalDeployment::start(1, 1).await.unwrap();
        let caller = Caller::default();
        let url = &deployment.vm_urls()[0];
        let key = key();
        deployment.orders.crash().await;
        let refused = caller.call(url, "orders", Some(&key), ORDER).await;
        assert_eq!(verdict(&refused), "not-run");
        assert!(deployment.orders_state.executions().is_empty());
    });
}

#[test]
fn call_store_down() {
    block_on(async {
        let deployment = LocalDeployment::start(2, 1).await.unwrap();
        let caller = Caller::default();
        let urls = deployment.vm_urls();
        let ran = key();
        // The first call loads the shard's log at the shard's VM.
        let first = caller.call(&urls[0], "orders", Some(&ran), ORDER).await;
        assert_eq!(first.status, 200);
        deployment.store_state.set_faults(StoreFaults {
            down: true,
            ..StoreFaults::default()
        });
        for url in &urls {
            let fresh = caller.call(url, "orders", Some(&key()), ORDER).await;
            assert_eq!(fresh.status, 503);
            let again = caller.call(url, "orders", Some(&ran), ORDER).await;
            assert_ne!(verdict(&again), "not-run", "this order ran: {again:?}");
            let lookup = caller.call(url, "lookups", None, "").await;
            assert_eq!(lookup.status, 200);
        }
        deployment.store_state.set_faults(StoreFaults::default());
        let later = key();
        let mut attempts = 0;
        while caller
            .call(&urls[1], "orders", Some(&later), ORDER)
            .await
            .status
            != 200
        {
            attempts += 1;
            assert!(attempts < 100, "calls do not recover");
        }
        let orders = |call: &&almondcroft_standin::service::Execution| call.key.is_some();
        let executions = deployment.orders_state.executions();
        assert_eq!(executions.iter().filter(orders).count(), 2);
    });
}

#[test]
fn call_store_responses_lost() {
    block_on(async {
        let deployment = LocalDeployment::start(2, 1).await.unwrap();
        let caller = Caller::default();
        let urls = deployment.vm_urls();
        for turn in 0..8 {
            deployment.store_state.set_faults(StoreFaults {
                lose_answers: 1,
                ..StoreFaults::default()
            });
            let key = key();
            for url in &urls {
                let reply = caller.call(url, "orders", Some(&key), ORDER).await;
                assert_eq!((turn, reply.status), (turn, 200), "{reply:?}");
            }
        }
        assert_eq!(deployment.orders_state.executions().len(), 8);
    });
}

#[test]
fn call_claimed_by_a_vm_that_the_list_does_not_show_yet() {
    block_on(async {
        let mut deployment = LocalDeployment::start(1, 1).await.unwrap();
        deployment.add_vm(1).await.unwrap();
        // Each VM has read the list, which shows the first one only.
        sleep(Duration::from_millis(1_200)).await;
        let caller = Caller::default();
        let urls = deployment.vm_urls();
        for turn in 0..4 {
            let key = key();
            for url in urls.iter().rev() {
                let reply = caller.call(url, "orders", Some(&key), ORDER).await;
                assert_eq!((turn, reply.status), (turn, 200), "{reply:?}");
            }
        }
        assert_eq!(deployment.orders_state.executions().len(), 4);
    });
}

#[test]
fn refuse_bad_input() {
    block_on(async {
        let deployment = LocalDeployment::start(1, 1).await.unwrap();
        let url = &deployment.vm_urls()[0];
        let completions = format!("{url}/v1/completions");
        let caller = Caller::default();
        let cases = [
            ("{", 400, "bad-request"),
            (r#"{"model":"menus"}"#, 400, "prompt"),
            (r#"{"model":"menus","prompt":7}"#, 400, "invalid type"),
            (r#"{"model":"nothing","prompt":"x"}"#, 404, "model"),
        ];
        for (body, status, text) in cases {
            let reply = caller.post(&completions, None, body).await;
            assert_eq!(
                (reply.status, verdict(&reply)),
                (status, "not-run"),
                "{body}"
            );
            assert!(reply.body.contains(text), "{}", reply.body);
        }
        let large = "x".repeat(2 * 1024 * 1024);
        let reply = caller.post(&completions, None, &large).await;
        assert_eq!(reply.status, 413);
        let unauthorized = Caller::new("nobody").post(&completions, None, "{}").await;
        assert_eq!(unauthorized.status, 401);
        let alive = caller.call(url, "lookups", None, "").await;
        assert_eq!(alive.status, 200, "the daemon still serves requests");
    });
}

#[test]
fn refuse_customer_above_limit() {
    block_on(async {
        let deployment = LocalDeployment::start(1, 1).await.unwrap();
        let url = deployment.vm_urls()[0].clone();
        let caller = Caller::new(OTHER_TOKEN);
        let stream = || caller.stream(&url, "soup", 200);
        let both = futures_lite::future::zip(stream(), stream());
        let third = async {
            almondcroftd::sleep(std::time::Duration::from_millis(300)).await;
            caller.call(&url, "lookups", None, "").await
        };
        let (_, third) = futures_lite::future::zip(both, third).await;
        assert_eq!((third.status, verdict(&third)), (429, "not-run"));
        let after = caller.call(&url, "lookups", None, "").await;
        assert_eq!(after.status, 200, "the customer's limit is released");
    });
}

#[test]
fn call_forgotten_by_a_restored_store_is_not_made_again() {
    block_on(async {
        let mut deployment = LocalDeployment::start(1, 1).await.unwrap();
        let caller = Caller::default();
        let url = deployment.vm_urls()[0].clone();
        caller.call(&url, "orders", Some(&key()), ORDER).await;
        almondcroftd::sleep(std::time::Duration::from_millis(600)).await;
        let forgotten: Vec<String> = (0..12).map(|_| key()).collect();
        for key in &forgotten {
            let reply = caller.call(&url, "orders", Some(key), ORDER).await;
            assert_eq!(reply.status, 200, "{reply:?}");
        }
        let executions = deployment.orders_state.executions().len();
        deployment
            .store_state
            .restore(std::time::Duration::from_millis(300));
        // Only the VM that made the calls remembers them.
        deployment.vms[0].crash();
        deployment.add_vm(1).await.unwrap();
        deployment.publish_vm_list();
        almondcroftd::sleep(std::time::Duration::from_secs(3)).await;
        let url = deployment.vm_urls()[1].clone();
        for key in &forgotten {
            let reply = caller.call(&url, "orders", Some(key), ORDER).await;
            assert_ne!(verdict(&reply), "not-run", "{reply:?}");
        }
        assert_eq!(deployment.orders_state.executions().len(), executions);
        // The shards' logs are empty or old, so keys count as proven only some time after their first use.
        almondcroftd::sleep(std::time::Duration::from_secs(3)).await;
        let mut served = 0;
        for _ in 0..12 {
            let reply = caller.call(&url, "orders", Some(&key()), ORDER).await;
            served += usize::from(reply.status == 200);
        }
        assert!(served > 0);
    });
}
