//! Record of one host.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{ConfigGeneration, DatacentreId, HostId, IncarnationId, RegionId};

/// State of a host as seen by another one, in the order in which states override one another within an incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Announced a graceful shutdown and still serves.
    Leaving,
    /// Did not answer probes; is declared failed unless it refutes the suspicion.
    Suspect,
    /// Declared failed.
    Failed,
    /// Completed a graceful shutdown.
    Left,
}

impl MemberState {
    /// Whether the host is considered to be running.
    pub fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Leaving | Self::Suspect)
    }

    /// Whether callers may be directed to the host.
    pub fn takes_callers(self) -> bool {
        self == Self::Alive
    }
}

/// Attributes and state of one host.
#[derive(Debug, Clone, PartialEq)]
pub struct MemberRecord {
    /// Identifier.
    pub id: HostId,
    /// Region.
    pub region: RegionId,
    /// Data centre.
    pub datacentre: DatacentreId,
    /// Address for other hosts.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Run of the process.
    pub incarnation: IncarnationId,
    /// State.
    pub state: MemberState,
    /// Generation of the configuration in force on the host, as last reported by the host.
    pub generation: ConfigGeneration,
    /// Generation up to which the host has drained every leaving backend server, as last reported by the host.
    pub drained: ConfigGeneration,
    /// Requests in flight per thousand of capacity, as last reported by the host.
    pub load_permille: u32,
    /// Orders the host's reports about itself within one incarnation.
    pub version: u64,
}
