//! Estimates of the work of requests at backend servers and of the wait for a slot.
//!
//! Work is estimated separately by the rank of the server for the object, as it is shorter where the object was served
//! recently. Each host measures it by its own requests. An estimate so high that all requests are rejected would get no
//! more samples, so a few of them are sent anyway once the last sample is old.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::time::MonoTime;

/// Assumed chance that a server does not know an object, by its rank for the object, until its work was measured.
/// Requests overflow to the next ranks, so that these know a part of the objects too.
const MISS_CHANCE_BY_RANK: [f64; RANKS] = [0.0, 0.3, 0.6, 1.0];
/// Number of ranks whose work is estimated separately; the last one covers all further ones and other regions.
pub const RANKS: usize = 4;
/// Initial work at a server that knows the object, as a part of the target latency.
const INITIAL_WARM: f64 = 0.5;
/// Initial work at a server that does not know the object, as a part of the target latency.
const INITIAL_COLD: f64 = 1.5;
/// Minimum weight of a new sample in an estimate of work.
const WORK_WEIGHT: f64 = 0.02;
/// Number of samples that the initial estimate counts for.
const PRIOR_SAMPLES: f64 = 8.0;
/// Age of the last sample from which an estimate may be wrong.
const STALE_AGE: Duration = Duration::from_secs(1);
/// Share of the requests without enough time that are sent while the estimate is stale; low, as they may be sent in
/// vain.
const TRIAL_SHARE: f64 = 0.05;
/// Wait at full use of the slots without a queue, as a part of the work; spreads requests before queues form.
const CONTENTION: f64 = 0.4;

/// Measured work of the requests with one target latency.
///
/// How many objects a server of a further rank knows depends on how often objects are requested and on how much
/// overflows, so the work is measured rather than assumed.
#[derive(Debug, Clone, Copy)]
pub(super) struct WorkEstimate {
    /// Milliseconds by the rank of the server for the object.
    pub(super) by_rank: [f64; RANKS],
    samples: [f64; RANKS],
    sampled_at: Option<MonoTime>,
}

impl WorkEstimate {
    /// Creates the estimate that is assumed before the first sample.
    pub(super) fn initial(target_ms: f64) -> Self {
        let (warm, cold) = (target_ms * INITIAL_WARM, target_ms * INITIAL_COLD);
        let by_rank = MISS_CHANCE_BY_RANK.map(|it| warm + (cold - warm) * it);
        Self { by_rank, samples: [PRIOR_SAMPLES; RANKS], sampled_at: None }
    }

    /// Work at a server that knows the object.
    pub(super) fn warm(&self) -> f64 {
        self.by_rank[0]
    }

    /// Whether to send a request although its time does not suffice by this estimate, to get a new sample.
    pub(super) fn is_trial<R>(&self, now: MonoTime, rng: &mut R) -> bool
    where
        R: Rng,
    {
        self.is_stale(now) && rng.random_bool(TRIAL_SHARE)
    }

    fn is_stale(&self, now: MonoTime) -> bool {
        self.sampled_at.is_none_or(|it| now.since(it) > STALE_AGE)
    }

    /// Records a sample.
    pub(super) fn record(&mut self, rank: usize, elapsed_ms: f64, now: MonoTime) {
        if self.is_stale(now) {
            self.samples = self.samples.map(|it| it.min(PRIOR_SAMPLES));
        }
        self.sampled_at = Some(now);
        self.samples[rank] += 1.0;
        let weight = WORK_WEIGHT.max(1.0 / self.samples[rank]);
        self.by_rank[rank] += (elapsed_ms - self.by_rank[rank]) * weight;
    }
}

/// Expected wait for a slot at a server with `load` running and waiting requests, in milliseconds.
pub(super) fn wait_ms(load: f64, slots: f64, work_ms: f64) -> f64 {
    if load < slots {
        let used = load / slots;
        return CONTENTION * used * used * work_ms;
    }
    (CONTENTION + queue_rounds(load, slots)) * work_ms
}

/// Requests that each slot serves before one that arrives at `load`.
pub(super) fn queue_rounds(load: f64, slots: f64) -> f64 {
    if load < slots { 0.0 } else { (load - slots + 1.0) / slots }
}
