//! Control modules of many hosts in one process, with real sockets and an in-memory store.
//!
//! The CPU time covers the whole process, including the store. In a separate run, TCP relays in front of the peer
//! addresses count the bytes of control traffic, without TCP and IP headers.

use std::{
    error::Error,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use async_trait::async_trait;
use http::Method;
use parking_lot::Mutex;
use sapphireknot::{config::load_document, keys::KeyDigest};
use sapphireknot_platform::{HostList, ListedHost, StoreError};
use sapphireknot_standin::{
    client::{HttpCall, HttpClient},
    store::MemoryStore,
};
use sapphireknotd::{
    clock::HostClock,
    context::HostContext,
    control::{self, ControlHandle, ControlListeners, PlatformClients},
    daemon,
    settings::HostSettings,
};
use serde_json::{Value, json};
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    task::JoinHandle,
    time::{sleep, timeout},
};

use crate::{
    table::{MeasureRun, MeasureTable, quantile},
    usage::{cpu_time, resident_bytes},
};

/// Number of regions, with two data centres each.
const REGIONS: usize = 3;
/// Operator token of all hosts.
const TOKEN: &str = "measure-token";
/// Time limit of a call, and of a change to reach all hosts.
const TIME_LIMIT: Duration = Duration::from_secs(60);

/// In-memory host list.
#[derive(Default)]
struct MemoryHostList(Mutex<Vec<ListedHost>>);

#[async_trait]
impl HostList for MemoryHostList {
    async fn list_hosts(&self) -> Result<Vec<ListedHost>, StoreError> {
        Ok(self.0.lock().clone())
    }
}

/// Running control modules with their shared store, and relays if the traffic is counted.
struct HostGroup {
    store: Arc<MemoryStore>,
    hosts: Vec<(Arc<HostContext>, ControlHandle)>,
    relays: Vec<JoinHandle<()>>,
    /// Bytes counted by the relays.
    bytes: Arc<AtomicU64>,
}

impl HostGroup {
    /// Starts `count` hosts, with a relay in front of each peer address if `has_relays` is set.
    async fn start(count: usize, has_relays: bool) -> Result<Self, Box<dyn Error>> {
        let store = Arc::new(MemoryStore::new(Duration::from_millis(500)));
        let list = Arc::new(MemoryHostList::default());
        let bytes = Arc::new(AtomicU64::new(0));
        let (mut hosts, mut relays) = (Vec::new(), Vec::new());
        for idx in 0..count {
            let peer = TcpListener::bind("127.0.0.1:0").await?;
            let operator = TcpListener::bind("127.0.0.1:0").await?;
            let mut peer_address = peer.local_addr()?;
            if has_relays {
                let listener = TcpListener::bind("127.0.0.1:0").await?;
                let target = std::mem::replace(&mut peer_address, listener.local_addr()?);
                relays.push(tokio::spawn(relay(listener, target, bytes.clone())));
            }
            let bound = [peer_address, peer_address, operator.local_addr()?];
            let settings = host_settings(idx)?;
            let clock = HostClock::start();
            let identity = daemon::identity(&settings, &clock, bound);
            list.0.lock().push(ListedHost {
                id: identity.id.clone(),
                region: identity.region.clone(),
                datacentre: identity.datacentre.clone(),
                peer_address,
                caller_address: peer_address,
                leaving: false,
            });
            let (context, _) = daemon::build_context(settings, clock, identity);
            let clients = PlatformClients { store: store.clone(), hosts: list.clone() };
            let listeners = ControlListeners { peer, operator };
            let handle = control::start_with_platform(context.clone(), listeners, clients).await?;
            hosts.push((context, handle));
        }
        Ok(Self { store, hosts, relays, bytes })
    }

    fn stop(self) {
        for (_, handle) in self.hosts {
            handle.abort();
        }
        for relay in self.relays {
            relay.abort();
        }
    }

    /// Returns the number of members that a host does not list as alive, summed over all hosts.
    fn missing(&self) -> usize {
        let count = |context: &HostContext| {
            context.members.load().iter().filter(|it| it.state.takes_callers()).count()
        };
        let seen: usize = self.hosts.iter().map(|(context, _)| count(context)).sum();
        self.hosts.len().pow(2) - seen.min(self.hosts.len().pow(2))
    }

    /// Waits until every host lists all hosts as alive.
    async fn wait_converged(&self) -> Result<(), Box<dyn Error>> {
        let converged = async {
            while self.missing() > 0 {
                sleep(Duration::from_millis(100)).await;
            }
        };
        Ok(timeout(TIME_LIMIT, converged).await?)
    }

