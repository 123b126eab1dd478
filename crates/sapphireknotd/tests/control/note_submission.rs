//! Configuration changes through the operator interface.

use std::time::Duration;

use sapphireknot_platform::{KeyValueStore, StoreRevision, SwapOutcome, SwapWrite};

use crate::support::{FakePlatform, add_note, document, start_host, wait_for};
use sapphireknot::{
    config::{EntityPath, load_document, load_note},
    ids::ConfigGeneration,
    operator::{ChangeReceipt, HostStatus, ItemState, NoteStatus},
};

const LIMIT: Duration = Duration::from_secs(5);

fn accepted(generation: u64) -> ChangeReceipt {
    ChangeReceipt::Accepted { generation: ConfigGeneration(generation) }
}

/// Guards against a host that cannot read the configuration or accept a note.
#[tokio::test(flavor = "multi_thread")]
async fn accept_note() {
    let platform = FakePlatform::default();
    let host = start_host(&platform, 0).await;
    assert_eq!(host.put_document(document()).await, accepted(1));
    // Repeating a submission has no further effect.
    assert_eq!(host.put_document(document()).await, accepted(1));
    assert_eq!(host.post_note(add_note("n1", "beta"), None).await, accepted(2));
    assert_eq!(host.post_note(add_note("n1", "beta"), None).await, accepted(2));
    wait_for("install", LIMIT, || host.generation() == 2 && host.is_fresh()).await;
    let (status, note) = host.call::<_, NoteStatus>("GET", "/v1/notes/n1", &()).await;
    assert_eq!(status, 200);
    let note = note.unwrap();
    assert_eq!((note.generation, note.waiting_for.len()), (ConfigGeneration(2), 0));
    assert!(note.items.iter().all(|it| it.state == ItemState::InForce));
    let (_, status) = host.call::<_, HostStatus>("GET", "/v1/status", &()).await;
    let status = status.unwrap();
    assert!(status.fresh && status.store_up);
    host.handle.stop().await;
    assert!(platform.store.keys("role/").is_empty());
    assert!(platform.store.keys("host/").is_empty());
}

/// Guards against a call that is served without the operator token, and against a status for a note that does not
/// exist.
#[tokio::test(flavor = "multi_thread")]
async fn reject_invalid_calls() {
    let platform = FakePlatform::default();
    let host = start_host(&platform, 0).await;
    let address = host.context.identity.operator_address;
    let call = crate::support::call::<_, HostStatus>(address, "wrong", "GET", "/v1/status", &());
    assert_eq!(call.await.0, 401);
    assert_eq!(host.call::<_, NoteStatus>("GET", "/v1/notes/none", &()).await.0, 404);
    assert_eq!(host.call::<_, ChangeReceipt>("POST", "/v1/notes", &"text").await.0, 400);
    host.handle.stop().await;
}

/// Guards against a note that is applied twice, or reported wrongly, after the response of the store was lost.
#[tokio::test(flavor = "multi_thread")]
async fn lost_store_response() {
    let platform = FakePlatform::default();
    let host = start_host(&platform, 0).await;
    platform.store.lose_responses("config/", 2);
    assert_eq!(host.put_document(document()).await, accepted(1));
    platform.store.lose_responses("note/", 1);
    assert_eq!(host.post_note(add_note("n1", "beta"), Some(1)).await, accepted(2));
    platform.store.lose_responses("config/head", 1);
    assert_eq!(host.post_note(add_note("n2", "gamma"), Some(2)).await, accepted(3));
    host.handle.stop().await;
}

/// Guards against a note that is reported as accepted or refused while the store is down, and against one that cannot
/// be submitted again afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn unresolved_note() {
    let platform = FakePlatform::default();
    let host = start_host(&platform, 0).await;
    assert_eq!(host.put_document(document()).await, accepted(1));
    platform.store.set_down(true);
    let receipt = host.post_note(add_note("n1", "beta"), Some(1)).await;
    assert!(matches!(receipt, ChangeReceipt::Resolving { .. }), "{receipt:?}");
    assert_eq!(host.call::<_, NoteStatus>("GET", "/v1/notes/n1", &()).await.0, 503);
    platform.store.set_down(false);
    assert_eq!(host.post_note(add_note("n1", "beta"), Some(1)).await, accepted(2));
    host.handle.stop().await;
}

