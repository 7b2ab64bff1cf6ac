use super::*;

const SECOND: Duration = Duration::from_secs(1);
const ROUND: Duration = Duration::from_millis(120);

#[test]
fn take_keeps_to_rate() {
    let mut plan = TellPlan::default();
    let mut told = 0;
    // 30 changes a second in a fleet of 360 VMs, for ten seconds.
    for step in 0..300_u32 {
        told += plan.take(359, SECOND + SECOND * step / 30);
    }
    assert!((4_000..=4_300).contains(&told), "{told}");
}

#[test]
fn take_all_of_rare_changes() {
    let mut plan = TellPlan::default();
    for step in 0..100_u32 {
        assert_eq!(plan.take(76, SECOND * step / 4), 76);
    }
}

#[test]
fn refresh_reaches_all_within_time() {
    for vms in [1, 2, 5, 76, 359] {
        let mut plan = TellPlan::default();
        let mut reached = vec![false; vms];
        for _ in 0..9 {
            for place in plan.refresh(vms, ROUND) {
                reached[place] = true;
            }
        }
        assert!(reached.iter().all(|told| *told), "{vms}");
    }
}

#[test]
fn refresh_nobody() {
    assert!(TellPlan::default().refresh(0, ROUND).is_empty());
}
