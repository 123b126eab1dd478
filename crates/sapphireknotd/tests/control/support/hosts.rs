//! Test hosts that run only the control modules.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use async_trait::async_trait;
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use sapphireknot::{
    config::{ConfigDocument, ReleaseNote, load_document, load_note},
    idempotency::ClaimLimits,
    ids::{ConfigGeneration, IncarnationId, OrganisationId, RegionId, ServiceId, VersionId},
    keys::KeyDigest,
    operator::{ChangeReceipt, DocumentSubmission, NoteSubmission},
};
use sapphireknot_platform::ListedHost;
use sapphireknotd::{
    claims::RequestClaims,
    clock::HostClock,
    context::HostContext,
    control::{self, ControlHandle, ControlListeners, PlatformClients},
    interfaces::{
        HostIdentity, PickQuery, PickRefusal, QuotaGate, QuotaVerdict, ServerPool, ServerTicket,
        SpillGate, VersionRouter, VersionSample,
    },
    published::PublishedState,
    quota::HostQuotas,
    rollout::RolloutTable,
    settings::HostSettings,
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::net::TcpListener;

use super::{FakeHosts, FakeStore};

/// Operator token of the test hosts.
pub(crate) const TOKEN: &str = "operators-token";

/// Request path that admits, picks, spills and routes nothing.
struct EmptyRequestPath;

#[async_trait]
impl QuotaGate for EmptyRequestPath {
    async fn admit(
        &self,
        _: &OrganisationId,
        deadline: sapphireknot::time::MonoTime,
    ) -> QuotaVerdict {
        QuotaVerdict::OverRate { retry_at: deadline }
    }
}

#[async_trait]
impl ServerPool for EmptyRequestPath {
    async fn pick(&self, _: PickQuery<'_>) -> Result<Box<dyn ServerTicket>, PickRefusal> {
        Err(PickRefusal::NoServer)
    }
}

impl SpillGate for EmptyRequestPath {
    fn try_spill(&self, _: &ServiceId, _: &RegionId) -> bool {
        false
    }
}

impl VersionRouter for EmptyRequestPath {
    fn choose(&self, _: &ServiceId, _: u32) -> Option<VersionId> {
        None
    }

    fn record(&self, _: VersionSample) {}
}

/// Platform shared by the hosts of a test.
#[derive(Clone, Default)]
pub(crate) struct FakePlatform {
    /// Key-value store.
    pub(crate) store: FakeStore,
    /// Host list.
    pub(crate) hosts: FakeHosts,
}

/// Test host.
pub(crate) struct TestHost {
    /// Host context, as used by the request path.
    pub(crate) context: Arc<HostContext>,
    /// View of the store that can be partitioned from this host.
    pub(crate) store: FakeStore,
    /// Handle of the running control modules.
    pub(crate) handle: ControlHandle,
}

/// Starts host `idx` in one of three regions with two data centres each; the store is in the first region.
pub(crate) async fn start_host(platform: &FakePlatform, idx: usize) -> TestHost {
    start_host_in(platform, idx, idx % 6).await
}

/// Starts host `idx` in a data centre; data centres are assigned to the three regions in turn.
pub(crate) async fn start_host_in(
    platform: &FakePlatform,
    idx: usize,
    datacentre: usize,
) -> TestHost {
    let unused_address = "127.0.0.1:1".parse().unwrap();
    let (context, listeners) = bind_host(idx, datacentre, unused_address, unused_address).await;
    let identity = &context.identity;
    let listed = ListedHost {
        id: identity.id.clone(),
        region: identity.region.clone(),
        datacentre: identity.datacentre.clone(),
        peer_address: identity.peer_address,
        caller_address: identity.caller_address,
        leaving: false,
    };
    {
        let mut hosts = platform.hosts.0.lock();
        hosts.retain(|it| it.id != listed.id);
        hosts.push(listed);
    }
    let store = platform.store.view();
    let clients =
        PlatformClients { store: Arc::new(store.clone()), hosts: Arc::new(platform.hosts.clone()) };
    let handle = control::start_with_platform(context.clone(), listeners, clients).await.unwrap();
    TestHost { context, store, handle }
}

/// Binds the listeners of a host that uses the platform at the given addresses.
pub(crate) async fn bind_host(
    idx: usize,
    datacentre: usize,
    store: SocketAddr,
    host_list: SocketAddr,
) -> (Arc<HostContext>, ControlListeners) {
    let region = datacentre % 3;
    let peer = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let operator = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let settings = HostSettings::load(&format!(
        "{{host: h{idx}, region: r{region}, datacentre: d{datacentre}, \
         listen: {{caller: '127.0.0.1:0', peer: '127.0.0.1:0', operator: '127.0.0.1:0'}}, \
         platform: {{store: '{store}', store_region: r0, host_list: '{host_list}'}}, \
         operator_token_sha256: {}, timing: {{store_timeout: 100ms, watch_wait: 1s}}}}",
        KeyDigest::of(TOKEN.as_bytes()).to_hex()
    ))
    .unwrap();
    let clock = HostClock::start();
    let address = peer.local_addr().unwrap();
    let identity = HostIdentity {
        id: settings.host.clone(),
        region: settings.region.clone(),
        datacentre: settings.datacentre.clone(),
        incarnation: IncarnationId(clock.wall().0),
        caller_address: address,
        peer_address: address,
        operator_address: operator.local_addr().unwrap(),
    };
    let quotas = Arc::new(HostQuotas::new(&identity, clock));
    let request_path = Arc::new(EmptyRequestPath);
    let state = Arc::new(PublishedState::new(settings, clock, identity));
    let context = Arc::new(HostContext {
        state: state.clone(),
        quota: request_path.clone(),
        versions: request_path.clone(),
        rollouts: Arc::new(RolloutTable::new(state)),
        claims: Arc::new(RequestClaims::new(ClaimLimits::default(), clock)),
        spill: request_path.clone(),
        quotas,
        servers: request_path,
    });
    (context, ControlListeners { peer, operator })
}

impl TestHost {
    /// Returns the active generation, or zero before the first.
    pub(crate) fn generation(&self) -> u64 {
        self.context.config.load().as_ref().map(|it| it.generation.0).unwrap_or_default()
    }

    /// Returns whether the host serves requests with API keys.
    pub(crate) fn is_fresh(&self) -> bool {
        self.context.clock.now() < self.context.fresh_until.get()
    }

    /// Returns the age of the latest proof; meaningless while freshness depends on the majority instead.
    pub(crate) fn proof_age(&self) -> Duration {
        let freshness = self.context.settings.timing.key_freshness.0;
        self.context.clock.now().since(self.context.fresh_until.get().before(freshness))
    }

    /// Calls the operator interface.
    pub(crate) async fn call<B, R>(&self, method: &str, path: &str, body: &B) -> (u16, Option<R>)
    where
        B: Serialize,
        R: DeserializeOwned,
    {
        call(self.context.identity.operator_address, TOKEN, method, path, body).await
    }

    /// Submits a document on generation 0.
    pub(crate) async fn put_document(&self, document: ConfigDocument) -> ChangeReceipt {
        let submission = DocumentSubmission { document, base: ConfigGeneration(0) };
        self.call("PUT", "/v1/config", &submission).await.1.unwrap()
    }

    /// Submits a note.
    pub(crate) async fn post_note(&self, note: ReleaseNote, base: Option<u64>) -> ChangeReceipt {
        let submission = NoteSubmission { note, base: base.map(ConfigGeneration) };
        self.call("POST", "/v1/notes", &submission).await.1.unwrap()
    }
}

/// Calls an operator interface; the returned body is `None` if it cannot be parsed.
pub(crate) async fn call<B, R>(
    address: SocketAddr,
    token: &str,
    method: &str,
    path: &str,
    body: &B,
) -> (u16, Option<R>)
where
    B: Serialize,
    R: DeserializeOwned,
{
    let client = Client::builder(TokioExecutor::new()).build_http();
    let request = http::Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("authorization", format!("Bearer {token}"))
        .body(Full::new(bytes::Bytes::from(serde_json::to_vec(body).unwrap())))
        .unwrap();
    let response = client.request(request).await.unwrap();
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    (status, serde_json::from_slice(&body).ok())
}

/// Returns a document with three regions and one organisation.
pub(crate) fn document() -> ConfigDocument {
    load_document(
        "{regions: [{id: r0, datacentres: [d0, d3]}, {id: r1, datacentres: [d1, d4]}, \
         {id: r2, datacentres: [d2, d5]}], \
         organisations: [{id: acme, rate: 200/s, burst: 400}]}",
    )
    .unwrap()
}

/// Returns a note that adds an organisation.
pub(crate) fn add_note(id: &str, organisation: &str) -> ReleaseNote {
    let item = format!("{{organisation: {{id: {organisation}, rate: 10/s, burst: 20}}}}");
    load_note(&format!("{{id: {id}, items: [{{add: {item}}}]}}")).unwrap()
}

/// Waits until `holds` returns true and returns the time it took; panics with `what` after `limit`.
pub(crate) async fn wait_for<F>(what: &str, limit: Duration, holds: F) -> Duration
where
    F: Fn() -> bool,
{
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < limit, "{what}: not within {limit:?}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    start.elapsed()
}
