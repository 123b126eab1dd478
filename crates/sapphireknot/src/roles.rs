//! Roles that one host holds at a time.
//!
//! A role is an entry of the store that is attached to the holder's lease. The holder stops a drift margin before the
//! lease ends, counted by its own clock from before it sent the renewal. Receivers remember the highest fencing token
//! of each role and refuse a lower one, which covers a holder that was paused between the check and the use.

use std::{collections::HashMap, time::Duration};

use crate::{ids::FencingToken, time::MonoTime};

/// The drift margin is the lease divided by this.
pub const DRIFT_DIVISOR: u32 = 10;

/// Lease as its holder sees it.
#[derive(Debug, Default)]
pub struct HeldLease {
    usable_until: MonoTime,
}

impl HeldLease {
    /// Records an answered grant or renewal of `ttl`; `sent` is from before the call was sent.
    pub fn record_renewal(&mut self, sent: MonoTime, ttl: Duration) {
        self.usable_until = self.usable_until.max(sent.after(ttl - ttl / DRIFT_DIVISOR));
    }

    /// Ends the lease.
    pub fn end(&mut self) {
        self.usable_until = MonoTime::default();
    }

    /// When the holder stops.
    pub fn usable_until(&self) -> MonoTime {
        self.usable_until
    }
}

/// Roles that this host holds.
#[derive(Debug, Default)]
pub struct HeldRoles {
    tokens: HashMap<String, FencingToken>,
}

impl HeldRoles {
    /// Records that a role was taken at the store revision `token`.
    pub fn take(&mut self, role: String, token: FencingToken) {
        self.tokens.insert(role, token);
    }

    /// Gives up one role.
    pub fn release(&mut self, role: &str) {
        self.tokens.remove(role);
    }

    /// Gives up all roles.
    pub fn clear(&mut self) {
        self.tokens.clear();
    }

    /// The token of `role`, if it may be used at `now`.
    pub fn token(&self, role: &str, lease: &HeldLease, now: MonoTime) -> Option<FencingToken> {
        self.tokens.get(role).copied().filter(|_| now < lease.usable_until())
    }

    /// Names of the roles.
    pub fn names(&self) -> Vec<String> {
        self.tokens.keys().cloned().collect()
    }
}

/// Highest fencing token seen per role.
#[derive(Debug, Default)]
pub struct FencingGuard {
    highest: HashMap<String, FencingToken>,
}

impl FencingGuard {
    /// Remembers the token of a message.
    pub fn record(&mut self, role: &str, token: FencingToken) {
        let highest = self.highest.entry(role.to_owned()).or_default();
        *highest = token.max(*highest);
    }

    /// Whether a message with this token is to be followed.
    pub fn admits(&self, role: &str, token: FencingToken) -> bool {
        self.highest.get(role).is_none_or(|highest| token >= *highest)
    }
}
