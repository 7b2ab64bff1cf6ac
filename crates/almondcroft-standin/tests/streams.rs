//! Streams through an entry VM while engines, connections and callers fail.

use almondcroft_core::Verdict;
use almondcroft_proto::Problem;
use almondcroft_standin::demo::{Caller, LocalDeployment, OTHER_TOKEN, StreamEnd, StreamResult};
use almondcroft_standin::engine::EngineFaults;
use almondcroftd::{block_on, sleep};
use std::time::Duration;

const TOKENS: u64 = 60;
const PROMPT: &str = "a week of lunches";

fn assert_complete(streamed: &StreamResult, tokens: u64) {
    assert_eq!(streamed.end, StreamEnd::Done);
    assert_eq!(streamed.tokens as u64, tokens);
    let numbers: Vec<String> = streamed
        .text
        .split_whitespace()
        .map(|word| word.chars().filter(char::is_ascii_digit).collect())
        .collect();
    let expected: Vec<String> = (0..tokens).map(|number| number.to_string()).collect();
    assert_eq!(numbers, expected);
}

fn problem(streamed: &StreamResult) -> &Problem {
    match &streamed.end {
        StreamEnd::Problem(problem) => problem,
        other => panic!("expected a problem, got {other:?}"),
    }
}

#[test]
fn stream_events_unbuffered() {
    block_on(async {
        let deployment = LocalDeployment::start(1, 1).await.unwrap();
        let streamed = Caller::default()
            .stream(&deployment.vm_urls()[0], PROMPT, TOKENS)
            .await;
        assert_complete(&streamed, TOKENS);
        // A buffered response would deliver all events at once.
        let first = streamed.event_times[0];
        let later = streamed
            .event_times
            .iter()
            .filter(|time| **time > first)
            .count();
        assert!(later > 50, "{:?}", streamed.event_times);
    });
}

#[test]
fn stream_duplicated_missing_crossed_events() {
    block_on(async {
        let deployment = LocalDeployment::start(1, 1).await.unwrap();
        let faults = EngineFaults {
            duplicate_every: Some(3),
            skip_every: Some(29),
            cross_every: Some(5),
            ..EngineFaults::default()
        };
        deployment.set_engine_faults(0, &faults).await;
        let caller = Caller::default();
        let url = deployment.vm_urls()[0].clone();
        let streaming = caller.stream(&url, PROMPT, TOKENS);
        // A resumed stream skips the same events until the faults are cleared.
        let clearing = async {
            sleep(Duration::from_millis(1_200)).await;
            deployment
                .set_engine_faults(0, &EngineFaults::default())
                .await;
        };
        let (streamed, ()) = futures_lite::future::zip(streaming, clearing).await;
        assert_complete(&streamed, TOKENS);
    });
}

#[test]
fn stream_half_open_connection() {
    block_on(async {
        let deployment = LocalDeployment::start(1, 1).await.unwrap();
        let caller = Caller::default();
        let url = deployment.vm_urls()[0].clone();
        let streaming = caller.stream(&url, PROMPT, TOKENS);
        let freezing = async {
            sleep(Duration::from_millis(200)).await;
            let faults = EngineFaults {
                freeze_streams: true,
                ..EngineFaults::default()
            };
            deployment.set_engine_faults(0, &faults).await;
        };
        let (streamed, ()) = futures_lite::future::zip(streaming, freezing).await;
        assert_complete(&streamed, TOKENS);
    });
}

#[test]
fn stream_engine_crashes_after_tokens() {
    block_on(async {
        let deployment = LocalDeployment::start(1, 1).await.unwrap();
        let faults = EngineFaults {
            die_at_token: Some(20),
            ..EngineFaults::default()
        };
        deployment.set_engine_faults(0, &faults).await;
        let streamed = Caller::default()
            .stream(&deployment.vm_urls()[0], PROMPT, TOKENS)
            .await;
        assert!(streamed.tokens <= 20);
        let problem = problem(&streamed);
        assert_eq!(problem.kind, "engine-lost");
        let verdict = if streamed.tokens > 0 {
            Verdict::Ran
        } else {
            Verdict::MayHaveRun
        };
        assert_eq!(problem.verdict, verdict);
    });
}

