use super::*;

const SECOND: Duration = Duration::from_secs(1);
const ROUND: Duration = Duration::from_millis(120);

#[test]
fn take_limits_rate() {
    let mut fanout = GossipFanout::default();
    let mut taken = 0;
    // 30 changes per second in a fleet of 360 VMs, for ten seconds.
    for step in 0..300_u32 {
        taken += fanout.take(359, SECOND + SECOND * step / 30);
    }
    assert!((4_000..=4_300).contains(&taken), "{taken}");
}

#[test]
fn take_all_for_rare_changes() {
    let mut fanout = GossipFanout::default();
    for step in 0..100_u32 {
        assert_eq!(fanout.take(76, SECOND * step / 4), 76);
    }
}

#[test]
fn refresh_peers_reaches_all_in_time() {
    for peers in [1, 2, 5, 76, 359] {
        let mut fanout = GossipFanout::default();
        let mut reached = vec![false; peers];
        for _ in 0..9 {
            for index in fanout.refresh_peers(peers, ROUND) {
                reached[index] = true;
            }
        }
        assert!(reached.iter().all(|refreshed| *refreshed), "{peers}");
    }
}

#[test]
fn refresh_peers_without_peers() {
    assert!(GossipFanout::default().refresh_peers(0, ROUND).is_empty());
}
