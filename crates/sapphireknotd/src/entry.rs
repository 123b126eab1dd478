//! Entry host on a platform that holds the configuration, the registrations and the list of hosts.
//!
//! The decisions are in [`sapphireknot::steering`], and an adapter translates between the platform and this module.
//! [`fleet_actor`] follows the store, [`host_actor`] keeps this host registered, [`caller_server`] serves callers, and
//! [`side_servers`] answer the directory, the readiness check and the metrics. Hosts ask each other for admissions
//! ([`quota_peers`]), for the loads of servers ([`load_peers`]), and for what the store holds when it cannot be read
//! ([`peer_source`]).

mod attempt;
pub mod caller_server;
mod decision_line;
pub mod decision_log;
pub mod evidence_codec;
pub mod fleet_actor;
pub mod host_actor;
pub mod load_peers;
pub mod meters;
pub mod peer_channels;
pub mod peer_server;
pub mod peer_source;
pub mod quota_peers;
pub mod reload;
pub mod settings;
pub mod side_servers;
pub mod state;

mod forward;

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use prometheus::Registry;
use ractor::{Actor, ActorRef, SpawnErr};
use sapphireknot::{
    drain::{DrainLimits, DrainTracker},
    ids::IncarnationId,
    steering::fleet::HostRecord,
};
use sapphireknot_platform::{FleetStore, RequestDialect};
use thiserror::Error;
use tokio::{
    net::TcpListener,
    signal::unix::{Signal, SignalKind, signal},
    task::JoinHandle,
    time::sleep,
};

use self::{
    caller_server::CallerServer,
    fleet_actor::{FleetActor, FleetArguments, FleetMessage},
    host_actor::{HostActor, HostArguments, HostMessage},
    settings::EntrySettings,
    state::EntryState,
};
use crate::{
    clock::HostClock,
    context::DrainStage,
    telemetry::{self, TelemetryError, TelemetryTarget},
};

/// Interval at which a stopping host looks for requests in flight.
const STOP_TICK: Duration = Duration::from_millis(20);
/// Part of the stop grace for which a stopping host serves callers that still know its address.
const LEAVING_PART: f64 = 0.3;
/// Part of the stop grace after which the process ends in any case, so that it is not killed.
const STOP_PART: f64 = 0.92;
/// Time to tell the store that this host leaves.
const FAREWELL_TIMEOUT: Duration = Duration::from_millis(500);

