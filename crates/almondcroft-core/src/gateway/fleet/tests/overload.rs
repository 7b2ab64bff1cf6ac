//! More drafts than the engines can begin in time.

use super::*;
use std::collections::BTreeMap;

const STEP: Duration = Duration::from_millis(20);

/// Tokens that an engine reads in a step.
const READ_STEP: u32 = 140;

/// Time for which a draft runs once it is read.
const RUN_TIME: Duration = Duration::from_secs(9);

/// Time within which a draft must begin.
const AIM: Duration = Duration::from_millis(1_800);

#[test]
fn late_draft_lets_others_pass() {
    let mut fleet = fleet(&[("a", "q-a")]);
    for number in 0..5 {
        let id: RequestId = format!("{number}").into();
        fleet.submit(draft(&id), SECOND);
        fleet.started(&id, SECOND);
    }
    let late = Demand {
        aim: Some(SECOND / 2),
        ..draft("late")
    };
    assert!(fleet.submit(late, SECOND).is_empty());
    let fresh = Demand {
        aim: Some(SECOND * 3),
        ..draft("fresh")
    };
    assert_eq!(sent_to(&fleet.submit(fresh, SECOND)), ["a"]);
    fleet.started(&"fresh".into(), SECOND);
    // It goes as soon as there is slack, and at the end of its wait in any case.
    assert_eq!(fleet.waiting(), 1);
    assert_eq!(sent_to(&fleet.tick(SECOND * 5)), ["a"]);
}

#[test]
fn late_draft_takes_slack_at_once() {
    let mut fleet = fleet(&[("a", "q-a")]);
    let late = Demand {
        aim: Some(SECOND / 2),
        ..draft("late")
    };
    assert_eq!(sent_to(&fleet.submit(late, SECOND)), ["a"]);
}

/// Plays drafts on engines that read prompts in order; returns how many begin in time.
fn play(options: FleetOptions, gap: Duration) -> u32 {
    let mut fleet = fleet(&[("a", "q-a"), ("b", "q-a"), ("c", "q-a")]);
    fleet.options = options;
    let mut arrived = BTreeMap::new();
    let mut reading: BTreeMap<TargetId, Vec<(RequestId, u32)>> = BTreeMap::new();
    let mut running: Vec<(RequestId, Timestamp)> = Vec::new();
    let (mut now, mut next, mut on_time) = (SECOND, SECOND, 0);
    let mut works = Vec::new();
    while now < SECOND * 121 {
        if now >= next {
            let id: RequestId = format!("{}", arrived.len()).into();
            let demand = Demand {
                aim: Some(now + AIM),
                deadline: now + SECOND * 39,
                ..draft(&id)
            };
            arrived.insert(id, now);
            works.extend(fleet.submit(demand, now));
            next += gap;
        }
        works.extend(fleet.tick(now));
        for work in std::mem::take(&mut works) {
            if let Placed::Send(choice) = work.placed {
                let queue = reading.entry(choice.target).or_default();
                queue.push((work.request, 3_000));
            }
        }
        for queue in reading.values_mut() {
            let Some(first) = queue.first_mut() else {
                continue;
            };
            first.1 = first.1.saturating_sub(READ_STEP);
            if first.1 == 0 {
                let (id, _) = queue.remove(0);
                on_time += u32::from(now <= arrived[&id] + AIM);
                works.extend(fleet.started(&id, now));
                running.push((id, now + RUN_TIME));
            }
        }
        let ended = running.extract_if(.., |(_, end)| *end <= now);
        for (id, _) in ended.collect::<Vec<_>>() {
            works.extend(fleet.finished(&id, now));
        }
        now += STEP;
    }
    on_time
}

#[test]
fn overload_is_borne_by_late_drafts() {
    // Villacres grown, scale-1: 33 of 48 engines were left, and every draft waited for its turn until
    // most began late. Three engines run 24 drafts at once, 2.6 a second; 2.9 a second come.
    let patient = FleetOptions {
        late_headroom: FleetOptions::default().headroom,
        ..FleetOptions::default()
    };
    let gap = Duration::from_millis(340);
    let (fair, sparing) = (play(patient, gap), play(FleetOptions::default(), gap));
    assert!(sparing * 10 > fair * 12, "{sparing} against {fair} in time");
    let idle = Duration::from_millis(600);
    assert_eq!(play(FleetOptions::default(), idle), 200);
}
