//! Settings of an entry host whose platform holds the configuration, the registrations and the list of hosts.

use std::{collections::HashMap, net::SocketAddr};

use sapphireknot::{
    config::ConfigProblem,
    ids::{DatacentreId, HostId, RegionId},
    steering::{
        core::{HostLocation, SharedBounds},
        exposure::ExposureLimit,
        fleet::HostCapacity,
        shares::QuotaSlack,
    },
    time::ClockSpan,
    units::ByteCount,
};
use serde::{Deserialize, Serialize};
use serde_with::{DefaultOnNull, serde_as};

use crate::{
    constants,
    settings::{LogSettings, TelemetrySettings},
    settings_tree::{CheckedSettings, check_tree},
};

/// Divisor of the memory: one part is for request bodies and one for response bodies. The remaining parts are for the
/// process itself, its connections and their socket buffers.
const MEMORY_DIVISOR: usize = 4;

/// Settings of an entry host.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Identifier of this host.
    pub host: HostId,
    /// Region of this host.
    pub region: RegionId,
    /// Data centre of this host.
    pub datacentre: DatacentreId,
    /// Region of each data centre.
    pub regions: HashMap<DatacentreId, RegionId>,
    /// Addresses to listen on.
    pub listen: EntryListen,
    /// Store of the platform.
    pub managed: ManagedStore,
    /// Peer addresses of other hosts, for a start without the store. The list may contain this host and hosts that no
    /// longer exist.
    #[serde_as(deserialize_as = "DefaultOnNull")]
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Memory limit above which the process is killed, if there is one.
    #[serde(default)]
    pub memory: Option<ByteCount>,
    /// Capacity of the machine, if it is limited.
    #[serde_as(deserialize_as = "DefaultOnNull")]
    #[serde(default)]
    pub machine: MachineSettings,
    /// Bounds over all hosts together, and limits of a graceful shutdown.
    #[serde_as(deserialize_as = "DefaultOnNull")]
    #[serde(default)]
    pub bounds: EntryBounds,
    /// Log settings.
    #[serde(default)]
    pub log: LogSettings,
    /// Metrics and traces.
    #[serde(default)]
    pub telemetry: TelemetrySettings,
}

/// Addresses to listen on; port 0 selects a free port.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryListen {
    /// Requests of callers.
    pub caller: SocketAddr,
    /// Readiness checks of the platform.
    pub readiness: SocketAddr,
    /// Directory for callers that ask where to connect.
    pub directory: SocketAddr,
    /// Calls from other hosts.
    pub peer: SocketAddr,
    /// Metrics in text format; `None` disables the listener.
    pub metrics: Option<SocketAddr>,
}

/// Capacity of a machine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MachineSettings {
    /// Processor cores; fractions are allowed.
    pub cores: Option<f64>,
    /// Bandwidth of the network link in Mbit/s.
    pub link_mbps: Option<f64>,
}

/// Store of the platform.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ManagedStore {
    /// Address of the store.
    pub store: SocketAddr,
    /// Shortest lease that the store grants.
    #[serde(default)]
    pub min_lease: ClockSpan,
}

/// Bounds over all hosts together, and limits of a graceful shutdown.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EntryBounds {
    /// Fraction by which quotas may be exceeded.
    pub quota_tolerance: f64,
    /// Number of requests by which quotas may be exceeded.
    pub quota_slack: u32,
    /// Maximum ratio of retries to requests.
    pub retry_ratio: f64,
    /// Retries allowed beyond that ratio in one window.
    pub retry_slack: u32,
    /// Fraction of a service's requests that a defective version may receive during its rollout.
    pub exposed_share: f64,
    /// Number of requests that a defective version may receive beyond that fraction.
    pub exposed_requests: u32,
    /// Longest time for which callers may cache an answer of the directory.
    pub name_lifetime: ClockSpan,
    /// Time within which a change in the store takes effect on every host.
    pub apply_time: ClockSpan,
    /// Time from SIGTERM until the process is killed.
    pub stop_grace: ClockSpan,
}

