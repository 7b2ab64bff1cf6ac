mod overload;

use super::*;
use crate::gateway::EngineSpec;

const SECOND: Duration = Duration::from_secs(1);

fn entry(id: &str, service: &str, zone: &str) -> TargetEntry {
    TargetEntry {
        id: id.into(),
        service: service.into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: zone.into(),
        region: zone.split('-').next().unwrap().into(),
        slots: 6,
        draining: false,
        cold_until: Timestamp::ZERO,
        incarnation: 1,
    }
}

fn fleet(engines: &[(&str, &str)]) -> Fleet {
    let engine = EngineSpec {
        slots: 24,
        kv_tokens: 34_000,
        stride: 4,
        supports_migration: true,
        backups: true,
    };
    let pool = |id: &str, engine| PoolSpec {
        id: id.into(),
        connections: 100,
        engine,
    };
    let pools = [pool("menus", Some(engine)), pool("orders", None)];
    let mut fleet = Fleet::new("vm-1".into(), FleetOptions::default());
    fleet.set_pools(pools.into_iter().map(|p| (p.id.clone(), p)).collect());
    for (id, zone) in engines {
        fleet.join(entry(id, "menus", zone), SECOND);
    }
    fleet
}

fn draft(id: &str) -> Demand {
    Demand {
        id: id.into(),
        service: "menus".into(),
        priority: 1,
        need: Need {
            prompt: 3_000,
            output: 900,
            read: false,
        },
        patience: SECOND * 7,
        aim: None,
        deadline: SECOND * 40,
        zone: "q-a".into(),
        region: "q".into(),
        copied: false,
        avoid: vec![],
    }
}

fn sent_to(works: &[Work]) -> Vec<&str> {
    let sent = works.iter().filter_map(|work| match &work.placed {
        Placed::Send(choice) => Some(choice.target.as_str()),
        Placed::Refused { .. } => None,
    });
    sent.collect()
}

/// Returns the target at which a request runs.
fn target_of(fleet: &Fleet, request: &str) -> TargetId {
    fleet.flights[request].target.clone()
}

/// Returns what another VM tells at a time.
fn news(at: Timestamp, loads: &[(&str, PeerLoad)]) -> PeerNews {
    let loads = loads.iter().map(|(id, load)| ((*id).into(), *load));
    PeerNews {
        at,
        loads: loads.collect(),
        ..PeerNews::default()
    }
}

#[test]
fn submit_spreads_prompts() {
    let mut fleet = fleet(&[("a", "q-a"), ("b", "q-a"), ("c", "q-a")]);
    let mut targets = Vec::new();
    for id in ["1", "2", "3"] {
        let works = fleet.submit(draft(id), SECOND);
        targets.extend(sent_to(&works).into_iter().map(str::to_owned));
    }
    targets.sort_unstable();
    assert_eq!(targets, ["a", "b", "c"]);
}

#[test]
fn submit_heeds_news() {
    let mut fleet = fleet(&[("a", "q-a"), ("b", "q-a")]);
    let load = PeerLoad {
        count: 3,
        tokens: 12_000,
        unread: 9_000,
        ..PeerLoad::default()
    };
    fleet.hear("vm-2".into(), news(SECOND, &[("a", load)]));
    assert_eq!(sent_to(&fleet.submit(draft("1"), SECOND)), ["b"]);
}

#[test]
fn submit_fills_engines_then_waits() {
    // Eight drafts fit an engine; the burst's rest waits, and is told when to come back.
    let mut fleet = fleet(&[("a", "q-a")]);
    let mut sent = 0;
    let mut now = SECOND;
    for number in 0..12 {
        let id: RequestId = format!("{number}").into();
        sent += sent_to(&fleet.submit(draft(&id), now)).len();
        fleet.started(&id, now);
        now += Duration::from_millis(10);
    }
    assert_eq!(sent, 8);
    assert_eq!(fleet.waiting(), 4);
    let works = fleet.tick(now + SECOND * 3);
    assert_eq!(works.len(), 4);
    assert!(works.iter().all(|work| matches!(
        work.placed,
        Placed::Refused { reason: Refusal::Overload, retry_after } if retry_after > Duration::ZERO
    )));
}

