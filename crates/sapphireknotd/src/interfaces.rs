//! Borders between the modules: the traits by which they call one another, and the plain types that they exchange.
//!
//! Nothing here imports a module that implements a trait, so that implementors and users depend on this module only.

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

/// This host as others see it.
#[derive(Debug, Clone)]
pub struct HostIdentity {
    /// Identifier.
    pub id: HostId,
    /// Region.
    pub region: RegionId,
    /// Data centre.
    pub datacentre: DatacentreId,
    /// Run of this process.
    pub incarnation: IncarnationId,
    /// Address that callers use.
    pub caller_address: SocketAddr,
    /// Address that other hosts use.
    pub peer_address: SocketAddr,
    /// Bound address for operators.
    pub operator_address: SocketAddr,
}

/// Deadline that one owner moves and requests read.
#[derive(Debug, Default)]
pub struct SharedDeadline(AtomicU64);

impl SharedDeadline {
    /// The deadline.
    pub fn get(&self) -> MonoTime {
        MonoTime(self.0.load(Ordering::Acquire))
    }

    /// Replaces the deadline.
    pub fn set(&self, deadline: MonoTime) {
        self.0.store(deadline.0, Ordering::Release);
    }
}

/// Answer of [`QuotaGate`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaVerdict {
    /// One token was taken.
    Admitted,
    /// The organisation is over its rate; a token is expected at the given time.
    OverRate {
        /// When another try may succeed.
        retry_at: MonoTime,
    },
}

/// Admission under the rate and burst of an organisation.
#[async_trait]
pub trait QuotaGate: Send + Sync {
    /// Takes one token; waits until `deadline` at most for share that other hosts hold.
    async fn admit(&self, organisation: &OrganisationId, deadline: MonoTime) -> QuotaVerdict;
}

/// Receiver of shortages that a request met.
pub trait ShortageSink: Send + Sync {
    /// Takes note that a request found no token of `resource`.
    fn report_shortage(&self, resource: &ResourceId);
}

/// What is asked of [`ServerPool`].
#[derive(Debug)]
pub struct PickQuery<'a> {
    /// Service.
    pub service: &'a ServiceId,
    /// Route.
    pub route: &'a RouteEntry,
    /// Organisation; `None` on open routes.
    pub organisation: Option<&'a OrganisationId>,
    /// Servers that failed this request before.
    pub excluded: &'a [ServerId],
    /// When the caller no longer waits.
    pub deadline: MonoTime,
}

/// Backend server that was picked; counted as in flight until the ticket is finished or dropped.
pub trait ServerTicket: Send {
    /// Identifier.
    fn server(&self) -> &ServerId;

    /// Address.
    fn address(&self) -> SocketAddr;

    /// Version that it runs.
    fn version(&self) -> &VersionId;

    /// Ends the request with its outcome.
    fn finish(self: Box<Self>, outcome: ServerOutcome);
}

/// Why no backend server was picked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PickRefusal {
    /// Usable servers exist and all are full.
    NoRoom,
    /// No server is usable.
    NoServer,
    /// The request cannot finish in time.
    Deadline,
}

/// Choice of a version and a backend server.
#[async_trait]
pub trait ServerPool: Send + Sync {
    /// Picks a server with room; waits until the query's deadline at most.
    async fn pick(&self, query: PickQuery<'_>) -> Result<Box<dyn ServerTicket>, PickRefusal>;
}

/// Admission of requests into other regions.
pub trait SpillGate: Send + Sync {
    /// Takes the right to send one request of `service` to a backend server in the region `into`.
    fn try_spill(&self, service: &ServiceId, into: &RegionId) -> bool;
}

/// Finished request, as evidence about a version.
#[derive(Debug, Clone)]
pub struct VersionSample {
    /// Service.
    pub service: ServiceId,
    /// Version that served it.
    pub version: VersionId,
    /// Route.
    pub route: RouteId,
    /// How it ended.
    pub outcome: ServerOutcome,
    /// Time from sending to the end of the response, in microseconds.
    pub latency_us: u64,
}

/// Shares of versions while a traffic plan runs.
pub trait VersionRouter: Send + Sync {
    /// The version for one request, among those that have servers; `draw` is uniform in `0..1_000_000`.
    fn choose(&self, service: &ServiceId, draw: u32) -> Option<VersionId>;

    /// Takes evidence.
    fn record(&self, sample: VersionSample);
}
