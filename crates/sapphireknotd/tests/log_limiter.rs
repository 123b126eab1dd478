//! Rate of log lines of single requests.

use std::time::Duration;

use http::HeaderValue;
use sapphireknot::time::MonoTime;
use sapphireknotd::entry::log_limiter::{LineKind, LogLimiter};

fn id(number: u32) -> HeaderValue {
    HeaderValue::from_str(&format!("request-{number}")).expect("text")
}

/// A flood of failures must not flood the log, and what is left out is counted.
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
    assert!(lines + dropped > 9_900, "{lines} lines and {dropped} left out");
}

/// Late requests, and those of a caller whose key was withdrawn, must not take the lines of failed ones.
#[test]
fn kinds_apart() {
    let start = MonoTime(1_000_000);
    let log = LogLimiter::new(start);
    for number in 0..1_000 {
        let _ = log.take_line(LineKind::Late, Some(&id(number)), start);
        let _ = log.take_line(LineKind::Rejected, Some(&id(number)), start);
    }
    assert_eq!(log.take_line(LineKind::Failed, Some(&id(1)), start), Some(0));
}

/// Every host samples the same requests, so that their lines can be put together.
#[test]
fn same_sample() {
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
