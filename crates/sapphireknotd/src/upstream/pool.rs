//! Choice of a backend server for each request.
//!
//! Two random servers are probed for a request before the choice. The request then takes its place in the fair queue of
//! its service and is served at once if there is room. Servers of the own region are used first, others only as far as
//! the [`crate::context::SpillGate`] admits.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Weak},
    time::Duration,
};

use async_trait::async_trait;
use parking_lot::Mutex;
use rand::RngExt;
use sapphireknot::{
    ids::{ServerId, ServiceId, VersionId},
    picker::LoadReport,
    time::MonoTime,
    units::TrafficShare,
};
use tokio::time::{sleep, timeout_at};

use super::{probes::LoadProber, service::ServiceState};
use crate::context::{
    HostContext, PickQuery, PickRefusal, ServerOutcome, ServerPool, ServerTicket,
};

/// Servers that are probed for each request.
const FRESH_PROBES: usize = 2;
/// Longest wait for the answers; twice the round trip between data centres of 0.5 ms each way.
const PROBE_WAIT: Duration = Duration::from_millis(2);
/// Interval at which waiting requests look for room that no event announces, such as slots that other hosts freed.
const QUEUE_TICK: Duration = Duration::from_millis(5);

/// Pool that admits fairly and picks by fresh probes.
pub struct RegionalPool {
    context: Weak<HostContext>,
    services: Mutex<HashMap<ServiceId, Arc<ServiceState>>>,
    prober: Arc<LoadProber>,
}

impl RegionalPool {
    /// A pool that reads the configuration of `context`.
    pub fn new(context: Weak<HostContext>) -> Self {
        Self { context, services: Mutex::default(), prober: Arc::default() }
    }

    /// Takes a report that `server` gave to a probe.
    pub fn take_report(&self, service: &ServiceId, server: &ServerId, report: LoadReport) {
        let Some(context) = self.context.upgrade() else { return };
        let state = self.service(service);
        state.refresh(&context);
        state.record_report(server, report);
        state.dispatch(&context);
    }

    pub(super) fn prober(&self) -> &Arc<LoadProber> {
        &self.prober
    }

    /// State of `service`, which the caller knows to be configured.
    pub(super) fn service(&self, service: &ServiceId) -> Arc<ServiceState> {
        let mut services = self.services.lock();
        if let Some(state) = services.get(service) {
            return state.clone();
        }
        let state = Arc::new(ServiceState::new(service.clone()));
        services.insert(service.clone(), state.clone());
        state
    }

    /// Forgets services that are no longer configured.
    pub(super) fn retain(&self, context: &HostContext) {
        let config = context.config.load();
        let Some(config) = config.as_ref() else { return };
        self.services.lock().retain(|id, _| config.routes.service(id).is_some());
    }

    /// Probes random servers and waits briefly for the answers.
    async fn probe(
        prober: &Arc<LoadProber>,
        context: &Arc<HostContext>,
        state: &Arc<ServiceState>,
        excluded: &[ServerId],
    ) {
        state.refresh(context);
        let targets = state.probe_targets(FRESH_PROBES, excluded, &mut rand::rng());
        let probes: Vec<_> = targets
            .into_iter()
            .filter_map(|(server, address)| prober.start(context, state, server, address))
            .collect();
        let until = tokio::time::Instant::now() + PROBE_WAIT;
        // A probe that takes longer goes on, and its answer is used later.
        drop(timeout_at(until, futures_util::future::join_all(probes)).await);
    }

    /// Serves the queue until it is empty.
    fn start_ticks(&self, state: Arc<ServiceState>) {
        let (weak, prober) = (self.context.clone(), self.prober.clone());
        tokio::spawn(async move {
            loop {
                sleep(QUEUE_TICK).await;
                let Some(context) = weak.upgrade() else { return };
                if state.end_ticks(context.clock.now()) {
                    return;
                }
                Self::probe(&prober, &context, &state, &[]).await;
                state.dispatch(&context);
            }
        });
    }
}

#[async_trait]
impl ServerPool for RegionalPool {
    async fn pick(&self, query: PickQuery<'_>) -> Result<Box<dyn ServerTicket>, PickRefusal> {
        let context = self.context.upgrade().ok_or(PickRefusal::NoServer)?;
        if context.clock.now() >= query.deadline {
            return Err(PickRefusal::Deadline);
        }
        let config = context.config.load_full().ok_or(PickRefusal::NoServer)?;
        config.routes.service(query.service).ok_or(PickRefusal::NoServer)?;
        let state = self.service(query.service);
        Self::probe(&self.prober, &context, &state, query.excluded).await;
        let draw = rand::rng().random_range(0..TrafficShare::WHOLE.0);
        let (place, starts_ticks) = state.enqueue(&context, &query, draw)?;
        if starts_ticks {
            self.start_ticks(state.clone());
        }
        state.dispatch(&context);
        match timeout_at(context.clock.instant(place.start_by), place.turn).await {
            Ok(Ok(ticket)) => Ok(Box::new(ticket)),
            Ok(Err(_)) | Err(_) => Err(PickRefusal::NoRoom),
        }
    }
}

/// Slot at a server; given back when dropped.
pub(super) struct PoolTicket {
    state: Arc<ServiceState>,
    context: Weak<HostContext>,
    server: ServerId,
    address: SocketAddr,
    version: VersionId,
    started: MonoTime,
    outcome: ServerOutcome,
}

impl PoolTicket {
    pub(super) fn new(
        state: &Arc<ServiceState>,
        context: &Arc<HostContext>,
        server: ServerId,
        address: SocketAddr,
        version: VersionId,
    ) -> Self {
        let started = context.clock.now();
        let (state, context) = (state.clone(), Arc::downgrade(context));
        let outcome = ServerOutcome::Cancelled;
        Self { state, context, server, address, version, started, outcome }
    }
}

impl ServerTicket for PoolTicket {
    fn server(&self) -> &ServerId {
        &self.server
    }

    fn address(&self) -> SocketAddr {
        self.address
    }

    fn version(&self) -> &VersionId {
        &self.version
    }

    fn finish(mut self: Box<Self>, outcome: ServerOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for PoolTicket {
    fn drop(&mut self) {
        let Some(context) = self.context.upgrade() else { return };
        let now = context.clock.now();
        let latency_us = u64::try_from(now.since(self.started).as_micros()).unwrap_or(u64::MAX);
        self.state.finish(&self.server, self.outcome, latency_us, now);
        self.state.dispatch(&context);
    }
}