/// Guards against two operators who both receive a success response for a change of the same entity, and against the
/// refusal of independent changes.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_operators() {
    let platform = FakePlatform::default();
    let (left, right) = (start_host(&platform, 0).await, start_host(&platform, 1).await);
    assert_eq!(left.put_document(document()).await, accepted(1));
    for round in 0..5 {
        let (base, name) = (Some(1 + 2 * round), format!("same{round}"));
        let (one, two) = (format!("left{round}"), format!("right{round}"));
        let receipts = tokio::join!(
            left.post_note(add_note(&one, &name), base),
            right.post_note(add_note(&two, &name), base),
        );
        let (winner, loser) = match receipts {
            (winner @ ChangeReceipt::Accepted { .. }, loser) => (winner, loser),
            (loser, winner) => (winner, loser),
        };
        assert_eq!(winner, accepted(2 + 2 * round));
        let path = EntityPath::Organisation(name.parse().unwrap());
        let conflicts = vec![path];
        assert_eq!(loser, ChangeReceipt::Refused { problems: Vec::new(), conflicts });
        let other = format!("other{round}");
        // A note on an outdated base is rebased if its entities have not changed since.
        let receipt = right.post_note(add_note(&format!("rebased{round}"), &other), Some(1)).await;
        assert_eq!(receipt, accepted(3 + 2 * round));
    }
    left.handle.stop().await;
    right.handle.stop().await;
}

/// Guards against a traffic plan that is reported as in force after it was reverted, and against a rollout record that
/// is attributed to another plan.
#[tokio::test(flavor = "multi_thread")]
async fn traffic_plan_status() {
    let platform = FakePlatform::default();
    // Another host holds the planner role, so that only the test writes the rollout record.
    let holder = br#"{"host":"h9","incarnation":1}"#.to_vec();
    let (key, expected) = ("role/planner/s".to_owned(), StoreRevision::ABSENT);
    let role = SwapWrite { key, expected, value: Some(holder), lease: None };
    platform.store.compare_and_swap(role).await.unwrap();
    let host = start_host(&platform, 0).await;
    let document = load_document(
        "{regions: [{id: r0, datacentres: [d0]}], services: [{id: s, versions: {v1: 100%, v2: 0%}, \
         routes: [{id: all, prefix: /, timeout: 1s}]}]}",
    );
    assert_eq!(host.put_document(document.unwrap()).await, accepted(1));
    let plan = "{id: p2, target: {v2: 100%}, deadline: 2100-01-01T00:00:00Z, cap: 10%}";
    let note = format!("{{id: n1, items: [{{add: {{traffic: {{service: s, plan: {plan}}}}}}}]}}");
    assert_eq!(host.post_note(load_note(&note).unwrap(), None).await, accepted(2));
    wait_for("install", LIMIT, || host.generation() == 2).await;
    let mut expected = StoreRevision::ABSENT;
    for (plan, verdict, state) in [
        ("p1", "reverted", ItemState::InForce),
        ("p2", "running", ItemState::InForce),
        ("p2", "done", ItemState::Done),
        ("p2", "reverted", ItemState::Reverted),
    ] {
        let record = serde_json::json!({"plan": plan, "verdict": verdict, "reason": "failures"});
        let (key, value) = ("rollout/s".to_owned(), Some(record.to_string().into_bytes()));
        let write = SwapWrite { key, expected, value, lease: None };
        match platform.store.compare_and_swap(write).await.unwrap() {
            SwapOutcome::Swapped(revision) => expected = revision,
            other => panic!("{other:?}"),
        }
        let (_, status) = host.call::<_, NoteStatus>("GET", "/v1/notes/n1", &()).await;
        assert_eq!(status.unwrap().items[0].state, state, "{plan} {verdict}");
    }
    host.handle.stop().await;
}
