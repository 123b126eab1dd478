//! Work of requests at backend servers, and the wait for a slot.
//!
//! Work is told apart by the rank of the server for the object, as it is shorter where the object was served lately. Each
//! host measures it by its own requests. An estimate that refuses all requests gets no more samples, so that a few of them
//! are sent all the same once the last sample is old.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::time::MonoTime;

/// Chance that a server does not know an object, by its rank for the object, until its work was measured. Requests
/// overflow to the next ranks, so that these know a part of the objects too.
const UNKNOWN_BY_RANK: [f64; RANKS] = [0.0, 0.3, 0.6, 1.0];
/// Ranks whose work is told apart; the last one stands for all further ones and for other regions.
pub const RANKS: usize = 4;
/// Work at a server that knows the object, as a part of the target latency, until it was measured.
const FIRST_WARM: f64 = 0.5;
/// Work at a server that does not know the object, as a part of the target latency, until it was measured.
const FIRST_COLD: f64 = 1.5;
/// Weight of a new sample in an estimate of work, once there were many.
const WORK_WEIGHT: f64 = 0.02;
/// Samples that the first assumption about the work counts for.
const FIRST_SAMPLES: f64 = 8.0;
/// Age of the last sample from which an estimate may be wrong.
const STALE_AGE: Duration = Duration::from_secs(1);
/// Share of the requests without enough time that are sent while the estimate may be wrong; low, as they may be in vain.
const TRIAL_SHARE: f64 = 0.05;
/// Wait that a full slot count costs below the limit, as a part of the work; spreads requests before queues form.
const CROWDING: f64 = 0.4;

/// Measured work of one route's requests.
///
/// How many objects a server of a further rank knows depends on how often objects are asked for and on how much
/// overflows, so that it is measured rather than assumed.
#[derive(Debug, Clone, Copy)]
pub(super) struct WorkEstimate {
    /// Milliseconds by the rank of the server for the object.
    pub(super) by_rank: [f64; RANKS],
    samples: [f64; RANKS],
    sampled_at: Option<MonoTime>,
}

impl WorkEstimate {
    /// What is assumed before the first sample.
    pub(super) fn first(target_ms: f64) -> Self {
        let (warm, cold) = (target_ms * FIRST_WARM, target_ms * FIRST_COLD);
        let by_rank = UNKNOWN_BY_RANK.map(|it| warm + (cold - warm) * it);
        Self { by_rank, samples: [FIRST_SAMPLES; RANKS], sampled_at: None }
    }

    /// Work at a server that knows the object.
    pub(super) fn warm(&self) -> f64 {
        self.by_rank[0]
    }

    /// Whether to send a request although its time does not suffice by this estimate.
    pub(super) fn is_trial<R>(&self, now: MonoTime, rng: &mut R) -> bool
    where
        R: Rng,
    {
        self.is_stale(now) && rng.random_bool(TRIAL_SHARE)
    }

    fn is_stale(&self, now: MonoTime) -> bool {
        self.sampled_at.is_none_or(|it| now.since(it) > STALE_AGE)
    }

    /// Takes a sample.
    pub(super) fn record(&mut self, rank: usize, elapsed_ms: f64, now: MonoTime) {
        if self.is_stale(now) {
            self.samples = self.samples.map(|it| it.min(FIRST_SAMPLES));
        }
        self.sampled_at = Some(now);
        self.samples[rank] += 1.0;
        let weight = WORK_WEIGHT.max(1.0 / self.samples[rank]);
        self.by_rank[rank] += (elapsed_ms - self.by_rank[rank]) * weight;
    }
}

/// Expected wait for a slot at a server with `load` requests that run or wait, in milliseconds.
pub(super) fn wait_ms(load: f64, slots: f64, work_ms: f64) -> f64 {
    if load < slots {
        let used = load / slots;
        return CROWDING * used * used * work_ms;
    }
    (CROWDING + queue_rounds(load, slots)) * work_ms
}

/// Requests that a slot serves before one that arrives at `load`.
pub(super) fn queue_rounds(load: f64, slots: f64) -> f64 {
    if load < slots { 0.0 } else { (load - slots + 1.0) / slots }
}
