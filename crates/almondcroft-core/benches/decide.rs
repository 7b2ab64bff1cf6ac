//! Measures the time that the router takes for one decision.

use almondcroft_core::router::{LoadReport, RouteRequest, Router, RouterOptions, TargetSpec};
use criterion::{BatchSize, BenchmarkId, Criterion};
use std::hint::black_box;
use std::time::Duration;

/// Requests in flight at each target while decisions are timed.
const IN_FLIGHT: u32 = 8;

fn request(number: u32, now: Duration) -> RouteRequest {
    RouteRequest {
        id: format!("r-{number}").into(),
        customer: format!("c-{}", number % 2_200).into(),
        service: "menus".into(),
        priority: 1,
        worth: 1.0,
        deadline: now + Duration::from_mins(10),
        prompt: 300,
        prefix: Some(u64::from(number % 100)),
        region: format!("region-{}", number % 2).into(),
        max_tokens: None,
        known_length: None,
    }
}

fn router(targets: u32, now: Duration) -> Router {
    let mut router = Router::new(RouterOptions::default(), 1);
    let specs = (0..targets).map(|number| TargetSpec {
        id: format!("engine-{number}").into(),
        services: vec!["menus".into()],
        region: format!("region-{}", number % 2).into(),
    });
    router.set_targets(specs.collect());
    for number in 0..targets {
        let report = LoadReport {
            at: now,
            running: 10,
            kv_used: 8_000,
            kv_total: 400_000,
            ..LoadReport::default()
        };
        router.record_reported_load(&format!("engine-{number}"), report, now);
    }
    for number in 0..targets * IN_FLIGHT {
        router.submit(request(number, now), now);
    }
    router
}

fn decide(criterion: &mut Criterion) {
    let now = Duration::from_secs(1_000);
    let mut group = criterion.benchmark_group("decide");
    for targets in [13, 740] {
        let mut router = router(targets, now);
        let mut number = targets * IN_FLIGHT;
        group.bench_function(BenchmarkId::from_parameter(targets), |bencher| {
            bencher.iter_batched(
                || {
                    number += 1;
                    request(number, now)
                },
                |request| {
                    let id = request.id.clone();
                    black_box(router.submit(request, now));
                    router.record_finish(&id, false, now);
                },
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    decide(&mut criterion);
    criterion.final_summary();
}
