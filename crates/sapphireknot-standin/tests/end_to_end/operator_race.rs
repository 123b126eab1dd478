//! Concurrent changes by two operators while responses of the store are lost.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use sapphireknot::operator::DocumentReply;
use sapphireknot_standin::{
    client::{HttpCall, HttpClient},
    fault::FaultRule,
    fixture::{CommandOutput, ServiceBed, ServicePlan, wait_until},
    store::StoreFaults,
};

use crate::support::{WAIT_TIMEOUT, has_generation};

/// Returns a release note that sets the bursts of both organisations to `burst`.
fn burst_note(id: &str, burst: u64) -> String {
    let item = |organisation| {
        format!("{{change: {{organisation: {{id: {organisation}, rate: 600/s, burst: {burst}}}}}}}")
    };
    format!("{{id: {id}, items: [{}, {}]}}", item("acme"), item("beta"))
}

/// Reads the generation in force at a host and the bursts of both organisations in it.
async fn read_bursts(
    caller: &HttpClient,
    address: std::net::SocketAddr,
    token: &str,
) -> Option<(u64, Vec<u64>)> {
    let call = HttpCall::get("/v1/config").header("authorization", format!("Bearer {token}"));
    let reply = caller.send(address, call).await.ok()?;
    let reply: DocumentReply = serde_json::from_slice(&reply.body).ok()?;
    let bursts = reply.document.organisations.iter().map(|it| it.burst.0).collect();
    Some((reply.generation.0, bursts))
}

/// Waits until the outcome of a note is known, repeating it while its state is unresolved, and returns whether it was
/// accepted.
async fn resolve_note(bed: &ServiceBed, index: usize, note: &str, first: CommandOutput) -> bool {
    let output = wait_until("the outcome of the note is known", WAIT_TIMEOUT, async || {
        if first.code != Some(4) {
            return Some(first.clone());
        }
        let output = bed.apply(index, note, &[]).await.ok()?;
        (output.code != Some(4)).then_some(output)
    })
    .await
    .unwrap();
    let text = format!("{}{}", output.stdout, output.stderr);
    match output.code {
        Some(0) => assert!(text.starts_with("accepted"), "{text}"),
        Some(1) => assert!(text.contains("organisation"), "{text}"),
        _ => panic!("{:?} {text}", output.code),
    }
    output.code == Some(0)
}

/// Guards against two conflicting changes that are both accepted, an accepted change that does not come into force, and
/// a change that is in force only in part, when responses of the store are lost.
#[tokio::test]
async fn lost_answers() {
    let bed = ServiceBed::start(ServicePlan::small(1)).await.unwrap();
    let is_stopped = Arc::new(AtomicBool::new(false));
    let addresses: Vec<_> = bed.bed.hosts().iter().map(|it| it.operator_address()).collect();
    let (caller, token) = (bed.bed.caller().clone(), bed.bed.operator_token());
    let stop = is_stopped.clone();
    let sampling = tokio::spawn(async move {
        let mut seen: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
        while !stop.load(Ordering::Acquire) {
            for &address in &addresses {
                let Some((generation, bursts)) = read_bursts(&caller, address, token).await else {
                    continue;
                };
                assert_eq!(
                    bursts[0], bursts[1],
                    "change is partly in force at generation {generation}"
                );
                let known = seen.entry(generation).or_insert_with(|| bursts.clone());
                assert_eq!(*known, bursts, "two documents have generation {generation}");
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        seen
    });
    for round in 1..=4_u64 {
        // The share also applies to lease renewals.
        let lost_answers = FaultRule { next: 4, share: 0.3 };
        let faults = StoreFaults { lost_answers, seed: round, ..StoreFaults::default() };
        bed.set_store_faults(&faults).await.unwrap();
        let bursts = [1_000 + round, 2_000 + round];
        let notes = [
            burst_note(&format!("left-{round}"), bursts[0]),
            burst_note(&format!("right-{round}"), bursts[1]),
        ];
        let (left, right) =
            tokio::join!(bed.apply(0, &notes[0], &[]), bed.apply(1, &notes[1], &[]));
        let left = resolve_note(&bed, 0, &notes[0], left.unwrap()).await;
        let right = resolve_note(&bed, 1, &notes[1], right.unwrap()).await;
        assert!(left != right, "round {round}: accepted: left {left}, right {right}");
        bed.set_store_faults(&StoreFaults::default()).await.unwrap();
        let burst = if left { bursts[0] } else { bursts[1] };
        for index in 0..3 {
            let condition = "the generation of the round is in force";
            let accept = has_generation(round + 1);
            bed.bed.wait_status(index, condition, WAIT_TIMEOUT, accept).await.unwrap();
            let address = bed.bed.hosts()[index].operator_address();
            let (_, found) = read_bursts(bed.bed.caller(), address, token).await.unwrap();
            assert_eq!(found, [burst, burst], "host {index}");
        }
    }
    is_stopped.store(true, Ordering::Release);
    assert!(sampling.await.unwrap().len() >= 4);
}
