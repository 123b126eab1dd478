//! State of an entry host that requests, actors and listeners share.

use std::{sync::Arc, time::Duration};

use arc_swap::{ArcSwap, ArcSwapOption};
use parking_lot::Mutex;
use sapphireknot::{
    drain::DrainStage,
    ids::ServerId,
    steering::{core::SteeringCore, feed_copy::FeedCopy, fleet::HostRecord, plan::RoutingPlan},
    time::MonoTime,
};
use sapphireknot_platform::StoreError;
use tokio::sync::watch;

use super::{
    decision_log::DecisionLog, feed_relay::FeedRelay, meters::EntryMeters, platform::EntryPlatform,
    settings::EntrySettings,
};
use crate::clock::HostClock;

/// Time for which a host that starts waits for its registration before it is ready.
const REGISTER_LIMIT: Duration = Duration::from_secs(2);

/// State of an entry host.
pub struct EntryState {
    /// Settings in force.
    pub settings: ArcSwap<EntrySettings>,
    /// Platform.
    pub platform: EntryPlatform,
    /// Clocks.
    pub clock: HostClock,
    /// This host as it registers itself.
    pub record: HostRecord,
    /// Decisions; locked for the time of one question.
    pub core: Mutex<SteeringCore>,
    /// What the store told, for hosts that cannot read it; not locked together with the decisions.
    pub copy: Mutex<FeedCopy>,
    /// Changes of the store that the collector of the region tells.
    pub relay: FeedRelay,
    /// Plan in force; `None` until the first one was read.
    pub plan: ArcSwapOption<RoutingPlan>,
    /// Stage of the graceful shutdown.
    pub drain: watch::Sender<DrainStage>,
    /// Metrics.
    pub meters: EntryMeters,
    /// Log of decisions.
    pub decisions: DecisionLog,
    store_failures: watch::Sender<Option<StoreError>>,
    /// Until when a host that starts waits for its registration.
    register_by: MonoTime,
}

impl EntryState {
    /// State of a host that knows nothing yet.
    pub fn new(
        settings: EntrySettings,
        platform: EntryPlatform,
        clock: HostClock,
        record: HostRecord,
    ) -> Self {
        let core = SteeringCore::new(settings.place(), settings.shared_bounds());
        Self {
            settings: ArcSwap::from_pointee(settings),
            platform,
            clock,
            record,
            core: Mutex::new(core),
            copy: Mutex::default(),
            relay: FeedRelay::default(),
            plan: ArcSwapOption::empty(),
            drain: watch::Sender::new(DrainStage::Serving),
            meters: EntryMeters::default(),
            decisions: DecisionLog::new(clock.now()),
            store_failures: watch::Sender::new(None),
            register_by: clock.now().after(REGISTER_LIMIT),
        }
    }

    /// Publishes the plan of the core for requests.
    pub fn publish_plan(&self, plan: Option<Arc<RoutingPlan>>) {
        let known = self.plan.load().as_ref().map(|it| it.generation);
        let Some(plan) = plan.filter(|it| Some(it.generation) != known) else { return };
        log::info!(generation:% = plan.generation, was:? = known.map(|it| it.0); "plan in force");
        self.meters.count_unknown_routes(plan.routes().filter(|it| !it.has_known_kind).count());
        self.plan.store(Some(plan));
    }

    /// Notes that a server told that it leaves; says whether that is new.
    pub fn record_leaving(&self, server: &ServerId, started: u64) -> bool {
        let is_news = self.core.lock().record_leaving(server, started, self.clock.now());
        if is_news {
            self.meters.count_server_notice("leaving");
        }
        is_news
    }

    /// Tells of a call that the store did not answer.
    pub fn report_store_failure(&self, err: StoreError) {
        self.store_failures.send_replace(Some(err));
    }

    /// Calls that the store does not answer from now on.
    pub fn store_failures(&self) -> watch::Receiver<Option<StoreError>> {
        self.store_failures.subscribe()
    }

    /// Whether callers may be sent here.
    ///
    /// A host that is not registered yet has only a small part of the quotas, so that callers would be refused for a
    /// moment; one that cannot register serves all the same.
    pub fn is_ready(&self) -> bool {
        let now = self.clock.now();
        let has_quotas = now >= self.register_by || self.core.lock().is_registered(now);
        has_quotas && self.plan.load().is_some() && *self.drain.borrow() == DrainStage::Serving
    }
}
