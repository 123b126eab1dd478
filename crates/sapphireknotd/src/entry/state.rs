//! State of an entry host that is shared by requests, actors and listeners.

use std::{
    sync::{Arc, OnceLock},
    time::Duration,
};

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
    feed_relay::FeedRelay, log_limiter::LogLimiter, meters::EntryMeters, platform::EntryPlatform,
    settings::EntrySettings,
};
use crate::clock::HostClock;

/// Time for which a starting host waits for its registration before it reports ready without it.
const REGISTRATION_TIMEOUT: Duration = Duration::from_secs(2);

/// Shared state of an entry host.
pub struct EntryState {
    /// Settings in force.
    pub settings: ArcSwap<EntrySettings>,
    /// Store and request dialect of the platform.
    pub platform: EntryPlatform,
    /// Monotonic and wall clock.
    pub clock: HostClock,
    /// Registration record of this host.
    pub record: HostRecord,
    /// Steering decisions; locked for one decision at a time.
    pub core: Mutex<SteeringCore>,
    /// Copy of the store, served to hosts that cannot read it. Never locked together with `core`.
    pub copy: Mutex<FeedCopy>,
    /// Changes of the store that the collector of the region relays.
    pub relay: FeedRelay,
    /// Plan in force; `None` until the first one is read.
    pub plan: ArcSwapOption<RoutingPlan>,
    /// Stage of the graceful shutdown.
    pub drain: watch::Sender<DrainStage>,
    /// Latest end of the graceful shutdown, once it has started.
    pub drain_end: OnceLock<MonoTime>,
    /// Metrics.
    pub meters: EntryMeters,
    /// Rate-limited log of request decisions.
    pub log_limiter: LogLimiter,
    store_failures: watch::Sender<Option<StoreError>>,
    /// Time after which the host reports ready without its registration.
    registration_deadline: MonoTime,
}

impl EntryState {
    /// Creates the state of a host that has read nothing yet.
    pub fn new(
        settings: EntrySettings,
        platform: EntryPlatform,
        clock: HostClock,
        record: HostRecord,
    ) -> Self {
        let core = SteeringCore::new(settings.location(), settings.shared_bounds());
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
            drain_end: OnceLock::new(),
            meters: EntryMeters::default(),
            log_limiter: LogLimiter::new(clock.now()),
            store_failures: watch::Sender::new(None),
            registration_deadline: clock.now().after(REGISTRATION_TIMEOUT),
        }
    }

    /// Publishes a new plan of the core to the request handlers.
    pub fn publish_plan(&self, plan: Option<Arc<RoutingPlan>>) {
        let known = self.plan.load().as_ref().map(|it| it.generation);
        let Some(plan) = plan.filter(|it| Some(it.generation) != known) else { return };
        log::info!(generation:% = plan.generation, was:? = known.map(|it| it.0); "plan in force");
        self.meters.count_unknown_routes(plan.routes().filter(|it| !it.has_known_kind).count());
        self.plan.store(Some(plan));
    }

    /// Records that a server announced its shutdown; returns whether that was not known before.
    pub fn record_leaving(&self, server: &ServerId, started: u64) -> bool {
        let is_new = self.core.lock().record_leaving(server, started, self.clock.now());
        if is_new {
            self.meters.count_server_notice("leaving");
        }
        is_new
    }

    /// Reports a failed call to the store.
    pub fn report_store_failure(&self, err: StoreError) {
        self.store_failures.send_replace(Some(err));
    }

    /// Subscribes to failed calls to the store.
    pub fn store_failures(&self) -> watch::Receiver<Option<StoreError>> {
        self.store_failures.subscribe()
    }

    /// Whether a request that may take until `deadline` may be sent to a backend server, given the stage of the graceful
    /// shutdown.
    pub fn allows_request(&self, deadline: MonoTime) -> bool {
        self.drain.borrow().allows_request(deadline, self.drain_end.get().copied())
    }

    /// Whether callers may be directed to this host.
    ///
    /// A host that is not registered yet has only a small part of the quotas and would briefly refuse callers, so that
    /// it waits for its registration. One that cannot register reports ready nevertheless.
    pub fn is_ready(&self) -> bool {
        let now = self.clock.now();
        let has_quotas = now >= self.registration_deadline || self.core.lock().is_registered(now);
        has_quotas && self.plan.load().is_some() && *self.drain.borrow() == DrainStage::Serving
    }
}
