//! Periodic load probes of all backend servers.
//!
//! They detect draining servers and keep the load reports of all servers recent. The pool sends additional fresh probes
//! for single requests.

use std::{collections::HashSet, sync::Arc, time::Duration};

use futures_util::{StreamExt, stream};
use sapphireknot::drain::DrainStage;
use tokio::time::{MissedTickBehavior, interval};

use super::{connections::ConnectionPool, pool::RegionalPool, service::ServiceState};
use crate::published::PublishedState;

/// Interval of periodic probes; less than half of the validity of a load report, so that one lost probe does not
/// matter.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of concurrent periodic probes, so that a large fleet does not open all connections at once.
const MAX_CONCURRENT_PROBES: usize = 64;

/// Probes all configured backend servers until the host reaches [`DrainStage::Ended`].
pub async fn run(
    state: Arc<PublishedState>,
    pool: Arc<RegionalPool>,
    request_connections: Arc<ConnectionPool>,
) {
    let prober = pool.prober().clone();
    let mut ticks = interval(PROBE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while *state.drain.borrow() != DrainStage::Ended {
        ticks.tick().await;
        pool.retain_configured();
        let services = configured_services(&state, &pool);
        let targets: Vec<_> = services
            .iter()
            .flat_map(|service| service.servers().into_iter().map(|it| (service.clone(), it)))
            .collect();
        let addresses: HashSet<_> = targets.iter().map(|(_, (_, address))| *address).collect();
        prober.retain(&addresses);
        request_connections.retain(&addresses);
        let probes = targets.into_iter().map(|(service, (server, address))| {
            let (prober, clock) = (prober.clone(), state.clock);
            async move { prober.probe(clock, &service, &server, address).await }
        });
        stream::iter(probes).buffer_unordered(MAX_CONCURRENT_PROBES).collect::<()>().await;
        services.iter().for_each(|it| it.dispatch());
    }
}

fn configured_services(state: &PublishedState, pool: &RegionalPool) -> Vec<Arc<ServiceState>> {
    let config = state.config.load();
    let Some(config) = config.as_ref() else { return Vec::new() };
    let services = config.document.services.iter().map(|it| pool.service(&it.id));
    services.inspect(|it| it.refresh()).collect()
}
