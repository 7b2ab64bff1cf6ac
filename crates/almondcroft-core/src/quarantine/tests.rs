use super::*;

const START: Timestamp = Duration::from_secs(1_000);

#[test]
fn remaining_after_two_crashes() {
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(7, START);
    assert_eq!(quarantine.remaining(7, START), None);
    quarantine.record_crash(7, START);
    assert_eq!(quarantine.remaining(7, START), Some(QUARANTINE_TIME));
    assert_eq!(quarantine.remaining(7, START + QUARANTINE_TIME), None);
}

#[test]
fn merge_from_other_vm() {
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(7, START);
    quarantine.merge(7, 2, START);
    assert!(quarantine.remaining(7, START).is_some());
}

#[test]
fn crash_counts_share_the_newest_of_many() {
    let mut quarantine = Quarantine::default();
    for fingerprint in 0..40 {
        quarantine.record_crash(fingerprint, START);
    }
    quarantine.record_crash(u64::MAX, START);
    quarantine.record_crash(u64::MAX, START);
    quarantine.record_crash(1_000, START + Duration::from_secs(1));
    let counts = quarantine.crash_counts(START + Duration::from_secs(2));
    assert!(counts.contains(&(u64::MAX, 2)), "{counts:?}");
    assert!(counts.contains(&(1_000, 1)), "{counts:?}");
}

#[test]
fn record_crash_once_counts_a_crash_of_several_runs_once() {
    let mut quarantine = Quarantine::default();
    assert_eq!(quarantine.record_crash_once(7, 1, START), 1);
    assert_eq!(quarantine.record_crash_once(7, 1, START), 1);
    assert_eq!(quarantine.record_crash_once(7, 2, START), 2);
    assert!(quarantine.remaining(7, START).is_some());
}

#[test]
fn survival_ends_the_quarantine_at_all_vms() {
    let later = START + Duration::from_secs(1);
    let mut vms = [Quarantine::default(), Quarantine::default()];
    for vm in &mut vms {
        vm.merge(7, 2, START);
    }
    vms[0].record_survival(7, later);
    for (fingerprint, age) in vms[0].survivals(later) {
        vms[1].merge_survival(fingerprint, age, later);
    }
    assert_eq!(vms[1].remaining(7, later), None);
    // A VM that has not heard of it does not bring the quarantine back.
    vms[1].merge(7, 2, later);
    assert_eq!(vms[1].remaining(7, later), None);
    // Crashes after the survival count.
    let crashed_at = later + Duration::from_secs(2);
    vms[1].record_crash_once(7, 1, crashed_at);
    vms[1].record_crash_once(7, 2, crashed_at);
    vms[1].merge_survival(7, Duration::from_secs(2), crashed_at);
    assert!(vms[1].remaining(7, crashed_at).is_some());
}

#[test]
fn trials_of_a_request_that_crashes_each_target_are_few_over_all_vms() {
    let mut vms = [Quarantine::default(), Quarantine::default()];
    for vm in &mut vms {
        vm.merge(7, 2, START);
    }
    let mut trials = Vec::new();
    for second in 0..600 {
        let now = START + Duration::from_secs(second);
        for index in 0..2 {
            if vms[index].begin_trial(7, now) {
                trials.push(second);
                vms[index].record_crash(7, now);
            }
            for (fingerprint, count, age) in vms[index].trials(now) {
                vms[1 - index].merge_trials(fingerprint, count, age, now);
            }
            let counts = vms[index].crash_counts(now);
            for (fingerprint, count) in counts {
                vms[1 - index].merge(fingerprint, count, now);
            }
        }
    }
    assert_eq!(trials, [2, 32, 92, 212]);
}

