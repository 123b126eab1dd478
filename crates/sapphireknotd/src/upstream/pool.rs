//! First choice of a backend server.
//!
//! The version is drawn by its share. Among its servers with a free slot, those of the host's own region go before
//! others, then the one with the fewest requests in flight is taken.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{Arc, Weak},
    time::Duration,
};

use async_trait::async_trait;
use parking_lot::Mutex;
use rand::RngExt;
use sapphireknot::{
    config::{ServerEntry, ServiceEntry},
    ids::{ServerId, VersionId},
    installed::InstalledConfig,
    time::MonoTime,
    units::TrafficShare,
};
use tokio::{sync::Notify, time::timeout_at};

use super::probes::LoadReport;
use crate::context::{
    AttemptOutcome, HostContext, PickQuery, PickRefusal, ServerPool, ServerTicket,
};

/// Time for which a report is used; several probe intervals, so that one lost probe does not matter.
const REPORT_SPAN: Duration = Duration::from_secs(2);
/// Broken attempts in a row after which a server is avoided.
const BROKEN_LIMIT: u32 = 3;
/// Time for which it is avoided.
const AVOID_SPAN: Duration = Duration::from_secs(2);
/// Longest wait for a free slot; a longer queue would only add to the latency of all.
const QUEUE_WAIT: Duration = Duration::from_millis(250);

/// What this host knows of one backend server.
#[derive(Debug, Default)]
struct ServerState {
    in_flight: u32,
    broken_in_row: u32,
    avoid_until: MonoTime,
    report: Option<KnownReport>,
}

#[derive(Debug)]
struct KnownReport {
    report: LoadReport,
    /// Requests of this host that the report includes.
    own_in_flight: u32,
    valid_until: MonoTime,
}

impl ServerState {
    /// Requests that the server is expected to run: those of other hosts by its report, and those of this host.
    fn expected_load(&self, now: MonoTime) -> u32 {
        let report = self.report.as_ref().filter(|it| now < it.valid_until);
        let others = report.map_or(0, |it| it.report.in_flight.saturating_sub(it.own_in_flight));
        others.saturating_add(self.in_flight)
    }

    fn is_leaving(&self, now: MonoTime) -> bool {
        self.report.as_ref().is_some_and(|it| now < it.valid_until && it.report.leaving)
    }
}

#[derive(Debug, Default)]
struct PoolState {
    servers: Mutex<HashMap<ServerId, ServerState>>,
    freed: Notify,
}

/// Pool that prefers the host's own region and the least loaded server.
#[derive(Debug)]
pub struct RegionalPool {
    context: Weak<HostContext>,
    state: Arc<PoolState>,
}

impl RegionalPool {
    /// A pool that reads the configuration of `context`.
    pub fn new(context: Weak<HostContext>) -> Self {
        Self { context, state: Arc::default() }
    }

    /// Requests of this host in flight at `server`.
    pub fn in_flight(&self, server: &ServerId) -> u32 {
        self.state.servers.lock().get(server).map_or(0, |it| it.in_flight)
    }

    /// Takes the answer to a probe that was sent with `own_in_flight` requests of this host in flight.
    pub fn take_report(&self, server: &ServerId, report: LoadReport, own_in_flight: u32) {
        let Some(context) = self.context.upgrade() else { return };
        let valid_until = context.clock.now().after(REPORT_SPAN);
        let known = KnownReport { report, own_in_flight, valid_until };
        self.state.servers.lock().entry(server.clone()).or_default().report = Some(known);
        self.state.freed.notify_waiters();
    }

    /// Forgets idle servers that are not in `targets`.
    pub fn retain(&self, targets: &[(ServerId, SocketAddr)]) {
        let known: HashSet<&ServerId> = targets.iter().map(|(id, _)| id).collect();
        let mut servers = self.state.servers.lock();
        servers.retain(|id, it| it.in_flight > 0 || known.contains(id));
    }