#[test]
fn finished_places_waiting() {
    let mut fleet = fleet(&[("a", "q-a")]);
    for number in 0..9 {
        let id: RequestId = format!("{number}").into();
        fleet.submit(draft(&id), SECOND);
        fleet.started(&id, SECOND);
    }
    assert_eq!(fleet.waiting(), 1);
    let works = fleet.finished(&"0".into(), SECOND * 2);
    assert_eq!(works.len(), 1);
    assert_eq!(works[0].request, "8");
}

#[test]
fn queue_prefers_priority() {
    let mut fleet = fleet(&[("a", "q-a")]);
    for number in 0..8 {
        let id: RequestId = format!("{number}").into();
        fleet.submit(draft(&id), SECOND);
        fleet.started(&id, SECOND);
    }
    let question = Demand {
        priority: 0,
        ..draft("question")
    };
    fleet.submit(question, SECOND);
    let works = fleet.finished(&"0".into(), SECOND * 2);
    assert_eq!(works[0].request, "question");
}

#[test]
fn leave_gets_no_work() {
    let mut fleet = fleet(&[("a", "q-a"), ("b", "r-a")]);
    fleet.submit(draft("1"), SECOND);
    assert_eq!(fleet.leave("a"), ["1"]);
    assert_eq!(sent_to(&fleet.submit(draft("2"), SECOND)), ["b"]);
    fleet.leave("b");
    let works = fleet.submit(draft("3"), SECOND);
    assert!(matches!(
        works[0].placed,
        Placed::Refused {
            reason: Refusal::NoTarget,
            ..
        }
    ));
}

#[test]
fn remove_forgets_after_the_last_request() {
    let mut fleet = fleet(&[("a", "q-a"), ("b", "q-a")]);
    fleet.submit(draft("1"), SECOND);
    let leaving = TargetEntry {
        draining: true,
        ..entry("a", "menus", "q-a")
    };
    fleet.join(leaving, SECOND);
    assert_eq!(fleet.remove("a"), ["1"]);
    fleet.finished(&"1".into(), SECOND);
    fleet.tick(SECOND);
    assert_eq!(fleet.born("a"), None);
    assert_eq!(fleet.born("b"), Some(1));
}

#[test]
fn join_after_leave_takes_work_again() {
    // A target that starts anew under its id is another one.
    let mut fleet = fleet(&[("a", "q-a")]);
    fleet.leave("a");
    let reborn = TargetEntry {
        incarnation: 2,
        ..entry("a", "menus", "q-a")
    };
    fleet.join(reborn, SECOND);
    assert_eq!(fleet.born("a"), Some(2));
    assert_eq!(sent_to(&fleet.submit(draft("1"), SECOND)), ["a"]);
}

#[test]
fn destination_stays_in_region() {
    // A copy to another region takes ten times as long and holds up all others of its source.
    let mut fleet = fleet(&[("a", "q-a"), ("b", "r-a")]);
    fleet.submit(draft("1"), SECOND);
    assert_eq!(fleet.destination(&"1".into(), SECOND), None);
    fleet.join(entry("c", "menus", "q-a"), SECOND);
    let choice = fleet.destination(&"1".into(), SECOND).unwrap();
    assert_eq!(choice.target, "c");
}

#[test]
fn destination_avoids_arriving_copies() {
    let mut fleet = fleet(&[("a", "q-a"), ("b", "q-a"), ("c", "q-a")]);
    let load = PeerLoad {
        arriving: 8_000,
        ..PeerLoad::default()
    };
    fleet.hear("vm-2".into(), news(SECOND, &[("b", load)]));
    fleet.submit(draft("1"), SECOND);
    assert_eq!(target_of(&fleet, "1"), "a");
    let choice = fleet.destination(&"1".into(), SECOND).unwrap();
    assert_eq!(choice.target, "c");
}

