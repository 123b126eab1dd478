//! Estimates of work that nothing has confirmed for a while.

use std::time::Duration;

use rand::{SeedableRng, rngs::StdRng};
use sapphireknot::{
    picker::ServerOutcome,
    steering::{choice::ServicePicker, query::ChoiceQuery, server_state::ServerLoad},
    time::MonoTime,
};

use crate::support::{at, east, picker, query};

/// Requests at idle servers, one each 10 ms, that leave `left_ms` and take `work_ms`.
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

    /// Sends `count` requests and returns how many of them were not refused.
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

/// Guards against a route that is refused for ever as its time limit is shorter than the work that is assumed before the
/// first response.
#[test]
fn short_limit() {
    let mut stream = RequestStream::new(2_000.0, 800);
    stream.send(500, 40);
    assert_eq!(stream.send(100, 40), 100);
}

/// Guards against a service that is refused for ever after its servers were slow for a while.
#[test]
fn slow_period() {
    let mut stream = RequestStream::new(200.0, 800);
    assert_eq!(stream.send(100, 60), 100);
    stream.send(1_000, 790);
    stream.send(500, 60);
    assert_eq!(stream.send(100, 60), 100);
}

/// Guards against trials that send most requests to servers which cannot answer in time.
#[test]
fn few_trials() {
    let mut stream = RequestStream::new(2_000.0, 800);
    let sent = stream.send(1_000, 5_000);
    assert!((1..=100).contains(&sent), "{sent} of 1,000");
}
