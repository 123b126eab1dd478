//! Load reports of backend servers.

use crate::time::MonoTime;

/// Answer of a backend server to a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// When the probe was sent; the report is at least this old.
    pub probed_at: MonoTime,
    /// Requests that run or wait there, of all hosts.
    pub in_flight: u32,
    /// Open connections of all hosts.
    pub connections: u32,
    /// Whether the server is about to leave.
    pub is_leaving: bool,
}
