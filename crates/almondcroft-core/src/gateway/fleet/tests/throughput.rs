//! Engines of different speed that decode generations and prefill prompts.

use super::*;
use crate::gateway::number::floor_to_usize;
use std::collections::BTreeMap;

const STEP: Duration = Duration::from_millis(10);

/// Prompt tokens that an engine prefills in a step in which it does nothing else.
const PREFILL_PER_STEP: u32 = 112;

/// Events of a stream between two reports of progress, in tokens.
const REPORT_TOKENS: f64 = 32.0;

/// A request at a simulated engine.
struct Running {
    id: RequestId,
    prefill: u32,
    produced: f64,
    reported: f64,
    output: u32,
    arrived: Timestamp,
}

/// Decodes one step on an engine: every second step belongs to prefill while prompts wait.
fn step(requests: &mut [Running], token_time: Duration, number: u32) {
    let prefilling = requests.iter_mut().find(|request| request.prefill > 0);
    if let Some(request) = prefilling
        && number.is_multiple_of(2)
    {
        request.prefill = request.prefill.saturating_sub(PREFILL_PER_STEP);
        return;
    }
    for request in requests.iter_mut().filter(|request| request.prefill == 0) {
        request.produced += STEP.as_secs_f64() / token_time.as_secs_f64();
    }
}

/// Simulates long generations and short questions on two fast engines and a slow one; returns the
/// mean time of a long generation.
fn simulate(options: &FleetOptions) -> Duration {
    let mut fleet = fleet(&[("a", "q-a"), ("b", "q-a"), ("c", "q-a")]);
    fleet.options = *options;
    let token_times = [("a", 9_500), ("b", 7_200), ("c", 7_200)];
    let mut engines: BTreeMap<TargetId, Vec<Running>> = BTreeMap::new();
    let (mut total, mut ended) = (Duration::ZERO, 0_u32);
    for number in 0..12_000_u32 {
        let now = SECOND + STEP * number;
        let long = number.is_multiple_of(90);
        if long || number.is_multiple_of(50) {
            let id: RequestId = format!("{number}").into();
            let mut demand = generation(&id);
            demand.deadline = now + SECOND * 40;
            demand.need.output = if long { 900 } else { 12 };
            let (prefill, output) = (demand.need.prompt, demand.need.output);
            for placed in fleet.submit(demand, now) {
                let Placement::Send(choice) = placed.placement else {
                    panic!("the engines have room");
                };
                engines.entry(choice.target).or_default().push(Running {
                    id: placed.request,
                    prefill,
                    produced: 0.0,
                    reported: 0.0,
                    output,
                    arrived: now,
                });
            }
        }
        for (id, micros) in token_times {
            let requests = engines.entry(id.into()).or_default();
            step(requests, Duration::from_micros(micros), number);
            for request in requests.iter_mut().filter(|request| request.prefill == 0) {
                fleet.record_response_start(&request.id, now);
                if request.produced >= request.reported + REPORT_TOKENS {
                    request.reported += REPORT_TOKENS;
                    let produced = u32::try_from(floor_to_usize(request.reported)).unwrap();
                    fleet.record_progress(&request.id, produced, now);
                }
            }
            let done = |request: &mut Running| request.produced >= f64::from(request.output);
            for request in requests.extract_if(.., done).collect::<Vec<_>>() {
                assert!(fleet.finish(&request.id, now).is_empty());
                if request.output > 100 {
                    total += now.saturating_sub(request.arrived);
                    ended += 1;
                }
            }
        }
    }
    total / ended
}

#[test]
fn choose_shortens_generations() {
    // Engines of a pool differ in speed by a third, and prefill delays what decodes beside it. Seen in
    // the scenario "Kwela, scale-1", where generations took 9.5 ms a token on engines of 7 ms and the
    // longest were lost with their VM.
    let unaware = FleetOptions {
        decode_weight: 0.0,
        interference_weight: 0.0,
        ..FleetOptions::default()
    };
    let (before, after) = (simulate(&unaware), simulate(&FleetOptions::default()));
    assert!(
        after.as_secs_f64() < before.as_secs_f64() * 0.92,
        "{after:?} against {before:?}"
    );
}

#[test]
fn record_progress_learns_token_time() {
    let mut fleet = fleet(&[("a", "q-a")]);
    fleet.submit(generation("1"), SECOND);
    fleet.record_response_start(&"1".into(), SECOND);
    let mut now = SECOND;
    let mut report = |fleet: &mut Fleet, number: u32, elapsed: u64| {
        now += Duration::from_millis(elapsed);
        fleet.record_progress(&"1".into(), number * 32, now);
    };
    report(&mut fleet, 1, 400);
    assert_eq!(fleet.targets["a"].token_time, None, "includes the prefill");
    report(&mut fleet, 2, 320);
    assert_eq!(
        fleet.targets["a"].token_time,
        Some(Duration::from_millis(10))
    );
    // Some events wait for the prefill of other prompts, and one batch is held up on a link.
    for (number, elapsed) in (3..).zip([240, 450, 240, 900, 0, 240, 450, 240, 240]) {
        report(&mut fleet, number, elapsed);
    }
    let learned = fleet.targets["a"].token_time.unwrap();
    let millis = learned.as_secs_f64() * 1_000.0;
    assert!((6.0..9.0).contains(&millis), "{learned:?}");
}

#[test]
fn choose_limits_what_would_be_lost() {
    // A notice leaves time to copy about 18,000 tokens. An engine that holds more is chosen only if it
    // is much faster.
    let mut fleet = fleet(&[("a", "q-a"), ("b", "q-a")]);
    let load = |tokens| PeerLoad {
        count: 4,
        tokens,
        ..PeerLoad::default()
    };
    let loads = [("a", load(22_000)), ("b", load(12_000))];
    fleet.apply_snapshot("vm-2".into(), snapshot(SECOND, &loads));
    let set = |fleet: &mut Fleet, id: &str, micros| {
        let state = fleet.targets.get_mut(id).unwrap();
        state.token_time = Some(Duration::from_micros(micros));
    };
    set(&mut fleet, "a", 7_200);
    set(&mut fleet, "b", 7_500);
    let placements = fleet.submit(generation("1"), SECOND);
    assert_eq!(chosen_targets(&placements), ["b"]);
    set(&mut fleet, "b", 9_500);
    let placements = fleet.submit(generation("2"), SECOND);
    assert_eq!(chosen_targets(&placements), ["a"]);
}