    fn try_pick(
        &self,
        context: &HostContext,
        config: &InstalledConfig,
        service: &ServiceEntry,
        query: &PickQuery<'_>,
    ) -> Result<PoolTicket, PickRefusal> {
        let draw = rand::rng().random_range(0..TrafficShare::WHOLE.0);
        let version = context.versions.choose(&service.id, draw).ok_or(PickRefusal::NoServer)?;
        let now = context.clock.now();
        let mut servers = self.state.servers.lock();
        let usable: Vec<_> = service
            .servers
            .iter()
            .filter(|it| it.version == version && !it.leaving && !query.excluded.contains(&it.id))
            .filter(|it| !servers.get(&it.id).is_some_and(|it| it.is_leaving(now)))
            .collect();
        if usable.is_empty() {
            return Err(PickRefusal::NoServer);
        }
        let rank = |it: &ServerEntry| {
            let state = servers.get(&it.id);
            let is_avoided = state.is_some_and(|it| now < it.avoid_until);
            let region = config.document.region_of(&it.datacentre);
            let distance = region.map(|it| config.distances.between(&context.identity.region, it));
            let load = state.map_or(0, |it| it.expected_load(now));
            (is_avoided, distance.unwrap_or(Duration::MAX), load)
        };
        let ranked = usable.into_iter().map(|it| (rank(it), it));
        let with_room = ranked.filter(|((_, _, load), it)| *load < it.slots.0);
        let best = with_room.min_by_key(|(rank, _)| *rank);
        let (_, best) = best.ok_or(PickRefusal::NoRoom)?;
        servers.entry(best.id.clone()).or_default().in_flight += 1;
        let state = self.state.clone();
        let (server, address) = (best.id.clone(), best.address);
        let context = self.context.clone();
        Ok(PoolTicket { state, context, server, address, version })
    }
}

#[async_trait]
impl ServerPool for RegionalPool {
    async fn pick(&self, query: PickQuery<'_>) -> Result<Box<dyn ServerTicket>, PickRefusal> {
        let context = self.context.upgrade().ok_or(PickRefusal::NoServer)?;
        let now = context.clock.now();
        if now >= query.deadline {
            return Err(PickRefusal::Deadline);
        }
        let wait_until = context.clock.instant(query.deadline.min(now.after(QUEUE_WAIT)));
        loop {
            let freed = self.state.freed.notified();
            tokio::pin!(freed);
            // Registers before the look, so that a slot that is freed in between is not missed.
            freed.as_mut().enable();
            let config = context.config.load_full().ok_or(PickRefusal::NoServer)?;
            let service = config.routes.service(query.service).ok_or(PickRefusal::NoServer)?;
            match self.try_pick(&context, &config, service, &query) {
                Ok(ticket) => return Ok(Box::new(ticket)),
                Err(PickRefusal::NoRoom) => {}
                Err(refusal) => return Err(refusal),
            }
            if timeout_at(wait_until, freed).await.is_err() {
                return Err(PickRefusal::NoRoom);
            }
        }
    }
}

/// Slot at a server; given back when dropped.
#[derive(Debug)]
struct PoolTicket {
    state: Arc<PoolState>,
    context: Weak<HostContext>,
    server: ServerId,
    address: SocketAddr,
    version: VersionId,
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

    fn finish(self: Box<Self>, outcome: AttemptOutcome) {
        let Some(context) = self.context.upgrade() else { return };
        let mut servers = self.state.servers.lock();
        let Some(state) = servers.get_mut(&self.server) else { return };
        match outcome {
            AttemptOutcome::Broken => {
                state.broken_in_row += 1;
                if state.broken_in_row >= BROKEN_LIMIT {
                    state.avoid_until = context.clock.now().after(AVOID_SPAN);
                }
            }
            AttemptOutcome::Succeeded | AttemptOutcome::Failed | AttemptOutcome::Shed => {
                state.broken_in_row = 0;
            }
            AttemptOutcome::Cancelled => {}
        }
    }
}

impl Drop for PoolTicket {
    fn drop(&mut self) {
        if let Some(state) = self.state.servers.lock().get_mut(&self.server) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
        self.state.freed.notify_waiters();
    }
}
