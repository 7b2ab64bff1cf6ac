mod backoff;
mod digest;
mod limit;
mod link;
mod overload;
mod places;
mod refusal_limit;
mod throughput;

use super::*;
use crate::gateway::{AllowedRegions, EngineSpec};

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
        event_tokens: 4,
        supports_migration: true,
        backups: true,
    };
    let pool = |id: &str, engine| PoolSpec {
        id: id.into(),
        connections: 100,
        engine,
        cold_start: None,
    };
    let pools = [pool("menus", Some(engine)), pool("orders", None)];
    let mut fleet = Fleet::new("vm-1".into(), FleetOptions::default());
    fleet.set_pools(
        pools.into_iter().map(|p| (p.id.clone(), p)).collect(),
        SECOND,
    );
    for (id, zone) in engines {
        fleet.upsert_target(entry(id, "menus", zone), SECOND);
    }
    fleet
}

/// Lets each VM apply the snapshots of all others.
fn exchange_snapshots(fleets: &mut [Fleet], now: Timestamp) {
    let snapshots: Vec<(VmId, PeerSnapshot)> = fleets
        .iter()
        .map(|fleet| (fleet.vm.clone(), fleet.local_snapshot(now)))
        .collect();
    for fleet in fleets {
        for (vm, snapshot) in &snapshots {
            if *vm != fleet.vm {
                fleet.apply_snapshot(vm.clone(), snapshot.clone());
            }
        }
    }
}

fn generation(id: &str) -> Demand {
    Demand {
        id: id.into(),
        service: "menus".into(),
        priority: 1,
        need: Need {
            prompt: 3_000,
            output: 900,
            prefilled: false,
        },
        caller_timeout: SECOND * 7,
        start_deadline: None,
        deadline: SECOND * 40,
        zone: "q-a".into(),
        region: "q".into(),
        is_patient: false,
        is_copy: false,
        regions: AllowedRegions::default(),
        avoid: vec![],
    }
}

fn chosen_targets(placements: &[PlacedRequest]) -> Vec<&str> {
    let sent = placements
        .iter()
        .filter_map(|placed| match &placed.placement {
            Placement::Send(choice) => Some(choice.target.as_str()),
            Placement::Refused { .. } => None,
        });
    sent.collect()
}

/// Returns the target at which a request runs.
fn target_of(fleet: &Fleet, request: &str) -> TargetId {
    fleet.assignments[request].target.clone()
}

/// Builds a peer's snapshot.
fn snapshot(at: Timestamp, loads: &[(&str, PeerLoad)]) -> PeerSnapshot {
    let loads = loads.iter().map(|(id, load)| ((*id).into(), *load));
    PeerSnapshot {
        at,
        loads: loads.collect(),
        ..PeerSnapshot::default()
    }
}

#[test]
fn submit_spreads_prefill() {
    let mut fleet = fleet(&[("a", "q-a"), ("b", "q-a"), ("c", "q-a")]);
    let mut targets = Vec::new();
    for id in ["1", "2", "3"] {
        let placements = fleet.submit(generation(id), SECOND);
        targets.extend(chosen_targets(&placements).into_iter().map(str::to_owned));
    }
    targets.sort_unstable();
    assert_eq!(targets, ["a", "b", "c"]);
}

#[test]
fn submit_considers_peer_load() {
    let mut fleet = fleet(&[("a", "q-a"), ("b", "q-a")]);
    let load = PeerLoad {
        count: 3,
        tokens: 12_000,
        prefill_tokens: 9_000,
        ..PeerLoad::default()
    };
    fleet.apply_snapshot("vm-2".into(), snapshot(SECOND, &[("a", load)]));
    assert_eq!(
        chosen_targets(&fleet.submit(generation("1"), SECOND)),
        ["b"]
    );
}

#[test]
fn submit_queues_when_full() {
    // Eight generations fit on an engine. The rest of the burst waits, then is refused with a time
    // after which to retry.
    let mut fleet = fleet(&[("a", "q-a")]);
    let mut sent = 0;
    let mut now = SECOND;
    for number in 0..12 {
        let id: RequestId = format!("{number}").into();
        sent += chosen_targets(&fleet.submit(generation(&id), now)).len();
        fleet.record_response_start(&id, now);
        now += Duration::from_millis(10);
    }
    assert_eq!(sent, 8);
    assert_eq!(fleet.waiting_count(), 4);
    let placements = fleet.tick(now + SECOND * 3);
    assert_eq!(placements.len(), 4);
    assert!(placements.iter().all(|placed| matches!(
        placed.placement,
        Placement::Refused { reason: RefusalReason::Overload, retry_after } if retry_after > Duration::ZERO
    )));
}

