//! Rate limits for the log lines of single requests.

use std::time::Duration;

use http::HeaderValue;
use sapphireknot::time::MonoTime;
use sapphireknotd::entry::log_limiter::{LineKind, LogLimiter};

fn id(number: u32) -> HeaderValue {
    HeaderValue::from_str(&format!("request-{number}")).expect("valid header value")
}

/// Guards against a burst of failed requests that floods the log, and against dropped lines that are not counted.
#[test]
fn bounded_rate() {
    let start = MonoTime(1_000_000);
    let log = LogLimiter::new(start);
    let (mut lines, mut dropped) = (0, 0);
    for step in 0..10_000u32 {
        let now = start.after(Duration::from_millis(step.into()));
        if let Some(count) = log.take_line(LineKind::Failed, Some(&id(step)), now) {
            lines += 1;
            dropped += count;
        }
    }
    assert!((200..=241).contains(&lines), "{lines} lines in 10 s");
    assert!(lines + dropped > 9_900, "{lines} lines and {dropped} dropped");
}

/// Guards against late requests, and requests with a withdrawn key, that use up the lines of failed requests.
#[test]
fn separate_limit_for_each_kind() {
    let start = MonoTime(1_000_000);
    let log = LogLimiter::new(start);
    for number in 0..1_000 {
        let _ = log.take_line(LineKind::Late, Some(&id(number)), start);
        let _ = log.take_line(LineKind::Rejected, Some(&id(number)), start);
    }
    assert_eq!(log.take_line(LineKind::Failed, Some(&id(1)), start), Some(0));
}

/// Guards against hosts that sample different requests, whose lines could then not be correlated.
#[test]
fn hosts_sample_same_requests() {
    let start = MonoTime(1_000_000);
    let (first, second) = (LogLimiter::new(start), LogLimiter::new(start));
    let sampled = |log: &LogLimiter| -> Vec<u32> {
        (0..4_000)
            .filter(|it| log.take_line(LineKind::OnTime, Some(&id(*it)), start).is_some())
            .collect()
    };
    let sample = sampled(&first);
    assert_eq!(sample, sampled(&second));
    assert!((10..70).contains(&sample.len()), "{} of 4000", sample.len());
}
