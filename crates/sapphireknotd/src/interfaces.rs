//! Traits through which the modules call each other, and the data types that they exchange.
//!
//! This module imports no implementor of a trait, so that implementors and users depend only on this module.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
};

use async_trait::async_trait;
use sapphireknot::{
    config::RouteEntry,
    ids::{
        DatacentreId, HostId, IncarnationId, OrganisationId, RegionId, RouteId, ServerId,
        ServiceId, VersionId,
    },
    picker::ServerOutcome,
    quota::ResourceId,
    time::MonoTime,
};

/// Identity of this host as published to other hosts.
#[derive(Debug, Clone)]
pub struct HostIdentity {
    /// Host identifier.
    pub id: HostId,
    /// Region of the host.
    pub region: RegionId,
    /// Data centre of the host.
    pub datacentre: DatacentreId,
    /// Incarnation, which identifies this run of the process.
    pub incarnation: IncarnationId,
    /// Advertised address for callers.
    pub caller_address: SocketAddr,
    /// Advertised address for other hosts.
    pub peer_address: SocketAddr,
    /// Bound address for operators.
    pub operator_address: SocketAddr,
}

/// Deadline that one owner updates and requests read.
#[derive(Debug, Default)]
pub struct SharedDeadline(AtomicU64);

impl SharedDeadline {
    /// Returns the deadline.
    pub fn get(&self) -> MonoTime {
        MonoTime(self.0.load(Ordering::Acquire))
    }

    /// Replaces the deadline.
    pub fn set(&self, deadline: MonoTime) {
        self.0.store(deadline.0, Ordering::Release);
    }
}

/// Result of [`QuotaGate::admit`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaVerdict {
    /// One token was taken.
    Admitted,
    /// The organisation exceeds its rate.
    OverRate {
        /// Time at which a token is expected to be available.
        retry_at: MonoTime,
    },
}

/// Admission by the rate and burst limits of an organisation.
#[async_trait]
pub trait QuotaGate: Send + Sync {
    /// Takes one token; waits until `deadline` at most for quota held by other hosts.
    async fn admit(&self, organisation: &OrganisationId, deadline: MonoTime) -> QuotaVerdict;
}

/// Receiver of quota shortages met by requests.
pub trait ShortageSink: Send + Sync {
    /// Reports that a request found no token of `resource`.
    fn report_shortage(&self, resource: &ResourceId);
}

/// Parameters of [`ServerPool::pick`].
#[derive(Debug)]
pub struct PickQuery<'a> {
    /// Requested service.
    pub service: &'a ServiceId,
    /// Matched route.
    pub route: &'a RouteEntry,
    /// Organisation of the caller; `None` on open routes.
    pub organisation: Option<&'a OrganisationId>,
    /// Servers to exclude because they failed this request before.
    pub excluded: &'a [ServerId],
    /// Deadline of the request.
    pub deadline: MonoTime,
}

/// Slot at the selected backend server; counts as a request in flight until the ticket is finished or dropped.
pub trait ServerTicket: Send {
    /// Returns the server identifier.
    fn server(&self) -> &ServerId;

    /// Returns the address of the server.
    fn address(&self) -> SocketAddr;

    /// Returns the version that the server runs.
    fn version(&self) -> &VersionId;

    /// Ends the request with `outcome`.
    fn finish(self: Box<Self>, outcome: ServerOutcome);
}

/// Reason why no backend server was selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PickRefusal {
    /// All usable servers are full.
    NoRoom,
    /// No server is usable.
    NoServer,
    /// The request cannot finish before its deadline.
    Deadline,
}

/// Selection of a version and a backend server.
#[async_trait]
pub trait ServerPool: Send + Sync {
    /// Selects a server with a free slot; waits until the query's deadline at most.
    async fn pick(&self, query: PickQuery<'_>) -> Result<Box<dyn ServerTicket>, PickRefusal>;
}

/// Admission of requests spilled into other regions.
pub trait SpillGate: Send + Sync {
    /// Takes a token for one request of `service` to a backend server in the region `into`; returns whether there was
    /// one.
    fn try_spill(&self, service: &ServiceId, into: &RegionId) -> bool;
}

/// Outcome of a request, as evidence about a version.
#[derive(Debug, Clone)]
pub struct VersionSample {
    /// Service of the request.
    pub service: ServiceId,
    /// Version that served the request.
    pub version: VersionId,
    /// Route of the request.
    pub route: RouteId,
    /// Outcome of the request.
    pub outcome: ServerOutcome,
    /// Time from sending to the end of the response, in microseconds.
    pub latency_us: u64,
}

/// Selection of versions by the traffic shares of a rollout.
pub trait VersionRouter: Send + Sync {
    /// Selects the version for one request among those with servers; `draw` is uniform in `0..1_000_000`.
    fn choose(&self, service: &ServiceId, draw: u32) -> Option<VersionId>;

    /// Records evidence about a version.
    fn record(&self, sample: VersionSample);
}
