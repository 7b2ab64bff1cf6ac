use super::*;

const TIMEOUT: Duration = Duration::from_millis(400);

fn at(ms: u64) -> Timestamp {
    Duration::from_millis(ms)
}

fn peers(near: &[&str], far: &[&str]) -> Vec<TunnelPeer> {
    let peer = |is_near: bool| {
        move |vm: &&str| TunnelPeer {
            vm: VmId::from(*vm),
            is_near,
        }
    };
    let near = near.iter().map(peer(true));
    near.chain(far.iter().map(peer(false))).collect()
}

fn delay(paths: &TargetPaths, target: &str, now: Timestamp) -> Duration {
    paths.tunnel_delay(target, TIMEOUT, now)
}

#[test]
fn tunnel_delay_gives_the_direct_way_a_head_start() {
    let paths = TargetPaths::default();
    assert_eq!(delay(&paths, "t-1", at(0)), TUNNEL_DELAY);
    // A short timeout leaves half of its time to a tunnel.
    assert_eq!(paths.tunnel_delay("t-1", at(200), at(0)), at(100));
}

#[test]
fn tunnel_delay_is_zero_where_the_direct_way_failed() {
    let mut paths = TargetPaths::default();
    paths.record_tunneled(&"t-1".into(), at(1_000));
    assert_eq!(delay(&paths, "t-1", at(1_100)), Duration::ZERO);
    assert_eq!(delay(&paths, "t-2", at(1_100)), TUNNEL_DELAY);
    paths.record_direct("t-1", at(1_200));
    assert_eq!(delay(&paths, "t-1", at(1_300)), TUNNEL_DELAY);
    paths.record_tunneled(&"t-1".into(), at(2_000));
    let forgotten = at(2_000) + FAILURE_RETENTION;
    assert_eq!(delay(&paths, "t-1", forgotten), TUNNEL_DELAY);
}

#[test]
fn tunnel_delay_is_zero_to_any_target_while_cut_off() {
    let mut paths = TargetPaths::default();
    paths.record_direct("t-3", at(900));
    paths.record_tunneled(&"t-1".into(), at(1_000));
    assert!(!paths.is_cut_off(at(1_100)));
    paths.record_tunneled(&"t-2".into(), at(1_050));
    assert!(paths.is_cut_off(at(1_100)));
    assert_eq!(delay(&paths, "t-3", at(1_100)), Duration::ZERO);
    assert!(!paths.trusts_idle("t-3", at(1_100)));
    paths.record_direct("t-3", at(1_200));
    assert!(!paths.is_cut_off(at(1_300)));
    // The others are judged by their own failures.
    assert_eq!(delay(&paths, "t-1", at(1_300)), Duration::ZERO);
    assert_eq!(delay(&paths, "t-3", at(1_300)), TUNNEL_DELAY);
}

#[test]
fn idle_connections_are_trusted_until_a_target_is_silent() {
    let mut paths = TargetPaths::default();
    assert!(paths.trusts_idle("t-1", at(0)));
    paths.record_silence(&"t-1".into(), at(100));
    assert!(!paths.trusts_idle("t-1", at(200)));
    assert!(paths.trusts_idle("t-2", at(200)));
    paths.record_direct("t-1", at(300));
    assert!(paths.trusts_idle("t-1", at(400)));
}

#[test]
fn peers_of_the_zone_come_first_and_one_from_elsewhere_second() {
    let mut paths = TargetPaths::default();
    let ordered = paths.order_peers(peers(&["a", "b", "c"], &["x", "y"]), at(0));
    assert!(["a", "b", "c"].contains(&ordered[0].as_str()));
    assert!(["x", "y"].contains(&ordered[1].as_str()));
    assert_eq!(ordered.len(), MAX_PEERS);
}

#[test]
fn peers_take_turns_and_failed_ones_come_last() {
    let mut paths = TargetPaths::default();
    let first = |paths: &mut TargetPaths, now| {
        paths.order_peers(peers(&["a", "b", "c"], &[]), now)[0].clone()
    };
    let mut seen: Vec<VmId> = (0..3).map(|_| first(&mut paths, at(0))).collect();
    seen.sort();
    assert_eq!(seen, ["a", "b", "c"].map(VmId::from));
    paths.record_peer_failure(&"a".into(), at(0));
    assert!((0..6).all(|_| first(&mut paths, at(10)) != "a"));
    let later = at(10) + PEER_AVOIDANCE;
    assert!((0..6).any(|_| first(&mut paths, later) == "a"));
}