#[test]
fn move_delay_takes_turns() {
    let mut fleet = fleet(&[("a", "q-a")]);
    for (id, output) in [("long", 900), ("longer", 1_200)] {
        let mut demand = draft(id);
        demand.need.output = output;
        fleet.submit(demand, SECOND);
        fleet.started(&id.into(), SECOND);
    }
    let first = fleet.move_delay(&"longer".into(), SECOND);
    let second = fleet.move_delay(&"long".into(), SECOND);
    assert_eq!(first, Duration::ZERO);
    assert_eq!(second, FleetOptions::default().link_time * 3_000);
    let load = PeerLoad {
        movable: 4_000,
        ..PeerLoad::default()
    };
    let news = PeerNews {
        at: SECOND,
        loads: HashMap::from([("a".into(), load)]),
        ..PeerNews::default()
    };
    fleet.hear("vm-0".into(), news.clone());
    fleet.hear("vm-2".into(), news);
    let later = fleet.move_delay(&"longer".into(), SECOND);
    assert_eq!(later, FleetOptions::default().link_time * 4_000);
}

#[test]
fn kept_copy_counts_as_memory() {
    let mut fleet = fleet(&[("a", "q-a"), ("b", "q-a")]);
    fleet.submit(draft("1"), SECOND);
    let source = target_of(&fleet, "1");
    let keeper = fleet.keeper(&"1".into(), SECOND).unwrap();
    assert_ne!(keeper.target, source);
    fleet.set_copy(&"1".into(), Some(&keeper.target));
    fleet.progress(&"1".into(), 400);
    let news = fleet.news(SECOND);
    assert_eq!(news.loads[&keeper.target].tokens, 3_400);
    assert_eq!(news.loads[&source].movable, 0);
    fleet.finished(&"1".into(), SECOND);
    assert!(fleet.news(SECOND).loads.is_empty());
}

#[test]
fn moved_follows_the_generation() {
    let mut fleet = fleet(&[("a", "q-a"), ("b", "q-a")]);
    fleet.submit(draft("1"), SECOND);
    let source = target_of(&fleet, "1");
    let target: TargetId = if source == "a" {
        "b".into()
    } else {
        "a".into()
    };
    fleet.moved(&"1".into(), &target, SECOND);
    assert_eq!(target_of(&fleet, "1"), target);
    assert!(fleet.remove(&source).is_empty());
}

#[test]
fn failed_target_rests() {
    let mut fleet = fleet(&[("a", "q-a"), ("b", "r-a")]);
    fleet.failed("a", true, SECOND);
    fleet.failed("a", true, SECOND);
    assert_eq!(sent_to(&fleet.submit(draft("1"), SECOND)), ["b"]);
    let soft = |fleet: &mut Fleet| fleet.failed("b", false, SECOND);
    for _ in 0..5 {
        soft(&mut fleet);
    }
    assert_eq!(fleet.usable(SECOND), 1);
    assert_eq!(fleet.usable(SECOND * 3), 2);
}

#[test]
fn plain_calls_stay_near_until_it_is_full() {
    let mut fleet = fleet(&[]);
    fleet.join(entry("near", "orders", "q-a"), SECOND);
    fleet.join(entry("far", "orders", "r-a"), SECOND);
    let mut targets = Vec::new();
    for number in 0..14 {
        let demand = Demand {
            service: "orders".into(),
            need: Need::default(),
            ..draft(&format!("{number}"))
        };
        let works = fleet.submit(demand, SECOND);
        targets.extend(sent_to(&works).into_iter().map(str::to_owned));
    }
    assert_eq!(&targets[..3], ["near", "near", "near"]);
    assert!(targets.contains(&"far".to_owned()));
}

#[test]
fn sample_spreads_a_herd() {
    // Seventy VMs with the same late news must not all choose the newest engine.
    let ids: Vec<String> = (0..48).map(|number| format!("e{number}")).collect();
    let load = PeerLoad {
        count: 4,
        tokens: 14_000,
        ..PeerLoad::default()
    };
    let loads: HashMap<TargetId, PeerLoad> = ids[1..]
        .iter()
        .map(|id| (id.as_str().into(), load))
        .collect();
    let mut newest = 0;
    for number in 0..70 {
        let engines: Vec<(&str, &str)> = ids.iter().map(|id| (id.as_str(), "q-a")).collect();
        let mut fleet = fleet(&engines);
        let news = PeerNews {
            at: SECOND,
            loads: loads.clone(),
            ..PeerNews::default()
        };
        fleet.hear("vm-0".into(), news);
        let works = fleet.submit(draft(&format!("r{number}")), SECOND);
        newest += usize::from(sent_to(&works) == ["e0"]);
    }
    assert!(newest < 35, "{newest} of 70");
    assert!(newest > 7, "{newest} of 70");
}

