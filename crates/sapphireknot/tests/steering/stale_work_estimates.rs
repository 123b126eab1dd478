//! Estimates of work without recent samples.

use std::time::Duration;

use rand::{SeedableRng, rngs::StdRng};
use sapphireknot::{
    picker::ServerOutcome,
    steering::{choice::ServicePicker, query::ChoiceQuery, server_state::ServerLoad},
    time::MonoTime,
};

use crate::support::{at, east, picker, query};

/// Requests to idle servers, one every 10 ms, with `left_ms` until their deadline.
struct RequestStream {
    picker: ServicePicker,
    rng: StdRng,
    now: MonoTime,
    target_ms: f64,
    left_ms: u64,
}

impl RequestStream {
    fn new(target_ms: f64, left_ms: u64) -> Self {
        let (picker, rng) = (picker("east", &east(4)), StdRng::seed_from_u64(1));
        Self { picker, rng, now: at(1_000), target_ms, left_ms }
    }

    /// Sends `count` requests that take `work_ms` and returns how many of them were not rejected.
    fn send(&mut self, count: usize, work_ms: u64) -> usize {
        let mut sent = 0;
        for _ in 0..count {
            self.now = self.now.after(Duration::from_millis(10));
            let deadline = self.now.after(Duration::from_millis(self.left_ms));
            let query =
                ChoiceQuery { target_ms: self.target_ms, deadline, ..query(Some(7), self.now) };
            let Ok(chosen) = self.picker.choose(&query, self.now, &mut self.rng) else { continue };
            sent += 1;
            let id = chosen.record.id.clone();
            self.picker.record_sent(&id, self.now);
            let end = self.now.after(Duration::from_millis(work_ms));
            let is_late = work_ms > self.left_ms;
            let outcome = if is_late { ServerOutcome::Failed } else { ServerOutcome::Succeeded };
            let elapsed = Duration::from_millis(work_ms.min(self.left_ms));
            self.picker.record_end(&chosen, outcome, self.target_ms, elapsed, end);
            self.picker.record_load(&id, ServerLoad { running: 0, waiting: 0 }, end);
        }
        sent
    }
}

/// A route whose timeout is shorter than the initial estimate of the work must not be rejected forever, as no response
/// would correct the estimate.
#[test]
fn short_timeout() {
    let mut stream = RequestStream::new(2_000.0, 800);
    stream.send(500, 40);
    assert_eq!(stream.send(100, 40), 100);
}

/// A service must not be rejected forever after its servers were slow for a while.
#[test]
fn slow_period() {
    let mut stream = RequestStream::new(200.0, 800);
    assert_eq!(stream.send(100, 60), 100);
    stream.send(1_000, 790);
    stream.send(500, 60);
    assert_eq!(stream.send(100, 60), 100);
}

/// Few requests may be sent to refresh the estimate of servers that cannot respond in time.
#[test]
fn few_requests_with_stale_estimate() {
    let mut stream = RequestStream::new(2_000.0, 800);
    let sent = stream.send(1_000, 5_000);
    assert!((1..=100).contains(&sent), "{sent} of 1,000 requests were sent");
}
