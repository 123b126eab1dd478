//! Settings of a host.
//!
//! The settings file, the command line and the defaults are merged into one tree; the command line takes precedence
//! over the file, and the file over the defaults. Every problem is reported with the field, the value and the allowed
//! values.

use std::{net::SocketAddr, time::Duration};

use sapphireknot::{
    config::ConfigProblem,
    ids::{DatacentreId, HostId, RegionId},
    rollout::RolloutTiming,
    time::ClockSpan,
    units::TrafficShare,
};
use serde::{Deserialize, Serialize};

use crate::{
    constants,
    settings_tree::{CheckedSettings, check_tree, parse_tree},
};

/// Settings of a host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// Identifier of this host.
    pub host: HostId,
    /// Region of this host.
    pub region: RegionId,
    /// Data centre of this host.
    pub datacentre: DatacentreId,
    /// Addresses to listen at.
    pub listen: ListenSettings,
    /// Advertised addresses, where they differ from the bound ones.
    #[serde(default)]
    pub advertise: AdvertiseSettings,
    /// Addresses of the platform.
    pub platform: PlatformSettings,
    /// Peers to join when the host list is not available.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// SHA-256 of the operators' token, 64 hexadecimal digits.
    pub operator_token_sha256: String,
    /// Log output.
    #[serde(default)]
    pub log: LogSettings,
    /// Export of metrics and traces.
    #[serde(default)]
    pub telemetry: TelemetrySettings,
    /// Limits of requests and connections.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Intervals and time limits.
    #[serde(default)]
    pub timing: TimingSettings,
}

/// Addresses to listen at; port 0 takes a free one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// For callers.
    pub caller: SocketAddr,
    /// For other hosts.
    pub peer: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
}

/// Advertised addresses, where they differ from the bound ones.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdvertiseSettings {
    /// For callers.
    pub caller: Option<SocketAddr>,
    /// For other hosts.
    pub peer: Option<SocketAddr>,
}

/// Addresses of the platform.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Key-value store.
    pub store: SocketAddr,
    /// Region of the key-value store.
    pub store_region: RegionId,
    /// Host list.
    pub host_list: SocketAddr,
}

/// Log output.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Minimum level: error, warn, info, debug or trace.
    pub level: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: "info".to_owned() }
    }
}

impl LogSettings {
    /// Returns the problem with the level, if it is invalid.
    pub(crate) fn problem(&self) -> Option<ConfigProblem> {
        let is_known = self.level.parse::<log::LevelFilter>().is_ok();
        let allowed = "one of error, warn, info, debug, trace";
        (!is_known).then(|| ConfigProblem::new("log.level", &self.level, allowed))
    }
}

/// Export of metrics and traces.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TelemetrySettings {
    /// Address of an OTLP receiver; without it nothing is exported.
    pub otlp: Option<SocketAddr>,
}

/// Limits of requests and connections.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Maximum size of a request line and headers, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum size of a response body, in bytes.
    pub max_response_bytes: usize,
    /// Memory limit for buffered request bodies, and separately for response bodies.
    pub max_buffered_bytes: usize,
    /// Maximum number of concurrent connections of callers.
    pub max_connections: usize,
    /// Timeout for the headers of a request.
    pub header_timeout: ClockSpan,
    /// Timeout for the body of a request.
    pub body_timeout: ClockSpan,
    /// Timeout of a write to a caller that does not read its response.
    pub write_timeout: ClockSpan,
    /// Maximum share of a service that planned drains remove in one step, unless a traffic plan sets another.
    pub drain_cap: TrafficShare,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            max_header_bytes: constants::MAX_HEADER_BYTES,
            max_body_bytes: constants::MAX_BODY_BYTES,
            max_response_bytes: constants::MAX_RESPONSE_BYTES,
            max_buffered_bytes: constants::MAX_BUFFERED_BYTES,
            max_connections: constants::MAX_CONNECTIONS,
            header_timeout: constants::HEADER_TIMEOUT,
            body_timeout: constants::BODY_TIMEOUT,
            write_timeout: constants::WRITE_TIMEOUT,
            drain_cap: constants::DRAIN_CAP,
        }
    }
}

/// Intervals and time limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TimingSettings {
    /// Maximum age of the last confirmation that no key was revoked.
    pub key_freshness: ClockSpan,
    /// Cache lifetime of look-up responses.
    pub cache_lifetime: ClockSpan,
    /// Time limit of a graceful shutdown.
    pub drain_limit: ClockSpan,
    /// Interval between gossip exchanges.
    pub gossip_interval: ClockSpan,
    /// Timeout of a call to a peer.
    pub peer_timeout: ClockSpan,
    /// Time after which a suspected host is considered failed.
    pub suspicion: ClockSpan,
    /// Timeout of a call to the store.
    pub store_timeout: ClockSpan,
    /// Maximum duration of one watch of the store.
    pub watch_wait: ClockSpan,
    /// Lease duration of surplus quota and of roles.
    pub short_lease: ClockSpan,
    /// Lease duration of the quota that a host keeps during a partition.
    pub long_lease: ClockSpan,
    /// Minimum interval between steps of a rollout.
    pub rollout_step: ClockSpan,
    /// Time allowed for hosts to apply a step of a rollout.
    pub rollout_settle: ClockSpan,
    /// Minimum time left before the deadline when a rollout reaches its target.
    pub rollout_spare: ClockSpan,
    /// Interval at which the planner of a rollout collects evidence from hosts.
    pub evidence_interval: ClockSpan,
    /// Age at which evidence becomes stale.
    pub evidence_age: ClockSpan,
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self {
            key_freshness: constants::KEY_FRESHNESS,
            cache_lifetime: constants::CACHE_LIFETIME,
            drain_limit: constants::DRAIN_LIMIT,
            gossip_interval: constants::GOSSIP_INTERVAL,
            peer_timeout: constants::PEER_TIMEOUT,
            suspicion: constants::SUSPICION,
            store_timeout: constants::STORE_TIMEOUT,
            watch_wait: constants::WATCH_WAIT,
            short_lease: constants::SHORT_LEASE,
            long_lease: constants::LONG_LEASE,
            rollout_step: constants::ROLLOUT_STEP,
            rollout_settle: constants::ROLLOUT_SETTLE,
            rollout_spare: constants::ROLLOUT_SPARE,
            evidence_interval: constants::EVIDENCE_INTERVAL,
            evidence_age: constants::EVIDENCE_AGE,
        }
    }
}

