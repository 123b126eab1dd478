//! Simple admission.
//!
//! [`EqualSplitGate`] is the baseline against which quota transfers are measured: it needs no messages, and refuses an
//! organisation wrongly whose callers favour few hosts.

use std::{
    collections::HashMap,
    sync::{Arc, Weak},
};

use async_trait::async_trait;
use parking_lot::Mutex;
use sapphireknot::{
    ids::OrganisationId,
    time::MonoTime,
    units::{RequestRate, TokenCount, TrafficShare},
};

use crate::context::{HostContext, QuotaGate, QuotaVerdict};

/// Time after which an organisation without a fill rate may be asked about again.
const IDLE_RETRY: std::time::Duration = std::time::Duration::from_secs(1);

#[derive(Debug)]
struct TokenBucket {
    tokens: TokenCount,
    filled_at: MonoTime,
}

/// Splits rate and burst equally over the live hosts.
#[derive(Debug)]
pub struct EqualSplitGate {
    context: Weak<HostContext>,
    buckets: Mutex<HashMap<OrganisationId, TokenBucket>>,
}

impl EqualSplitGate {
    /// A gate that reads configuration and members of `context`.
    pub fn new(context: Weak<HostContext>) -> Self {
        Self { context, buckets: Mutex::default() }
    }

    fn take(&self, context: &Arc<HostContext>, organisation: &OrganisationId) -> QuotaVerdict {
        let now = context.clock.now();
        let config = context.config.load();
        let entry = config.as_ref().and_then(|it| it.document.organisation(organisation));
        let Some(entry) = entry else {
            return QuotaVerdict::OverRate { retry_at: now.after(IDLE_RETRY) };
        };
        let live = context.members.load().iter().filter(|it| it.state.is_live()).count();
        let hosts = u32::try_from(live).unwrap_or(u32::MAX).max(1);
        let share = TrafficShare(TrafficShare::WHOLE.0 / hosts);
        let (rate, burst) = (entry.rate.scaled(share), entry.burst.scaled(share));
        let mut buckets = self.buckets.lock();
        let bucket = buckets
            .entry(organisation.clone())
            .or_insert_with(|| TokenBucket { tokens: burst, filled_at: now });
        let accrued = rate.accrued(bucket.filled_at, now);
        bucket.tokens = TokenCount(bucket.tokens.saturating_add(accrued).0.min(burst.0));
        bucket.filled_at = now;
        match bucket.tokens.0.checked_sub(TokenCount::ONE.0) {
            Some(left) => {
                bucket.tokens = TokenCount(left);
                QuotaVerdict::Admitted
            }
            None => QuotaVerdict::OverRate { retry_at: next_token(bucket, rate) },
        }
    }
}

fn next_token(bucket: &TokenBucket, rate: RequestRate) -> MonoTime {
    let missing = TokenCount::ONE.saturating_sub(bucket.tokens).0;
    if rate.0 == 0 {
        return bucket.filled_at.after(IDLE_RETRY);
    }
    // A rate of one thousandth of a request per second fills one millionth of a request in a millisecond.
    MonoTime(bucket.filled_at.0.saturating_add((missing * 1_000).div_ceil(rate.0)))
}

#[async_trait]
impl QuotaGate for EqualSplitGate {
    async fn admit(&self, organisation: &OrganisationId, deadline: MonoTime) -> QuotaVerdict {
        match self.context.upgrade() {
            Some(context) => self.take(&context, organisation),
            None => QuotaVerdict::OverRate { retry_at: deadline },
        }
    }
}
