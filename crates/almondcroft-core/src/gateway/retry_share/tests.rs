use super::*;

const SECOND: Duration = Duration::from_secs(1);

fn taken(share: &mut RetryShare, others: Option<SendCounts>, vms: u32, now: Timestamp) -> u32 {
    let mut count = 0;
    while share.take(others, vms, now) {
        count += 1;
    }
    count
}

#[test]
fn take_without_news_keeps_own_part() {
    // Six VMs that hear nothing of each other keep the fleet's bound together.
    let total: u32 = (0..6)
        .map(|_| {
            taken(
                &mut RetryShare::new(0.2, 52.0, SECOND * 10),
                None,
                6,
                SECOND,
            )
        })
        .sum();
    assert!((30..=52).contains(&total), "{total}");
}

#[test]
fn take_with_news_uses_what_is_left() {
    // Chairline scale-1: one VM had more drafts to move than its own part of the budget.
    let mut share = RetryShare::new(0.2, 54.0, SECOND * 10);
    let others = SendCounts {
        requests: 90,
        extra: 10,
    };
    let count = taken(&mut share, Some(others), 7, SECOND);
    assert!(count > 54 / 7, "{count}");
    assert!(count + others.extra <= 54 + 18);
}

#[test]
fn take_again_after_window() {
    let mut share = RetryShare::new(0.0, 5.0, SECOND * 10);
    assert_eq!(taken(&mut share, Some(SendCounts::default()), 1, SECOND), 4);
    assert_eq!(share.counts(SECOND * 5).extra, 4);
    assert_eq!(share.counts(SECOND * 12).extra, 0);
    assert!(share.take(Some(SendCounts::default()), 1, SECOND * 12));
}
