//! Load generator.
//!
//! The load is open loop: requests are sent at seeded random times, whether or not earlier ones were answered. Latency
//! counts from the time at which a request was to be sent, so that a stall is not hidden by the requests that it held
//! back.

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

/// Load of one run.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Requests per second, as a mean.
    pub rate: f64,
    /// Time for which requests are sent.
    pub span: Duration,
    /// Seed of arrivals and choices.
    pub seed: u64,
    /// Requests to choose from: weight, caller and call.
    pub mix: Vec<(u32, usize, HttpCall)>,
}

/// Request to send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ArrivalEvent {
    /// Time after the start of the run.
    pub at: Duration,
    /// Position in the mix.
    pub choice: usize,
}

impl LoadPlan {
    /// The requests of the run, which depend on nothing but the plan.
    pub fn arrivals(&self) -> Vec<ArrivalEvent> {
        let total: u32 = self.mix.iter().map(|(weight, ..)| weight).sum();
        let mut arrivals = Vec::new();
        if total == 0 || self.rate <= 0.0 {
            return arrivals;
        }
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut at = 0.0;
        loop {
            // Gaps of a Poisson process.
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

    /// Sends the requests and waits for all answers. Every request carries its own `x-request-id`.
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
