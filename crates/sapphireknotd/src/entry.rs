//! Entry host on a platform that holds the configuration, the registrations and the list of hosts.
//!
//! The decisions are in [`sapphireknot::steering`], and an adapter translates between the platform and this module.
//! [`fleet_actor`] follows the store, [`host_actor`] keeps this host registered, [`caller_server`] serves callers, and
//! [`side_servers`] answer the directory, the readiness check and the metrics. Hosts ask each other for admissions
//! ([`quota_peers`]), for the loads of servers ([`load_peers`]), and for what the store holds when it cannot be read
//! ([`peer_source`]). While the store is away, [`cold_probes`] ask servers whether they are cold, and [`cold_peers`] tells
//! the other hosts.

mod attempt;
mod attempt_ticket;
pub mod caller_body;
pub mod caller_server;
pub mod cold_peers;
pub mod cold_probes;
pub mod copy_calls;
mod decision_line;
pub mod decision_log;
pub mod evidence_codec;
pub mod feed_relay;
pub mod fleet_actor;
pub mod host_actor;
pub mod load_peers;
pub mod meters;
pub mod peer_channels;
pub mod peer_server;
pub mod peer_source;
pub mod quota_peers;
pub mod reload;
mod request_report;
pub mod settings;
pub mod side_servers;
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
    cold_peers::ColdPeers,
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
    #[error(transparent)]
    Listen(#[from] ListenError),
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
            // Requests are served without metrics rather than not at all.
            match BoundListener::bind("metrics", address).await {
                Ok(BoundListener { listener, address }) => {
                    metrics_address = Some(address);
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
        let cold_peers = Arc::new(ColdPeers::new(state.clone()));
        tasks.push(tokio::spawn(cold_probes::run(state.clone(), cold_peers.clone())));
        tasks.push(tokio::spawn(server.clone().serve(callers.listener)));
        tasks.push(tokio::spawn(peer_server::serve(state.clone(), cold_peers, peers.listener)));
        tasks.push(tokio::spawn(load_peers::run(state.clone())));
        tasks.push(tokio::spawn(side_servers::serve_directory(state.clone(), directory.listener)));
        tasks.push(tokio::spawn(side_servers::serve_readiness(state.clone(), readiness.listener)));
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
        let tracker = DrainTracker::begin(state.clock.now(), limits);
        state.drain.send_replace(tracker.stage());
        log::info!(in_flight = self.server.in_flight(); "leaving");
        let farewell = self.host.call(HostMessage::Leave, Some(FAREWELL_TIMEOUT));
        if let Err(err) = farewell.await {
            log::warn!(error:% = err; "tell the store that this host leaves");
        }
        let in_flight = || self.server.in_flight();
        run_drain(tracker, state.clock, &state.drain, in_flight, STOP_TICK).await;
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
    let reloading = tokio::spawn(reload::run(entry.state.clone(), file, hangup));
    let seeds = entry.state.settings.load().seeds.clone();
    log::info!(
        host:%, seeds:?, peers:% = entry.state.record.peer_address, callers:% = entry.caller_address, directory:% = entry.directory_address,
        readiness:% = entry.readiness_address, metrics:? = entry.metrics_address;
        "started"
    );
    signals.next().await;
    let ending = async {
        entry.stop().await;
        reloading.abort();
    };
    tokio::select! {
        () = ending => {}
        () = signals.next() => log::warn!("ended by a second signal"),
    }
    drop(guard);
    log::info!("ended");
    Ok(())
}
