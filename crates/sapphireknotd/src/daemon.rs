//! Life cycle of the daemon: listeners, request path, signals and graceful shutdown.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use sapphireknot::{
    drain::{DrainLimits, DrainStage, DrainTracker},
    idempotency::ClaimLimits,
    ids::IncarnationId,
};
use sapphireknot_adapter::{HttpDialect, HttpFleetStore};
use thiserror::Error;
use tokio::{
    task::JoinHandle,
    time::{sleep_until, timeout},
};

use crate::{
    claims::RequestClaims,
    clock::HostClock,
    constants,
    context::HostContext,
    control::{self, ControlError, ControlHandle, ControlListeners},
    entry::{self, EntryError, EntryPlatform},
    front::FrontServer,
    interfaces::HostIdentity,
    listening::{BoundListener, ListenError},
    options::{DaemonOptions, DaemonSettings},
    published::PublishedState,
    quota::HostQuotas,
    rollout::RolloutTable,
    settings::HostSettings,
    shutdown::{ShutdownSignals, run_drain},
    telemetry::{self, TelemetryError, TelemetryOptions},
    upstream::{connections::ConnectionPool, pool::RegionalPool, probes},
};

/// Interval at which a closing host polls the number of requests in flight.
const CLOSING_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time limit for exporting pending telemetry; an unreachable receiver must not delay a planned stop much.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Error that ends the daemon.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// A listener could not be bound.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The async runtime could not be started.
    #[error("start runtime: {0}")]
    Runtime(#[source] std::io::Error),
    /// The entry host failed.
    #[error(transparent)]
    Entry(#[from] EntryError),
    /// The signal handlers could not be installed.
    #[error("receive signals: {0}")]
    Signals(#[source] std::io::Error),
    /// The control modules could not be started.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// Telemetry could not be set up.
    #[error("start telemetry: {0}")]
    Telemetry(#[from] TelemetryError),
    /// A second signal arrived during the graceful shutdown.
    #[error("ended by a second signal")]
    SecondSignal,
}

/// Builds the identity of a host from its settings and the bound addresses of its listeners.
pub fn identity(
    settings: &HostSettings,
    clock: &HostClock,
    bound: [SocketAddr; 3],
) -> HostIdentity {
    let [caller, peer, operator] = bound;
    HostIdentity {
        id: settings.host.clone(),
        region: settings.region.clone(),
        datacentre: settings.datacentre.clone(),
        // A later start has a later wall time, unless the clock is set back by more than the run time of the process.
        incarnation: IncarnationId(clock.wall().0),
        caller_address: settings.advertise.caller.unwrap_or(caller),
        peer_address: settings.advertise.peer.unwrap_or(peer),
        operator_address: operator,
    }
}

/// Builds the context of a host and its pool of backend servers.
pub fn build_context(
    settings: HostSettings,
    clock: HostClock,
    identity: HostIdentity,
) -> (Arc<HostContext>, Arc<RegionalPool>) {
    let quotas = Arc::new(HostQuotas::new(&identity, clock));
    let state = Arc::new(PublishedState::new(settings, clock, identity));
    let rollouts = Arc::new(RolloutTable::new(state.clone()));
    let pool = RegionalPool::new(state.clone(), rollouts.clone(), rollouts.clone(), quotas.clone());
    let pool = Arc::new(pool);
    let context = HostContext {
        state,
        quota: quotas.clone(),
        spill: quotas.clone(),
        quotas,
        versions: rollouts.clone(),
        rollouts,
        claims: Arc::new(RequestClaims::new(ClaimLimits::default(), clock)),
        servers: pool.clone(),
    };
    (Arc::new(context), pool)
}

/// Host running in this process.
pub struct RunningHost {
    context: Arc<HostContext>,
    front: Arc<FrontServer>,
    control: ControlHandle,
    tasks: Vec<JoinHandle<()>>,
    bound: [SocketAddr; 3],
}

impl RunningHost {
    /// Binds the listeners and starts serving.
    pub async fn start(settings: HostSettings) -> Result<Self, DaemonError> {
        let callers = BoundListener::bind("callers", settings.listen.caller).await?;
        let peers = BoundListener::bind("peers", settings.listen.peer).await?;
        let operators = BoundListener::bind("operators", settings.listen.operator).await?;
        let clock = HostClock::start();
        let bound = [callers.address, peers.address, operators.address];
        let identity = identity(&settings, &clock, bound);
        let max_buffered_bytes = settings.limits.max_buffered_bytes;
        let (context, pool) = build_context(settings, clock, identity);
        let connections = Arc::new(ConnectionPool::new(max_buffered_bytes));
        let front = Arc::new(FrontServer::new(context.clone(), connections.clone()));
        let tasks = vec![
            tokio::spawn(probes::run(context.state.clone(), pool, connections)),
            tokio::spawn(front.clone().serve(callers.listener)),
        ];
        let control_listeners =
            ControlListeners { peer: peers.listener, operator: operators.listener };
        let control = control::start(context.clone(), control_listeners).await?;
        Ok(Self { context, front, control, tasks, bound })
    }

    /// Returns the identity of this host.
    pub fn identity(&self) -> &HostIdentity {
        &self.context.identity
    }

    /// Shuts the host down gracefully.
    pub async fn stop(self) {
        shut_down(&self.context, &self.front, self.control.stop()).await;
        for task in self.tasks {
            task.abort();
        }
    }
}

/// Runs the host configured by `options` until a signal stops it.
pub fn run_process(options: DaemonOptions) -> Result<(), DaemonError> {
    let build = |mut builder: tokio::runtime::Builder| builder.enable_all().build();
    match options.settings {
        DaemonSettings::Standalone(settings) => {
            let runtime = build(tokio::runtime::Builder::new_multi_thread());
            let runtime = runtime.map_err(DaemonError::Runtime)?;
            let result = runtime.block_on(run(*settings));
            // A process stopped by a second signal must not wait for blocking tasks.
            runtime.shutdown_background();
            result
        }
        DaemonSettings::Managed(settings) => {
            // These hosts have a fraction of one core, so more threads would only compete for it.
            let runtime = build(tokio::runtime::Builder::new_current_thread());
            let runtime = runtime.map_err(DaemonError::Runtime)?;
            let platform = EntryPlatform {
                store: Arc::new(HttpFleetStore::new(
                    settings.managed.store,
                    constants::FLEET_CALL_TIMEOUT.0,
                )),
                dialect: Arc::new(HttpDialect),
            };
            Ok(runtime.block_on(entry::run(*settings, options.file, platform))?)
        }
    }
}

/// Runs a standalone host until a signal stops it.
pub async fn run(settings: HostSettings) -> Result<(), DaemonError> {
    let mut signals = ShutdownSignals::new().map_err(DaemonError::Signals)?;
    let target = TelemetryOptions {
        host: &settings.host,
        region: &settings.region,
        otlp: settings.telemetry.otlp,
        registry: None,
    };
    let telemetry_guard = telemetry::install(&target)?;
    let host = RunningHost::start(settings).await?;
    let [caller, peer, operator] = host.bound;
    log::info!(caller:%, peer:%, operator:%; "listening");
    signals.next().await;
    let ending = async {
        host.stop().await;
        // Shutting down the exporters blocks until pending data is sent.
        let exporting = tokio::task::spawn_blocking(|| telemetry_guard.shutdown());
        if timeout(EXPORT_TIMEOUT, exporting).await.is_err() {
            log::warn!("export telemetry at the end: no answer in time");
        }
    };
    tokio::select! {
        () = ending => {}
        () = signals.next() => return Err(DaemonError::SecondSignal),
    }
    log::info!("ended");
    Ok(())
}

/// Drains the host: the stages leaving and closing, then `release_quotas` once nothing is in flight or the time limit
/// is reached, then [`DrainStage::Ended`].
pub async fn shut_down<F>(context: &HostContext, front: &FrontServer, release_quotas: F)
where
    F: Future<Output = ()>,
{
    let timing = &context.settings.timing;
    let config = context.config.load_full();
    let routes = config.iter().flat_map(|it| &it.document.services).flat_map(|it| &it.routes);
    // Peers list this host in look-ups until gossip has reached them, which may take two exchanges.
    let gossip_delay = timing.gossip_interval.0.saturating_mul(2);
    let limits = DrainLimits {
        cache_lifetime: timing.cache_lifetime.0.saturating_add(gossip_delay),
        drain_limit: timing.drain_limit.0,
        longest_request: routes.map(|it| it.timeout.0).max().unwrap_or_default(),
    };
    let tracker = DrainTracker::begin(context.clock.now(), limits);
    context.drain.send_replace(tracker.stage());
    log::info!("leaving");
    sleep_until(context.clock.instant(tracker.deadline())).await;
    let in_flight = || front.in_flight();
    run_drain(tracker, context.clock, &context.drain, in_flight, CLOSING_POLL_INTERVAL).await;
    release_quotas.await;
    context.drain.send_replace(DrainStage::Ended);
}
