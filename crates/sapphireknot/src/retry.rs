//! Retry policy and retry budget.
//!
//! A non-idempotent request is retried only if it provably did not run. All retries share a budget, so that retries do
//! not multiply the load of a failing service.

use crate::units::{TokenCount, TrafficShare};

/// Outcome of an attempt that produced no response to forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No byte of the request was written.
    NotSent,
    /// The backend server rejected the request before running it.
    Shed,
    /// The request may have run.
    MaybeRan,
}

/// Decision after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry the request on another backend server.
    Retry,
    /// Give up; the request did not run.
    NotRun,
    /// Give up; the request may have run.
    Unknown,
}

/// Limits of a retry budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryLimits {
    /// Fraction of a retry that each first attempt adds to the budget.
    pub deposit: TrafficShare,
    /// Maximum balance; a higher one would allow a burst of retries after a quiet period.
    pub max_balance: TokenCount,
    /// Initial balance, so that the first requests after a start can be retried.
    pub initial: TokenCount,
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self {
            deposit: TrafficShare::percent(10),
            max_balance: TokenCount(100 * TokenCount::ONE.0),
            initial: TokenCount(10 * TokenCount::ONE.0),
        }
    }
}

/// Token bucket that limits retries to a fraction of requests.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    balance: TokenCount,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(RetryLimits::default())
    }
}

impl RetryBudget {
    /// Creates a budget with the initial balance of `limits`.
    pub fn new(limits: RetryLimits) -> Self {
        Self { limits, balance: limits.initial }
    }

    /// Replaces the limits; caps the balance at the new maximum and never raises it.
    pub fn set_limits(&mut self, limits: RetryLimits) {
        self.limits = limits;
        self.balance = self.balance.min(limits.max_balance);
    }

    /// Adds the deposit for a first attempt.
    pub fn deposit(&mut self) {
        self.add(TokenCount(u64::from(self.limits.deposit.0)));
    }

    /// Withdraws one retry, if the balance allows it; returns whether it did.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        let is_withdrawn = self.balance >= TokenCount::ONE;
        if is_withdrawn {
            self.balance = self.balance.saturating_sub(TokenCount::ONE);
        }
        is_withdrawn
    }

    /// Refunds a retry that was not sent.
    pub fn refund(&mut self) {
        self.add(TokenCount::ONE);
    }

    fn add(&mut self, count: TokenCount) {
        self.balance = self.balance.saturating_add(count).min(self.limits.max_balance);
    }
}

/// Retry state of one request.
#[derive(Debug)]
pub struct RetryPolicy {
    idempotent: bool,
    attempts_left: u32,
    may_have_run: bool,
}

impl RetryPolicy {
    /// Creates the policy of a request that may be attempted `max_attempts` times.
    pub fn new(idempotent: bool, max_attempts: u32) -> Self {
        Self { idempotent, attempts_left: max_attempts, may_have_run: false }
    }

    /// Returns whether any attempt so far may have run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Reserves a retry concurrent to a running attempt, if the request may be retried; returns whether it did.
    #[must_use]
    pub fn reserve(&mut self, budget: &mut RetryBudget) -> bool {
        // The running attempt is included in `attempts_left` until it ends.
        let is_reserved = self.idempotent && self.attempts_left > 1 && budget.withdraw();
        if is_reserved {
            self.attempts_left -= 1;
        }
        is_reserved
    }

    /// Releases a reserved retry that was not sent.
    pub fn release(&mut self, budget: &mut RetryBudget) {
        self.attempts_left += 1;
        budget.refund();
    }

    /// Records the outcome of an attempt and decides whether to retry.
    pub fn record_attempt(
        &mut self,
        outcome: AttemptOutcome,
        budget: &mut RetryBudget,
    ) -> RetryDecision {
        self.attempts_left = self.attempts_left.saturating_sub(1);
        self.may_have_run |= outcome == AttemptOutcome::MaybeRan;
        let is_safe = self.idempotent || !self.may_have_run;
        if is_safe && self.attempts_left > 0 && budget.withdraw() {
            RetryDecision::Retry
        } else if self.may_have_run {
            RetryDecision::Unknown
        } else {
            RetryDecision::NotRun
        }
    }
}