#[test]
fn stream_caller_disconnect_cancels() {
    block_on(async {
        let deployment = LocalDeployment::start(1, 1).await.unwrap();
        let streamed = Caller::default()
            .stream_until(&deployment.vm_urls()[0], PROMPT, 10_000, 5)
            .await;
        assert_eq!(streamed.end, StreamEnd::Stopped);
        let mut polls = 0;
        while deployment.generations(0).await != Some(0) {
            polls += 1;
            assert!(polls < 1_000, "the engine still runs the generation");
            sleep(Duration::from_millis(20)).await;
        }
    });
}

#[test]
fn resume_at_other_vm() {
    block_on(async {
        let deployment = LocalDeployment::start(2, 1).await.unwrap();
        let caller = Caller::default();
        let urls = deployment.vm_urls();
        let first = caller.stream_until(&urls[0], PROMPT, TOKENS, 10).await;
        let rest = caller
            .resume(&urls[1], first.last_id.as_ref().unwrap())
            .await;
        assert_eq!(rest.end, StreamEnd::Done);
        let joined = StreamResult {
            text: format!("{}{}", first.text, rest.text),
            tokens: first.tokens + rest.tokens,
            ..rest
        };
        assert_complete(&joined, TOKENS);
    });
}

#[test]
fn resume_forged_and_foreign_handle() {
    block_on(async {
        let deployment = LocalDeployment::start(1, 1).await.unwrap();
        let url = &deployment.vm_urls()[0];
        let caller = Caller::default();
        let first = caller.stream_until(url, PROMPT, TOKENS, 5).await;
        let handle = first.last_id.unwrap();
        let foreign = Caller::new(OTHER_TOKEN).resume(url, &handle).await;
        assert_eq!(problem(&foreign).status, 403);
        let forged = caller.resume(url, "bm9uc2Vuc2Ugb2YgYSBoYW5kbGU").await;
        assert_eq!(problem(&forged).status, 400);
        assert_eq!(problem(&forged).field.as_deref(), Some("last-event-id"));
    });
}

#[test]
fn stream_request_that_crashes_engines() {
    block_on(async {
        let deployment = LocalDeployment::start(2, 3).await.unwrap();
        let faults = EngineFaults {
            crash_marker: Some("poison".into()),
            ..EngineFaults::default()
        };
        for engine in 0..3 {
            deployment.set_engine_faults(engine, &faults).await;
        }
        let caller = Caller::default();
        let urls = deployment.vm_urls();
        let prompt = "poison soup";
        let first = caller.stream(&urls[0], prompt, TOKENS).await;
        assert_eq!(problem(&first).verdict, Verdict::MayHaveRun);
        // The other VM receives the crash counts from its peer by gossip.
        sleep(Duration::from_secs(3)).await;
        let again = caller.stream(&urls[1], prompt, TOKENS).await;
        assert_eq!(problem(&again).kind, "quarantined");
        assert_eq!(problem(&again).verdict, Verdict::NotRun);
        let other = caller.stream(&urls[1], "plain soup", 10).await;
        assert_eq!(other.end, StreamEnd::Done, "one engine is still alive");
    });
}

#[test]
fn stop_finishes_streams() {
    block_on(async {
        let deployment = LocalDeployment::start(1, 1).await.unwrap();
        let caller = Caller::default();
        let url = deployment.vm_urls()[0].clone();
        let streaming = caller.stream(&url, PROMPT, TOKENS);
        let stopping = async {
            sleep(Duration::from_millis(200)).await;
            deployment.vms[0].stop().await
        };
        let (streamed, clean) = futures_lite::future::zip(streaming, stopping).await;
        assert_complete(&streamed, TOKENS);
        assert!(clean);
    });
}

#[test]
fn abort_requests_ends_streams_with_verdict() {
    block_on(async {
        let deployment = LocalDeployment::start(1, 1).await.unwrap();
        let caller = Caller::default();
        let url = deployment.vm_urls()[0].clone();
        let streaming = caller.stream(&url, PROMPT, 10_000);
        let aborting = async {
            sleep(Duration::from_millis(300)).await;
            deployment.vms[0].abort_requests().await;
        };
        let (streamed, ()) = futures_lite::future::zip(streaming, aborting).await;
        assert_eq!(problem(&streamed).kind, "stopping");
        assert_eq!(problem(&streamed).verdict, Verdict::Ran);
    });
}
