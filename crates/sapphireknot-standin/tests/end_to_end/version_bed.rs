//! Test bed with two versions of a service, and helpers that observe its traffic shifts.

use std::{
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

use http::{Method, StatusCode};
use sapphireknot::{
    operator::{HostStatus, ItemState, NoteStatus, RolloutStatus},
    time::WallTime,
};
use sapphireknot_platform::{GrpcStore, KeyValueStore};
use sapphireknot_standin::{
    backend::{BackendFaults, BackendPlan, VersionDefect},
    client::HttpCall,
    fault::FaultRule,
    fixture::{ServerPlacement, ServiceBed, ServicePlan, wait_until},
    load::{CallerPlan, LoadPlan, LoadSummary, LookupCaller},
    store::{OutageKind, StoreFaults},
};
use serde_json::json;
use tokio::sync::{Semaphore, SemaphorePermit};

/// Requests per second over all hosts.
const RATE: f64 = 120.0;

/// Limits the number of test beds that run at the same time. More of them starve each other of CPU time, which the
/// hosts take for slow servers and missing evidence.
static BED_PERMITS: Semaphore = Semaphore::const_new(4);

/// Waits for a permit to run a test bed.
pub(crate) async fn acquire_bed_permit() -> SemaphorePermit<'static> {
    BED_PERMITS.acquire().await.unwrap()
}

/// Starts three hosts with a backend server of each version in each region, and short rollout intervals.
pub(crate) async fn start_bed() -> ServiceBed {
    let mut plan = ServicePlan::small(1);
    // Service times are well above the scheduling delays of a busy machine, which would otherwise look like a slow
    // version.
    for place in &mut plan.servers {
        (place.plan.base_us, place.plan.mean_us) = (4_000, 4_000);
    }
    for place in plan.servers.clone() {
        let name = place.plan.name.replace("-s1", "-s2");
        let v2_plan = BackendPlan { name, ..place.plan };
        plan.servers.push(ServerPlacement { version: "v2".to_owned(), plan: v2_plan, ..place });
    }
    plan.bed.timing = json!({
        "gossip_interval": "250ms", "rollout_step": "500ms", "rollout_settle": "200ms",
        "rollout_spare": "1s", "evidence_interval": "250ms", "evidence_age": "1s",
    })
    .as_object()
    .unwrap()
    .clone();
    ServiceBed::start(plan).await.unwrap()
}

/// Applies a traffic plan that shifts all traffic to `v2` within `span`, in steps of at most 40%.
///
/// The plans `p1` and `idle` are added; any other `id` replaces the current plan. The plan `idle` targets `v3`, which
/// has no servers.
pub(crate) async fn apply_plan(bed: &ServiceBed, id: &str, span: Duration) {
    let action = if matches!(id, "p1" | "idle") { "add" } else { "change" };
    let target = if id == "idle" { "v3" } else { "v2" };
    let deadline = WallTime::from(SystemTime::now() + span);
    let note = format!(
        "{{id: note-{id}, items: [{{{action}: {{traffic: {{service: reports, plan: \
         {{id: {id}, target: {{{target}: 100%}}, deadline: '{deadline}', cap: 40%}}}}}}}}]}}"
    );
    bed.apply(0, &note, &[]).await.unwrap().expect_code(0).unwrap();
}

/// Sends requests for two routes to the given hosts.
pub(crate) fn start_load(
    bed: &ServiceBed,
    hosts: &[usize],
    span: Duration,
) -> tokio::task::JoinHandle<LoadSummary> {
    let caller = |index: usize| CallerPlan {
        client: [127, 0, 0, 1].into(),
        organisation: "acme".to_owned(),
        key: Some("acme-key".to_owned()),
        entries: vec![bed.bed.hosts()[index].caller_address()],
        direct: true,
    };
    let limit = Duration::from_secs(3);
    let callers: Vec<_> =
        hosts.iter().map(|it| Arc::new(LookupCaller::new(caller(*it), limit))).collect();
    let mix = (0..callers.len()).flat_map(|it| {
        [(2, it, HttpCall::get("/reports/items/1")), (1, it, HttpCall::get("/reports/public/1"))]
    });
    let plan = LoadPlan { rate: RATE, span, seed: 7, mix: mix.collect() };
    tokio::spawn(async move { plan.run(&callers).await })
}

/// Replaces the defects of the servers of `v2`; `after_ms` of a defect counts from this call.
pub(crate) async fn set_defects(bed: &ServiceBed, defects: Vec<VersionDefect>) {
    let faults = BackendFaults { defects, ..BackendFaults::default() };
    for backend in &bed.bed.backends()[3..] {
        let control = backend.addresses.control;
        bed.bed.caller().write_control(control, Method::PUT, "/faults", &faults).await.unwrap();
    }
}

/// Delays the responses of all servers of both versions by `late_ms`; 0 removes the delay.
pub(crate) async fn set_slowness(bed: &ServiceBed, late_ms: u64) {
    let late = FaultRule::share(if late_ms > 0 { 1.0 } else { 0.0 });
    let faults = BackendFaults { late, late_ms, ..BackendFaults::default() };
    for backend in bed.bed.backends() {
        let control = backend.addresses.control;
        bed.bed.caller().write_control(control, Method::PUT, "/faults", &faults).await.unwrap();
    }
}

