//! CPU time and memory of a process, read from `/proc`.

use std::{fs, time::Duration};

/// Memory page size in bytes on the supported machines.
const PAGE_BYTES: u64 = 4_096;
/// Unit of CPU times in `/proc/<pid>/stat`, in clock ticks per second.
const TICKS_PER_SECOND: u64 = 100;

/// Returns the user and system time that the process `id`, or this process, has used so far.
pub(crate) fn cpu_time(id: Option<u32>) -> Duration {
    let path = id.map_or("/proc/self/stat".to_owned(), |id| format!("/proc/{id}/stat"));
    let text = fs::read_to_string(path).unwrap_or_default();
    // The process name in parentheses may contain spaces.
    let fields = text.rsplit(')').next().unwrap_or_default();
    let ticks: u64 = fields.split_whitespace().skip(11).take(2).filter_map(parse_number).sum();
    Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND)
}

/// Returns the resident set size of the process `id`, or of this process, in bytes.
pub(crate) fn resident_bytes(id: Option<u32>) -> u64 {
    let path = id.map_or("/proc/self/statm".to_owned(), |id| format!("/proc/{id}/statm"));
    let text = fs::read_to_string(path).unwrap_or_default();
    text.split_whitespace().nth(1).and_then(parse_number).unwrap_or_default() * PAGE_BYTES
}

fn parse_number(text: &str) -> Option<u64> {
    text.parse().ok()
}

/// Formats `bytes` in mebibytes with one decimal place.
pub(crate) fn mebibytes(bytes: u64) -> String {
    format!("{:.1}", bytes as f64 / f64::from(1 << 20))
}
