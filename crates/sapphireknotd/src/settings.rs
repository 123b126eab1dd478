//! Settings of a host.
//!
//! One tree holds what the settings file, the command line and the defaults say; the command line goes first, then
//! the file. Every problem is reported with the field, the value and what is allowed.

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
    /// Addresses that others use, where they differ from the bound ones.
    #[serde(default)]
    pub advertise: AdvertiseSettings,
    /// Addresses of the platform.
    pub platform: PlatformSettings,
    /// Peers to join when the host list is not available.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// SHA-256 of the operators' token, 64 hexadecimal digits.
    pub operator_token_sha256: String,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
    /// Metrics and traces.
    #[serde(default)]
    pub telemetry: TelemetrySettings,
    /// Bounds of requests.
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

/// Addresses that others use, where they differ from the bound ones.
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

/// Logs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Least level: error, warn, info, debug or trace.
    pub level: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: "info".to_owned() }
    }
}

impl LogSettings {
    /// What is wrong with the level, if anything is.
    pub(crate) fn problem(&self) -> Option<ConfigProblem> {
        let is_known = self.level.parse::<log::LevelFilter>().is_ok();
        let allowed = "one of error, warn, info, debug, trace";
        (!is_known).then(|| ConfigProblem::new("log.level", &self.level, allowed))
    }
}

/// Metrics and traces.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TelemetrySettings {
    /// Address of an OTLP receiver; nothing is exported without one.
    pub otlp: Option<SocketAddr>,
}

/// Bounds of requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Bytes of a request's line and headers.
    pub max_header_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Bytes of a response's body.
    pub max_response_bytes: usize,
    /// Bytes of request bodies that are held at the same time, and of response bodies.
    pub max_buffered_bytes: usize,
    /// Connections of callers at the same time.
    pub max_connections: usize,
    /// Time in which the headers of a request must arrive.
    pub header_timeout: ClockSpan,
    /// Time in which the body of a request must arrive.
    pub body_timeout: ClockSpan,
    /// Time for which a caller may not read its response.
    pub write_timeout: ClockSpan,
    /// Part of a service that planned drains take out in one step, without a traffic plan that says another.
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
    /// Longest time without proof that no key was withdrawn.
    pub key_freshness: ClockSpan,
    /// Time for which callers may cache a look-up.
    pub cache_lifetime: ClockSpan,
    /// Time in which a graceful shutdown ends.
    pub drain_limit: ClockSpan,
    /// Interval of gossip exchanges.
    pub gossip_interval: ClockSpan,
    /// Time in which a peer must answer.
    pub peer_timeout: ClockSpan,
    /// Time after which a suspected host counts as failed.
    pub suspicion: ClockSpan,
    /// Time in which the store must answer.
    pub store_timeout: ClockSpan,
    /// Longest wait of one watch of the store.
    pub watch_wait: ClockSpan,
    /// Lease of surplus quota and of roles.
    pub short_lease: ClockSpan,
    /// Lease of the quota that a host keeps during a partition.
    pub long_lease: ClockSpan,
    /// Shortest time between steps of a rollout.
    pub rollout_step: ClockSpan,
    /// Time in which hosts take up a step of a rollout.
    pub rollout_settle: ClockSpan,
    /// Shortest time left when a rollout reaches its target.
    pub rollout_spare: ClockSpan,
    /// Interval at which the planner of a rollout asks hosts for evidence.
    pub evidence_interval: ClockSpan,
    /// Age at which evidence is stale.
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
    /// Times of a rollout.
    pub fn rollout(&self) -> RolloutTiming {
        RolloutTiming {
            step_interval: self.rollout_step.0,
            settle_time: self.rollout_settle.0,
            spare_time: self.rollout_spare.0,
        }
    }
}

impl HostSettings {
    /// Reads and checks settings.
    pub fn load(text: &str) -> Result<Self, Vec<ConfigProblem>> {
        Self::from_tree(parse_tree(text)?)
    }

    /// Checks a tree and fills it up with defaults.
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
