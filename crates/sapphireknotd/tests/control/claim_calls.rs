//! Claims of idempotency keys between hosts.

use std::time::Duration;

use sapphireknot::{
    idempotency::{ClaimEnd, ClaimKey},
    keys::KeyDigest,
    refusal::{RefusalReason, RunState},
    time::MonoTime,
};

use crate::support::{FakePlatform, start_host, wait_for};

const LIMIT: Duration = Duration::from_secs(10);

/// Guards against claims, replies or ends that change their meaning on the way to an owner on another host.
#[tokio::test(flavor = "multi_thread")]
async fn claim_over_peer_calls() {
    let platform = FakePlatform::default();
    let mut hosts = Vec::new();
    for idx in 0..3 {
        hosts.push(start_host(&platform, idx).await);
    }
    for host in &hosts {
        wait_for("members", LIMIT, || host.context.members.load().len() == 3).await;
    }
    let key =
        || ClaimKey { organisation: "acme".parse().unwrap(), digest: KeyDigest::of(b"payment-1") };
    let claim = |idx: usize| {
        let context = hosts[idx].context.clone();
        let deadline = context.clock.now().after(Duration::from_secs(5));
        async move { context.claims.claim(&context, key(), deadline).await }
    };
    let refusal = claim(0).await.unwrap_err();
    assert_eq!(refusal.ran, RunState::Unknown, "no owner remembers a whole window");
    hosts.iter().for_each(|it| it.context.claims.set_history_start(MonoTime(0)));
    // The owners learn the end of the refused claim a moment later.
    tokio::time::sleep(Duration::from_millis(200)).await;
    let held = claim(0).await.unwrap();
    let refusal = claim(1).await.unwrap_err();
    assert_eq!((refusal.reason, refusal.ran), (RefusalReason::Duplicate, RunState::Unknown));
    held.finish(ClaimEnd::NotRun);
    tokio::time::sleep(Duration::from_millis(200)).await;
    claim(1).await.unwrap().finish(ClaimEnd::Ran);
    tokio::time::sleep(Duration::from_millis(200)).await;
    let refusal = claim(2).await.unwrap_err();
    assert_eq!((refusal.reason, refusal.ran), (RefusalReason::Duplicate, RunState::Ran));
    hosts.into_iter().for_each(|it| it.handle.abort());
}
