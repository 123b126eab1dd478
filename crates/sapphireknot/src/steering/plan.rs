//! Configuration that hosts install.
//!
//! A plan is complete and immutable; a newer one replaces it as a whole. Routes are matched by the host name of the
//! request and the longest path prefix.

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

/// Service of a route with its weight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SplitPart {
    /// Service.
    pub service: ServiceId,
    /// Weight of the service, relative to the other parts.
    pub weight: u32,
}

/// Priority of a request; zero is the most urgent.
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
    /// Whether requests are idempotent and may run more than once.
    pub is_idempotent: bool,
    /// Whether this release supports the kind of route that the operators configured.
    pub has_known_kind: bool,
    /// Maximum time that a request may wait for its response.
    pub timeout: Duration,
    /// Time within which a response has its full value.
    pub target_latency: Duration,
    /// Priority of requests whose organisation has none.
    pub priority: RequestPriority,
    /// Services that serve the requests, with their weights.
    pub split: Vec<SplitPart>,
    /// Maximum number of backend servers to which one request may be sent.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_auth_exempt: bool,
    /// Whether a backend server is faster for objects that it served recently.
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
    /// Path of the health endpoint of a backend server; `None` if there is none.
    pub health_path: Option<String>,
}

/// Organisation of a plan.
#[derive(Debug, Clone, PartialEq)]
pub struct OrganisationRule {
    /// Rate and burst over all hosts; `None` for no limit.
    pub quota: Option<QuotaLimits>,
    /// Priority that takes precedence over that of the route.
    pub priority: Option<RequestPriority>,
    /// Regions in which requests may be served; empty for all.
    pub homes: Vec<RegionId>,
}

/// Bounds of what callers send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's line and headers, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Time within which the headers of a request must arrive.
    pub header_timeout: Duration,
    /// Maximum idle time of a connection.
    pub idle_timeout: Duration,
}

/// Configuration that hosts install.
#[derive(Debug)]
pub struct RoutingPlan {
    /// Generation; a plan with a higher one replaces this one.
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
    /// Creates a plan without routes, organisations and services.
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

    /// Finds the route of a request.
    pub fn find_route(&self, host_name: &str, path: &str) -> Option<&Arc<RouteRule>> {
        // The `Host` header may contain a port, which is not part of the name.
        let host_name = host_name.split(':').next().unwrap_or_default();
        let prefixes = match self.routes.get(host_name) {
            Some(prefixes) => prefixes,
            None => self.routes.get(&host_name.to_ascii_lowercase())?,
        };
        let ends = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        ends.map(|(end, _)| &path[..=end]).find_map(|it| prefixes.get(it))
    }

    /// Organisation that owns a key.
    pub fn key_owner(&self, digest: &KeyDigest) -> Option<&OrganisationId> {
        self.keys.get(digest)
    }

    /// All routes.
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
