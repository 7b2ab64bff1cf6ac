//! Targets that leave, die and come back.

use almondcroft_standin::demo::{Caller, StreamEnd, World};
use almondcroft_standin::engine::EngineFaults;
use almondcroft_standin::service::ServiceFaults;
use almondcroftd::{block_on, sleep};
use std::time::Duration;

/// Stated time within which a leaving target gets no new work any longer.
const LEAVING_TIME: Duration = Duration::from_secs(3);

#[test]
fn leaving_engine_gets_no_new_work() {
    block_on(async {
        let world = World::start(2, 2).await.unwrap();
        let leaving = EngineFaults {
            leaving: true,
            ..EngineFaults::default()
        };
        world.set_engine_faults(0, &leaving).await;
        sleep(LEAVING_TIME).await;
        let before = world.generations(0).await;
        let caller = Caller::default();
        for vm in world.vm_urls().iter().cycle().take(10) {
            let streamed = caller.stream(vm, "soup", 3).await;
            assert_eq!(streamed.end, StreamEnd::Done);
        }
        assert_eq!(world.generations(0).await, before);
    });
}

#[test]
fn engine_that_returns_gets_work_again() {
    block_on(async {
        let world = World::start(1, 1).await.unwrap();
        let caller = Caller::default();
        let vm = &world.vm_urls()[0];
        let leaving = EngineFaults {
            leaving: true,
            ..EngineFaults::default()
        };
        world.set_engine_faults(0, &leaving).await;
        sleep(LEAVING_TIME).await;
        let refused = caller.stream(vm, "soup", 3).await;
        assert!(matches!(refused.end, StreamEnd::Problem(problem) if problem.kind == "no-target"));
        world.set_engine_faults(0, &EngineFaults::default()).await;
        let mut looks = 0;
        while caller.stream(vm, "soup", 3).await.end != StreamEnd::Done {
            looks += 1;
            assert!(looks < 200, "the engine gets no work");
            sleep(Duration::from_millis(50)).await;
        }
    });
}

#[test]
fn slow_service_is_not_taken_for_dead() {
    block_on(async {
        let world = World::start(1, 1).await.unwrap();
        world.orders_state.set_faults(ServiceFaults {
            delay_ms: 1_500,
            ..ServiceFaults::default()
        });
        let caller = Caller::default();
        let vm = &world.vm_urls()[0];
        let calls = (0..4).map(|_| async { caller.call(vm, "lookups", None, "").await.status });
        for call in calls {
            assert_eq!(call.await, 200);
        }
    });
}

#[test]
fn drained_target_gets_no_new_work() {
    block_on(async {
        let world = World::start(1, 2).await.unwrap();
        let operator = almondctl::Operator::new(&world.store.url(), "ana");
        let revision = operator.drain("engine-0", true).await.unwrap().revision;
        let mut looks = 0;
        while world.vms[0].revision() < revision {
            looks += 1;
            assert!(looks < 250, "the change does not come into force");
            sleep(Duration::from_millis(20)).await;
        }
        let caller = Caller::default();
        for _ in 0..6 {
            let streamed = caller.stream(&world.vm_urls()[0], "soup", 3).await;
            assert_eq!(streamed.end, StreamEnd::Done);
        }
        assert_eq!(world.generations(0).await, Some(0));
        // The next sheet does not undo it.
        let sheet = world.sheet().replace(",60000,", ",50000,");
        world.apply(&sheet).await.unwrap();
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
