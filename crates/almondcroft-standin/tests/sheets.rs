//! Applying sheets during races, lost responses, store outages and a restored store.

use almondcroft_proto::object::{CONFIG_KEY, ConfigObject};
use almondcroft_proto::sheet::parse;
use almondcroft_standin::demo::{Caller, LocalDeployment, StreamEnd};
use almondcroft_standin::object_api::StoreFaults;
use almondcroftd::http::Outbound;
use almondcroftd::{HttpStore, block_on, sleep};
use almondctl::{ApplyError, Operator, status};
use std::time::Duration;

fn with_deadline(sheet: &str, millis: u64) -> String {
    sheet.replace(",60000,", &format!(",{millis},"))
}

#[test]
fn apply_same_sheet_changes_nothing() {
    block_on(async {
        let deployment = LocalDeployment::start(1, 1).await.unwrap();
        let before = deployment.vms[0].revision();
        let again = deployment.apply(&deployment.sheet()).await.unwrap();
        assert_eq!(again, before);
    });
}

#[test]
fn apply_concurrent_operators_conflict() {
    block_on(async {
        let deployment = LocalDeployment::start(1, 1).await.unwrap();
        let sheet = deployment.sheet();
        let one = parse(with_deadline(&sheet, 50_000).as_bytes()).unwrap();
        let other = parse(with_deadline(&sheet, 40_000).as_bytes()).unwrap();
        deployment.store_state.set_faults(StoreFaults {
            delay_ms: 50,
            ..StoreFaults::default()
        });
        let (ana, luis) = (
            Operator::new(&deployment.store.url(), "ana"),
            Operator::new(&deployment.store.url(), "luis"),
        );
        let (first, second) =
            futures_lite::future::zip(ana.apply(one, None), luis.apply(other, None)).await;
        assert_eq!(u8::from(first.is_ok()) + u8::from(second.is_ok()), 1);
        let error = first.err().or(second.err()).unwrap();
        let ApplyError::Conflict { changes, .. } = error else {
            panic!("expected a conflict, got {error}");
        };
        assert_eq!(changes.len(), 1, "{changes:?}");
    });
}

#[test]
fn apply_response_lost_counts_as_accepted() {
    block_on(async {
        let deployment = LocalDeployment::start(1, 1).await.unwrap();
        deployment.store_state.set_faults(StoreFaults {
            lose_answers: 1,
            ..StoreFaults::default()
        });
        let sheet = with_deadline(&deployment.sheet(), 50_000);
        let revision = deployment.apply(&sheet).await.unwrap();
        assert_eq!(revision, 2);
    });
}

#[test]
fn apply_unexpected_revision() {
    block_on(async {
        let deployment = LocalDeployment::start(1, 1).await.unwrap();
        let config = parse(with_deadline(&deployment.sheet(), 50_000).as_bytes()).unwrap();
        let operator = Operator::new(&deployment.store.url(), "ana");
        let refused = operator.apply(config, Some(7)).await.unwrap_err();
        assert!(matches!(
            refused,
            ApplyError::UnexpectedRevision {
                expected: 7,
                found: 1
            }
        ));
    });
}

#[test]
fn revision_never_lower_after_store_was_restored() {
    block_on(async {
        let deployment = LocalDeployment::start(2, 1).await.unwrap();
        let store = HttpStore::new(&deployment.store.url(), Outbound::new());
        let old = almondcroft_core::ledger::ObjectStore::get(&store, CONFIG_KEY)
            .await
            .unwrap()
            .unwrap();
        let sheet = with_deadline(&deployment.sheet(), 50_000);
        assert_eq!(deployment.apply(&sheet).await.unwrap(), 2);
        store
            .put_unconditional(CONFIG_KEY, old.bytes)
            .await
            .unwrap();
        sleep(Duration::from_millis(500)).await;
        assert!(deployment.vms.iter().all(|vm| vm.revision() == 2));
        // The next revision is higher than the one that the VMs run, so that they accept it.
        let sheet = with_deadline(&deployment.sheet(), 45_000);
        assert_eq!(deployment.apply(&sheet).await.unwrap(), 3);
    });
}

#[test]
fn vm_started_in_outage_gets_revision_from_peer() {
    block_on(async {
        let mut deployment = LocalDeployment::start(2, 1).await.unwrap();
        deployment.store_state.set_faults(StoreFaults {
            down: true,
            ..StoreFaults::default()
        });
        deployment.add_vm(2).await.unwrap();
        deployment.publish_vm_list();
        let mut polls = 0;
        while deployment.vms[2].revision() == 0 {
            polls += 1;
            assert!(polls < 500, "the new VM has no configuration");
            sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(deployment.vms[2].revision(), 1);
        let url = &deployment.vm_urls()[2];
        let streamed = Caller::default().stream(url, "soup", 10).await;
        assert_eq!(streamed.end, StreamEnd::Done);
    });
}

#[test]
fn removed_customer_and_target_finish_their_work() {
    block_on(async {
        let deployment = LocalDeployment::start(1, 2).await.unwrap();
        let url = deployment.vm_urls()[0].clone();
        let caller = Caller::default();
        let streaming = caller.stream(&url, "a long menu", 80);
        let removing = async {
            sleep(Duration::from_millis(200)).await;
            let full_sheet = deployment.sheet();
            let removed = ["customer,san-blas", "target,engine-"];
            let remains = |line: &&str| !removed.iter().any(|start| line.starts_with(start));
            let sheet: Vec<&str> = full_sheet.lines().filter(remains).collect();
            deployment.apply(&sheet.join("\n")).await.unwrap();
        };
        let (streamed, ()) = futures_lite::future::zip(streaming, removing).await;
        assert_eq!((streamed.end, streamed.tokens), (StreamEnd::Done, 80));
        let after = caller.stream(&url, "another menu", 5).await;
        assert!(matches!(after.end, StreamEnd::Problem(problem) if problem.status == 401));
    });
}

#[test]
fn status_converged_deployment() {
    block_on(async {
        let deployment = LocalDeployment::start(2, 1).await.unwrap();
        let store = HttpStore::new(&deployment.store.url(), Outbound::new());
        let mut polls = 0;
        loop {
            let status = status(&store).await;
            if status.is_converged() && status.vms.len() == 2 {
                break;
            }
            polls += 1;
            assert!(polls < 100, "{status:?}");
            sleep(Duration::from_millis(20)).await;
        }
        let object = almondcroft_core::ledger::ObjectStore::get(&store, CONFIG_KEY).await;
        let object = ConfigObject::from_bytes(&object.unwrap().unwrap().bytes).unwrap();
        assert_eq!(object.who, "demo");
    });
}
