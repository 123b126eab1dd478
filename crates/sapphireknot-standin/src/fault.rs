//! Faults that strike some of the calls.

use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// Which calls a fault strikes: the next ones, then a share of the others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultRule {
    /// Number of coming calls that are struck for certain.
    pub next: u32,
    /// Probability for every other call, from 0 to 1.
    pub share: f64,
}

impl FaultRule {
    /// Strikes the next `count` calls.
    pub fn next(count: u32) -> Self {
        Self { next: count, share: 0.0 }
    }

    /// Strikes each call with probability `share`.
    pub fn share(share: f64) -> Self {
        Self { next: 0, share }
    }

    /// Decides about one call and uses up a certain strike.
    pub fn should_inject(&mut self, dice: &SeededRng) -> bool {
        if self.next > 0 {
            self.next -= 1;
            return true;
        }
        self.share > 0.0 && dice.draw() < self.share
    }
}

/// Random numbers from a seed, shared by the calls of one stand-in.
#[derive(Debug)]
pub struct SeededRng(Mutex<ChaCha8Rng>);

impl SeededRng {
    /// Dice that repeat for the same seed.
    pub fn new(seed: u64) -> Self {
        Self(Mutex::new(ChaCha8Rng::seed_from_u64(seed)))
    }

    /// A number from 0 to below 1.
    pub fn draw(&self) -> f64 {
        self.0.lock().random()
    }

    /// Starts again from `seed`.
    pub fn reseed(&self, seed: u64) {
        *self.0.lock() = ChaCha8Rng::seed_from_u64(seed);
    }
}
