//! Policies that choose among backend servers with room.

use rand::{Rng, RngExt};

use crate::ids::ServerId;

/// Backend server with room for one request more.
#[derive(Debug, Clone)]
pub struct PickCandidate {
    /// Identifier.
    pub server: ServerId,
    /// Requests of this host in flight.
    pub own_in_flight: u32,
    /// Requests of all hosts that are believed to run there.
    pub load: u32,
    /// Requests that it may run at the same time now.
    pub slots: u32,
    /// Average latency that this host saw; 0 before the first response.
    pub latency_us: u64,
    /// Age of the report that contributed to `load`, in microseconds; none without one.
    pub report_age_us: Option<u64>,
}

impl PickCandidate {
    /// Load after one request more, in thousandths of the slots.
    fn fill_permille(&self) -> u64 {
        (u64::from(self.load) + 1) * 1_000 / u64::from(self.slots.max(1))
    }
}

/// Choice among candidates.
pub trait PickPolicy: Send + Sync {
    /// Position of the chosen candidate; `None` if there is none.
    fn choose(&self, candidates: &[PickCandidate], rng: &mut dyn Rng) -> Option<usize>;
}

/// Each candidate with the same probability.
#[derive(Debug)]
pub struct RandomChoice;

impl PickPolicy for RandomChoice {
    fn choose(&self, candidates: &[PickCandidate], rng: &mut dyn Rng) -> Option<usize> {
        (!candidates.is_empty()).then(|| rng.random_range(0..candidates.len()))
    }
}

/// Position of the least key; a random one among equals, so that hosts do not all choose the same server.
fn least_by<K, F>(positions: &[usize], rng: &mut dyn Rng, key: F) -> Option<usize>
where
    K: Ord,
    F: Fn(usize) -> K,
{
    let least = positions.iter().map(|&it| key(it)).min()?;
    let equals: Vec<usize> = positions.iter().copied().filter(|&it| key(it) == least).collect();
    Some(equals[rng.random_range(0..equals.len())])
}

/// The candidate with the fewest requests of this host in flight.
#[derive(Debug)]
pub struct LeastInFlight;

impl PickPolicy for LeastInFlight {
    fn choose(&self, candidates: &[PickCandidate], rng: &mut dyn Rng) -> Option<usize> {
        let positions: Vec<usize> = (0..candidates.len()).collect();
        least_by(&positions, rng, |it| candidates[it].own_in_flight)
    }
}

/// The less loaded of two random candidates.
#[derive(Debug)]
pub struct TwoChoices;

impl PickPolicy for TwoChoices {
    fn choose(&self, candidates: &[PickCandidate], rng: &mut dyn Rng) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let pair = [0, 1].map(|_| rng.random_range(0..candidates.len()));
        least_by(&pair, rng, |it| candidates[it].fill_permille())
    }
}

/// Hot and cold candidates by load.
///
/// Among the candidates at or below the quantile of load the fastest is taken; if all are above, the least loaded. Only a
/// few random candidates are considered, so that hosts with equal knowledge do not all choose the same server.
#[derive(Debug)]
pub struct ProbePool {
    /// Candidates that are considered.
    pub pool: usize,
    /// Quantile of load up to which a candidate counts as cold, in percent.
    pub cold_percent: usize,
}

impl Default for ProbePool {
    fn default() -> Self {
        Self { pool: 4, cold_percent: 75 }
    }
}

impl PickPolicy for ProbePool {
    fn choose(&self, candidates: &[PickCandidate], rng: &mut dyn Rng) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let drawn: Vec<usize> =
            (0..self.pool).map(|_| rng.random_range(0..candidates.len())).collect();
        let mut fills: Vec<u64> = candidates.iter().map(PickCandidate::fill_permille).collect();
        fills.sort_unstable();
        let limit = fills[(fills.len() - 1) * self.cold_percent / 100];
        let is_cold = |it: &usize| candidates[*it].fill_permille() <= limit;
        let cold: Vec<usize> = drawn.iter().copied().filter(is_cold).collect();
        // Latencies within a factor of two are noise at this precision; the load decides among them.
        let speed = |it: usize| candidates[it].latency_us.checked_ilog2().unwrap_or(0);
        if cold.is_empty() {
            least_by(&drawn, rng, |it| candidates[it].fill_permille())
        } else {
            least_by(&cold, rng, |it| (speed(it), candidates[it].fill_permille()))
        }
    }
}

/// The least loaded of the candidates that were probed for this request; one that this host saw to be slow counts as
/// loaded in proportion.
///
/// Without a fresh answer it falls back to the fewest requests of this host in flight.
#[derive(Debug)]
pub struct FreshProbes {
    /// Age up to which an answer counts as fresh, in microseconds.
    pub max_age_us: u64,
}

impl Default for FreshProbes {
    fn default() -> Self {
        Self { max_age_us: 5_000 }
    }
}

impl PickPolicy for FreshProbes {
    fn choose(&self, candidates: &[PickCandidate], rng: &mut dyn Rng) -> Option<usize> {
        let is_fresh =
            |it: &usize| candidates[*it].report_age_us.is_some_and(|age| age <= self.max_age_us);
        let fresh: Vec<usize> = (0..candidates.len()).filter(is_fresh).collect();
        if fresh.is_empty() {
            return LeastInFlight.choose(candidates, rng);
        }
        let median = median_latency(candidates);
        least_by(&fresh, rng, |it| {
            candidates[it].fill_permille() * slowness(candidates[it].latency_us, median)
        })
    }
}

fn median_latency(candidates: &[PickCandidate]) -> u64 {
    let mut latencies: Vec<u64> = candidates.iter().map(|it| it.latency_us).collect();
    latencies.sort_unstable();
    latencies[latencies.len() / 2]
}

/// How much slower than the median, as a power of two; differences below a factor of two are noise.
fn slowness(latency_us: u64, median_us: u64) -> u64 {
    let ratio = latency_us / median_us.max(1);
    ratio.checked_ilog2().map_or(1, |it| 1 << it)
}