impl TimingSettings {
    /// Returns the timing of rollouts.
    pub fn rollout(&self) -> RolloutTiming {
        RolloutTiming {
            step_interval: self.rollout_step.0,
            settle_time: self.rollout_settle.0,
            spare_time: self.rollout_spare.0,
        }
    }
}

impl HostSettings {
    /// Parses and validates settings.
    pub fn load(text: &str) -> Result<Self, Vec<ConfigProblem>> {
        Self::from_tree(parse_tree(text)?)
    }

    /// Validates a settings tree and fills in defaults.
    pub fn from_tree(tree: serde_json::Value) -> Result<Self, Vec<ConfigProblem>> {
        check_tree(tree)
    }

    fn check_timing(&self, problems: &mut Vec<ConfigProblem>) {
        let timing = &self.timing;
        let spans = [
            ("timing.key_freshness", timing.key_freshness),
            ("timing.cache_lifetime", timing.cache_lifetime),
            ("timing.drain_limit", timing.drain_limit),
            ("timing.gossip_interval", timing.gossip_interval),
            ("timing.peer_timeout", timing.peer_timeout),
            ("timing.suspicion", timing.suspicion),
            ("timing.store_timeout", timing.store_timeout),
            ("timing.watch_wait", timing.watch_wait),
            ("timing.short_lease", timing.short_lease),
            ("timing.long_lease", timing.long_lease),
            ("timing.rollout_step", timing.rollout_step),
            ("timing.rollout_settle", timing.rollout_settle),
            ("timing.rollout_spare", timing.rollout_spare),
            ("timing.evidence_interval", timing.evidence_interval),
            ("timing.evidence_age", timing.evidence_age),
            ("limits.header_timeout", self.limits.header_timeout),
            ("limits.body_timeout", self.limits.body_timeout),
            ("limits.write_timeout", self.limits.write_timeout),
        ];
        for (field, span) in spans {
            if span.0 < Duration::from_millis(1) {
                problems.push(ConfigProblem::new(field, span, "at least 1ms"));
            }
        }
        if timing.drain_limit < timing.cache_lifetime {
            let allowed =
                "at least timing.cache_lifetime, or callers with a cached look-up are cut off";
            problems.push(ConfigProblem::new("timing.drain_limit", timing.drain_limit, allowed));
        }
        if timing.rollout_step < timing.rollout_settle {
            let allowed = "at least timing.rollout_settle, or no outcome belongs to a step";
            problems.push(ConfigProblem::new("timing.rollout_step", timing.rollout_step, allowed));
        }
        if timing.evidence_age < timing.evidence_interval {
            let allowed = "at least timing.evidence_interval, or no evidence is ever fresh";
            problems.push(ConfigProblem::new("timing.evidence_age", timing.evidence_age, allowed));
        }
        if timing.long_lease < timing.short_lease {
            let allowed = "at least timing.short_lease";
            problems.push(ConfigProblem::new("timing.long_lease", timing.long_lease, allowed));
        }
    }
}

impl CheckedSettings for HostSettings {
    fn problems(&self) -> Vec<ConfigProblem> {
        let mut problems = Vec::new();
        let token = &self.operator_token_sha256;
        if token.len() != 64 || !token.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            let found = format!("{} characters", token.len());
            let allowed = "64 hexadecimal digits";
            problems.push(ConfigProblem::new("operator_token_sha256", found, allowed));
        }
        problems.extend(self.log.problem());
        self.check_timing(&mut problems);
        let sizes = [
            ("limits.max_header_bytes", self.limits.max_header_bytes),
            ("limits.max_response_bytes", self.limits.max_response_bytes),
            ("limits.max_connections", self.limits.max_connections),
        ];
        for (field, size) in sizes {
            if size == 0 {
                problems.push(ConfigProblem::new(field, size, "at least 1"));
            }
        }
        let limits = &self.limits;
        if limits.drain_cap == TrafficShare::NONE {
            problems.push(ConfigProblem::new("limits.drain_cap", limits.drain_cap, "more than 0%"));
        }
        let largest = limits.max_body_bytes.max(limits.max_response_bytes);
        if limits.max_buffered_bytes < largest {
            let allowed = "at least limits.max_body_bytes and limits.max_response_bytes";
            let field = "limits.max_buffered_bytes";
            problems.push(ConfigProblem::new(field, limits.max_buffered_bytes, allowed));
        }
        problems
    }
}
