//! Open-loop load generator.
//!
//! Requests are sent at seeded random times, whether or not earlier ones were answered. Latency counts from the intended
//! send time, which avoids coordinated omission: a stall also shows in the requests that it delayed.

mod caller;
mod report;

use std::{sync::Arc, time::Duration};

use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{task::JoinSet, time::Instant};

pub use self::{
    caller::{CallerPlan, LookupCaller},
    report::LoadSummary,
};
use crate::client::HttpCall;

/// Parameters of one load run.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Mean number of requests per second.
    pub rate: f64,
    /// Period in which requests are sent.
    pub span: Duration,
    /// Seed of the arrival times and of the choices from the mix.
    pub seed: u64,
    /// Weighted requests: weight, position of the caller and call.
    pub mix: Vec<(u32, usize, HttpCall)>,
}

/// Scheduled request of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ArrivalEvent {
    /// Intended send time, from the start of the run.
    pub at: Duration,
    /// Position of the request in the mix.
    pub choice: usize,
}

impl LoadPlan {
    /// Returns the schedule of the run, which is a function of the plan only.
    pub fn arrivals(&self) -> Vec<ArrivalEvent> {
        let total: u32 = self.mix.iter().map(|(weight, ..)| weight).sum();
        let mut arrivals = Vec::new();
        if total == 0 || self.rate <= 0.0 {
            return arrivals;
        }
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut at = 0.0;
        loop {
            // Exponentially distributed interarrival times of a Poisson process.
            at += -(1.0 - rng.random::<f64>()).ln() / self.rate;
            if at >= self.span.as_secs_f64() {
                return arrivals;
            }
            let mut draw = rng.random_range(0..total);
            let choice = self.mix.iter().position(|(weight, ..)| {
                let is_chosen = draw < *weight;
                draw = draw.saturating_sub(*weight);
                is_chosen
            });
            let choice = choice.unwrap_or_default();
            arrivals.push(ArrivalEvent { at: Duration::from_secs_f64(at), choice });
        }
    }

    /// Sends the requests and waits for all responses. Every request has a unique `x-request-id`.
    pub async fn run(&self, callers: &[Arc<LookupCaller>]) -> LoadSummary {
        let summary = Arc::new(Mutex::new(LoadSummary::default()));
        let start = Instant::now();
        let mut tasks = JoinSet::new();
        for (number, arrival) in self.arrivals().into_iter().enumerate() {
            let intended = start + arrival.at;
            tokio::time::sleep_until(intended).await;
            let (_, caller, call) = &self.mix[arrival.choice];
            let call = call.clone().header("x-request-id", format!("{}-{number}", self.seed));
            let (caller, summary) = (callers[*caller].clone(), summary.clone());
            tasks.spawn(async move {
                let result = caller.send(call).await;
                summary.lock().record(intended.elapsed(), &result);
            });
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
        summary.lock().clone()
    }
}
