//! Statistical evidence on a new version, summed over hosts.
//!
//! Each host counts the outcomes of its own requests to both versions, and how many bad outcomes of the new version are
//! explained by the rate of the old one at the same time and host. The counts are cumulative for one order and one
//! incarnation of the host, so that lost or repeated messages do no harm. The collector of a region keeps the latest
//! counts of each host and sends each of them the sum of the others; collectors send each other the sums of their
//! regions.
//!
//! The decision compares two hypotheses on the sum: bad outcomes of the new version exceed the explained ones by at
//! most [`TOLERATED`], or by one of [`EXCESSES`]. The likelihood ratio, averaged over the excesses, may be evaluated
//! after each outcome; a version that is no worse than tolerated reaches 1 / [`FALSE_ALARM`] at most with that
//! probability, as far as the explained rate is exact. While the old version has no faults, 3 bad responses of 5 are
//! decisive, or 6 of 30, 11 of 110 or 27 of 540. A single host is not decisive if the others have enough outcomes:
//! without the host with the largest excess the ratio must still reach `MIN_SUPPORT_RATIO`. A single region may be
//! decisive, as a version may be bad on a route that only one region uses. The outcomes since earlier checkpoints are
//! evaluated in the same way ([`EvidenceHistory`]).

mod history;
mod table;

use std::ops::{Add, Sub};

pub use self::{
    history::EvidenceHistory,
    table::{EvidencePosition, EvidenceTable},
};

use crate::{
    ids::{HostId, IncarnationId, RegionId, ServiceId},
    time::MonoTime,
};

/// Tolerated share of bad outcomes beyond the explained ones; cold servers are slower for a moment.
pub const TOLERATED: f64 = 0.02;
/// Shares of bad outcomes beyond the explained ones to which the likelihood ratio is most sensitive.
pub const EXCESSES: [f64; 3] = [0.06, 0.2, 0.5];
/// Upper bound of the probability that a version no worse than tolerated is ever reverted for the sum of its outcomes.
pub const FALSE_ALARM: f64 = 0.001;
/// Likelihood ratio that must remain without the host with the largest excess.
const MIN_SUPPORT_RATIO: f64 = 10.0;
/// Outcomes of the new version at other hosts from which these must support a decision.
const MIN_OTHERS: u32 = 6;
/// Bad outcomes of the new version below which it is not evaluated.
const MIN_BAD: u32 = 3;
/// Tolerated share of failures beyond the explained ones at the end of a rollout.
const TOLERATED_AT_END: f64 = 0.005;
/// Shares of failures beyond the explained ones to which the ratio is most sensitive at the end of a rollout.
const EXCESSES_AT_END: [f64; 4] = [0.02, 0.06, 0.2, 0.5];
/// Likelihood ratio from which a rollout is not completed. It is evaluated once and lower than the one for reverting
/// early, because a completed rollout cannot be undone, whereas a reverted one can be ordered again.
const DOUBT_RATIO: f64 = 5.0;
/// Upper bound of assumed rates of bad outcomes.
const MAX_RATE: f64 = 0.95;
/// Outcomes of both versions per block, within which the rate of the old version explains bad outcomes of the new one;
/// few enough to follow a stall of all servers, and enough for a rate.
const BLOCK_SIZE: u32 = 20;
/// Weight of a block in the rate of the old version that later blocks start from.
const RATE_WEIGHT: f64 = 0.5;
/// Rate of bad outcomes of the old version that is assumed before the first block.
const INITIAL_RATE: f64 = 0.02;

/// How a request to a version ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutcomeQuality {
    /// Usable response in time.
    Good,
    /// Usable response that is slow for the service, see [`super::slowness`].
    Slow,
    /// No usable response.
    Failed,
    /// No response, shortly after another attempt at the same server got none.
    RepeatedLoss,
}

/// Outcomes of a version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct VersionTally {
    /// Requests that ended with an outcome.
    pub requests: u32,
    /// Requests that failed.
    pub failures: u32,
    /// Requests that succeeded slowly.
    pub slow: u32,
}

impl VersionTally {
    /// Counts an outcome.
    pub fn record(&mut self, quality: OutcomeQuality) {
        self.requests += 1;
        let is_failure = matches!(quality, OutcomeQuality::Failed | OutcomeQuality::RepeatedLoss);
        self.failures += u32::from(is_failure);
        self.slow += u32::from(quality == OutcomeQuality::Slow);
    }

    /// Number of failed and slow requests.
    pub fn bad(&self) -> u32 {
        self.failures + self.slow
    }