#[test]
fn drawn_same_vms_everywhere() {
    let names = ["vm-1", "vm-2", "vm-3", "vm-4", "vm-5"];
    let drawn = |own: &str| {
        let mut fleet = Fleet::new(own.into(), FleetOptions::default());
        for name in names.iter().filter(|name| **name != own) {
            let news = PeerNews {
                at: SECOND,
                ..PeerNews::default()
            };
            fleet.hear((*name).into(), news);
        }
        (fleet.drawn(2, SECOND), fleet.drawn(2, SECOND * 10))
    };
    let (first, alone) = drawn("vm-1");
    assert_eq!(first.len(), 2);
    assert_eq!(alone, ["vm-1"], "VMs out of hearing are not drawn");
    assert!(names.iter().all(|name| drawn(name).0 == first));
}

#[test]
fn silent_vm_keeps_its_load_for_a_while() {
    // Villacres grown, scale-2: a third of the VMs was cut off from the others for eight seconds, and
    // the engines that they filled seemed empty.
    let mut fleet = fleet(&[("a", "q-a"), ("b", "q-a")]);
    let load = PeerLoad {
        count: 8,
        tokens: 28_000,
        ..PeerLoad::default()
    };
    fleet.hear("vm-2".into(), news(SECOND, &[("a", load)]));
    for (id, after) in [("1", 2), ("2", 6), ("3", 8)] {
        assert_eq!(sent_to(&fleet.submit(draft(id), SECOND * after)), ["b"]);
        fleet.finished(&id.into(), SECOND * after);
    }
    assert_eq!(
        fleet.vms(SECOND * 8),
        1,
        "it is out of hearing all the same"
    );
    fleet.tick(SECOND * 12);
    assert_eq!(sent_to(&fleet.submit(draft("4"), SECOND * 12)), ["a"]);
}

#[test]
fn changes_count_what_engines_get() {
    let mut fleet = fleet(&[("a", "q-a")]);
    fleet.join(entry("desk", "orders", "q-a"), SECOND);
    let call = Demand {
        service: "orders".into(),
        need: Need::default(),
        ..draft("call")
    };
    fleet.submit(call, SECOND);
    fleet.started(&"call".into(), SECOND);
    fleet.finished(&"call".into(), SECOND);
    assert_eq!(fleet.changes(), 0, "plain calls are too many and too short");
    fleet.submit(draft("1"), SECOND);
    assert_eq!(fleet.changes(), 1);
    fleet.started(&"1".into(), SECOND);
    fleet.started(&"1".into(), SECOND);
    assert_eq!(fleet.changes(), 2);
    fleet.progress(&"1".into(), 40);
    assert_eq!(fleet.changes(), 2);
    fleet.finished(&"1".into(), SECOND);
    assert_eq!(fleet.changes(), 3);
}

#[test]
fn hear_replaces_what_was_told_before() {
    let mut fleet = fleet(&[("a", "q-a"), ("b", "q-a")]);
    let news = |at: u32, loads: &[(&str, u32)]| PeerNews {
        at: SECOND * at,
        loads: loads
            .iter()
            .map(|(id, tokens)| {
                let load = PeerLoad {
                    count: 1,
                    tokens: *tokens,
                    ..PeerLoad::default()
                };
                ((*id).into(), load)
            })
            .collect(),
        ..PeerNews::default()
    };
    fleet.hear("vm-2".into(), news(1, &[("a", 9_000), ("b", 100)]));
    fleet.hear("vm-3".into(), news(1, &[("a", 500)]));
    fleet.hear("vm-2".into(), news(2, &[("b", 7_000)]));
    let sum = |fleet: &Fleet, id: &str| fleet.sums.get(id).map_or(0, |load| load.tokens);
    assert_eq!((sum(&fleet, "a"), sum(&fleet, "b")), (500, 7_000));
    fleet.tick(SECOND * 11);
    assert_eq!((sum(&fleet, "a"), sum(&fleet, "b")), (0, 7_000));
    fleet.tick(SECOND * 12);
    assert!(fleet.sums.is_empty());
}
