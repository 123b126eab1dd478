//! Configuration that hosts install.
//!
//! A plan is complete and immutable; a newer one replaces it whole. Routes are found by the host name of the request
//! and the longest path prefix.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use crate::{
    ids::{ConfigGeneration, OrganisationId, RegionId, RouteId, ServiceId},
    keys::KeyDigest,
    quota::QuotaLimits,
    units::RequestRate,
};

/// Service of a route with its part of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SplitPart {
    /// Service.
    pub service: ServiceId,
    /// Part of the requests, relative to the other parts.
    pub weight: u32,
}

/// Rank of a request; zero is the most urgent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestPriority(pub u32);

/// Route of a plan.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteRule {
    /// Identifier.
    pub id: RouteId,
    /// Host name of requests.
    pub host_name: String,
    /// Prefix of paths; begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may run more than once.
    pub is_idempotent: bool,
    /// Whether this release knows the kind that the operators gave it.
    pub has_known_kind: bool,
    /// Longest time that a request may wait for its response.
    pub timeout: Duration,
    /// Time within which a response has its full value.
    pub target_latency: Duration,
    /// Rank of requests whose organisation has none.
    pub priority: RequestPriority,
    /// Services that take the requests.
    pub split: Vec<SplitPart>,
    /// Backend servers to which one request may be sent at most.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_open: bool,
    /// Whether a backend server is faster for objects that it served lately.
    pub has_affinity: bool,
    /// Regions in which requests may be served; empty for all.
    pub homes: Vec<RegionId>,
}

/// Service of a plan.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRule {
    /// Time for which a backend server is cold after it starts.
    pub warmup: Duration,
    /// Requests per second that a cold backend server tolerates from all hosts together.
    pub warmup_rate: RequestRate,
    /// Path at which a backend server tells of itself; `None` if there is none.
    pub health_path: Option<String>,
}

/// Organisation of a plan.
#[derive(Debug, Clone, PartialEq)]
pub struct OrganisationRule {
    /// Rate and burst over all hosts; `None` for no limit.
    pub quota: Option<QuotaLimits>,
    /// Rank that takes precedence over that of the route.
    pub priority: Option<RequestPriority>,
    /// Regions in which requests may be served; empty for all.
    pub homes: Vec<RegionId>,
}

/// Bounds of what callers send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's line and headers.
    pub max_header_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time in which the headers of a request must arrive.
    pub header_timeout: Duration,
    /// Time for which a connection may be idle.
    pub idle_timeout: Duration,
}

/// Configuration that hosts install.
#[derive(Debug)]
pub struct RoutingPlan {
    /// Generation; a higher one replaces this one.
    pub generation: ConfigGeneration,
    /// Services.
    pub services: HashMap<ServiceId, ServiceRule>,
    /// Organisations.
    pub organisations: HashMap<OrganisationId, OrganisationRule>,
    /// Bounds of what callers send.
    pub limits: CallerLimits,
    keys: HashMap<KeyDigest, OrganisationId>,
    routes: HashMap<String, HashMap<String, Arc<RouteRule>>>,
}

impl RoutingPlan {
    /// A plan without routes, organisations and services.
    pub fn new(generation: ConfigGeneration, limits: CallerLimits) -> Self {
        Self {
            generation,
            limits,
            services: HashMap::new(),
            organisations: HashMap::new(),
            keys: HashMap::new(),
            routes: HashMap::new(),
        }
    }

    /// Adds a route.
    pub fn add_route(&mut self, route: RouteRule) {
        let prefixes = self.routes.entry(route.host_name.to_ascii_lowercase()).or_default();
        prefixes.insert(route.prefix.clone(), Arc::new(route));
    }

    /// Adds a key of an organisation.
    pub fn add_key(&mut self, digest: KeyDigest, organisation: OrganisationId) {
        self.keys.insert(digest, organisation);
    }

    /// The route of a request.
    pub fn find_route(&self, host_name: &str, path: &str) -> Option<&Arc<RouteRule>> {
        // The port is no part of the name.
        let host_name = host_name.split(':').next().unwrap_or_default();
        let prefixes = match self.routes.get(host_name) {
            Some(prefixes) => prefixes,
            None => self.routes.get(&host_name.to_ascii_lowercase())?,
        };
        let ends = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        ends.map(|(end, _)| &path[..=end]).find_map(|it| prefixes.get(it))
    }

    /// The owner of a key.
    pub fn key_owner(&self, digest: &KeyDigest) -> Option<&OrganisationId> {
        self.keys.get(digest)
    }

    /// Every route.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<RouteRule>> {
        self.routes.values().flat_map(HashMap::values)
    }

    /// Routes of a host name.
    pub fn routes_of(&self, host_name: &str) -> impl Iterator<Item = &Arc<RouteRule>> {
        self.routes.get(host_name).into_iter().flat_map(HashMap::values)
    }

    /// Regions in which a request may be served; `None` for all.
    pub fn homes(
        &self,
        route: &RouteRule,
        organisation: Option<&OrganisationId>,
    ) -> Option<HashSet<RegionId>> {
        let own = organisation.and_then(|it| self.organisations.get(it)).map(|it| &it.homes);
        let own = own.filter(|it| !it.is_empty());
        let route_homes = (!route.homes.is_empty()).then_some(&route.homes);
        match (route_homes, own) {
            (None, None) => None,
            (Some(homes), None) | (None, Some(homes)) => Some(homes.iter().cloned().collect()),
            (Some(first), Some(second)) => {
                Some(first.iter().filter(|it| second.contains(it)).cloned().collect())
            }
        }
    }
}
