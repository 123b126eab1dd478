//! Load reports of backend servers.

use crate::time::MonoTime;

/// Response of a backend server to a load probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// When the probe was sent; the server took the report at or after this time.
    pub probed_at: MonoTime,
    /// Running and queued requests of all hosts.
    pub in_flight: u32,
    /// Open connections of all hosts.
    pub connections: u32,
    /// Whether the server is draining.
    pub is_leaving: bool,
}
