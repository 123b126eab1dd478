//! Entities of the configuration.

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

/// The whole configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ConfigDocument {
    /// Regions with their data centres.
    pub regions: Vec<RegionEntry>,
    /// Links between regions, one entry a direction.
    pub links: Vec<LinkEntry>,
    /// Organisations with their keys and limits.
    pub organisations: Vec<OrganisationEntry>,
    /// Services with their routes and backend servers.
    pub services: Vec<ServiceEntry>,
    /// Blocks of client addresses.
    pub client_blocks: Vec<ClientBlock>,
}

/// Region.
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
    /// Region that sends.
    pub from: RegionId,
    /// Region that receives.
    pub to: RegionId,
    /// What the link carries.
    pub capacity: ByteRate,
    /// One-way latency.
    pub latency: ClockSpan,
}

/// Organisation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationEntry {
    /// Identifier.
    pub id: OrganisationId,
    /// Rate over all hosts together.
    pub rate: RequestRate,
    /// Burst over all hosts together.
    pub burst: BurstSize,
    /// Weight when organisations compete for slots.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Keys; an organisation without keys can use open routes only.
    #[serde(default)]
    pub keys: Vec<KeyEntry>,
}

fn default_weight() -> u32 {
    1
}

/// Key of an organisation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyEntry {
    /// Name of the key.
    pub id: KeyId,
    /// SHA-256 of the key, 64 hexadecimal digits.
    pub sha256: String,
}

/// Service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Identifier; the first segment of a request's path.
    pub id: ServiceId,
    /// Routes, matched by the longest prefix.
    pub routes: Vec<RouteEntry>,
    /// Versions with their share before any traffic plan.
    pub versions: BTreeMap<VersionId, TrafficShare>,
    /// Backend servers.
    #[serde(default)]
    pub servers: Vec<ServerEntry>,
    /// Move of traffic between versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub traffic: Option<TrafficPlan>,
    /// Rates that other regions may send into a region.
    #[serde(default)]
    pub spill: Vec<SpillEntry>,
}

/// Route of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteEntry {
    /// Identifier.
    pub id: RouteId,
    /// Prefix of the path below the service, such as `/reports`.
    pub prefix: String,
    /// Methods; any method if empty.
    #[serde(default)]
    pub methods: Vec<String>,
    /// Whether a second run has no further effect.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether a request needs no key.
    #[serde(default)]
    pub open: bool,
    /// Time after which the caller no longer waits.
    pub timeout: ClockSpan,
}

/// Backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerEntry {
    /// Identifier.
    pub id: ServerId,
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre.
    pub datacentre: DatacentreId,
    /// Version that it runs.
    pub version: VersionId,
    /// Requests that it runs at the same time.
    pub slots: SlotCount,
    /// Connections that it accepts.
    pub connections: u32,
    /// Whether it is to get no new requests.
    #[serde(default)]
    pub leaving: bool,
}

/// Move of traffic between versions of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficPlan {
    /// Identifier; a new move needs a new one.
    pub id: PlanId,
    /// Share of each version at the end.
    pub target: BTreeMap<VersionId, TrafficShare>,
    /// Time by which the target is reached or the move is reverted.
    pub deadline: WallTime,
    /// Largest share moved in one step.
    pub cap: TrafficShare,
}

/// Rate that other regions together may send into a region.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SpillEntry {
    /// Region that receives.
    pub into: RegionId,
    /// Rate over all hosts together.
    pub rate: RequestRate,
    /// Burst over all hosts together.
    pub burst: BurstSize,
}

/// Block of client addresses.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientBlock {
    /// Addresses.
    pub block: IpNet,
    /// Region that is nearest.
    pub region: RegionId,
}

impl ConfigDocument {
    /// The organisation `id`.
    pub fn organisation(&self, id: &OrganisationId) -> Option<&OrganisationEntry> {
        self.organisations.iter().find(|it| it.id == *id)
    }

    /// The service `id`.
    pub fn service(&self, id: &ServiceId) -> Option<&ServiceEntry> {
        self.services.iter().find(|it| it.id == *id)
    }

    /// The region in which `datacentre` lies.
    pub fn region_of(&self, datacentre: &DatacentreId) -> Option<&RegionId> {
        self.regions.iter().find(|it| it.datacentres.contains(datacentre)).map(|it| &it.id)
    }
}