/// Guards against trials that each process that starts makes once more.
#[test]
fn trials_are_few_while_vms_end_and_start() {
    let mut vms = [Quarantine::default(), Quarantine::default()];
    for vm in &mut vms {
        vm.merge(7, 2, START);
    }
    let mut trials = Vec::new();
    for second in 0..600 {
        let now = START + Duration::from_secs(second);
        let restarted = usize::try_from(second / 5 % 2).unwrap();
        if second % 5 == 4 {
            vms[restarted] = Quarantine::default();
        }
        // A process that starts hears of the requests in quarantine before it serves callers.
        for index in [0, 1] {
            for (fingerprint, count, age) in vms[index].trials(now) {
                vms[1 - index].merge_trials(fingerprint, count, age, now);
            }
            for (fingerprint, count) in vms[index].crash_counts(now) {
                vms[1 - index].merge(fingerprint, count, now);
            }
        }
        for vm in &mut vms {
            if vm.begin_trial(7, now) {
                trials.push(second);
                vm.record_crash(7, now);
            }
        }
    }
    assert!(trials.len() <= 8, "{trials:?}");
}

#[test]
fn retry_after_names_the_next_trial() {
    let mut quarantine = Quarantine::default();
    quarantine.merge(7, 2, START);
    assert_eq!(quarantine.retry_after(7, START), Some(FIRST_TRIAL_DELAY));
    let tried_at = START + FIRST_TRIAL_DELAY;
    assert!(quarantine.begin_trial(7, tried_at));
    assert_eq!(quarantine.retry_after(7, tried_at), Some(TRIAL_DELAY));
}

/// Guards against a count of another VM that ends the quarantine, or the task that counts, at the next crash.
#[test]
fn record_crash_after_the_largest_count() {
    let mut quarantine = Quarantine::default();
    quarantine.merge(7, u32::MAX, START);
    quarantine.merge_trials(7, u32::MAX, Duration::MAX, START);
    assert_eq!(quarantine.record_crash(7, START), u32::MAX);
    assert!(quarantine.remaining(7, START).is_some());
    assert!(!quarantine.begin_trial(7, START + Duration::from_mins(9)));
}

/// Guards against a count of crashes and trials that begins anew when all VMs end.
#[test]
fn restore_after_all_vms_ended() {
    let mut ended = Quarantine::default();
    ended.record_crash(7, START);
    ended.record_crash(7, START);
    let tried_at = START + FIRST_TRIAL_DELAY;
    assert!(ended.begin_trial(7, tried_at));
    ended.record_crash(7, tried_at);
    let stored_at = tried_at + Duration::from_secs(5);
    let stored = ended.refused_requests(stored_at);
    assert_eq!(stored[0].age, Duration::from_secs(5));
    let mut started = Quarantine::default();
    started.restore(&stored, stored_at);
    let next_trial = tried_at + TRIAL_DELAY;
    assert!(started.remaining(7, stored_at).is_some());
    assert!(!started.begin_trial(7, next_trial.saturating_sub(Duration::from_millis(1))));
    assert!(started.begin_trial(7, next_trial));
    assert!(started.remaining(7, tried_at + QUARANTINE_TIME).is_none());
}

/// Guards against stored requests that are refused again by each process that starts.
#[test]
fn restore_of_an_old_request() {
    let old = RefusedRequest {
        fingerprint: 7,
        crashes: u32::MAX,
        trials: u32::MAX,
        age: QUARANTINE_TIME,
    };
    let mut started = Quarantine::default();
    started.restore(&[old], START + QUARANTINE_TIME * 2);
    assert!(started.remaining(7, START + QUARANTINE_TIME * 2).is_none());
}

/// Guards against requests that are stored without a limit, or kept for longer than they are refused.
#[test]
fn refused_requests_of_a_thousand() {
    let mut quarantine = Quarantine::default();
    for fingerprint in 0..1_000 {
        let now = START + Duration::from_millis(fingerprint);
        quarantine.record_crash(fingerprint, now);
        quarantine.record_crash(fingerprint, now);
    }
    let stored = quarantine.refused_requests(START + Duration::from_secs(1));
    assert_eq!(stored.len(), MAX_STORED);
    assert!(stored.iter().all(|request| request.fingerprint >= 744));
    quarantine.record_survival(999, START + Duration::from_secs(1));
    let stored = quarantine.refused_requests(START + Duration::from_secs(1));
    assert!(stored.iter().all(|request| request.fingerprint != 999));
    let later = START + QUARANTINE_TIME + Duration::from_secs(1);
    assert!(quarantine.refused_requests(later).is_empty());
}
