//! Entry host for a platform that holds the configuration, the registrations and the list of hosts.
//!
//! Decisions are made in [`sapphireknot::steering`]; an adapter translates between the platform and this module.
//! [`fleet_actor`] follows the store, [`host_actor`] keeps this host registered, [`caller_server`] serves callers, and
//! [`auxiliary_servers`] serves the directory, the readiness check and the metrics. Hosts call each other to obtain quota
//! tokens ([`quota_client`]), to exchange server loads ([`load_exchange`]), and to read copies of the store while it is
//! unreachable ([`peer_copies`]). During a store outage, [`cold_probes`] detects cold servers and [`cold_broadcast`]
//! sends the results to the other hosts.

mod attempt;
mod attempt_guard;
pub mod auxiliary_servers;
pub mod caller_body;
pub mod caller_server;
pub mod cold_broadcast;
pub mod cold_probes;
pub mod copy_transfer;
pub mod evidence_codec;
pub mod feed_relay;
pub mod fleet_actor;
pub mod host_actor;
pub mod load_exchange;
pub mod log_limiter;
pub mod meters;
pub mod peer_channels;
pub mod peer_copies;
pub mod peer_server;
pub mod quota_client;
pub mod reload;
mod request_log;
mod request_report;
pub mod settings;
pub mod state;

mod forward;
mod platform;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use prometheus::Registry;
use ractor::{Actor, ActorRef, SpawnErr};
use sapphireknot::{
    drain::{DrainLimits, DrainStage, DrainTracker},
    ids::IncarnationId,
    steering::fleet::HostRecord,
};
use thiserror::Error;
use tokio::{
    signal::unix::{SignalKind, signal},
    task::JoinHandle,
};

pub use self::platform::EntryPlatform;
use self::{
    caller_server::CallerServer,
    cold_broadcast::ColdBroadcaster,
    fleet_actor::{FleetActor, FleetArguments, FleetMessage},
    host_actor::{HostActor, HostArguments, HostMessage},
    settings::EntrySettings,
    state::EntryState,
};
use crate::{
    clock::HostClock,
    listening::{BoundListener, ListenError},
    settings_file::SettingsFile,
    shutdown::{ShutdownSignals, run_drain},
    telemetry::{self, TelemetryError, TelemetryOptions},
};

/// Interval at which a host that shuts down polls the number of requests in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Fraction of the stop grace during which a host that shuts down still serves callers with a cached address.
const LEAVING_FRACTION: f64 = 0.3;
/// Fraction of the stop grace after which the process exits in any case, before the platform kills it.
const STOP_FRACTION: f64 = 0.92;
/// Timeout for deregistering this host from the store.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(500);

