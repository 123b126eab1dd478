//! Admissions that a host holds for its next requests.
//!
//! One host of each region owns the region's part of an organisation's quota; the others ask it for a few admissions at a
//! time, as many as they expect to need soon. Admissions that are not used expire, so that what all hosts hold together
//! stays a small part of the quota.

use std::{collections::HashMap, time::Duration};

use crate::{ids::OrganisationId, time::MonoTime};

/// Time of expected requests for which admissions are asked at once.
const AHEAD: f64 = 0.25;
/// Most admissions that are asked at once.
const MAX_ASKED: u32 = 32;
/// Time after which unused admissions expire.
const HOLD: Duration = Duration::from_millis(600);
/// Time over which the rate of requests is averaged.
const RATE_MEMORY: Duration = Duration::from_secs(1);

/// What a host does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoolAnswer {
    /// It is admitted.
    Admitted,
    /// It is refused; another one may pass at the given time.
    Denied(MonoTime),
    /// The owner is to be asked for this many admissions first.
    Ask(u32),
}

#[derive(Debug, Default)]
struct HeldTokens {
    tokens: u32,
    expires: MonoTime,
    denied_until: MonoTime,
    /// Requests in the averaging time, decaying.
    recent: f64,
    counted: MonoTime,
}

/// Admissions that a host holds.
#[derive(Debug, Default)]
pub struct TokenPool {
    held: HashMap<OrganisationId, HeldTokens>,
}

impl TokenPool {
    /// Counts a request and admits it if an admission is held.
    pub fn admit(&mut self, organisation: &OrganisationId, now: MonoTime) -> PoolAnswer {
        let held = self.held.entry(organisation.clone()).or_default();
        let age = now.since(held.counted).as_secs_f64() / RATE_MEMORY.as_secs_f64();
        held.recent = held.recent * (-age).exp() + 1.0;
        held.counted = now;
        held.take(now)
    }

    /// Admits a request that was counted and waited for admissions.
    pub fn admit_again(&mut self, organisation: &OrganisationId, now: MonoTime) -> PoolAnswer {
        self.held.entry(organisation.clone()).or_default().take(now)
    }

    /// Takes what the owner granted; `retry_at` says when more are expected if that is nothing.
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
        held.expires = now.after(HOLD);
    }

    /// Gives back the admission of a request that did not run.
    pub fn refund(&mut self, organisation: &OrganisationId, now: MonoTime) {
        if let Some(held) = self.held.get_mut(organisation)
            && now < held.expires
        {
            held.tokens += 1;
        }
    }
}

impl HeldTokens {
    fn take(&mut self, now: MonoTime) -> PoolAnswer {
        if self.tokens > 0 && now < self.expires {
            self.tokens -= 1;
            return PoolAnswer::Admitted;
        }
        if now < self.denied_until {
            return PoolAnswer::Denied(self.denied_until);
        }
        let ahead = (self.recent * AHEAD).floor() as u32;
        PoolAnswer::Ask((1 + ahead).min(MAX_ASKED))
    }
}
