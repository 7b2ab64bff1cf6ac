//! Targets that leave, return, slow down or are drained.

use almondcroft_standin::demo::{Caller, LocalDeployment, StreamEnd};
use almondcroft_standin::engine::EngineFaults;
use almondcroft_standin::service::ServiceFaults;
use almondcroftd::{block_on, sleep};
use std::time::Duration;

/// Time after which a leaving target gets no new work.
const LEAVING_TIME: Duration = Duration::from_secs(3);

#[test]
fn leaving_engine_gets_no_new_work() {
    block_on(async {
        let deployment = LocalDeployment::start(2, 2).await.unwrap();
        let leaving = EngineFaults {
            leaving: true,
            ..EngineFaults::default()
        };
        deployment.set_engine_faults(0, &leaving).await;
        sleep(LEAVING_TIME).await;
        let before = deployment.generations(0).await;
        let caller = Caller::default();
        for vm in deployment.vm_urls().iter().cycle().take(10) {
            let streamed = caller.stream(vm, "soup", 3).await;
            assert_eq!(streamed.end, StreamEnd::Done);
        }
        assert_eq!(deployment.generations(0).await, before);
    });
}

#[test]
fn engine_that_returns_gets_work_again() {
    block_on(async {
        let deployment = LocalDeployment::start(1, 1).await.unwrap();
        let caller = Caller::default();
        let vm = &deployment.vm_urls()[0];
        let leaving = EngineFaults {
            leaving: true,
            ..EngineFaults::default()
        };
        deployment.set_engine_faults(0, &leaving).await;
        sleep(LEAVING_TIME).await;
        let refused = caller.stream(vm, "soup", 3).await;
        assert!(matches!(refused.end, StreamEnd::Problem(problem) if problem.kind == "no-target"));
        deployment
            .set_engine_faults(0, &EngineFaults::default())
            .await;
        let mut polls = 0;
        while caller.stream(vm, "soup", 3).await.end != StreamEnd::Done {
            polls += 1;
            assert!(polls < 200, "the engine gets no work");
            sleep(Duration::from_millis(50)).await;
        }
    });
}

#[test]
fn slow_service_stays_usable() {
    block_on(async {
        let deployment = LocalDeployment::start(1, 1).await.unwrap();
        deployment.orders_state.set_faults(ServiceFaults {
            delay_ms: 1_500,
            ..ServiceFaults::default()
        });
        let caller = Caller::default();
        let vm = &deployment.vm_urls()[0];
        let calls = (0..4).map(|_| async { caller.call(vm, "lookups", None, "").await.status });
        for call in calls {
            assert_eq!(call.await, 200);
        }
    });
}

#[test]
fn drained_target_gets_no_new_work() {
    block_on(async {
        let deployment = LocalDeployment::start(1, 2).await.unwrap();
        let operator = almondctl::Operator::new(&deployment.store.url(), "ana");
        let revision = operator.drain("engine-0", true).await.unwrap().revision;
        let mut polls = 0;
        while deployment.vms[0].revision() < revision {
            polls += 1;
            assert!(polls < 250, "the VM does not apply the change");
            sleep(Duration::from_millis(20)).await;
        }
        let caller = Caller::default();
        for _ in 0..6 {
            let streamed = caller.stream(&deployment.vm_urls()[0], "soup", 3).await;
            assert_eq!(streamed.end, StreamEnd::Done);
        }
        assert_eq!(deployment.generations(0).await, Some(0));
        // The next sheet does not undo the drain.
        let sheet = deployment.sheet().replace(",60000,", ",50000,");
        deployment.apply(&sheet).await.unwrap();
        assert!(
            operator
                .current_config()
                .await
                .unwrap()
                .drained
                .contains("engine-0")
        );
    });
}
