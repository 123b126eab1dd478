//! Exclusive roles with leases and fencing tokens.
//!
//! A role is a store entry that is attached to the holder's lease, so that at most one host holds it. The holder stops
//! using the role a clock drift margin before the lease expires, measured by its own clock from before it sent the
//! renewal. Receivers keep the highest fencing token of each role and reject lower ones, which covers a holder that was
//! paused between the check and the use.

use std::{collections::HashMap, time::Duration};

use crate::{ids::FencingToken, time::MonoTime};

/// Divisor of the lease duration that yields the clock drift margin.
pub const DRIFT_DIVISOR: u32 = 10;

/// Lease from the perspective of its holder.
#[derive(Debug, Default)]
pub struct HeldLease {
    usable_until: MonoTime,
}

impl HeldLease {
    /// Records a successful grant or renewal with duration `ttl`; `sent` was read before the call was sent.
    pub fn record_renewal(&mut self, sent: MonoTime, ttl: Duration) {
        self.usable_until = self.usable_until.max(sent.after(ttl - ttl / DRIFT_DIVISOR));
    }

    /// Marks the lease as ended.
    pub fn end(&mut self) {
        self.usable_until = MonoTime::default();
    }

    /// Returns the time at which the holder must stop using its roles.
    pub fn usable_until(&self) -> MonoTime {
        self.usable_until
    }
}

/// Roles held by this host, with their fencing tokens.
#[derive(Debug, Default)]
pub struct HeldRoles {
    tokens: HashMap<String, FencingToken>,
}

impl HeldRoles {
    /// Records that a role was acquired at the store revision `token`.
    pub fn take(&mut self, role: String, token: FencingToken) {
        self.tokens.insert(role, token);
    }

    /// Removes one role.
    pub fn release(&mut self, role: &str) {
        self.tokens.remove(role);
    }

    /// Removes all roles.
    pub fn clear(&mut self) {
        self.tokens.clear();
    }

    /// Returns the fencing token of `role` if it is held and the lease is usable at `now`.
    pub fn token(&self, role: &str, lease: &HeldLease, now: MonoTime) -> Option<FencingToken> {
        self.tokens.get(role).copied().filter(|_| now < lease.usable_until())
    }

    /// Returns the names of the held roles.
    pub fn names(&self) -> Vec<String> {
        self.tokens.keys().cloned().collect()
    }
}

/// Rejects messages with outdated fencing tokens.
#[derive(Debug, Default)]
pub struct FencingGuard {
    /// Highest token seen per role.
    highest: HashMap<String, FencingToken>,
}

impl FencingGuard {
    /// Records the token of a message.
    pub fn record(&mut self, role: &str, token: FencingToken) {
        let highest = self.highest.entry(role.to_owned()).or_default();
        *highest = token.max(*highest);
    }

    /// Returns whether `token` is at least as high as the highest one recorded for `role`.
    pub fn admits(&self, role: &str, token: FencingToken) -> bool {
        self.highest.get(role).is_none_or(|highest| token >= *highest)
    }
}
