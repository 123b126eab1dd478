//! Sequential hypothesis tests by betting.
//!
//! A block of outcomes of the new and the old version gives an e-variable: a factor whose mean is at most 1 while the
//! hypothesis holds. The factor is the likelihood under a guess made before the block, divided by the likelihood under
//! the point of the hypothesis that is closest to the guess (in relative entropy, weighted by the counts of the block).
//! For a convex hypothesis this mean is at most 1 for any rates in it, so both rates may change from block to block. By
//! Ville's inequality, the probability that the product of the factors ever exceeds `1/alpha` is at most `alpha`.

use serde::{Deserialize, Serialize};

/// Number of bad outcomes in a sample.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateSample {
    /// Bad outcomes.
    pub hits: u64,
    /// All outcomes.
    pub total: u64,
}

impl RateSample {
    /// Estimated rate, with `prior` weighted like ten outcomes.
    pub fn estimate(self, prior: f64) -> f64 {
        (self.hits as f64 + 10.0 * prior) / (self.total as f64 + 10.0)
    }

    /// Upper confidence bound of the rate: two standard deviations and two outcomes above the observed rate.
    pub fn upper_bound(self) -> f64 {
        let hits = self.hits as f64;
        ((hits + 2.0 + 2.0 * (hits + 1.0).sqrt()) / (self.total as f64 + 4.0)).min(0.9)
    }
}

/// Side of the line `new = old + gap` on which the hypothesis lies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HypothesisSide {
    /// The new version is worse by at most the gap.
    AtMost,
    /// The new version is worse by at least the gap.
    AtLeast,
}

/// Smallest rate of a guess, so that no outcome has probability zero.
const RATE_FLOOR: f64 = 1e-4;

fn clamp_rate(rate: f64) -> f64 {
    rate.clamp(RATE_FLOOR, 1.0 - RATE_FLOOR)
}

/// Logarithm of the factor of one block; 0 if the guess `(new, old)` lies within the hypothesis or a sample is empty.
pub fn block_log_ratio(
    new: RateSample,
    old: RateSample,
    guess: (f64, f64),
    gap: f64,
    side: HypothesisSide,
) -> f64 {
    let (guess_new, guess_old) = (clamp_rate(guess.0), clamp_rate(guess.1));
    let is_inside = match side {
        HypothesisSide::AtMost => guess_new <= guess_old + gap,
        HypothesisSide::AtLeast => guess_new >= guess_old + gap,
    };
    if is_inside || new.total == 0 || old.total == 0 {
        return 0.0;
    }
    let (count_new, count_old) = (new.total as f64, old.total as f64);
    // Derivative of the relative entropy along the line; it increases with `base`.
    let slope = |base: f64| {
        let term = |guess: f64, rate: f64| (1.0 - guess) / (1.0 - rate) - guess / rate;
        count_new * term(guess_new, base + gap) + count_old * term(guess_old, base)
    };
    let (mut low, mut high) = (1e-9, 1.0 - gap - 1e-9);
    for _ in 0..50 {
        let middle = (low + high) / 2.0;
        if slope(middle) < 0.0 {
            low = middle;
        } else {
            high = middle;
        }
    }
    let base = (low + high) / 2.0;
    log_likelihood_ratio(new, guess_new, base + gap) + log_likelihood_ratio(old, guess_old, base)
}

/// Logarithm of the ratio of the likelihoods of `sample` at the rates `guess` and `rate`.
pub fn log_likelihood_ratio(sample: RateSample, guess: f64, rate: f64) -> f64 {
    let (hits, misses) = (sample.hits as f64, sample.total.saturating_sub(sample.hits) as f64);
    hits * (guess / rate).ln() + misses * ((1.0 - guess) / (1.0 - rate)).ln()
}

/// Test of a hypothesis that may cease to hold at any block.
///
/// A small part of the initial wealth of 1 is added before each block, so that a fault that starts late is detected as
/// fast as one that starts early, up to a term logarithmic in the block's number. The sum of the wealth and of the
/// parts not yet added is a supermartingale, so the false-alarm rate over all time is at most `alpha`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct BettingDetector {
    log_wealth: f64,
    blocks: u64,
}

impl Default for BettingDetector {
    fn default() -> Self {
        Self { log_wealth: -700.0, blocks: 0 }
    }
}

impl BettingDetector {
    /// Updates the wealth with the logarithm of the factor of the next block.
    pub fn update(&mut self, log_factor: f64) {
        self.blocks += 1;
        let index = self.blocks as f64 + 2.0;
        // The sum of 1 / (n ln^2 n) over n >= 3 is about 1.07.
        let part = -(1.1 * index * index.ln().powi(2)).ln();
        let (low, high) = (self.log_wealth.min(part), self.log_wealth.max(part));
        self.log_wealth = high + (low - high).exp().ln_1p() + log_factor;
        self.log_wealth = self.log_wealth.max(-700.0);
    }

    /// Whether the hypothesis is rejected at the error rate `alpha`.
    pub fn rejects(&self, alpha: f64) -> bool {
        self.log_wealth >= -alpha.ln()
    }
}
