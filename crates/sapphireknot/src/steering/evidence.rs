//! Evidence on a new version, summed over hosts.
//!
//! Each host counts the outcomes of its own requests to both versions, and how many bad ones of the new version the rate
//! of the old one at the same time and host explains. The counts are cumulative for an order and an incarnation of the
//! host, so that a message that is lost or repeated does no harm. The collector of a region keeps the latest counts of
//! each host and tells each of them the sum of the others; collectors tell each other the sums of their regions.
//!
//! The judgement compares two hypotheses on the sum: bad outcomes of the new version exceed the explained ones by at most
//! [`TOLERATED`], or by one of [`EXCESSES`]. The likelihood ratio, averaged over the excesses, may be read after each
//! outcome; a version that is no worse than tolerated reaches 1 / [`FALSE_ALARM`] with that probability at most, as far as
//! the explained rate is exact. While the old version is sound, 3 bad responses of 5 decide, 6 of 30, 11 of 110 or 27 of
//! 540. What a single host sees does not decide if the others have enough outcomes to tell: without the host that stands
//! out most the ratio must still reach `SUPPORT`. A region alone may decide, as a version may be bad on a route that only
//! one region uses. The outcomes since earlier moments are judged in the same way ([`EvidenceHistory`]).

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

/// Share of bad outcomes beyond the explained ones that is no reason to revert; cold servers are slower for a moment.
pub const TOLERATED: f64 = 0.02;
/// Shares of bad outcomes beyond the explained ones for which the ratio is most sensitive.
pub const EXCESSES: [f64; 3] = [0.06, 0.2, 0.5];
/// Probability that a version that is no worse than tolerated is ever reverted for the sum of its outcomes.
pub const FALSE_ALARM: f64 = 0.001;
/// Likelihood ratio that must remain without the host that stands out most.
const SUPPORT: f64 = 10.0;
/// Outcomes of the new version at other hosts from which these have a say.
const MIN_OTHERS: u32 = 6;
/// Bad outcomes of the new version before it is judged.
const MIN_BAD: u32 = 3;
/// Share of failures beyond the explained ones that is no reason to revert at the end of a rollout.
const TOLERATED_AT_END: f64 = 0.005;
/// Shares of failures beyond the explained ones for which the ratio is most sensitive at the end of a rollout.
const EXCESSES_AT_END: [f64; 4] = [0.02, 0.06, 0.2, 0.5];
/// Likelihood ratio by which a version is not completed. It is read once, and lower than for a verdict: a completed
/// version cannot be taken back, a reverted one can be ordered again.
const DOUBT: f64 = 5.0;
/// Highest rate of bad outcomes that is assumed.
const MAX_RATE: f64 = 0.95;
/// Outcomes of both versions over which the rate of the old one explains those of the new one; few enough to follow a
/// stall of all servers, and enough for a rate.
const BLOCK_SIZE: u32 = 20;
/// Part by which a block moves the rate of the old version that later blocks fall back to.
const RATE_WEIGHT: f64 = 0.5;
/// Rate of bad outcomes of the old version before any is known.
const FIRST_RATE: f64 = 0.02;

/// How a request to a version ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutcomeQuality {
    /// In time.
    Good,
    /// Several times slower than the target latency.
    Slow,
    /// Without a usable response.
    Failed,
    /// Without a response, as another one at the same server a moment ago.
    RepeatedLoss,
}

/// Outcomes of a version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct VersionTally {
    /// Requests that ended.
    pub requests: u32,
    /// Those that failed.
    pub failures: u32,
    /// Those that succeeded slowly.
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

    /// Outcomes that speak against a version.
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
    /// Bad outcomes of the new version that the rate of the old one at the same time and host explains.
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
    /// Outcomes of both versions; never falls for one host.
    pub fn requests(&self) -> u32 {
        self.old.requests.saturating_add(self.new.requests)
    }

    /// The same counts, where the old version of all hosts explains the first outcomes of the new one: a host may have
    /// sent its first request to the new version before the old one had an outcome.
    fn explained_early(self) -> Self {
        if self.new.requests >= BLOCK_SIZE || self.old.requests == 0 {
            return self;
        }
        let rate = f64::from(self.old.bad()) / f64::from(self.old.requests);
        let explained = self.explained.max(rate * f64::from(self.new.requests));
        Self { explained, ..self }
    }

    /// Bad outcomes of the new version that nothing explains.
    fn excess(&self) -> f64 {
        let allowed = self.explained + TOLERATED * f64::from(self.new.requests);
        f64::from(self.new.bad()) - allowed
    }

    /// Logarithm of the likelihood ratio against the new version.
    fn log_ratio(&self) -> f64 {
        self.log_ratio_of(self.new.bad(), TOLERATED, &EXCESSES)
    }

    /// The same at the end of a rollout, for failures alone, of which fewer are tolerated, or for all bad outcomes.
    fn log_doubt(&self) -> f64 {
        let failures = self.log_ratio_of(self.new.failures, TOLERATED_AT_END, &EXCESSES_AT_END);
        failures.max(self.log_ratio())
    }

    /// The same for `bad` outcomes of the new version, of which a share `tolerated` is allowed, averaged over `excesses`.
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
    closed: VersionCounts,
    block: VersionCounts,
    /// Rate of bad outcomes of the old version over the last blocks.
    old_rate: f64,
}

