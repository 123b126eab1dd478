//! Load balancing policies.

use rand::{Rng, RngExt};

use crate::ids::ServerId;

/// Backend server with at least one free slot.
#[derive(Debug, Clone)]
pub struct PickCandidate {
    /// Identifier.
    pub server: ServerId,
    /// Requests in flight from this host.
    pub own_in_flight: u32,
    /// Estimated number of requests in flight from all hosts.
    pub load: u32,
    /// Current limit on concurrent requests.
    pub slots: u32,
    /// Average latency observed by this host, in microseconds; 0 before the first response.
    pub latency_us: u64,
    /// Age of the load report used for `load`, in microseconds; `None` without a fresh report.
    pub report_age_us: Option<u64>,
}

impl PickCandidate {
    /// Utilisation with one more request, in thousandths of the slots.
    fn utilisation_permille(&self) -> u64 {
        (u64::from(self.load) + 1) * 1_000 / u64::from(self.slots.max(1))
    }
}

/// Policy that selects one of the candidates.
pub trait PickPolicy: Send + Sync {
    /// Returns the index of the selected candidate; `None` if there are no candidates.
    fn choose(&self, candidates: &[PickCandidate], rng: &mut dyn Rng) -> Option<usize>;
}

/// Selects each candidate with equal probability.
#[derive(Debug)]
pub struct RandomChoice;

impl PickPolicy for RandomChoice {
    fn choose(&self, candidates: &[PickCandidate], rng: &mut dyn Rng) -> Option<usize> {
        (!candidates.is_empty()).then(|| rng.random_range(0..candidates.len()))
    }
}

/// Returns the position with the smallest key; breaks ties randomly, so that hosts do not all select the same server.
fn min_by_random_tie<K, F>(positions: &[usize], rng: &mut dyn Rng, key: F) -> Option<usize>
where
    K: Ord,
    F: Fn(usize) -> K,
{
    let least = positions.iter().map(|&it| key(it)).min()?;
    let equals: Vec<usize> = positions.iter().copied().filter(|&it| key(it) == least).collect();
    Some(equals[rng.random_range(0..equals.len())])
}

/// Selects the candidate with the fewest requests in flight from this host.
#[derive(Debug)]
pub struct LeastInFlight;

impl PickPolicy for LeastInFlight {
    fn choose(&self, candidates: &[PickCandidate], rng: &mut dyn Rng) -> Option<usize> {
        let positions: Vec<usize> = (0..candidates.len()).collect();
        min_by_random_tie(&positions, rng, |it| candidates[it].own_in_flight)
    }
}

/// Selects the less loaded of two random candidates (power of two choices).
#[derive(Debug)]
pub struct TwoChoices;

impl PickPolicy for TwoChoices {
    fn choose(&self, candidates: &[PickCandidate], rng: &mut dyn Rng) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let pair = [0, 1].map(|_| rng.random_range(0..candidates.len()));
        min_by_random_tie(&pair, rng, |it| candidates[it].utilisation_permille())
    }
}

/// Classifies candidates as hot or cold by load and prefers fast cold ones.
///
/// Selects the fastest candidate at or below the load quantile, or the least loaded one if all are above. Only a random
/// sample is considered, so that hosts with the same reports do not all select the same server.
#[derive(Debug)]
pub struct ProbePool {
    /// Number of randomly sampled candidates.
    pub pool: usize,
    /// Load quantile up to which a candidate counts as cold, in percent.
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
        let sampled: Vec<usize> =
            (0..self.pool).map(|_| rng.random_range(0..candidates.len())).collect();
        let mut utilisations: Vec<u64> =
            candidates.iter().map(PickCandidate::utilisation_permille).collect();
        utilisations.sort_unstable();
        let limit = utilisations[(utilisations.len() - 1) * self.cold_percent / 100];
        let is_cold = |it: &usize| candidates[*it].utilisation_permille() <= limit;
        let cold: Vec<usize> = sampled.iter().copied().filter(is_cold).collect();
        // Latency differences below a factor of two are noise at this precision; load decides among such candidates.
        let latency_class = |it: usize| candidates[it].latency_us.checked_ilog2().unwrap_or(0);
        if cold.is_empty() {
            min_by_random_tie(&sampled, rng, |it| candidates[it].utilisation_permille())
        } else {
            min_by_random_tie(&cold, rng, |it| {
                (latency_class(it), candidates[it].utilisation_permille())
            })
        }
    }
}

/// Selects the least loaded of the candidates that were probed for this request, with the load scaled by the latency
/// that this host observed.
///
/// Falls back to [`LeastInFlight`] without a fresh report.
#[derive(Debug)]
pub struct FreshProbes {
    /// Maximum age of a fresh report, in microseconds.
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
        min_by_random_tie(&fresh, rng, |it| {
            candidates[it].utilisation_permille()
                * latency_factor(candidates[it].latency_us, median)
        })
    }
}

fn median_latency(candidates: &[PickCandidate]) -> u64 {
    let mut latencies: Vec<u64> = candidates.iter().map(|it| it.latency_us).collect();
    latencies.sort_unstable();
    latencies[latencies.len() / 2]
}

/// Returns the ratio of a latency to the median, rounded down to a power of two and at least 1; differences below a
/// factor of two are noise.
fn latency_factor(latency_us: u64, median_us: u64) -> u64 {
    let ratio = latency_us / median_us.max(1);
    ratio.checked_ilog2().map_or(1, |it| 1 << it)
}