#[test]
fn finish_places_waiting() {
    let mut fleet = fleet(&[("a", "q-a")]);
    for number in 0..9 {
        let id: RequestId = format!("{number}").into();
        fleet.submit(generation(&id), SECOND);
        fleet.record_response_start(&id, SECOND);
    }
    assert_eq!(fleet.waiting_count(), 1);
    let placements = fleet.finish(&"0".into(), SECOND * 2);
    assert_eq!(placements.len(), 1);
    assert_eq!(placements[0].request, "8");
}

#[test]
fn finish_places_by_priority() {
    let mut fleet = fleet(&[("a", "q-a")]);
    for number in 0..8 {
        let id: RequestId = format!("{number}").into();
        fleet.submit(generation(&id), SECOND);
        fleet.record_response_start(&id, SECOND);
    }
    let question = Demand {
        priority: 0,
        ..generation("question")
    };
    fleet.submit(question, SECOND);
    let placements = fleet.finish(&"0".into(), SECOND * 2);
    assert_eq!(placements[0].request, "question");
}

#[test]
fn mark_leaving_stops_placement() {
    let mut fleet = fleet(&[("a", "q-a"), ("b", "r-a")]);
    fleet.submit(generation("1"), SECOND);
    assert_eq!(fleet.mark_leaving("a", SECOND), ["1"]);
    assert_eq!(
        chosen_targets(&fleet.submit(generation("2"), SECOND)),
        ["b"]
    );
    fleet.mark_leaving("b", SECOND);
    let placements = fleet.submit(generation("3"), SECOND);
    assert!(matches!(
        placements[0].placement,
        Placement::Refused {
            reason: RefusalReason::NoTarget,
            ..
        }
    ));
}

#[test]
fn remove_target_after_last_request() {
    let mut fleet = fleet(&[("a", "q-a"), ("b", "q-a")]);
    fleet.submit(generation("1"), SECOND);
    let leaving = TargetEntry {
        draining: true,
        ..entry("a", "menus", "q-a")
    };
    fleet.upsert_target(leaving, SECOND);
    assert_eq!(fleet.remove_target("a", SECOND), ["1"]);
    fleet.finish(&"1".into(), SECOND);
    fleet.tick(SECOND);
    assert_eq!(fleet.incarnation("a"), None);
    assert_eq!(fleet.incarnation("b"), Some(1));
}

#[test]
fn upsert_target_after_mark_leaving() {
    // A target that restarts under the same id is a new incarnation and accepts requests again.
    let mut fleet = fleet(&[("a", "q-a")]);
    fleet.mark_leaving("a", SECOND);
    let restarted = TargetEntry {
        incarnation: 2,
        ..entry("a", "menus", "q-a")
    };
    fleet.upsert_target(restarted, SECOND);
    assert_eq!(fleet.incarnation("a"), Some(2));
    assert_eq!(
        chosen_targets(&fleet.submit(generation("1"), SECOND)),
        ["a"]
    );
}

#[test]
fn choose_migration_target_in_region() {
    // A copy to another region takes ten times as long and delays all other copies of its source.
    let mut fleet = fleet(&[("a", "q-a"), ("b", "r-a")]);
    fleet.submit(generation("1"), SECOND);
    assert_eq!(fleet.choose_migration_target(&"1".into(), SECOND), None);
    fleet.upsert_target(entry("c", "menus", "q-a"), SECOND);
    let choice = fleet.choose_migration_target(&"1".into(), SECOND).unwrap();
    assert_eq!(choice.target, "c");
}

#[test]
fn choose_migration_target_avoids_incoming_copies() {
    let mut fleet = fleet(&[("a", "q-a"), ("b", "q-a"), ("c", "q-a")]);
    let load = PeerLoad {
        incoming_tokens: 8_000,
        ..PeerLoad::default()
    };
    fleet.apply_snapshot("vm-2".into(), snapshot(SECOND, &[("b", load)]));
    fleet.submit(generation("1"), SECOND);
    assert_eq!(target_of(&fleet, "1"), "a");
    let choice = fleet.choose_migration_target(&"1".into(), SECOND).unwrap();
    assert_eq!(choice.target, "c");
}

#[test]
fn set_backup_counts_memory() {
    let mut fleet = fleet(&[("a", "q-a"), ("b", "q-a")]);
    fleet.submit(generation("1"), SECOND);
    let source = target_of(&fleet, "1");
    let backup = fleet.choose_backup_target(&"1".into(), SECOND).unwrap();
    assert_ne!(backup.target, source);
    fleet.set_backup(&"1".into(), Some(&backup.target));
    fleet.record_progress(&"1".into(), 400, SECOND);
    let snapshot = fleet.local_snapshot(SECOND);
    assert_eq!(snapshot.loads[&backup.target].tokens, 3_400);
    assert_eq!(snapshot.loads[&source].migration_tokens, 0);
    fleet.finish(&"1".into(), SECOND);
    assert!(fleet.local_snapshot(SECOND).loads.is_empty());
}