    /// Submits a document or a note to the first host, and returns the resulting generation.
    async fn submit(&self, path: &str, body: Value) -> Result<u64, Box<dyn Error>> {
        let caller = HttpClient::new(TIME_LIMIT);
        let address = self.hosts[0].0.identity.operator_address;
        let method = if path == "/v1/config" { Method::PUT } else { Method::POST };
        let call = HttpCall::new(method, path)
            .header("authorization", format!("Bearer {TOKEN}"))
            .body(body.to_string());
        let reply = caller.send(address, call).await?;
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        let receipt: Value = serde_json::from_str(&text)?;
        find_generation(&receipt).ok_or_else(|| format!("{path}: {text}").into())
    }

    /// Waits until `generation` is in force on every host, and returns the time that it took in seconds.
    async fn wait_generation(&self, generation: u64) -> Result<f64, Box<dyn Error>> {
        let started = Instant::now();
        let has_generation = |context: &HostContext| {
            context.config.load().as_ref().is_some_and(|it| it.generation.0 >= generation)
        };
        let all_installed = async {
            while !self.hosts.iter().all(|(context, _)| has_generation(context)) {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(TIME_LIMIT, all_installed).await?;
        Ok(started.elapsed().as_secs_f64())
    }
}

/// Returns the `generation` field of an object, or the first one in its nested objects.
fn find_generation(value: &Value) -> Option<u64> {
    match value {
        Value::Object(map) => {
            let own = map.get("generation").and_then(Value::as_u64);
            own.or_else(|| map.values().find_map(find_generation))
        }
        _ => None,
    }
}

/// Returns the settings of the host `idx`; the platform addresses are placeholders that are not used.
fn host_settings(idx: usize) -> Result<HostSettings, Box<dyn Error>> {
    let (region, datacentre) = (idx % REGIONS, idx % (2 * REGIONS));
    let any_port = "127.0.0.1:0";
    let settings = json!({
        "host": format!("d{datacentre}-host-{idx}"),
        "region": format!("r{region}"),
        "datacentre": format!("d{datacentre}"),
        "listen": { "caller": any_port, "peer": any_port, "operator": any_port },
        "platform": { "store": "127.0.0.1:1", "store_region": "r0", "host_list": "127.0.0.1:1" },
        "operator_token_sha256": KeyDigest::of(TOKEN.as_bytes()).to_hex(),
    });
    HostSettings::from_tree(settings).map_err(|problems| format!("{problems:?}").into())
}

/// Relays connections to `target` and counts the bytes of both directions.
async fn relay(listener: TcpListener, target: SocketAddr, bytes: Arc<AtomicU64>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let bytes = bytes.clone();
        tokio::spawn(async move {
            let Ok(upstream) = TcpStream::connect(target).await else { return };
            let mut upstream = CountingStream { inner: upstream, bytes };
            // An error closes both connections.
            let _ = copy_bidirectional(&mut stream, &mut upstream).await;
        });
    }
}

/// Stream that counts its bytes as they are transferred.
///
/// Connections stay open, so a count at their end would come too late.
struct CountingStream {
    inner: TcpStream,
    bytes: Arc<AtomicU64>,
}

impl tokio::io::AsyncRead for CountingStream {
    fn poll_read(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
        buffer: &mut tokio::io::ReadBuf<'_>,
    ) -> std::task::Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let result = std::pin::Pin::new(&mut self.inner).poll_read(context, buffer);
        let count = buffer.filled().len() - before;
        self.bytes.fetch_add(count as u64, Ordering::Relaxed);
        result
    }
}

impl tokio::io::AsyncWrite for CountingStream {
    fn poll_write(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
        buffer: &[u8],
    ) -> std::task::Poll<std::io::Result<usize>> {
        let result = std::pin::Pin::new(&mut self.inner).poll_write(context, buffer);
        if let std::task::Poll::Ready(Ok(count)) = &result {
            self.bytes.fetch_add(*count as u64, Ordering::Relaxed);
        }
        result
    }