/// Error that ends an entry host early.
#[derive(Debug, Error)]
pub enum EntryError {
    /// A listener could not be bound.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// A signal handler could not be installed.
    #[error("receive signals: {0}")]
    Signals(#[source] std::io::Error),
    /// An actor failed to start.
    #[error("start actor: {0}")]
    Actor(#[from] SpawnErr),
    /// Telemetry could not be set up.
    #[error("start telemetry: {0}")]
    Telemetry(#[from] TelemetryError),
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

impl RunningEntry {
    /// Binds the listeners of `settings` and starts to serve.
    pub async fn start(
        settings: EntrySettings,
        platform: EntryPlatform,
        registry: Registry,
    ) -> Result<Self, EntryError> {
        let callers = BoundListener::bind("callers", settings.listen.caller).await?;
        let readiness = BoundListener::bind("readiness", settings.listen.readiness).await?;
        let directory = BoundListener::bind("directory", settings.listen.directory).await?;
        let peers = BoundListener::bind("peers", settings.listen.peer).await?;
        let caller_address = callers.address;
        let directory_address = directory.address;
        let readiness_address = readiness.address;
        let clock = HostClock::start_with_day_offset();
        let record = HostRecord {
            id: settings.host.clone(),
            incarnation: IncarnationId(clock.wall().0),
            region: settings.region.clone(),
            datacentre: settings.datacentre.clone(),
            address: caller_address,
            peer_address: peers.address,
            capacity: settings.capacity(),
        };
        let mut metrics_address = None;
        let metrics = settings.listen.metrics;
        let state = Arc::new(EntryState::new(settings, platform, clock, record));
        let mut tasks = Vec::new();
        if let Some(address) = metrics {
            // Serving without metrics is better than not serving at all.
            match BoundListener::bind("metrics", address).await {
                Ok(BoundListener { listener, address }) => {
                    metrics_address = Some(address);
                    let task = auxiliary_servers::serve_metrics(state.clone(), registry, listener);
                    tasks.push(tokio::spawn(task));
                }
                Err(err) => log::error!(error:% = err; "serve metrics"),
            }
        }
        let arguments = FleetArguments { state: state.clone() };
        let (fleet, _) = FleetActor::spawn(None, FleetActor, arguments).await?;
        tasks.push(tokio::spawn(peer_copies::run(state.clone(), fleet.clone())));
        let arguments = HostArguments { state: state.clone() };
        let (host, _) = HostActor::spawn(None, HostActor, arguments).await?;
        let server = Arc::new(CallerServer::new(state.clone(), fleet.clone()));
        let cold_broadcaster = Arc::new(ColdBroadcaster::new(state.clone()));
        tasks.push(tokio::spawn(cold_probes::run(state.clone(), cold_broadcaster.clone())));
        tasks.push(tokio::spawn(server.clone().serve(callers.listener)));
        tasks.push(tokio::spawn(peer_server::serve(
            state.clone(),
            cold_broadcaster,
            peers.listener,
        )));
        tasks.push(tokio::spawn(load_exchange::run(state.clone())));
        tasks.push(tokio::spawn(auxiliary_servers::serve_directory(
            state.clone(),
            directory.listener,
        )));
        tasks.push(tokio::spawn(auxiliary_servers::serve_readiness(
            state.clone(),
            readiness.listener,
        )));
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

    /// Shuts the host down gracefully.
    pub async fn stop(self) {
        let state = &self.state;
        let grace = state.settings.load().bounds.stop_grace.0;
        let limits = DrainLimits {
            cache_lifetime: grace.mul_f64(LEAVING_FRACTION),
            drain_limit: grace.mul_f64(STOP_FRACTION),
            longest_request: Duration::ZERO,
        };
        let tracker = DrainTracker::begin(state.clock.now(), limits);
        state.drain_end.get_or_init(|| tracker.end());
        state.drain.send_replace(tracker.stage());
        log::info!(in_flight = self.server.in_flight(); "graceful shutdown started");
        let deregistration = self.host.call(HostMessage::Deregister, Some(DEREGISTER_TIMEOUT));
        if let Err(err) = deregistration.await {
            log::warn!(error:% = err; "deregister this host");
        }
        let in_flight = || self.server.in_flight();
        run_drain(tracker, state.clock, &state.drain, in_flight, DRAIN_POLL_INTERVAL).await;
        state.drain.send_replace(DrainStage::Ended);
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
    file: SettingsFile,
    platform: EntryPlatform,
) -> Result<(), EntryError> {
    let mut signals = ShutdownSignals::new().map_err(EntryError::Signals)?;
    let hangup = signal(SignalKind::hangup()).map_err(EntryError::Signals)?;
    let registry = Registry::new();
    let target = TelemetryOptions {
        host: &settings.host,
        region: &settings.region,
        otlp: settings.telemetry.otlp,
        registry: Some(&registry),
    };
    let guard = telemetry::install(&target)?;
    let host = settings.host.clone();
    let entry = RunningEntry::start(settings, platform, registry).await?;
    let reload_task = tokio::spawn(reload::run(entry.state.clone(), file, hangup));
    let seeds = entry.state.settings.load().seeds.clone();
    log::info!(
        host:%, seeds:?, peers:% = entry.state.record.peer_address, callers:% = entry.caller_address, directory:% = entry.directory_address,
        readiness:% = entry.readiness_address, metrics:? = entry.metrics_address;
        "started"
    );
    signals.next().await;
    let shutdown = async {
        entry.stop().await;
        reload_task.abort();
    };
    tokio::select! {
        () = shutdown => {}
        () = signals.next() => log::warn!("ended by a second signal"),
    }
    drop(guard);
    log::info!("ended");
    Ok(())
}
