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
const LONGEST_WAIT: Duration = Duration::from_millis(250);
/// `Retry-After` for a resource without a fill rate.
const IDLE_RETRY: Duration = Duration::from_secs(1);
/// Maximum polling interval of the head of a queue; a renewed lease adds tokens without a notification.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Queue of requests that wait for tokens of one resource.
#[derive(Debug, Default)]
struct WaitingLine {
    length: AtomicU32,
    turn: AsyncMutex<()>,
    changed: Notify,
}

/// Entry in a queue, removed on drop.
struct LinePlace(Arc<WaitingLine>);

impl Drop for LinePlace {
    fn drop(&mut self) {
        self.0.length.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Quota ledger of this host, and the requests that wait for tokens.
pub struct HostQuotas {
    clock: HostClock,
    ledger: SharedLedger,
    lines: Mutex<HashMap<ResourceId, Arc<WaitingLine>>>,
    borrower: OnceLock<Arc<dyn ShortageSink>>,
}

impl HostQuotas {
    /// Creates the quotas of a host without shares.
    pub fn new(identity: &HostIdentity, clock: HostClock) -> Self {
        let ledger = LedgerIdentity::new(identity.id.clone(), identity.incarnation);
        Self {
            clock,
            ledger: SharedLedger::new(&ledger),
            lines: Mutex::default(),
            borrower: OnceLock::new(),
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
        let lines = self.lines.lock();
        lines.get(resource).map(|it| it.length.load(Ordering::Relaxed)).unwrap_or_default()
    }

    /// Sets the quota actor, which borrows from other hosts.
    pub(crate) fn connect(&self, borrower: Arc<dyn ShortageSink>) {
        if self.borrower.set(borrower).is_err() {
            log::error!("quota actor is already connected");
        }
    }

    /// Wakes the head of a queue to check for tokens.
    pub(crate) fn wake(&self, resource: &ResourceId) {
        if let Some(line) = self.lines.lock().get(resource) {
            line.changed.notify_one();
        }
    }

    fn report_shortage(&self, resource: &ResourceId) {
        if let Some(borrower) = self.borrower.get() {
            borrower.report_shortage(resource);
        }
    }

    fn join_line(&self, resource: &ResourceId) -> (LinePlace, bool) {
        let mut lines = self.lines.lock();
        let line = lines.entry(resource.clone()).or_default().clone();
        let is_first = line.length.fetch_add(1, Ordering::Relaxed) == 0;
        (LinePlace(line), is_first)
    }

    /// Waits for a token until `until` at most; returns whether one was taken.
    async fn wait_token(&self, resource: &ResourceId, until: MonoTime) -> bool {
        let (place, is_first) = self.join_line(resource);
        if is_first {
            self.report_shortage(resource);
        }
        let end = self.clock.instant(until);
        let Ok(_turn) = timeout_at(end, place.0.turn.lock()).await else { return false };
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
            let wake_at = ready_at.unwrap_or(until).min(until).min(now.after(LOOK_INTERVAL));
            // `Notify` stores a wake-up that arrives between the check and this wait.
            let _ = timeout(now.until(wake_at), place.0.changed.notified()).await;
        }
    }

    fn refusal(&self, resource: &ResourceId) -> QuotaVerdict {
        let now = self.clock.now();
        let ready_at = self.view(resource).and_then(|it| it.ready_at);
        QuotaVerdict::OverRate { retry_at: ready_at.unwrap_or_else(|| now.after(IDLE_RETRY)) }
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
        let until = deadline.min(now.after(LONGEST_WAIT));
        if self.wait_token(&resource, until).await {
            return QuotaVerdict::Admitted;
        }
        self.refusal(&resource)
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