    fn poll_flush(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<std::io::Result<()>> {
        std::pin::Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<std::io::Result<()>> {
        std::pin::Pin::new(&mut self.inner).poll_shutdown(context)
    }
}

/// Returns the configuration document of the hosts.
fn document() -> Result<Value, Box<dyn Error>> {
    let text = "{regions: [{id: r0, datacentres: [d0, d3]}, {id: r1, datacentres: [d1, d4]}, \
                {id: r2, datacentres: [d2, d5]}], \
                organisations: [{id: acme, rate: 200/s, burst: 400}]}";
    let document = load_document(text).map_err(|problems| format!("{problems:?}"))?;
    Ok(serde_json::to_value(document)?)
}

/// Measures CPU time, memory, store requests and control traffic for growing numbers of hosts.
pub(crate) fn measure(run: &MeasureRun) -> Result<Vec<MeasureTable>, Box<dyn Error>> {
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(measure_sizes(run))
}

async fn measure_sizes(run: &MeasureRun) -> Result<Vec<MeasureTable>, Box<dyn Error>> {
    let (sizes, changes, window): (&[usize], usize, u64) =
        if run.is_small { (&[6, 12], 2, 3) } else { (&[12, 24, 48, 96], 10, 10) };
    let columns = [
        "hosts",
        "core % a host",
        "MiB a host",
        "reads/s",
        "writes/s",
        "watches/s",
        "missing",
        "note spread p50 s",
        "max s",
    ];
    let title = format!("members: {window} s without change, then {changes} notes; one process");
    let mut costs = MeasureTable::new(title, &columns);
    let mut traffic = MeasureTable::new(
        "members: bytes of control traffic in a run with relays",
        &["hosts", "sent and received a host and second"],
    );
    for &size in sizes {
        run.step(format!("{size} hosts"));
        let before = resident_bytes(None);
        let group = HostGroup::start(size, false).await?;
        if group.wait_converged().await.is_err() {
            let missing = format!("{} after {TIME_LIMIT:?}", group.missing());
            costs.push(&[&size, &"-", &"-", &"-", &"-", &"-", &missing, &"-", &"-"]);
            group.stop();
            continue;
        }
        let submission = json!({ "document": document()?, "base": 0 });
        let generation = group.submit("/v1/config", submission).await?;
        group.wait_generation(generation).await?;
        sleep(Duration::from_secs(window)).await;
        let (spent, counts) = (cpu_time(None), group.store.counts());
        sleep(Duration::from_secs(window)).await;
        let spent = (cpu_time(None) - spent).as_secs_f64();
        let after = group.store.counts();
        let rate = |now: u64, then: u64| format!("{:.1}", (now - then) as f64 / window as f64);
        let memory = resident_bytes(None).saturating_sub(before) as f64 / (1 << 20) as f64;
        let missing = group.missing();
        let mut times = Vec::new();
        for number in 0..changes {
            run.step(format!("{size} hosts, note {number}"));
            let organisation = json!({ "id": format!("o{number}"), "rate": "9/s", "burst": 9 });
            let items = json!([{ "add": { "organisation": organisation } }]);
            let note = json!({ "id": format!("n{number}"), "items": items });
            let generation = group.submit("/v1/notes", json!({ "note": note })).await?;
            times.push(group.wait_generation(generation).await?);
            sleep(Duration::from_millis(500)).await;
        }
        times.sort_by(f64::total_cmp);
        costs.push(&[
            &size,
            &format!("{:.2}", spent * 100.0 / (window as usize * size) as f64),
            &format!("{:.2}", memory / size as f64),
            &rate(after.reads, counts.reads),
            &rate(after.writes, counts.writes),
            &rate(after.watches, counts.watches),
            &missing,
            &format!("{:.2}", quantile(&times, 0.5)),
            &format!("{:.2}", quantile(&times, 1.0)),
        ]);
        group.stop();
        sleep(Duration::from_millis(500)).await;
    }
    for &size in &sizes[..2] {
        run.step(format!("{size} hosts with relays"));
        let group = HostGroup::start(size, true).await?;
        group.wait_converged().await?;
        let submission = json!({ "document": document()?, "base": 0 });
        let generation = group.submit("/v1/config", submission).await?;
        group.wait_generation(generation).await?;
        sleep(Duration::from_secs(window)).await;
        let before = group.bytes.load(Ordering::Relaxed);
        sleep(Duration::from_secs(window)).await;
        let bytes = (group.bytes.load(Ordering::Relaxed) - before) as f64;
        // Each byte is sent by one host and received by another.
        let rate = 2.0 * bytes / (window as usize * size) as f64;
        traffic.push(&[&size, &format!("{rate:.0}")]);
        group.stop();
    }
    Ok(vec![costs, traffic])
}
