//! Load reports with numbers of any size.

use almondcroft_core::router::{
    Decision, LoadReport, Policy, RouteRequest, Router, RouterOptions, TargetSpec,
};
use std::time::Duration;

/// Guards against a report whose numbers overflow the sums over them.
#[test]
fn record_reported_load_of_the_largest_numbers() {
    for policy in [
        Policy::Almondcroft,
        Policy::RoundRobin,
        Policy::LeastInFlight,
        Policy::TwoChoices,
    ] {
        let options = RouterOptions {
            policy,
            ..RouterOptions::default()
        };
        let mut router = Router::new(options, 1);
        let target = |id: &str| TargetSpec {
            id: id.into(),
            services: vec!["menus".into()],
            region: "quito".into(),
        };
        router.set_targets(vec![target("engine-1"), target("engine-2")]);
        let now = Duration::from_secs(100);
        for id in ["engine-1", "engine-2"] {
            router.set_usable(id, true, now);
        }
        let report = LoadReport {
            at: now,
            running: u32::MAX,
            waiting: u32::MAX,
            kv_used: u64::MAX,
            kv_total: u64::MAX,
            preemptions: u64::MAX,
        };
        router.record_reported_load("engine-1", report, now);
        let request = RouteRequest {
            id: "r-1".into(),
            customer: "san-blas".into(),
            service: "menus".into(),
            priority: 0,
            worth: 1.0,
            deadline: now + Duration::from_mins(1),
            prompt: 100,
            prefix: None,
            region: "quito".into(),
            max_tokens: Some(10),
            known_length: None,
        };
        let decisions = router.submit(request, now);
        let [Decision::Dispatch { target, .. }] = decisions.as_slice() else {
            panic!("{policy:?}: {decisions:?}");
        };
        if matches!(policy, Policy::Almondcroft | Policy::TwoChoices) {
            assert_eq!(target, "engine-2", "{policy:?}");
        }
    }
}
