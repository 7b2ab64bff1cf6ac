//! Load of other zones, in digests.

use super::*;
use crate::gateway::SendCounts;

fn load(count: u32) -> PeerLoad {
    PeerLoad {
        count,
        tokens: count * 3_000,
        ..PeerLoad::default()
    }
}

/// Builds the snapshot of a VM in a zone, with three requests and one extra send.
fn in_zone(zone: &str, at: Timestamp, loads: &[(&str, PeerLoad)]) -> PeerSnapshot {
    let sends = SendCounts {
        requests: 3,
        extra: 1,
    };
    PeerSnapshot {
        zone: zone.into(),
        sends: HashMap::from([("menus".into(), sends)]),
        ..snapshot(at, loads)
    }
}

/// Returns the fleet of a VM in a zone that knows the other VMs of that zone.
fn zone_fleet(zone: &str, vms: &[&str], own: &str) -> Fleet {
    let mut fleet = Fleet::new(own.into(), FleetOptions::default()).zone(zone.into());
    for vm in vms.iter().filter(|vm| **vm != own) {
        let snapshot = in_zone(zone, SECOND, &[("a", load(2))]);
        fleet.apply_snapshot((*vm).into(), snapshot);
    }
    fleet
}

fn digest_of(fleet: &Fleet) -> ZoneDigest {
    let own = in_zone(&fleet.zone, SECOND, &[("a", load(1))]);
    fleet.zone_digest(own, SECOND)
}

fn total(fleet: &Fleet, target: &str) -> u32 {
    fleet.peer_totals.get(target).map_or(0, |load| load.count)
}

#[test]
fn zone_digest_sums_zone() {
    let mut fleet = zone_fleet("q", &["q-1", "q-2", "q-3"], "q-1");
    fleet.apply_snapshot("r-1".into(), in_zone("r", SECOND, &[("a", load(7))]));
    let digest = digest_of(&fleet);
    assert_eq!(digest.vm_count, 3);
    assert_eq!(digest.sums.loads["a"].count, 5);
    assert_eq!(digest.sums.sends["menus"].requests, 9);
    assert_eq!(digest.candidates.len(), 3);
}

#[test]
fn zone_digest_serves_while_one_vm_drains() {
    // The VM that sends the digest may shut down while the others of its zone serve callers.
    let sender = zone_fleet("r", &["r-1", "r-2"], "r-1");
    let own = PeerSnapshot {
        draining_since: Some(SECOND),
        ..in_zone("r", SECOND, &[])
    };
    let digest = sender.zone_digest(own.clone(), SECOND);
    assert_eq!(digest.sums.draining_since, None);
    let alone = zone_fleet("r", &["r-1"], "r-1");
    let digest = alone.zone_digest(own, SECOND);
    assert_eq!(digest.sums.draining_since, Some(SECOND));
}

#[test]
fn apply_digest_counts_each_vm_once() {
    let mut fleet = zone_fleet("q", &["q-1", "q-2"], "q-1");
    let direct = in_zone("r", SECOND, &[("a", load(4)), ("b", load(1))]);
    fleet.apply_snapshot("r-1".into(), direct.clone());
    assert_eq!((total(&fleet, "a"), total(&fleet, "b")), (6, 1));
    let digest = digest_of(&zone_fleet("r", &["r-1", "r-2"], "r-1"));
    fleet.apply_digest("r".into(), digest.clone());
    assert_eq!((total(&fleet, "a"), total(&fleet, "b")), (5, 0));
    assert_eq!(fleet.vm_count(SECOND), 4);
    assert_eq!(fleet.peer_sends("menus", SECOND).extra, 3);
    // A VM that still sends single snapshots is part of the digest.
    fleet.apply_snapshot("r-1".into(), direct.clone());
    assert_eq!((total(&fleet, "a"), fleet.vm_count(SECOND)), (5, 4));
    fleet.apply_digest("r".into(), digest);
    assert_eq!(total(&fleet, "a"), 5);
    // Its own zone's digest contains what its peers send it.
    fleet.apply_digest("q".into(), digest_of(&fleet));
    assert_eq!(total(&fleet, "a"), 5);
    // Without digests for a while, single snapshots count again.
    let later = SECOND * 12;
    fleet.apply_snapshot(
        "r-1".into(),
        PeerSnapshot {
            at: later,
            ..direct
        },
    );
    assert_eq!(fleet.vm_count(later), 2);
    fleet.tick(later);
    assert_eq!((total(&fleet, "a"), total(&fleet, "b")), (4, 1));
}

