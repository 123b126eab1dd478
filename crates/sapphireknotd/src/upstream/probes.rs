//! Regular load probes of backend servers.
//!
//! They find servers that leave and keep the reports of all servers recent; the pool sends fresh ones for single
//! requests.

use std::{collections::HashSet, sync::Arc, time::Duration};

use futures_util::{StreamExt, stream};
use sapphireknot::drain::DrainStage;
use tokio::time::{MissedTickBehavior, interval};

use super::{connections::ConnectionPool, pool::RegionalPool, service::ServiceState};
use crate::published::PublishedState;

/// Interval of regular probes; below half of the time for which a report is used, so that one lost probe does not matter.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Regular probes at the same time, so that a large fleet does not open all connections at once.
const PROBES_AT_ONCE: usize = 64;

/// Probes all backend servers of the configuration until the host ends.
pub async fn run(
    state: Arc<PublishedState>,
    servers: Arc<RegionalPool>,
    requests: Arc<ConnectionPool>,
) {
    let prober = servers.prober().clone();
    let mut ticks = interval(PROBE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while *state.drain.borrow() != DrainStage::Ended {
        ticks.tick().await;
        servers.retain_configured();
        let services = configured_services(&state, &servers);
        let targets: Vec<_> = services
            .iter()
            .flat_map(|service| service.servers().into_iter().map(|it| (service.clone(), it)))
            .collect();
        let addresses: HashSet<_> = targets.iter().map(|(_, (_, address))| *address).collect();
        prober.retain(&addresses);
        requests.retain(&addresses);
        let probes = targets.into_iter().map(|(service, (server, address))| {
            let (prober, clock) = (prober.clone(), state.clock);
            async move { prober.probe(clock, &service, &server, address).await }
        });
        stream::iter(probes).buffer_unordered(PROBES_AT_ONCE).collect::<()>().await;
        services.iter().for_each(|it| it.dispatch());
    }
}

fn configured_services(state: &PublishedState, servers: &RegionalPool) -> Vec<Arc<ServiceState>> {
    let config = state.config.load();
    let Some(config) = config.as_ref() else { return Vec::new() };
    let services = config.document.services.iter().map(|it| servers.service(&it.id));
    services.inspect(|it| it.refresh()).collect()
}
