//! Hosts of which only the control modules run.

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

/// The operators' token.
pub(crate) const TOKEN: &str = "operators-token";

struct Nothing;

#[async_trait]
impl QuotaGate for Nothing {
    async fn admit(
        &self,
        _: &OrganisationId,
        deadline: sapphireknot::time::MonoTime,
    ) -> QuotaVerdict {
        QuotaVerdict::OverRate { retry_at: deadline }
    }
}

#[async_trait]
impl ServerPool for Nothing {
    async fn pick(&self, _: PickQuery<'_>) -> Result<Box<dyn ServerTicket>, PickRefusal> {
        Err(PickRefusal::NoServer)
    }
}

impl SpillGate for Nothing {
    fn try_spill(&self, _: &ServiceId, _: &RegionId) -> bool {
        false
    }
}

impl VersionRouter for Nothing {
    fn choose(&self, _: &ServiceId, _: u32) -> Option<VersionId> {
        None
    }

    fn record(&self, _: VersionSample) {}
}

/// Platform that the hosts of a test share.
#[derive(Clone, Default)]
pub(crate) struct FakePlatform {
    /// Store.
    pub(crate) store: FakeStore,
    /// Host list.
    pub(crate) hosts: FakeHosts,
}

/// Host of a test.
pub(crate) struct TestHost {
    /// State that requests read.
    pub(crate) context: Arc<HostContext>,
    /// The store as this host sees it.
    pub(crate) store: FakeStore,
    /// Control modules.
    pub(crate) handle: ControlHandle,
}

/// Starts host `idx`; three regions with two data centres each, the store in the first region.
pub(crate) async fn start_host(platform: &FakePlatform, idx: usize) -> TestHost {
    start_host_in(platform, idx, idx % 6).await
}

/// Starts host `idx` in a data centre, of which every third is in the same region.
pub(crate) async fn start_host_in(
    platform: &FakePlatform,
    idx: usize,
    datacentre: usize,
) -> TestHost {
    let nowhere = "127.0.0.1:1".parse().unwrap();
    let (context, listeners) = bind_host(idx, datacentre, nowhere, nowhere).await;
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

/// Binds the listeners of a host whose platform is at the given addresses.
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
    let nothing = Arc::new(Nothing);
    let state = Arc::new(PublishedState::new(settings, clock, identity));
    let context = Arc::new(HostContext {
        state: state.clone(),
        quota: nothing.clone(),
        versions: nothing.clone(),
        rollouts: Arc::new(RolloutTable::new(state)),
        claims: Arc::new(RequestClaims::new(ClaimLimits::default(), clock)),
        spill: nothing.clone(),
        quotas,
        servers: nothing,
    });
    (context, ControlListeners { peer, operator })
}

impl TestHost {
    /// Generation in force; zero before the first.
    pub(crate) fn generation(&self) -> u64 {
        self.context.config.load().as_ref().map(|it| it.generation.0).unwrap_or_default()
    }

    /// Whether keyed requests are served.
    pub(crate) fn is_fresh(&self) -> bool {
        self.context.clock.now() < self.context.fresh_until.get()
    }

    /// Age of the latest proof, unless a majority counts instead.
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

    /// Submits the first document.
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

/// Calls an operator interface; the body is none if it has another form.
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

/// Document with one organisation.
pub(crate) fn document() -> ConfigDocument {
    load_document(
        "{regions: [{id: r0, datacentres: [d0, d3]}, {id: r1, datacentres: [d1, d4]}, \
         {id: r2, datacentres: [d2, d5]}], \
         organisations: [{id: acme, rate: 200/s, burst: 400}]}",
    )
    .unwrap()
}

/// Note that adds an organisation.
pub(crate) fn add_note(id: &str, organisation: &str) -> ReleaseNote {
    let item = format!("{{organisation: {{id: {organisation}, rate: 10/s, burst: 20}}}}");
    load_note(&format!("{{id: {id}, items: [{{add: {item}}}]}}")).unwrap()
}

/// Waits until `holds`, and panics with `what` after `limit`; returns the time that it took.
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
