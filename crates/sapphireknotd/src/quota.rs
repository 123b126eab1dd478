//! Quota admission on the request path.
//!
//! Requests and the quota actor share one ledger. A request that finds no token waits a short time in the queue of its
//! resource while the actor borrows from other hosts. Only the head of the queue polls for tokens, so that a long queue
//! costs no more than a short one.

use std::{
    collections::HashMap,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use parking_lot::Mutex;
use sapphireknot::{
    ids::{OrganisationId, RegionId, ServiceId},
    quota::{AccountView, LedgerIdentity, ResourceId, SharedLedger},
    time::MonoTime,
};
use tokio::{
    sync::{Mutex as AsyncMutex, Notify},
    time::{timeout, timeout_at},
};

use crate::{
    clock::HostClock,
    interfaces::{HostIdentity, QuotaGate, QuotaVerdict, ShortageSink, SpillGate},
};

/// Maximum wait of a request for a token. A transfer between regions takes about a tenth of it.
const MAX_TOKEN_WAIT: Duration = Duration::from_millis(250);
/// `Retry-After` for a resource without a fill rate.
const NO_RATE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum polling interval of the head of a queue; a renewed lease adds tokens without a notification.
const TOKEN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Queue of requests that wait for tokens of one resource.
#[derive(Debug, Default)]
struct TokenQueue {
    length: AtomicU32,
    turn: AsyncMutex<()>,
    changed: Notify,
}

/// Entry in a queue, removed on drop.
struct QueueEntry(Arc<TokenQueue>);

impl Drop for QueueEntry {
    fn drop(&mut self) {
        self.0.length.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Quota ledger of this host, and the requests that wait for tokens.
pub struct HostQuotas {
    clock: HostClock,
    ledger: SharedLedger,
    queues: Mutex<HashMap<ResourceId, Arc<TokenQueue>>>,
    quota_actor: OnceLock<Arc<dyn ShortageSink>>,
}

impl HostQuotas {
    /// Creates the quotas of a host without shares.
    pub fn new(identity: &HostIdentity, clock: HostClock) -> Self {
        let ledger = LedgerIdentity::new(identity.id.clone(), identity.incarnation);
        Self {
            clock,
            ledger: SharedLedger::new(&ledger),
            queues: Mutex::default(),
            quota_actor: OnceLock::new(),
        }
    }

    /// Returns the ledger.
    pub fn ledger(&self) -> &SharedLedger {
        &self.ledger
    }

    /// Returns the current account of a resource; `None` if the configuration does not define it.
    pub fn view(&self, resource: &ResourceId) -> Option<AccountView> {
        let mut ledger = self.ledger.ledger(resource);
        ledger.settle(self.clock.now());
        ledger.view(resource)
    }

    /// Returns the number of requests that wait for a token.
    pub fn waiting(&self, resource: &ResourceId) -> u32 {
        let queues = self.queues.lock();
        queues.get(resource).map(|it| it.length.load(Ordering::Relaxed)).unwrap_or_default()
    }

    /// Sets the quota actor, which borrows from other hosts.
    pub(crate) fn connect(&self, quota_actor: Arc<dyn ShortageSink>) {
        if self.quota_actor.set(quota_actor).is_err() {
            log::error!("quota actor is already connected");
        }
    }

    /// Wakes the head of a queue to check for tokens.
    pub(crate) fn wake(&self, resource: &ResourceId) {
        if let Some(queue) = self.queues.lock().get(resource) {
            queue.changed.notify_one();
        }
    }

    fn report_shortage(&self, resource: &ResourceId) {
        if let Some(quota_actor) = self.quota_actor.get() {
            quota_actor.report_shortage(resource);
        }
    }

    fn join_queue(&self, resource: &ResourceId) -> (QueueEntry, bool) {
        let mut queues = self.queues.lock();
        let queue = queues.entry(resource.clone()).or_default().clone();
        let is_head = queue.length.fetch_add(1, Ordering::Relaxed) == 0;
        (QueueEntry(queue), is_head)
    }

    /// Waits for a token until `until` at most; returns whether one was taken.
    async fn wait_for_token(&self, resource: &ResourceId, until: MonoTime) -> bool {
        let (entry, is_head) = self.join_queue(resource);
        if is_head {
            self.report_shortage(resource);
        }
        let end = self.clock.instant(until);
        let Ok(_turn) = timeout_at(end, entry.0.turn.lock()).await else { return false };
        loop {
            let now = self.clock.now();
            let ready_at = {
                let mut ledger = self.ledger.ledger(resource);
                if ledger.retry_take(now, resource) {
                    return true;
                }
                ledger.view(resource).and_then(|it| it.ready_at)
            };
            if now >= until {
                return false;
            }
            let wake_at = ready_at.unwrap_or(until).min(until).min(now.after(TOKEN_POLL_INTERVAL));
            // `Notify` stores a wake-up that arrives between the check and this wait.
            let _ = timeout(now.until(wake_at), entry.0.changed.notified()).await;
        }
    }

    fn over_rate(&self, resource: &ResourceId) -> QuotaVerdict {
        let now = self.clock.now();
        let ready_at = self.view(resource).and_then(|it| it.ready_at);
        QuotaVerdict::OverRate {
            retry_at: ready_at.unwrap_or_else(|| now.after(NO_RATE_RETRY_AFTER)),
        }
    }
}

#[async_trait]
impl QuotaGate for HostQuotas {
    async fn admit(&self, organisation: &OrganisationId, deadline: MonoTime) -> QuotaVerdict {
        let resource = ResourceId::Organisation(organisation.clone());
        let now = self.clock.now();
        if self.ledger.try_take(&resource, now) {
            return QuotaVerdict::Admitted;
        }
        let until = deadline.min(now.after(MAX_TOKEN_WAIT));
        if self.wait_for_token(&resource, until).await {
            return QuotaVerdict::Admitted;
        }
        self.over_rate(&resource)
    }
}

impl SpillGate for HostQuotas {
    fn try_spill(&self, service: &ServiceId, into: &RegionId) -> bool {
        let resource = ResourceId::Spill { service: service.clone(), region: into.clone() };
        let is_taken = self.ledger.try_take(&resource, self.clock.now());
        if !is_taken {
            self.report_shortage(&resource);
        }
        is_taken
    }
}
