//! Fault injection into a selection of the calls.

use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// Selects the calls that get a fault: the next `next` calls, then a random share of all later ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultRule {
    /// Number of coming calls that always get the fault.
    pub next: u32,
    /// Probability of the fault for every other call, from 0 to 1.
    pub share: f64,
}

impl FaultRule {
    /// Injects the fault into the next `count` calls.
    pub fn next(count: u32) -> Self {
        Self { next: count, share: 0.0 }
    }

    /// Injects the fault into each call with probability `share`.
    pub fn share(share: f64) -> Self {
        Self { next: 0, share }
    }

    /// Decides whether one call gets the fault, and decrements `next` if it is above zero.
    pub fn should_inject(&mut self, rng: &SeededRng) -> bool {
        if self.next > 0 {
            self.next -= 1;
            return true;
        }
        self.share > 0.0 && rng.sample() < self.share
    }
}

/// Seeded random number generator that the calls of one stand-in share.
#[derive(Debug)]
pub struct SeededRng(Mutex<ChaCha8Rng>);

impl SeededRng {
    /// Creates a generator whose sequence depends only on `seed`.
    pub fn new(seed: u64) -> Self {
        Self(Mutex::new(ChaCha8Rng::seed_from_u64(seed)))
    }

    /// Returns a uniformly distributed number in [0, 1).
    pub fn sample(&self) -> f64 {
        self.0.lock().random()
    }

    /// Restarts the sequence from `seed`.
    pub fn reseed(&self, seed: u64) {
        *self.0.lock() = ChaCha8Rng::seed_from_u64(seed);
    }
}