impl Default for EntryBounds {
    fn default() -> Self {
        let exposure = ExposureLimit::default();
        Self {
            exposed_share: exposure.share,
            exposed_requests: exposure.requests,
            quota_tolerance: 0.0,
            quota_slack: 0,
            retry_ratio: constants::RETRY_RATIO,
            retry_slack: constants::RETRY_SLACK,
            name_lifetime: constants::CACHE_LIFETIME,
            apply_time: constants::APPLY_TIME,
            stop_grace: constants::STOP_GRACE,
        }
    }
}

impl EntrySettings {
    /// Validates a settings tree and fills in the defaults.
    pub fn from_tree(tree: serde_json::Value) -> Result<Self, Vec<ConfigProblem>> {
        check_tree(tree)
    }

    /// Memory budget for request bodies, and equally for response bodies.
    pub fn body_bytes(&self) -> usize {
        let Some(memory) = self.memory else { return constants::MAX_BUFFERED_BYTES };
        usize::try_from(memory.0).unwrap_or(usize::MAX) / MEMORY_DIVISOR
    }

    /// Capacity of the machine; the default, which means unknown, unless both values are set.
    pub fn capacity(&self) -> HostCapacity {
        let MachineSettings { cores, link_mbps } = self.machine;
        let capacity = cores.zip(link_mbps).map(|(cores, link)| HostCapacity::new(cores, link));
        capacity.unwrap_or_default()
    }

    /// Location of this host.
    pub fn location(&self) -> HostLocation {
        HostLocation {
            host: self.host.clone(),
            region: self.region.clone(),
            regions: self.regions.clone(),
        }
    }

    /// Bounds over all hosts together.
    pub fn shared_bounds(&self) -> SharedBounds {
        SharedBounds {
            quota: QuotaSlack {
                tolerance: self.bounds.quota_tolerance,
                requests: self.bounds.quota_slack,
            },
            retry_ratio: self.bounds.retry_ratio,
            retry_slack: self.bounds.retry_slack,
            apply_time: self.bounds.apply_time.0,
            exposure: ExposureLimit {
                share: self.bounds.exposed_share,
                requests: self.bounds.exposed_requests,
            },
        }
    }
}

impl CheckedSettings for EntrySettings {
    fn problems(&self) -> Vec<ConfigProblem> {
        let mut problems = Vec::new();
        if self.regions.get(&self.datacentre) != Some(&self.region) {
            let allowed = format!("an entry {}: {}", self.datacentre, self.region);
            problems.push(ConfigProblem::new("regions", self.regions.len(), allowed));
        }
        for (field, part) in [
            ("bounds.quota_tolerance", self.bounds.quota_tolerance),
            ("bounds.retry_ratio", self.bounds.retry_ratio),
            ("bounds.exposed_share", self.bounds.exposed_share),
        ] {
            if !(0.0..=1.0).contains(&part) {
                problems.push(ConfigProblem::new(field, part, "0 to 1"));
            }
        }
        let machine =
            [("machine.cores", self.machine.cores), ("machine.link_mbps", self.machine.link_mbps)];
        for (field, value) in machine.into_iter().filter_map(|(field, it)| Some((field, it?))) {
            if !value.is_finite() || value <= 0.0 {
                problems.push(ConfigProblem::new(field, value, "more than 0"));
            }
        }
        for (field, span) in [
            ("bounds.name_lifetime", self.bounds.name_lifetime),
            ("bounds.apply_time", self.bounds.apply_time),
            ("bounds.stop_grace", self.bounds.stop_grace),
        ] {
            if span.0.is_zero() {
                problems.push(ConfigProblem::new(field, span, "more than 0s"));
            }
        }
        if self.memory == Some(ByteCount(0)) {
            problems.push(ConfigProblem::new("memory", ByteCount(0), "more than 0B"));
        }
        problems.extend(self.log.problem());
        problems
    }
}
