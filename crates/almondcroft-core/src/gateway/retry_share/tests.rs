use super::*;

const SECOND: Duration = Duration::from_secs(1);

fn taken(share: &mut RetryShare, heard: Heard, now: Timestamp) -> u32 {
    let mut count = 0;
    while share.take(heard, now) {
        count += 1;
    }
    count
}

fn alone(of: u32) -> Heard {
    Heard {
        others: SendCounts::default(),
        vms: 1,
        of,
    }
}

#[test]
fn take_without_news_keeps_own_part() {
    // Six VMs that hear nothing of each other keep the fleet's bound together.
    let total: u32 = (0..6)
        .map(|_| {
            let mut share = RetryShare::new(0.2, 52.0, SECOND * 10);
            taken(&mut share, alone(6), SECOND)
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
    let heard = Heard {
        others,
        vms: 7,
        of: 7,
    };
    let count = taken(&mut share, heard, SECOND);
    assert!(count > 54 / 7, "{count}");
    assert!(count + others.extra <= 54 + 18);
}

#[test]
fn take_with_most_of_the_fleet_uses_their_part() {
    // Villacres grown, trouble-1: 23 of 77 VMs were cut off, and 28 drafts of the others, copied and
    // stopped, were not sent on as each VM kept to 194 / 77 extra sends.
    let others = SendCounts {
        requests: 300,
        extra: 90,
    };
    let heard = Heard {
        others,
        vms: 54,
        of: 77,
    };
    let mut share = RetryShare::new(0.2, 194.0, SECOND * 10);
    let large = others.extra + taken(&mut share, heard, SECOND);
    assert!(large > 120, "{large}");
    // Both sides of the cut keep the bound together.
    let rest = Heard {
        others: SendCounts {
            requests: 120,
            extra: 0,
        },
        vms: 23,
        of: 77,
    };
    let small = taken(&mut RetryShare::new(0.2, 194.0, SECOND * 10), rest, SECOND);
    assert!(large + small <= 194 + 84, "{large} {small}");
}

#[test]
fn take_again_after_window() {
    let mut share = RetryShare::new(0.0, 5.0, SECOND * 10);
    assert_eq!(taken(&mut share, alone(1), SECOND), 4);
    assert_eq!(share.counts(SECOND * 5).extra, 4);
    assert_eq!(share.counts(SECOND * 12).extra, 0);
    assert!(share.take(alone(1), SECOND * 12));
}
