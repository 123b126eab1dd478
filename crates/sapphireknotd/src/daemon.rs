//! Life of the daemon: listeners, the request path, signals and the graceful shutdown.

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
    ending::{EndSignals, follow_drain},
    entry::{self, EntryError, EntryPlatform},
    front::FrontServer,
    interfaces::HostIdentity,
    listening::{BoundListener, ListenError},
    options::{DaemonOptions, DaemonSettings},
    published::PublishedState,
    quota::HostQuotas,
    rollout::RolloutTable,
    settings::HostSettings,
    telemetry::{self, TelemetryError, TelemetryTarget},
    upstream::{connections::ConnectionPool, pool::RegionalPool, probes},
};

/// Interval at which a closing host looks for requests in flight.
const CLOSING_TICK: Duration = Duration::from_millis(10);
/// Time to export pending telemetry; a receiver that is down must not delay a planned stop much.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Why the daemon ended early.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// An address cannot be listened at.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The runtime cannot be started.
    #[error("start runtime: {0}")]
    Runtime(#[source] std::io::Error),
    /// An entry host ended early.
    #[error(transparent)]
    Entry(#[from] EntryError),
    /// Signals cannot be received.
    #[error("receive signals: {0}")]
    Signals(#[source] std::io::Error),
    /// The control modules did not start.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// Telemetry cannot be exported.
    #[error("start telemetry: {0}")]
    Telemetry(#[from] TelemetryError),
    /// A second signal arrived during the graceful shutdown.
    #[error("ended by a second signal")]
    SecondSignal,
}

/// The identity of a host whose listeners have the given bound addresses.
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
        // Later starts have later wall times, except if the clock is set back by more than the process ran.
        incarnation: IncarnationId(clock.wall().0),
        caller_address: settings.advertise.caller.unwrap_or(caller),
        peer_address: settings.advertise.peer.unwrap_or(peer),
        operator_address: operator,
    }
}

/// State of a host with the first request path, and its pool of backend servers.
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

/// Host that runs in this process.
pub struct RunningHost {
    context: Arc<HostContext>,
    front: Arc<FrontServer>,
    control: ControlHandle,
    tasks: Vec<JoinHandle<()>>,
    bound: [SocketAddr; 3],
}

impl RunningHost {
    /// Binds the listeners of `settings` and starts to serve.
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

    /// This host as others see it.
    pub fn identity(&self) -> &HostIdentity {
        &self.context.identity
    }

    /// Ends the host by a graceful shutdown.
    pub async fn stop(self) {
        shut_down(&self.context, &self.front, self.control.stop()).await;
        for task in self.tasks {
            task.abort();
        }
    }
}

/// Runs the host of `options` until a signal ends it.
pub fn run_process(options: DaemonOptions) -> Result<(), DaemonError> {
    let build = |mut builder: tokio::runtime::Builder| builder.enable_all().build();
    match options.settings {
        DaemonSettings::Own(settings) => {
            let runtime = build(tokio::runtime::Builder::new_multi_thread());
            let runtime = runtime.map_err(DaemonError::Runtime)?;
            let result = runtime.block_on(run(*settings));
            // A second signal must not wait for blocking tasks.
            runtime.shutdown_background();
            result
        }
        DaemonSettings::Managed(settings) => {
            // Such hosts have a part of one core, on which threads only take turns.
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

/// Runs a host until a signal ends it.
pub async fn run(settings: HostSettings) -> Result<(), DaemonError> {
    let mut signals = EndSignals::new().map_err(DaemonError::Signals)?;
    let target = TelemetryTarget {
        host: &settings.host,
        region: &settings.region,
        otlp: settings.telemetry.otlp,
        registry: None,
    };
    let guard = telemetry::install(&target)?;
    let host = RunningHost::start(settings).await?;
    let [caller, peer, operator] = host.bound;
    log::info!(caller:%, peer:%, operator:%; "listening");
    signals.next().await;
    let ending = async {
        host.stop().await;
        // Exporters block while they send what is pending.
        let exporting = tokio::task::spawn_blocking(|| guard.shutdown());
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

/// Leaves, closes, runs `give_back` once nothing is in flight or the time limit is reached, and ends.
pub async fn shut_down<F>(context: &HostContext, front: &FrontServer, give_back: F)
where
    F: Future<Output = ()>,
{
    let timing = &context.settings.timing;
    let config = context.config.load_full();
    let routes = config.iter().flat_map(|it| &it.document.services).flat_map(|it| &it.routes);
    // Peers name this host in look-ups until gossip has told them, which may take two exchanges.
    let told = timing.gossip_interval.0.saturating_mul(2);
    let limits = DrainLimits {
        cache_lifetime: timing.cache_lifetime.0.saturating_add(told),
        drain_limit: timing.drain_limit.0,
        longest_request: routes.map(|it| it.timeout.0).max().unwrap_or_default(),
    };
    let tracker = DrainTracker::begin(context.clock.now(), limits);
    context.drain.send_replace(tracker.stage());
    log::info!("leaving");
    sleep_until(context.clock.instant(tracker.deadline())).await;
    let in_flight = || front.in_flight();
    follow_drain(tracker, context.clock, &context.drain, in_flight, CLOSING_TICK).await;
    give_back.await;
    context.drain.send_replace(DrainStage::Ended);
}
