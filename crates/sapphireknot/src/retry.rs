//! Decision whether a request is sent again.
//!
//! A request that must not run twice is sent again only if it provably did not run. All retries share a budget, so that
//! a failing service is not hit by a multiple of its load.

/// How one attempt ended without a response that is passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No byte of the request was written.
    NotSent,
    /// The backend server refused before running it.
    Shed,
    /// The request may have run.
    MaybeRan,
}

/// What follows a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryVerdict {
    /// Send it to another backend server.
    Again,
    /// Give up; the request did not run.
    NotRun,
    /// Give up; the request may have run.
    Unknown,
}

/// Tenths of a retry that one request adds to the budget.
const DEPOSIT: u32 = 1;
/// Tenths of a retry that one retry takes.
const RETRY_COST: u32 = 10;
/// Retries that a host may start with, so that the first requests after a start can be retried.
const INITIAL_RETRIES: u32 = 10;
/// Retries that a host may save up; more would let a burst of retries follow a quiet hour.
const MAX_RETRIES: u32 = 100;

/// Retries that are left, as a tenth of requests.
#[derive(Debug)]
pub struct RetryBudget {
    tenths: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tenths: INITIAL_RETRIES * RETRY_COST }
    }
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.tenths = (self.tenths + DEPOSIT).min(MAX_RETRIES * RETRY_COST);
    }

    /// Takes one retry, if one is left.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        let left = self.tenths.checked_sub(RETRY_COST);
        self.tenths = left.unwrap_or(self.tenths);
        left.is_some()
    }

    /// Gives back a retry that was not sent.
    pub fn refund(&mut self) {
        self.tenths = (self.tenths + RETRY_COST).min(MAX_RETRIES * RETRY_COST);
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

    /// Takes the end of an attempt and says what follows.
    pub fn after(&mut self, end: AttemptEnd, budget: &mut RetryBudget) -> RetryVerdict {
        self.attempts_left = self.attempts_left.saturating_sub(1);
        self.may_have_run |= end == AttemptEnd::MaybeRan;
        let is_safe = self.idempotent || !self.may_have_run;
        if is_safe && self.attempts_left > 0 && budget.withdraw() {
            RetryVerdict::Again
        } else if self.may_have_run {
            RetryVerdict::Unknown
        } else {
            RetryVerdict::NotRun
        }
    }
}