#[test]
fn record_migration_reassigns_request() {
    let mut fleet = fleet(&[("a", "q-a"), ("b", "q-a")]);
    fleet.submit(generation("1"), SECOND);
    let source = target_of(&fleet, "1");
    let target: TargetId = if source == "a" {
        "b".into()
    } else {
        "a".into()
    };
    fleet.record_migration(&"1".into(), &target, SECOND);
    assert_eq!(target_of(&fleet, "1"), target);
    assert!(fleet.remove_target(&source, SECOND).is_empty());
}

#[test]
fn record_failure_backs_off_target() {
    let mut fleet = fleet(&[("a", "q-a"), ("b", "r-a")]);
    fleet.record_failure("a", true, SECOND);
    fleet.record_failure("a", true, SECOND);
    assert_eq!(
        chosen_targets(&fleet.submit(generation("1"), SECOND)),
        ["b"]
    );
    let soft = |fleet: &mut Fleet| fleet.record_failure("b", false, SECOND);
    for _ in 0..5 {
        soft(&mut fleet);
    }
    assert_eq!(fleet.usable_count(SECOND), 1);
    assert_eq!(fleet.usable_count(SECOND * 3), 2);
}

#[test]
fn submit_prefers_near_target_until_full() {
    let mut fleet = fleet(&[]);
    fleet.upsert_target(entry("near", "orders", "q-a"), SECOND);
    fleet.upsert_target(entry("far", "orders", "r-a"), SECOND);
    let mut targets = Vec::new();
    for number in 0..14 {
        let demand = Demand {
            service: "orders".into(),
            need: Need::default(),
            ..generation(&format!("{number}"))
        };
        let placements = fleet.submit(demand, SECOND);
        targets.extend(chosen_targets(&placements).into_iter().map(str::to_owned));
    }
    assert_eq!(&targets[..3], ["near", "near", "near"]);
    assert!(targets.contains(&"far".to_owned()));
}

#[test]
fn submit_samples_targets() {
    // Seventy VMs with the same stale snapshots must not all choose the newest engine.
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
        let snapshot = PeerSnapshot {
            at: SECOND,
            loads: loads.clone(),
            ..PeerSnapshot::default()
        };
        fleet.apply_snapshot("vm-0".into(), snapshot);
        let placements = fleet.submit(generation(&format!("r{number}")), SECOND);
        newest += usize::from(chosen_targets(&placements) == ["e0"]);
    }
    assert!(newest < 35, "{newest} of 70");
    assert!(newest > 7, "{newest} of 70");
}

#[test]
fn select_vms_agrees_across_vms() {
    let names = ["vm-1", "vm-2", "vm-3", "vm-4", "vm-5"];
    let select = |own: &str| {
        let mut fleet = Fleet::new(own.into(), FleetOptions::default());
        for name in names.iter().filter(|name| **name != own) {
            let snapshot = PeerSnapshot {
                at: SECOND,
                ..PeerSnapshot::default()
            };
            fleet.apply_snapshot((*name).into(), snapshot);
        }
        (
            fleet.select_vms(2, SECOND),
            fleet.select_vms(2, SECOND * 10),
        )
    };
    let (first, alone) = select("vm-1");
    assert_eq!(first.len(), 2);
    assert_eq!(alone, ["vm-1"], "unreachable VMs are not selected");
    assert!(names.iter().all(|name| select(name).0 == first));
}

#[test]
fn expire_peers_retains_recent_load() {
    // A network partition isolates some VMs for seconds while they keep their engines busy. Their
    // load must still count. In the scenario "Villacres grown, scale-2", a third of the VMs was
    // isolated for eight seconds, and the engines that they had filled seemed empty.
    let mut fleet = fleet(&[("a", "q-a"), ("b", "q-a")]);
    let load = PeerLoad {
        count: 8,
        tokens: 28_000,
        ..PeerLoad::default()
    };
    fleet.apply_snapshot("vm-2".into(), snapshot(SECOND, &[("a", load)]));
    for (id, after) in [("1", 2), ("2", 6), ("3", 8)] {
        assert_eq!(
            chosen_targets(&fleet.submit(generation(id), SECOND * after)),
            ["b"]
        );
        fleet.finish(&id.into(), SECOND * after);
    }
    assert_eq!(
        fleet.vm_count(SECOND * 8),
        1,
        "the silent VM no longer counts as reachable"
    );
    fleet.tick(SECOND * 12);
    assert_eq!(
        chosen_targets(&fleet.submit(generation("4"), SECOND * 12)),
        ["a"]
    );
}

