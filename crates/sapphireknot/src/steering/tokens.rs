//! Admissions that a host prefetches for its next requests.
//!
//! One host of each region owns the region's share of an organisation's quota; the others request a few admissions at a
//! time from it, as many as they expect to need soon. Unused admissions expire, so that what all hosts hold together
//! stays a small part of the quota.

use std::{collections::HashMap, time::Duration};

use crate::{ids::OrganisationId, time::MonoTime};

/// Time, in seconds, of expected requests for which admissions are requested at once.
const PREFETCH_SECONDS: f64 = 0.25;
/// Maximum number of admissions that are requested at once.
const MAX_REQUESTED: u32 = 32;
/// Time after which unused admissions expire.
const TOKEN_TTL: Duration = Duration::from_millis(600);
/// Time constant of the average request rate.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Decision on the admission of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request is admitted.
    Admitted,
    /// The request is refused; another one may pass at the given time.
    Denied(MonoTime),
    /// This many admissions must be requested from the owner first.
    RequestTokens(u32),
}

#[derive(Debug, Default)]
struct HeldTokens {
    tokens: u32,
    expires: MonoTime,
    denied_until: MonoTime,
    /// Decaying count of recent requests.
    recent: f64,
    counted_at: MonoTime,
}

/// Admissions that a host holds.
#[derive(Debug, Default)]
pub struct TokenPool {
    held: HashMap<OrganisationId, HeldTokens>,
}

impl TokenPool {
    /// Records a request and admits it if an admission is held.
    pub fn admit(&mut self, organisation: &OrganisationId, now: MonoTime) -> AdmissionDecision {
        let held = self.held.entry(organisation.clone()).or_default();
        let age = now.since(held.counted_at).as_secs_f64() / RATE_TIME_CONSTANT.as_secs_f64();
        held.recent = held.recent * (-age).exp() + 1.0;
        held.counted_at = now;
        held.take(now)
    }

    /// Retries the admission of a request that was recorded and waited for the owner's grant.
    pub fn admit_again(
        &mut self,
        organisation: &OrganisationId,
        now: MonoTime,
    ) -> AdmissionDecision {
        self.held.entry(organisation.clone()).or_default().take(now)
    }

    /// Adds the admissions that the owner granted; `retry_at` is when more are expected if there were none.
    pub fn fill(
        &mut self,
        organisation: &OrganisationId,
        granted: u32,
        retry_at: MonoTime,
        now: MonoTime,
    ) {
        let held = self.held.entry(organisation.clone()).or_default();
        if granted == 0 {
            held.denied_until = retry_at;
            return;
        }
        if now >= held.expires {
            held.tokens = 0;
        }
        held.tokens += granted;
        held.expires = now.after(TOKEN_TTL);
    }

    /// Returns the admission of a request that did not run.
    pub fn refund(&mut self, organisation: &OrganisationId, now: MonoTime) {
        if let Some(held) = self.held.get_mut(organisation)
            && now < held.expires
        {
            held.tokens += 1;
        }
    }
}

impl HeldTokens {
    fn take(&mut self, now: MonoTime) -> AdmissionDecision {
        if self.tokens > 0 && now < self.expires {
            self.tokens -= 1;
            return AdmissionDecision::Admitted;
        }
        if now < self.denied_until {
            return AdmissionDecision::Denied(self.denied_until);
        }
        let ahead = (self.recent * PREFETCH_SECONDS).floor() as u32;
        AdmissionDecision::RequestTokens((1 + ahead).min(MAX_REQUESTED))
    }
}
