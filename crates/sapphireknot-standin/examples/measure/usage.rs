//! Processor time and memory of this process.

use std::{fs, time::Duration};

/// Bytes of a page; the size on the machines that are supported.
const PAGE_BYTES: u64 = 4_096;
/// Clock ticks a second in `/proc`.
const TICKS_PER_SECOND: u64 = 100;

/// Processor time of the process `id` so far, or of this one.
pub(crate) fn processor_time(id: Option<u32>) -> Duration {
    let path = id.map_or("/proc/self/stat".to_owned(), |id| format!("/proc/{id}/stat"));
    let text = fs::read_to_string(path).unwrap_or_default();
    // The name in parentheses may contain spaces.
    let fields = text.rsplit(')').next().unwrap_or_default();
    let ticks: u64 = fields.split_whitespace().skip(11).take(2).filter_map(parse).sum();
    Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND)
}

/// Resident bytes of the process `id`, or of this one.
pub(crate) fn resident_bytes(id: Option<u32>) -> u64 {
    let path = id.map_or("/proc/self/statm".to_owned(), |id| format!("/proc/{id}/statm"));
    let text = fs::read_to_string(path).unwrap_or_default();
    text.split_whitespace().nth(1).and_then(parse).unwrap_or_default() * PAGE_BYTES
}

fn parse(text: &str) -> Option<u64> {
    text.parse().ok()
}

/// Mebibytes of `bytes` as text.
pub(crate) fn mebibytes(bytes: u64) -> String {
    format!("{:.1}", bytes as f64 / f64::from(1 << 20))
}
