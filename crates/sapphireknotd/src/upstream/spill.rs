//! Spill to other regions without messages between hosts.

use std::{
    collections::HashMap,
    sync::{Arc, Weak},
};

use parking_lot::Mutex;
use sapphireknot::{
    ids::{RegionId, ServiceId},
    time::MonoTime,
    units::{TokenCount, TrafficShare},
};

use crate::context::{HostContext, SpillGate};

#[derive(Debug)]
struct SpillBucket {
    tokens: TokenCount,
    filled_at: MonoTime,
}

/// Splits the configured spill rate equally over the live hosts.
#[derive(Debug)]
pub struct EqualSplitSpill {
    context: Weak<HostContext>,
    buckets: Mutex<HashMap<(ServiceId, RegionId), SpillBucket>>,
}

impl EqualSplitSpill {
    /// A gate that reads configuration and members of `context`.
    pub fn new(context: Weak<HostContext>) -> Self {
        Self { context, buckets: Mutex::default() }
    }

    fn take(&self, context: &Arc<HostContext>, service: &ServiceId, into: &RegionId) -> bool {
        let now = context.clock.now();
        let config = context.config.load();
        let entry = config.as_ref().and_then(|it| it.routes.service(service));
        let Some(spill) = entry.and_then(|it| it.spill.iter().find(|it| it.into == *into)) else {
            return false;
        };
        let live = context.members.load().iter().filter(|it| it.state.is_live()).count();
        let hosts = u32::try_from(live).unwrap_or(u32::MAX).max(1);
        let share = TrafficShare(TrafficShare::WHOLE.0 / hosts);
        let (rate, burst) = (spill.rate.scaled(share), spill.burst.scaled(share));
        let mut buckets = self.buckets.lock();
        let bucket = buckets
            .entry((service.clone(), into.clone()))
            .or_insert_with(|| SpillBucket { tokens: burst, filled_at: now });
        let accrued = rate.accrued(bucket.filled_at, now);
        bucket.tokens = TokenCount(bucket.tokens.saturating_add(accrued).0.min(burst.0));
        bucket.filled_at = now;
        let left = bucket.tokens.0.checked_sub(TokenCount::ONE.0);
        bucket.tokens = left.map_or(bucket.tokens, TokenCount);
        left.is_some()
    }
}

impl SpillGate for EqualSplitSpill {
    fn try_spill(&self, service: &ServiceId, into: &RegionId) -> bool {
        self.context.upgrade().is_some_and(|it| self.take(&it, service, into))
    }
}