impl Default for OwnEvidence {
    fn default() -> Self {
        let (closed, block) = (VersionCounts::default(), VersionCounts::default());
        Self { closed, block, old_rate: FIRST_RATE }
    }
}

impl OwnEvidence {
    /// Counts an outcome of the new or the old version.
    pub fn record(&mut self, is_new: bool, quality: OutcomeQuality) {
        // The old version gets more requests a server: left out there, they would lower the rate that explains.
        if is_new && quality == OutcomeQuality::RepeatedLoss {
            return;
        }
        let block = &mut self.block;
        let tally = if is_new { &mut block.new } else { &mut block.old };
        tally.record(quality);
        if block.requests() >= BLOCK_SIZE {
            self.closed = self.counts();
            self.old_rate += RATE_WEIGHT * (self.block_rate() - self.old_rate);
            self.block = VersionCounts::default();
        }
    }

    /// All outcomes.
    pub fn counts(&self) -> VersionCounts {
        let explained = f64::from(self.block.new.requests) * self.block_rate();
        self.closed + VersionCounts { explained, ..self.block }
    }

    fn block_rate(&self) -> f64 {
        let old = self.block.old;
        // The last outcomes of an old version that gets nothing more are its slowest, and tell little of its rate.
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
    /// Its incarnation, for which the counts are cumulative.
    pub incarnation: IncarnationId,
    /// When the first host saw the order, as far as this one knows; a later time alone is no news.
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
    /// When the first of its hosts saw the order; its time of travel differs between messages and is no news.
    pub seen: MonoTime,
    /// Outcomes of all hosts, or of all but the one that is told.
    pub sum: VersionCounts,
    /// Part of the host that stands out most.
    pub outlier: VersionCounts,
}

/// What hosts tell each other.
#[derive(Debug, Clone, PartialEq)]
pub enum EvidenceReport {
    /// Outcomes of the host that tells them.
    Host(HostEvidence),
    /// Outcomes of a region.
    Region(RegionEvidence),
}

/// Outcomes on all hosts, by this host's counts and those of `others`.
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
    if sum.new.bad() < MIN_BAD || sum.explained_early().log_ratio() < -FALSE_ALARM.ln() {
        return false;
    }
    rest.new.requests < MIN_OTHERS || rest.explained_early().log_ratio() >= SUPPORT.ln()
}

/// Whether too many requests to the new version failed or were slow for it to be completed, by the same counts.
pub fn is_doubtful<'a, I>(own: VersionCounts, others: I) -> bool
where
    I: Iterator<Item = &'a RegionEvidence>,
{
    let (sum, rest) = sum_and_rest(own, others.map(|it| (it.sum, it.outlier)));
    if sum.new.bad() < MIN_BAD || sum.log_doubt() < DOUBT.ln() {
        return false;
    }
    rest.new.requests < MIN_OTHERS || rest.log_doubt() >= 0.0
}

/// Outcomes on all hosts, and those without the host that stands out most; `others` has each region's sum and the part of
/// the host that stands out most there.
fn sum_and_rest<I>(own: VersionCounts, others: I) -> (VersionCounts, VersionCounts)
where
    I: Iterator<Item = (VersionCounts, VersionCounts)>,
{
    let (mut sum, mut outlier) = (own, own);
    for (region_sum, region_most) in others {
        sum = sum + region_sum;
        outlier = standing_out(outlier, region_most);
    }
    (sum, sum - outlier)
}

fn standing_out(first: VersionCounts, second: VersionCounts) -> VersionCounts {
    if second.excess() > first.excess() { second } else { first }
}