#[test]
fn select_vms_agrees_across_zones() {
    let zones = [
        ("q", ["q-1", "q-2", "q-3", "q-4"]),
        ("r", ["r-1", "r-2", "r-3", "r-4"]),
        ("s", ["s-1", "s-2", "s-3", "s-4"]),
    ];
    let digests = zones.map(|(zone, vms)| {
        let digest = digest_of(&zone_fleet(zone, &vms, vms[0]));
        (ZoneId::from(zone), digest)
    });
    let mut selections = Vec::new();
    for (zone, vms) in zones {
        for own in vms {
            let mut fleet = zone_fleet(zone, &vms, own);
            for (zone, digest) in digests.clone() {
                fleet.apply_digest(zone, digest);
            }
            assert_eq!(fleet.vm_count(SECOND), 12);
            selections.push(fleet.select_vms(3, SECOND));
        }
    }
    assert_eq!(selections[0].len(), 3);
    assert!(selections.iter().all(|vms| *vms == selections[0]));
}

#[test]
fn select_in_zone_ignores_others() {
    let mut fleet = zone_fleet("q", &["q-1", "q-2", "q-3"], "q-1");
    for vm in ["r-1", "r-2", "r-3", "r-4", "r-5"] {
        fleet.apply_snapshot(vm.into(), in_zone("r", SECOND, &[]));
    }
    let relays = fleet.select_in_zone(2, SECOND);
    assert_eq!(relays.len(), 2);
    assert!(relays.iter().all(|vm| vm.starts_with('q')), "{relays:?}");
    let alone = fleet.select_in_zone(2, SECOND * 10);
    assert_eq!(alone, ["q-1"], "unreachable VMs are not selected");
}

#[test]
fn copy_wait_follows_zones() {
    // Each VM of a zone with the greater name waits for the zone with the smaller one, and never
    // the other way round.
    let busy = |zone: &str| {
        let load = PeerLoad {
            migration_tokens: 9_000,
            ..PeerLoad::default()
        };
        ZoneDigest {
            sums: in_zone(zone, SECOND, &[("a", load)]),
            vm_count: 1,
            candidates: vec![],
        }
    };
    let wait = |own: &str, other: &str| {
        let mut fleet = fleet(&[("a", "q-a")]).zone(own.into());
        fleet.submit(generation("1"), SECOND);
        fleet.record_response_start(&"1".into(), SECOND);
        fleet.apply_digest(other.into(), busy(other));
        fleet.copy_wait(&"1".into(), SECOND, SECOND)
    };
    assert_eq!(wait("q", "r"), Duration::ZERO);
    assert!(wait("r", "q") > Duration::ZERO);
}

#[test]
fn shutdown_retry_by_serving_vms() {
    let (grace, elapsed) = (SECOND * 8, SECOND);
    let peer = |zone: &str, since: Option<Timestamp>| PeerSnapshot {
        draining_since: since,
        ..in_zone(zone, SECOND * 10, &[])
    };
    let now = SECOND * 11;
    let retry = |near: Option<Timestamp>, far: Option<Timestamp>| {
        let mut fleet = Fleet::new("q-1".into(), FleetOptions::default()).zone("q".into());
        fleet.apply_snapshot("q-2".into(), peer("q", near));
        fleet.apply_snapshot("r-1".into(), peer("r", far));
        fleet.shutdown_retry(elapsed, grace, now)
    };
    let shortest = Duration::from_millis(100);
    assert_eq!(retry(None, None), shortest, "q-2 serves");
    // The load balancer notices two seconds after the start of the shutdown.
    assert_eq!(retry(Some(SECOND * 9), None), SECOND);
    // r-1 is the first to be back, eight seconds of grace after it began, and a restart.
    let first_back = retry(Some(SECOND * 9), Some(SECOND * 5));
    assert_eq!(first_back, SECOND * 2 + Duration::from_millis(900));
    let alone = Fleet::new("q-1".into(), FleetOptions::default());
    assert_eq!(alone.shutdown_retry(elapsed, grace, now), shortest);
}