/// Why an entry host ended early.
#[derive(Debug, Error)]
pub enum EntryError {
    /// An address cannot be listened at.
    #[error("listen for {role} at {address}: {source}")]
    Listen {
        /// Who connects there.
        role: &'static str,
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// Signals cannot be received.
    #[error("receive signals: {0}")]
    Signals(#[source] std::io::Error),
    /// An actor did not start.
    #[error("start actor: {0}")]
    Actor(#[from] SpawnErr),
    /// Telemetry cannot be produced.
    #[error("start telemetry: {0}")]
    Telemetry(#[from] TelemetryError),
}

/// Platform of an entry host, through an adapter.
#[derive(Clone)]
pub struct EntryPlatform {
    /// Store.
    pub store: Arc<dyn FleetStore>,
    /// Headers and statuses.
    pub dialect: Arc<dyn RequestDialect>,
}

/// Entry host that runs in this process.
pub struct RunningEntry {
    state: Arc<EntryState>,
    server: Arc<CallerServer>,
    fleet: ActorRef<FleetMessage>,
    host: ActorRef<HostMessage>,
    tasks: Vec<JoinHandle<()>>,
    caller_address: SocketAddr,
    directory_address: SocketAddr,
    readiness_address: SocketAddr,
    metrics_address: Option<SocketAddr>,
}

async fn bind(role: &'static str, address: SocketAddr) -> Result<TcpListener, EntryError> {
    let describe = |source| EntryError::Listen { role, address, source };
    TcpListener::bind(address).await.map_err(describe)
}

fn bound(role: &'static str, listener: &TcpListener) -> Result<SocketAddr, EntryError> {
    let address = SocketAddr::from(([0, 0, 0, 0], 0));
    listener.local_addr().map_err(|source| EntryError::Listen { role, address, source })
}

impl RunningEntry {
    /// Binds the listeners of `settings` and starts to serve.
    pub async fn start(
        settings: EntrySettings,
        platform: EntryPlatform,
        registry: Registry,
    ) -> Result<Self, EntryError> {
        let callers = bind("callers", settings.listen.caller).await?;
        let readiness = bind("readiness", settings.listen.readiness).await?;
        let directory = bind("directory", settings.listen.directory).await?;
        let peers = bind("peers", settings.listen.peer).await?;
        let caller_address = bound("callers", &callers)?;
        let directory_address = bound("directory", &directory)?;
        let readiness_address = bound("readiness", &readiness)?;
        let clock = HostClock::start_at_day();
        let record = HostRecord {
            id: settings.host.clone(),
            incarnation: IncarnationId(clock.wall().0),
            region: settings.region.clone(),
            datacentre: settings.datacentre.clone(),
            address: caller_address,
            peer_address: bound("peers", &peers)?,
        };
        let mut metrics_address = None;
        let metrics = settings.listen.metrics;
        let state = Arc::new(EntryState::new(settings, platform, clock, record));
        let mut tasks = Vec::new();
        if let Some(address) = metrics {
            // Requests are served without metrics rather than not at all.
            match bind("metrics", address).await {
                Ok(listener) => {
                    metrics_address = Some(bound("metrics", &listener)?);
                    let task = side_servers::serve_metrics(state.clone(), registry, listener);
                    tasks.push(tokio::spawn(task));
                }
                Err(err) => log::error!(error:% = err; "serve metrics"),
            }
        }
        let arguments = FleetArguments { state: state.clone() };
        let (fleet, _) = FleetActor::spawn(None, FleetActor, arguments).await?;
        tasks.push(tokio::spawn(peer_source::run(state.clone(), fleet.clone())));
        let arguments = HostArguments { state: state.clone() };
        let (host, _) = HostActor::spawn(None, HostActor, arguments).await?;
        let server = Arc::new(CallerServer::new(state.clone(), fleet.clone()));
        tasks.push(tokio::spawn(server.clone().serve(callers)));
        tasks.push(tokio::spawn(peer_server::serve(state.clone(), peers)));
        tasks.push(tokio::spawn(load_peers::run(state.clone())));
        tasks.push(tokio::spawn(side_servers::serve_directory(state.clone(), directory)));
        tasks.push(tokio::spawn(side_servers::serve_readiness(state.clone(), readiness)));
        Ok(Self {
            state,
            server,
            fleet,
            host,
            tasks,
            caller_address,
            directory_address,
            readiness_address,
            metrics_address,
        })
    }

    /// Ends the host by a graceful shutdown.
    pub async fn stop(self) {
        let state = &self.state;
        let grace = state.settings.load().bounds.stop_grace.0;
        let limits = DrainLimits {
            cache_lifetime: grace.mul_f64(LEAVING_PART),
            drain_limit: grace.mul_f64(STOP_PART),
            longest_request: Duration::ZERO,
        };
        let mut tracker = DrainTracker::begin(state.clock.now(), limits);
        state.drain.send_replace(tracker.stage());
        log::info!(in_flight = self.server.in_flight(); "leaving");
        let farewell = self.host.call(HostMessage::Leave, Some(FAREWELL_TIMEOUT));
        if let Err(err) = farewell.await {
            log::warn!(error:% = err; "tell the store that this host leaves");
        }
        loop {
            let before = tracker.stage();
            tracker.advance(state.clock.now(), self.server.in_flight());
            if tracker.stage() != before {
                state.drain.send_replace(tracker.stage());
                log::info!(stage:? = tracker.stage(), in_flight = self.server.in_flight(); "drain stage");
            }
            if tracker.stage() == DrainStage::Ended {
                break;
            }
            sleep(STOP_TICK).await;
        }
        self.fleet.stop(None);
        self.host.stop(None);
        for task in self.tasks {
            task.abort();
        }
    }
}

/// Runs an entry host until a signal ends it.
pub async fn run(
    settings: EntrySettings,
    path: PathBuf,
    platform: EntryPlatform,
) -> Result<(), EntryError> {
    let mut terminate = listen_for(SignalKind::terminate())?;
    let mut interrupt = listen_for(SignalKind::interrupt())?;
    let hangup = listen_for(SignalKind::hangup())?;
    let registry = Registry::new();
    let target = TelemetryTarget {
        host: &settings.host,
        region: &settings.region,
        otlp: settings.telemetry.otlp,
        registry: Some(&registry),
    };
    let guard = telemetry::install(&target)?;
    let host = settings.host.clone();
    let entry = RunningEntry::start(settings, platform, registry).await?;
    let reloading = tokio::spawn(reload::run(entry.state.clone(), path, hangup));
    let seeds = entry.state.settings.load().seeds.clone();
    log::info!(
        host:%, seeds:?, peers:% = entry.state.record.peer_address, callers:% = entry.caller_address, directory:% = entry.directory_address,
        readiness:% = entry.readiness_address, metrics:? = entry.metrics_address;
        "started"
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let ending = async {
        entry.stop().await;
        reloading.abort();
    };
    tokio::select! {
        () = ending => {}
        _ = terminate.recv() => log::warn!("ended by a second signal"),
        _ = interrupt.recv() => log::warn!("ended by a second signal"),
    }
    drop(guard);
    log::info!("ended");
    Ok(())
}

fn listen_for(kind: SignalKind) -> Result<Signal, EntryError> {
    signal(kind).map_err(EntryError::Signals)
}
