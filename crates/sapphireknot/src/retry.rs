//! Decision whether a request is sent again.
//!
//! A request that must not run twice is sent again only if it provably did not run. All retries share a budget, so that
//! a failing service is not hit by a multiple of its load.

use crate::units::{TokenCount, TrafficShare};

/// How one attempt ended without a response that is passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No byte of the request was written.
    NotSent,
    /// The backend server refused before running it.
    Shed,
    /// The request may have run.
    MaybeRan,
}

/// What follows a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send it to another backend server.
    Retry,
    /// Give up; the request did not run.
    NotRun,
    /// Give up; the request may have run.
    Unknown,
}

/// Limits of the retries of one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryLimits {
    /// Part of a retry that one request adds.
    pub deposit: TrafficShare,
    /// Retries that may be saved up; more would let a burst of retries follow a quiet hour.
    pub max_balance: TokenCount,
    /// Retries that a host starts with, so that the first requests after a start can be retried.
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

/// Retries that are left, as a part of requests.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    left: TokenCount,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(RetryLimits::default())
    }
}

impl RetryBudget {
    /// A budget with the initial retries of `limits`.
    pub fn new(limits: RetryLimits) -> Self {
        Self { limits, left: limits.initial }
    }

    /// Replaces the limits; what is left is clipped and never raised.
    pub fn set_limits(&mut self, limits: RetryLimits) {
        self.limits = limits;
        self.left = self.left.min(limits.max_balance);
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.add(TokenCount(u64::from(self.limits.deposit.0)));
    }

    /// Takes one retry, if one is left.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        let is_left = self.left >= TokenCount::ONE;
        if is_left {
            self.left = self.left.saturating_sub(TokenCount::ONE);
        }
        is_left
    }

    /// Gives back a retry that was not sent.
    pub fn refund(&mut self) {
        self.add(TokenCount::ONE);
    }

    fn add(&mut self, count: TokenCount) {
        self.left = self.left.saturating_add(count).min(self.limits.max_balance);
    }
}

/// Rules for the attempts of one request.
#[derive(Debug)]
pub struct RetryPolicy {
    idempotent: bool,
    attempts_left: u32,
    may_have_run: bool,
}

impl RetryPolicy {
    /// Rules of a request that may be sent `max_attempts` times.
    pub fn new(idempotent: bool, max_attempts: u32) -> Self {
        Self { idempotent, attempts_left: max_attempts, may_have_run: false }
    }

    /// Whether an attempt may have run so far.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Reserves a retry beside an attempt that still runs, if the request may be sent again.
    #[must_use]
    pub fn reserve(&mut self, budget: &mut RetryBudget) -> bool {
        // The running attempt counts until its end.
        let is_reserved = self.idempotent && self.attempts_left > 1 && budget.withdraw();
        if is_reserved {
            self.attempts_left -= 1;
        }
        is_reserved
    }

    /// Gives back a reserved retry that was not sent.
    pub fn release(&mut self, budget: &mut RetryBudget) {
        self.attempts_left += 1;
        budget.refund();
    }

    /// Takes the end of an attempt and says what follows.
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
