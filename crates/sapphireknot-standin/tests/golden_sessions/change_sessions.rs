//! Sessions in which operators change the configuration.

use sapphireknot_standin::{
    client::HttpCall,
    fixture::{ServiceBed, ServicePlan},
    store::{OutageKind, StoreFaults},
};
use serde_json::json;

use crate::recorder::SessionRecorder;

const WITHDRAW_ACME: &str =
    r#"{id: withdraw-acme, items: [{withdraw: {key: {organisation: acme, key: k1}}}]}"#;

async fn start(plan: ServicePlan) -> SessionRecorder {
    SessionRecorder::new(ServiceBed::start(plan).await.unwrap())
}

fn item() -> HttpCall {
    HttpCall::get("/reports/items/1")
}

/// Guards against an unintended change in the output for a release note that adds, changes and withdraws entities, as
/// operators and callers see it.
#[tokio::test]
async fn release_note() {
    let mut session = start(ServicePlan::small(1)).await;
    let route = "{id: all, prefix: /, methods: [GET], idempotent: true, timeout: 1s}";
    let service = format!("{{id: empty, versions: {{v1: 100%}}, routes: [{route}]}}");
    let note = format!(
        "{{id: n1, items: [{{add: {{service: {service}}}}}, \
         {{change: {{organisation: {{id: acme, rate: 500/s, burst: 900}}}}}}, \
         {{withdraw: {{key: {{organisation: beta, key: k1}}}}}}]}}"
    );
    session.apply(1, &note, &["--wait", "15s"]).await;
    session.command(2, &["status", "n1"]).await;
    session.request(0, Some("acme"), item()).await;
    session.request(0, Some("acme"), HttpCall::get("/empty/1")).await;
    session.request(0, Some("beta"), item()).await;
    session.remark("the same note again, then another one with its id, then one that does not fit");
    session.apply(0, &note, &[]).await;
    session.apply(0, &WITHDRAW_ACME.replace("withdraw-acme", "n1"), &[]).await;
    session
        .apply(0, "{id: n2, items: [{withdraw: {key: {organisation: beta, key: k1}}}]}", &[])
        .await;
    session.command(0, &["status", "n2"]).await;
    session.finish("release_note", 2).await;
}

/// Guards against an unintended change in the responses to a caller whose key is withdrawn.
#[tokio::test]
async fn withdrawn_key() {
    let mut session = start(ServicePlan::small(1)).await;
    session.request(2, Some("acme"), item()).await;
    session.apply(0, WITHDRAW_ACME, &["--wait", "15s"]).await;
    session.request(2, Some("acme"), item()).await;
    session.request(2, Some("beta"), item()).await;
    session.finish("withdrawn_key", 2).await;
}

/// Guards against an unintended change in what operators see while a backend server is drained.
#[tokio::test]
async fn drained_server() {
    let mut session = start(ServicePlan::paired(1)).await;
    let mut server = session.bed.document()["services"][0]["servers"][0].clone();
    server["leaving"] = true.into();
    let item = json!({ "change": { "server": { "service": "reports", "server": server } } });
    let note = json!({ "id": "drain", "items": [item] }).to_string();
    session.apply(0, &note, &["--wait", "15s"]).await;
    let before = session.arrivals(0).await;
    for id in ["b1", "b2", "b3"] {
        session.request(0, Some("acme"), ServiceBed::booking(id)).await;
    }
    let count = session.arrivals(0).await - before;
    session.remark(&format!("requests that arrived at the drained server: {count}"));
    session.finish("drained_server", 2).await;
}

/// Guards against an unintended change in the answers to operators and callers during and after a store outage.
#[tokio::test]
async fn store_outage() {
    let mut session = start(ServicePlan::small(1)).await;
    session.remark("the store stops answering");
    let outage = Some(OutageKind::Silent);
    let faults = StoreFaults { outage, ..StoreFaults::default() };
    session.bed.set_store_faults(&faults).await.unwrap();
    session.apply(1, WITHDRAW_ACME, &["--timeout", "15s"]).await;
    session.command(1, &["status", "withdraw-acme"]).await;
    session.request(1, Some("acme"), item()).await;
    session.remark("the store answers again");
    session.bed.set_store_faults(&StoreFaults::default()).await.unwrap();
    session.apply(1, WITHDRAW_ACME, &["--wait", "15s"]).await;
    session.request_until(1, "acme", item(), "key-rejected").await;
    session.finish("store_outage", 2).await;
}

/// Guards against an unintended change in the answers to the second of two concurrent operators, whose notes have an
/// outdated base generation.
#[tokio::test]
async fn racing_operators() {
    let mut session = start(ServicePlan::small(1)).await;
    let note = |id: &str, organisation: &str, burst: u64| {
        let value = json!({ "id": organisation, "rate": "600/s", "burst": burst });
        json!({ "id": id, "items": [{ "change": { "organisation": value } }] }).to_string()
    };
    session.submit(0, &note("left", "acme", 900), 1).await;
    session.submit(1, &note("right", "acme", 800), 1).await;
    session.remark("a note on the old generation that touches nothing else is rebased");
    session.submit(1, &note("other", "beta", 700), 1).await;
    session.command(0, &["status", "right"]).await;
    session.finish("racing_operators", 3).await;
}
