//! Selection of a backend server for each request.
//!
//! Two random servers are probed before the selection. The request then enters the fair queue of its service and is
//! dispatched at once if a slot is free. Servers of the host's own region are preferred; servers of other regions are
//! used only as far as [`crate::interfaces::SpillGate`] admits.

use std::{collections::HashMap, sync::Arc, time::Duration};

use async_trait::async_trait;
use parking_lot::Mutex;
use rand::RngExt;
use sapphireknot::{
    ids::{ServerId, ServiceId},
    picker::LoadReport,
    units::TrafficShare,
};
use tokio::time::{sleep, timeout_at};

use super::{
    prober::LoadProber,
    service::{PoolDependencies, ServiceState},
};
use crate::{
    clock::HostClock,
    interfaces::{PickQuery, PickRefusal, ServerPool, ServerTicket, SpillGate, VersionRouter},
    published::PublishedState,
    rollout::RolloutTable,
};

/// Number of servers probed for each request.
const PROBES_PER_REQUEST: usize = 2;
/// Maximum wait for the probe responses; twice the round trip between data centres, which is 0.5 ms each way.
const MAX_PROBE_WAIT: Duration = Duration::from_millis(2);
/// Interval at which queued requests check for capacity that no event announces, such as slots freed by other hosts.
const QUEUE_TICK: Duration = Duration::from_millis(5);

/// Server pool with fair queueing per organisation and selection by fresh load probes.
pub struct RegionalPool {
    dependencies: Arc<PoolDependencies>,
    services: Mutex<HashMap<ServiceId, Arc<ServiceState>>>,
    prober: Arc<LoadProber>,
}

impl RegionalPool {
    /// Creates a pool that reads the configuration and the members from `state`.
    pub fn new(
        state: Arc<PublishedState>,
        versions: Arc<dyn VersionRouter>,
        rollouts: Arc<RolloutTable>,
        spill: Arc<dyn SpillGate>,
    ) -> Self {
        let dependencies = Arc::new(PoolDependencies { state, versions, rollouts, spill });
        Self { dependencies, services: Mutex::default(), prober: Arc::default() }
    }

    /// Records a load report from a probe of `server`.
    pub fn record_load_report(&self, service: &ServiceId, server: &ServerId, report: LoadReport) {
        let state = self.service(service);
        state.refresh();
        state.record_report(server, report);
        state.dispatch();
    }

    pub(super) fn prober(&self) -> &Arc<LoadProber> {
        &self.prober
    }

    /// Returns the state of `service`, which must be configured.
    pub(super) fn service(&self, service: &ServiceId) -> Arc<ServiceState> {
        let mut services = self.services.lock();
        if let Some(state) = services.get(service) {
            return state.clone();
        }
        let state = Arc::new(ServiceState::new(service.clone(), self.dependencies.clone()));
        services.insert(service.clone(), state.clone());
        state
    }

    /// Removes the state of services that are no longer configured.
    pub(super) fn retain_configured(&self) {
        let config = self.dependencies.state.config.load();
        let Some(config) = config.as_ref() else { return };
        self.services.lock().retain(|id, _| config.routes.service(id).is_some());
    }

    /// Probes random servers and waits briefly for their responses.
    async fn probe(
        prober: &Arc<LoadProber>,
        clock: HostClock,
        state: &Arc<ServiceState>,
        excluded: &[ServerId],
    ) {
        state.refresh();
        let targets = state.probe_targets(PROBES_PER_REQUEST, excluded, &mut rand::rng());
        let probes: Vec<_> = targets
            .into_iter()
            .filter_map(|(server, address)| prober.start(clock, state, server, address))
            .collect();
        let until = tokio::time::Instant::now() + MAX_PROBE_WAIT;
        // A slower probe continues, and its response is used for later requests.
        drop(timeout_at(until, futures_util::future::join_all(probes)).await);
    }

    /// Starts a task that probes and dispatches at every tick until the queue is empty.
    fn spawn_ticks(&self, state: Arc<ServiceState>) {
        let (clock, prober) = (self.dependencies.state.clock, self.prober.clone());
        tokio::spawn(async move {
            loop {
                sleep(QUEUE_TICK).await;
                if state.stop_ticks_if_empty(clock.now()) {
                    return;
                }
                Self::probe(&prober, clock, &state, &[]).await;
                state.dispatch();
            }
        });
    }
}

#[async_trait]
impl ServerPool for RegionalPool {
    async fn pick(&self, query: PickQuery<'_>) -> Result<Box<dyn ServerTicket>, PickRefusal> {
        let PublishedState { clock, config, .. } = &*self.dependencies.state;
        if clock.now() >= query.deadline {
            return Err(PickRefusal::Deadline);
        }
        let config = config.load_full().ok_or(PickRefusal::NoServer)?;
        config.routes.service(query.service).ok_or(PickRefusal::NoServer)?;
        let state = self.service(query.service);
        Self::probe(&self.prober, *clock, &state, query.excluded).await;
        let draw = rand::rng().random_range(0..TrafficShare::WHOLE.0);
        let (queued, needs_ticks) = state.enqueue(&query, draw)?;
        if needs_ticks {
            self.spawn_ticks(state.clone());
        }
        state.dispatch();
        match timeout_at(clock.instant(queued.start_by), queued.ticket).await {
            Ok(Ok(ticket)) => Ok(Box::new(ticket)),
            Ok(Err(_)) | Err(_) => Err(PickRefusal::NoRoom),
        }
    }
}