/// Number of requests that began on the servers of `v1` and of `v2`.
pub(crate) async fn version_counts(bed: &ServiceBed) -> (u64, u64) {
    let counts = bed.counts().await.unwrap();
    (counts[..3].iter().map(|it| it.begun).sum(), counts[3..].iter().map(|it| it.begun).sum())
}

async fn note_status(bed: &ServiceBed, id: &str) -> Option<NoteStatus> {
    let token = format!("Bearer {}", bed.bed.operator_token());
    let call = HttpCall::get(format!("/v1/notes/note-{id}")).header("authorization", token);
    let address = bed.bed.hosts()[1].operator_address();
    let reply = bed.bed.caller().send(address, call).await.ok()?;
    (reply.status == StatusCode::OK).then(|| serde_json::from_slice(&reply.body).ok()).flatten()
}

/// Waits until the item of the plan has `state`, and returns its reason.
pub(crate) async fn wait_item(
    bed: &ServiceBed,
    id: &str,
    state: ItemState,
    limit: Duration,
) -> String {
    let condition = format!("the item is {state:?}");
    let item = wait_until(&condition, limit, async || {
        let item = note_status(bed, id).await?.items.into_iter().next()?;
        (item.state == state).then_some(item)
    });
    match item.await {
        Ok(item) => item.reason.unwrap_or_default(),
        Err(err) => panic!("plan {id}: {err}, current status: {:?}", note_status(bed, id).await),
    }
}

/// Traffic share of `v2` in the rollout status of a host.
pub(crate) fn new_share(rollout: &RolloutStatus) -> f64 {
    let share = rollout.shares.iter().find(|(id, _)| id.as_str() == "v2");
    share.map_or(0.0, |it| f64::from(it.1.0) / 1e6)
}

/// Samples the share of `v2` on every host until all reach `target`; returns the samples of each host.
pub(crate) async fn sample_shares(bed: &ServiceBed, target: f64, limit: Duration) -> Vec<Vec<f64>> {
    let mut samples = vec![Vec::new(); bed.bed.hosts().len()];
    let end = Instant::now() + limit;
    while Instant::now() < end {
        for (index, shares) in samples.iter_mut().enumerate() {
            let status = bed.bed.status(index).await;
            shares.extend(status.iter().flat_map(|it| &it.rollouts).map(new_share));
        }
        if samples.iter().all(|it| it.last().is_some_and(|it| (it - target).abs() < 1e-9)) {
            return samples;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let status = bed.bed.status(0).await.map(|it| it.rollouts);
    panic!("share {target} not reached: {status:?}, samples {samples:?}");
}

/// Waits until the share of `v2` on the host `index` is at least `share`.
pub(crate) async fn wait_share(bed: &ServiceBed, index: usize, share: f64) {
    let condition = format!("the share of v2 is at least {share}");
    let accept =
        |it: &HostStatus| it.rollouts.first().is_some_and(|it| new_share(it) >= share - 1e-9);
    bed.bed.wait_status(index, &condition, Duration::from_secs(20), accept).await.unwrap();
}

/// Returns the current highest share of `v2` on any host.
pub(crate) async fn highest_share(bed: &ServiceBed) -> f64 {
    let mut highest: f64 = 0.0;
    for index in 0..bed.bed.hosts().len() {
        let status = bed.bed.status(index).await;
        let shares = status.iter().flat_map(|it| &it.rollouts).map(new_share);
        highest = shares.fold(highest, f64::max);
    }
    highest
}

/// Starts an outage of the store, or ends it with `None`.
pub(crate) async fn set_outage(bed: &ServiceBed, outage: Option<OutageKind>) {
    let faults = StoreFaults { outage, ..StoreFaults::default() };
    let control = bed.bed.store().addresses.control;
    bed.bed.caller().write_control(control, Method::PUT, "/faults", &faults).await.unwrap();
}

/// Reads a record of the store.
pub(crate) async fn read_record(bed: &ServiceBed, key: &str) -> Option<serde_json::Value> {
    let store = GrpcStore::new(bed.bed.store().addresses.store, Duration::from_secs(1));
    let entry = store.get(key).await.ok()??;
    serde_json::from_slice(&entry.value).ok()
}

/// Waits until a host other than `except` holds the planner role, and returns its index.
pub(crate) async fn wait_planner(bed: &ServiceBed, except: Option<usize>) -> usize {
    wait_until("a host holds the planner role", Duration::from_secs(12), async || {
        let holder = read_record(bed, "role/planner/reports").await?;
        let hosts = bed.bed.hosts();
        let index = hosts.iter().position(|it| holder["host"] == it.id())?;
        (Some(index) != except).then_some(index)
    })
    .await
    .unwrap()
}

/// Returns a release note that marks servers as leaving, by their index in the document.
pub(crate) fn drain_note(bed: &ServiceBed, servers: &[usize]) -> String {
    let items = servers.iter().map(|index| {
        let mut server = bed.document()["services"][0]["servers"][*index].clone();
        server["leaving"] = true.into();
        json!({ "change": { "server": { "service": "reports", "server": server } } })
    });
    json!({ "id": "note-drain", "items": items.collect::<Vec<_>>() }).to_string()
}
