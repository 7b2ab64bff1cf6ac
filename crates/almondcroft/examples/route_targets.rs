//! Routes requests to three simulated targets until their memory is fully reserved.

use almondcroft::core::router::{
    Decision, LoadReport, RouteRequest, Router, RouterOptions, TargetSpec,
};
use std::time::Duration;

fn main() {
    let now = Duration::from_secs(1_000);
    let mut router = Router::new(RouterOptions::default(), 1);
    let specs = ["engine-1", "engine-2", "engine-3"].map(|id| TargetSpec {
        id: id.into(),
        services: vec!["menus".into()],
        region: "quito".into(),
    });
    router.set_targets(specs.to_vec());
    for id in ["engine-1", "engine-2", "engine-3"] {
        let report = LoadReport {
            at: now,
            kv_total: 2_000,
            ..LoadReport::default()
        };
        router.record_reported_load(id, report, now);
    }
    for number in 0..18 {
        let request = RouteRequest {
            id: format!("r-{number}").into(),
            customer: "san-blas".into(),
            service: "menus".into(),
            priority: 1,
            worth: 2.5,
            deadline: now + Duration::from_mins(1),
            prompt: 300,
            prefix: None,
            region: "quito".into(),
            max_tokens: None,
            known_length: None,
        };
        match router.submit(request, now).first() {
            Some(Decision::Dispatch { request, target }) => println!("{request} runs at {target}"),
            Some(Decision::Refuse {
                request, reason, ..
            }) => println!("{request}: {reason:?}"),
            None => println!("r-{number} waits for capacity"),
        }
    }
}
