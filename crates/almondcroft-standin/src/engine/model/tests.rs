use super::*;

fn run(engine: &mut Engine) -> (Vec<(SmolStr, u64)>, u64) {
    let mut tokens = Vec::new();
    let mut now = Duration::ZERO;
    while !engine.is_idle() {
        let step = engine.step();
        now += step.time;
        tokens.extend(step.tokens.into_iter().map(|(id, offset, _)| (id, offset)));
    }
    (tokens, engine.preemptions())
}

#[test]
fn step_complete_outputs_under_preemption() {
    let spec = EngineSpec {
        kv_tokens: 400,
        ..EngineSpec::default()
    };
    let mut engine = Engine::new(spec);
    for index in 0_u64..4 {
        let id = SmolStr::from(format!("g-{index}"));
        engine.submit(Generation::new(id, 50, 150, Duration::from_secs(index)));
    }
    let (tokens, preemptions) = run(&mut engine);
    assert!(preemptions > 0);
    for index in 0..4 {
        let id = format!("g-{index}");
        let offsets: Vec<u64> = tokens
            .iter()
            .filter(|(token, _)| *token == id)
            .map(|(_, offset)| *offset)
            .collect();
        assert_eq!(offsets, (0..150).collect::<Vec<u64>>());
    }
}

#[test]
fn step_cached_prefix_is_faster() {
    let mut engine = Engine::new(EngineSpec::default());
    let first = Generation::new("a".into(), 400, 1, Duration::ZERO).prefix(9, 300);
    engine.submit(first);
    let cold = engine.step().time;
    let second = Generation::new("b".into(), 400, 1, Duration::ZERO).prefix(9, 300);
    engine.submit(second);
    let warm = engine.step().time;
    assert!(warm < cold, "{warm:?} {cold:?}");
}

#[test]
fn cancel_running() {
    let mut engine = Engine::new(EngineSpec::default());
    engine.submit(Generation::new("a".into(), 10, 100, Duration::ZERO));
    engine.step();
    assert!(engine.cancel("a"));
    assert!(engine.is_idle());
    assert!(!engine.cancel("a"));
}