    fn combine(self, other: Self, combine: fn(u32, u32) -> u32) -> Self {
        Self {
            requests: combine(self.requests, other.requests),
            failures: combine(self.failures, other.failures),
            slow: combine(self.slow, other.slow),
        }
    }
}

/// Outcomes of both versions of a rollout.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct VersionCounts {
    /// Old version.
    pub old: VersionTally,
    /// New version.
    pub new: VersionTally,
    /// Bad outcomes of the new version that are explained by the rate of the old one at the same time and host.
    pub explained: f64,
}

impl Add for VersionCounts {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            old: self.old.combine(other.old, u32::saturating_add),
            new: self.new.combine(other.new, u32::saturating_add),
            explained: self.explained + other.explained,
        }
    }
}

impl Sub for VersionCounts {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self {
            old: self.old.combine(other.old, u32::saturating_sub),
            new: self.new.combine(other.new, u32::saturating_sub),
            explained: (self.explained - other.explained).max(0.0),
        }
    }
}

impl VersionCounts {
    /// Outcomes of both versions; never decreases for one host.
    pub fn requests(&self) -> u32 {
        self.old.requests.saturating_add(self.new.requests)
    }

    /// Returns the counts with the first outcomes of the new version explained by the pooled rate of the old one over
    /// all hosts: a host may have sent its first request to the new version before it had an outcome of the old one.
    fn with_pooled_baseline(self) -> Self {
        if self.new.requests >= BLOCK_SIZE || self.old.requests == 0 {
            return self;
        }
        let rate = f64::from(self.old.bad()) / f64::from(self.old.requests);
        let explained = self.explained.max(rate * f64::from(self.new.requests));
        Self { explained, ..self }
    }

    /// Bad outcomes of the new version beyond the explained and tolerated ones.
    fn excess(&self) -> f64 {
        let allowed = self.explained + TOLERATED * f64::from(self.new.requests);
        f64::from(self.new.bad()) - allowed
    }

    /// Logarithm of the likelihood ratio against the new version.
    fn log_ratio(&self) -> f64 {
        self.log_ratio_of(self.new.bad(), TOLERATED, &EXCESSES)
    }

    /// Logarithm of the likelihood ratio at the end of a rollout: the larger one of that for failures alone, of which
    /// fewer are tolerated, and that for all bad outcomes.
    fn log_doubt(&self) -> f64 {
        let failures = self.log_ratio_of(self.new.failures, TOLERATED_AT_END, &EXCESSES_AT_END);
        failures.max(self.log_ratio())
    }

    /// Logarithm of the likelihood ratio for `bad` outcomes of the new version, of which a share `tolerated` is
    /// allowed, averaged over `excesses`.
    fn log_ratio_of(&self, bad: u32, tolerated: f64, excesses: &[f64]) -> f64 {
        let requests = f64::from(self.new.requests);
        if self.new.requests == 0 {
            return 0.0;
        }
        let bad = f64::from(bad).min(requests);
        let base = (self.explained / requests).min(MAX_RATE);
        let allowed = (base + tolerated).min(MAX_RATE);
        let ratio = |excess: &f64| {
            let worse = (base + excess).min(MAX_RATE);
            let log = bad * (worse / allowed).ln()
                + (requests - bad) * ((1.0 - worse) / (1.0 - allowed)).ln();
            log.exp()
        };
        (excesses.iter().map(ratio).sum::<f64>() / excesses.len() as f64).ln()
    }
}

/// Outcomes of this host's own requests since an order.
#[derive(Debug)]
pub struct OwnEvidence {
    closed_blocks: VersionCounts,
    block: VersionCounts,
    /// Moving average of the rate of bad outcomes of the old version over closed blocks.
    old_rate: f64,
}

impl Default for OwnEvidence {
    fn default() -> Self {
        let (closed_blocks, block) = (VersionCounts::default(), VersionCounts::default());
        Self { closed_blocks, block, old_rate: INITIAL_RATE }
    }
}

impl OwnEvidence {
    /// Records an outcome of the new or the old version.
    pub fn record(&mut self, is_new: bool, quality: OutcomeQuality) {
        // Repeated losses still count for the old version, which gets more requests per server: without them its rate
        // would explain too little.
        if is_new && quality == OutcomeQuality::RepeatedLoss {
            return;
        }
        let block = &mut self.block;
        let tally = if is_new { &mut block.new } else { &mut block.old };
        tally.record(quality);
        if block.requests() >= BLOCK_SIZE {
            self.closed_blocks = self.counts();
            self.old_rate += RATE_WEIGHT * (self.block_rate() - self.old_rate);
            self.block = VersionCounts::default();
        }
    }

