//! Configuration entities.

use std::{collections::BTreeMap, net::SocketAddr};

use ipnet::IpNet;
use serde::{Deserialize, Serialize};

use crate::{
    ids::{
        DatacentreId, KeyId, OrganisationId, PlanId, RegionId, RouteId, ServerId, ServiceId,
        VersionId,
    },
    time::{ClockSpan, WallTime},
    units::{BurstSize, ByteRate, RequestRate, SlotCount, TrafficShare},
};

/// Complete configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ConfigDocument {
    /// Regions with their data centres.
    pub regions: Vec<RegionEntry>,
    /// Links between regions, one entry per direction.
    pub links: Vec<LinkEntry>,
    /// Organisations with their API keys and limits.
    pub organisations: Vec<OrganisationEntry>,
    /// Services with their routes and backend servers.
    pub services: Vec<ServiceEntry>,
    /// Regions assigned to blocks of client addresses.
    pub client_blocks: Vec<ClientBlock>,
}

/// Region with its data centres.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionEntry {
    /// Identifier.
    pub id: RegionId,
    /// Data centres in this region.
    pub datacentres: Vec<DatacentreId>,
}

/// One direction of a link between two regions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkEntry {
    /// Source region.
    pub from: RegionId,
    /// Destination region.
    pub to: RegionId,
    /// Bandwidth of the link in this direction.
    pub capacity: ByteRate,
    /// One-way latency.
    pub latency: ClockSpan,
}

/// Organisation with its quota and API keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationEntry {
    /// Identifier.
    pub id: OrganisationId,
    /// Admission rate across all hosts.
    pub rate: RequestRate,
    /// Burst size across all hosts.
    pub burst: BurstSize,
    /// Weight in fair queueing when organisations compete for server slots.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// API keys; an organisation without keys can use open routes only.
    #[serde(default)]
    pub keys: Vec<KeyEntry>,
}

fn default_weight() -> u32 {
    1
}

/// API key of an organisation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyEntry {
    /// Identifier; does not reveal the key.
    pub id: KeyId,
    /// SHA-256 digest of the key, 64 hexadecimal digits.
    pub sha256: String,
}

/// Service with its routes, versions and backend servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Identifier; the first segment of a request's path.
    pub id: ServiceId,
    /// Routes, selected by longest prefix match.
    pub routes: Vec<RouteEntry>,
    /// Initial traffic share of each version, before any traffic plan.
    pub versions: BTreeMap<VersionId, TrafficShare>,
    /// Backend servers.
    #[serde(default)]
    pub servers: Vec<ServerEntry>,
    /// Traffic plan that shifts traffic between versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub traffic: Option<TrafficPlan>,
    /// Limits on traffic that spills into a region from other regions.
    #[serde(default)]
    pub spill: Vec<SpillEntry>,
}

/// Route of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteEntry {
    /// Identifier.
    pub id: RouteId,
    /// Path prefix relative to the service, such as `/reports`.
    pub prefix: String,
    /// Accepted HTTP methods; empty accepts all.
    #[serde(default)]
    pub methods: Vec<String>,
    /// Whether requests are idempotent and may be executed more than once.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether requests are accepted without an API key.
    #[serde(default)]
    pub open: bool,
    /// Request timeout of the caller.
    pub timeout: ClockSpan,
}

/// Backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerEntry {
    /// Identifier.
    pub id: ServerId,
    /// Address that serves requests.
    pub address: SocketAddr,
    /// Data centre that contains the server.
    pub datacentre: DatacentreId,
    /// Service version that the server runs.
    pub version: VersionId,
    /// Maximum number of concurrent requests.
    pub slots: SlotCount,
    /// Maximum number of connections that the server accepts.
    pub connections: u32,
    /// Whether the server is drained and gets no new requests.
    #[serde(default)]
    pub leaving: bool,
}

/// Gradual shift of traffic between versions of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficPlan {
    /// Identifier; each plan needs a new one.
    pub id: PlanId,
    /// Target share of each version.
    pub target: BTreeMap<VersionId, TrafficShare>,
    /// Time by which the target must be reached; otherwise the plan is reverted.
    pub deadline: WallTime,
    /// Maximum share shifted in one step.
    pub cap: TrafficShare,
}

/// Limit on the combined traffic that other regions send into a region.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SpillEntry {
    /// Destination region.
    pub into: RegionId,
    /// Rate across all hosts.
    pub rate: RequestRate,
    /// Burst size across all hosts.
    pub burst: BurstSize,
}

/// Assignment of a block of client addresses to a region.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientBlock {
    /// Address block in CIDR notation.
    pub block: IpNet,
    /// Region nearest to these clients.
    pub region: RegionId,
}

impl ConfigDocument {
    /// Returns the organisation `id`.
    pub fn organisation(&self, id: &OrganisationId) -> Option<&OrganisationEntry> {
        self.organisations.iter().find(|it| it.id == *id)
    }

    /// Returns the service `id`.
    pub fn service(&self, id: &ServiceId) -> Option<&ServiceEntry> {
        self.services.iter().find(|it| it.id == *id)
    }

    /// Returns the region that contains `datacentre`.
    pub fn region_of(&self, datacentre: &DatacentreId) -> Option<&RegionId> {
        self.regions.iter().find(|it| it.datacentres.contains(datacentre)).map(|it| &it.id)
    }
}