#[test]
fn change_count_ignores_plain_calls() {
    let mut fleet = fleet(&[("a", "q-a")]);
    fleet.upsert_target(entry("desk", "orders", "q-a"), SECOND);
    let call = Demand {
        service: "orders".into(),
        need: Need::default(),
        ..generation("call")
    };
    fleet.submit(call, SECOND);
    fleet.record_response_start(&"call".into(), SECOND);
    fleet.finish(&"call".into(), SECOND);
    assert_eq!(
        fleet.change_count(),
        0,
        "plain calls are too many and too short"
    );
    fleet.submit(generation("1"), SECOND);
    assert_eq!(fleet.change_count(), 1);
    fleet.record_response_start(&"1".into(), SECOND);
    fleet.record_response_start(&"1".into(), SECOND);
    assert_eq!(fleet.change_count(), 2);
    fleet.record_progress(&"1".into(), 40, SECOND);
    assert_eq!(fleet.change_count(), 2);
    fleet.finish(&"1".into(), SECOND);
    assert_eq!(fleet.change_count(), 3);
}

#[test]
fn apply_snapshot_replaces_previous() {
    let mut fleet = fleet(&[("a", "q-a"), ("b", "q-a")]);
    let reports = |at: u32, loads: &[(&str, u32)]| PeerSnapshot {
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
        ..PeerSnapshot::default()
    };
    fleet.apply_snapshot("vm-2".into(), reports(1, &[("a", 9_000), ("b", 100)]));
    fleet.apply_snapshot("vm-3".into(), reports(1, &[("a", 500)]));
    fleet.apply_snapshot("vm-2".into(), reports(2, &[("b", 7_000)]));
    let sum = |fleet: &Fleet, id: &str| fleet.peer_totals.get(id).map_or(0, |load| load.tokens);
    assert_eq!((sum(&fleet, "a"), sum(&fleet, "b")), (500, 7_000));
    fleet.tick(SECOND * 11);
    assert_eq!((sum(&fleet, "a"), sum(&fleet, "b")), (0, 7_000));
    fleet.tick(SECOND * 12);
    assert!(fleet.peer_totals.is_empty());
}

#[test]
fn has_room_at_a_target_that_is_not_avoided() {
    let mut fleet = fleet(&[("a", "q-a"), ("b", "q-a")]);
    let after = |avoid: &[&str]| Demand {
        avoid: avoid.iter().map(|id| (*id).into()).collect(),
        ..generation("0")
    };
    assert!(fleet.has_room(&after(&["a"]), SECOND));
    assert!(!fleet.has_room(&after(&["a", "b"]), SECOND));
    // Back-off and leaving targets leave no room.
    fleet.record_backoff("b", SECOND * 3, SECOND);
    assert!(!fleet.has_room(&after(&["a"]), SECOND));
    assert!(fleet.has_room(&after(&["a"]), SECOND * 4));
    fleet.mark_leaving("b", SECOND * 4);
    assert!(!fleet.has_room(&after(&["a"]), SECOND * 4));
}

#[test]
fn record_success_ends_the_backoff_after_failures() {
    let mut fleet = fleet(&[("a", "q-a")]);
    for _ in 0..6 {
        fleet.record_failure("a", true, SECOND);
    }
    assert_eq!(fleet.usable_count(SECOND * 4), 0);
    fleet.record_success("a", SECOND);
    assert_eq!(fleet.usable_count(SECOND), 1);
    // The target's own refusal holds on.
    fleet.record_refusal("a", SECOND);
    fleet.record_success("a", SECOND);
    assert_eq!(fleet.usable_count(SECOND), 0);
    assert_eq!(fleet.usable_count(SECOND * 2), 1);
}

/// Guards against a request that is given up at its target for another one that does not get it.
#[test]
fn has_room_only_if_the_request_is_placed_at_once() {
    for load in 0..9 {
        let mut fleet = fleet(&[("a", "q-a"), ("b", "q-a")]);
        fleet.record_backoff("a", SECOND * 2, SECOND);
        for number in 0..load {
            let id = number.to_string();
            let _ = fleet.submit(generation(&id), SECOND);
            fleet.record_response_start(&id.as_str().into(), SECOND);
        }
        // It has waited for its first response for longer than its latency objective.
        let given_up = Demand {
            start_deadline: Some(SECOND),
            avoid: vec!["a".into()],
            ..generation("given-up")
        };
        let now = SECOND * 4;
        let has_room = fleet.has_room(&given_up, now);
        let placements = fleet.submit(given_up, now);
        let is_placed = chosen_targets(&placements) == ["b"];
        assert!(!has_room || is_placed, "{load} generations: {placements:?}");
    }
}