    /// All outcomes.
    pub fn counts(&self) -> VersionCounts {
        let explained = f64::from(self.block.new.requests) * self.block_rate();
        self.closed_blocks + VersionCounts { explained, ..self.block }
    }

    fn block_rate(&self) -> f64 {
        let old = self.block.old;
        // The last outcomes of an old version that gets no more requests are its slowest, and say little about its
        // rate.
        let is_ending = old.requests < self.block.new.requests;
        let assumed = if is_ending { BLOCK_SIZE.saturating_sub(old.requests) } else { 1 };
        let assumed = f64::from(assumed);
        (f64::from(old.bad()) + assumed * self.old_rate) / (f64::from(old.requests) + assumed)
    }
}

/// Outcomes of one host.
#[derive(Debug, Clone, PartialEq)]
pub struct HostEvidence {
    /// Service.
    pub service: ServiceId,
    /// Revision of the order.
    pub order: u64,
    /// Host.
    pub host: HostId,
    /// Incarnation of the host, for which the counts are cumulative.
    pub incarnation: IncarnationId,
    /// When the first host saw the order, to this host's knowledge; a later time alone is not a change.
    pub seen: MonoTime,
    /// Outcomes.
    pub counts: VersionCounts,
}

/// Outcomes of a region's hosts.
#[derive(Debug, Clone, PartialEq)]
pub struct RegionEvidence {
    /// Service.
    pub service: ServiceId,
    /// Revision of the order.
    pub order: u64,
    /// Region.
    pub region: RegionId,
    /// When the first host of the region saw the order. It varies by the transit time of messages, and such a
    /// difference is not a change.
    pub seen: MonoTime,
    /// Outcomes of all hosts of the region, or of all but the recipient.
    pub sum: VersionCounts,
    /// Outcomes of the host with the largest excess.
    pub outlier: VersionCounts,
}

/// Evidence that hosts send each other.
#[derive(Debug, Clone, PartialEq)]
pub enum EvidenceReport {
    /// Outcomes of the sending host.
    Host(HostEvidence),
    /// Outcomes of a region.
    Region(RegionEvidence),
}

/// Sum of this host's counts and those of `others`.
pub fn total_counts<'a, I>(own: VersionCounts, others: I) -> VersionCounts
where
    I: Iterator<Item = &'a RegionEvidence>,
{
    others.fold(own, |sum, it| sum + it.sum)
}

/// Whether the new version is bad by this host's counts and those of `others`.
pub fn is_bad<'a, I>(own: VersionCounts, others: I) -> bool
where
    I: Iterator<Item = &'a RegionEvidence>,
{
    let (sum, rest) = sum_and_rest(own, others.map(|it| (it.sum, it.outlier)));
    if sum.new.bad() < MIN_BAD || sum.with_pooled_baseline().log_ratio() < -FALSE_ALARM.ln() {
        return false;
    }
    rest.new.requests < MIN_OTHERS
        || rest.with_pooled_baseline().log_ratio() >= MIN_SUPPORT_RATIO.ln()
}

/// Whether too many requests to the new version failed or were slow for it to be completed, by this host's counts and
/// those of `others`.
pub fn is_doubtful<'a, I>(own: VersionCounts, others: I) -> bool
where
    I: Iterator<Item = &'a RegionEvidence>,
{
    let (sum, rest) = sum_and_rest(own, others.map(|it| (it.sum, it.outlier)));
    if sum.new.bad() < MIN_BAD || sum.log_doubt() < DOUBT_RATIO.ln() {
        return false;
    }
    rest.new.requests < MIN_OTHERS || rest.log_doubt() >= 0.0
}

/// Sum of all outcomes, and the sum without the host with the largest excess; `others` holds each region's sum and the
/// outcomes of the host with the largest excess there.
fn sum_and_rest<I>(own: VersionCounts, others: I) -> (VersionCounts, VersionCounts)
where
    I: Iterator<Item = (VersionCounts, VersionCounts)>,
{
    let (mut sum, mut outlier) = (own, own);
    for (region_sum, region_outlier) in others {
        sum = sum + region_sum;
        outlier = larger_excess(outlier, region_outlier);
    }
    (sum, sum - outlier)
}

fn larger_excess(first: VersionCounts, second: VersionCounts) -> VersionCounts {
    if second.excess() > first.excess() { second } else { first }
}
