//! Golden files of whole sessions: requests and responses.

use almondcroft_proto::sse::Decoder;
use almondcroft_standin::demo::{LocalDeployment, TOKEN};
use almondcroftd::block_on;
use almondcroftd::http::Outbound;
use serde_json::Value;
use std::fmt::Write;
use std::time::Duration;
use trillium::Method;

const TIMEOUT: Duration = Duration::from_mins(1);

/// Sends a request and appends it and its response to the transcript, with random ids masked.
async fn exchange(
    transcript: &mut String,
    vm: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) {
    let token = format!("Bearer {TOKEN}");
    let mut all = headers.to_vec();
    if !headers.iter().any(|(name, _)| *name == "authorization") {
        all.push(("authorization", &token));
    }
    let url = format!("{vm}{path}");
    let outbound = Outbound::new();
    let call = outbound.call_fresh(Method::Post, &url, &all, body.as_bytes().to_vec(), TIMEOUT);
    let conn = call.await.unwrap();
    let status = conn.status().unwrap();
    let response_headers = conn.response_headers().clone();
    let bytes = Outbound::read_body(conn, 1_000_000, TIMEOUT).await.unwrap();
    writeln!(transcript, "> POST {path}").unwrap();
    for (name, value) in headers {
        writeln!(transcript, "> {name}: {value}").unwrap();
    }
    writeln!(transcript, "> {body}").unwrap();
    writeln!(transcript, "< {}", status as u16).unwrap();
    for name in [
        "content-type",
        "almondcroft-verdict",
        "retry-after",
        "x-request-id",
    ] {
        if let Some(value) = response_headers.get_str(name) {
            writeln!(transcript, "< {name}: {value}").unwrap();
        }
    }
    let text = String::from_utf8(bytes.clone()).unwrap();
    if text.starts_with(':') {
        for event in Decoder::new(100_000).feed(&bytes).unwrap() {
            let id = if event.id.is_some() { " (id)" } else { "" };
            writeln!(transcript, "< event{id} {}", mask_id(&event.data)).unwrap();
        }
    } else {
        writeln!(transcript, "< {}", mask_id(&text)).unwrap();
    }
    transcript.push('\n');
}

/// Masks the generation id, which is random in each run.
fn mask_id(text: &str) -> String {
    let Ok(mut value) = serde_json::from_str::<Value>(text) else {
        return text.to_owned();
    };
    if value["id"].is_string() {
        value["id"] = "gen-*".into();
    }
    value.to_string()
}

#[test]
fn session_completions() {
    let transcript = block_on(async {
        let deployment = LocalDeployment::start(1, 1).await.unwrap();
        let vm = &deployment.vm_urls()[0];
        let mut transcript = String::new();
        let id = [("x-request-id", "session-1")];
        let plain = r#"{"model":"menus","prompt":"lunch","standin_tokens":3}"#;
        let streamed = r#"{"model":"menus","prompt":"lunch","stream":true,"standin_tokens":3}"#;
        let chat = r#"{"model":"menus","messages":[{"role":"user","content":"lunch"}],"standin_tokens":2}"#;
        exchange(&mut transcript, vm, "/v1/completions", &id, plain).await;
        exchange(&mut transcript, vm, "/v1/completions", &id, streamed).await;
        exchange(&mut transcript, vm, "/v1/chat/completions", &id, chat).await;
        transcript
    });
    insta::assert_snapshot!(transcript);
}

#[test]
fn session_orders() {
    let transcript = block_on(async {
        let deployment = LocalDeployment::start(2, 1).await.unwrap();
        let urls = deployment.vm_urls();
        let mut transcript = String::new();
        let path = "/v1/services/orders/confirm";
        let keyed = [
            ("x-request-id", "session-2"),
            ("idempotency-key", "order-17"),
        ];
        let order = r#"{"fish":12}"#;
        exchange(&mut transcript, &urls[0], path, &keyed, order).await;
        exchange(&mut transcript, &urls[1], path, &keyed, order).await;
        exchange(&mut transcript, &urls[1], path, &keyed, r#"{"fish":13}"#).await;
        exchange(&mut transcript, &urls[0], path, &keyed[..1], order).await;
        transcript
    });
    insta::assert_snapshot!(transcript);
}

#[test]
fn session_refusals() {
    let transcript = block_on(async {
        let deployment = LocalDeployment::start(1, 1).await.unwrap();
        let vm = &deployment.vm_urls()[0];
        let mut transcript = String::new();
        let id = ("x-request-id", "session-3");
        let path = "/v1/completions";
        exchange(&mut transcript, vm, path, &[id], r#"{"model":"#).await;
        exchange(&mut transcript, vm, path, &[id], r#"{"model":"menus"}"#).await;
        exchange(
            &mut transcript,
            vm,
            path,
            &[id],
            r#"{"model":"x","prompt":"y"}"#,
        )
        .await;
        let bad = [id, ("almondcroft-deadline-ms", "soon")];
        exchange(
            &mut transcript,
            vm,
            path,
            &bad,
            r#"{"model":"menus","prompt":"y"}"#,
        )
        .await;
        let unauthorized = [id, ("authorization", "Bearer nobody")];
        exchange(&mut transcript, vm, path, &unauthorized, "{}").await;
        let forged = [id, ("last-event-id", "Zm9yZ2Vk")];
        exchange(&mut transcript, vm, path, &forged, "").await;
        exchange(&mut transcript, vm, "/v1/nothing", &[id], "").await;
        transcript
    });
    insta::assert_snapshot!(transcript);
}
