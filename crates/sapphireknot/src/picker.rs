//! Backend server selection.
//!
//! [`ServerPicker`] tracks the backend servers of one service as seen by one host: the host's own requests in flight,
//! the servers' delayed load reports, and the observed outcomes. A [`PickPolicy`] selects among the servers with free
//! slots. Local observations override load reports: [`OutlierDetector`] ejects servers by outcome, and a server that
//! sheds a request counts as full for a while, whatever load it reports.

mod load;
mod outlier;
mod policy;
mod server;
mod subset;

use std::collections::BTreeMap;

use rand::Rng;

pub use self::{
    load::LoadReport,
    outlier::{OutlierDetector, OutlierLimits},
    policy::{
        FreshProbes, LeastInFlight, PickCandidate, PickPolicy, ProbePool, RandomChoice, TwoChoices,
    },
    server::{ServerSpec, TrackedServer},
    subset::{SubsetLimits, is_in_subset},
};
use crate::{
    ids::{RegionId, ServerId, VersionId},
    time::MonoTime,
};

/// Outcome of an attempt as evidence about the health of the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerOutcome {
    /// Complete response without a server error status.
    Succeeded,
    /// Complete response with a server error status.
    Failed,
    /// The server rejected the request because it is overloaded.
    Shed,
    /// Connection failure, incomplete response or timeout.
    Broken,
    /// Cancelled; no evidence about the server.
    Cancelled,
}

/// Selection criteria of a request.
#[derive(Debug, Clone, Copy)]
pub struct PickCriteria<'a> {
    /// Required version.
    pub version: &'a VersionId,
    /// Region whose servers are considered.
    pub region: &'a RegionId,
    /// Servers that already failed this request.
    pub excluded: &'a [ServerId],
}

/// Reason why no server was picked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PickError {
    /// All usable servers are full.
    NoRoom,
    /// No server matches the criteria and is healthy.
    NoServer,
}

/// Selects among the backend servers of one service, based on the state that one host observes.
pub struct ServerPicker {
    servers: BTreeMap<ServerId, TrackedServer>,
    policy: Box<dyn PickPolicy>,
    detector: OutlierDetector,
}

impl ServerPicker {
    /// Creates a picker without servers.
    pub fn new(policy: Box<dyn PickPolicy>, limits: OutlierLimits) -> Self {
        Self { servers: BTreeMap::new(), policy, detector: OutlierDetector::new(limits) }
    }

    /// Replaces the set of servers; remaining servers keep their state, new ones start cold.
    ///
    /// The first set counts as warm: a host that restarts must not treat every server as cold.
    pub fn replace_servers(&mut self, specs: Vec<ServerSpec>, now: MonoTime) {
        let is_first = self.servers.is_empty();
        let mut old = std::mem::take(&mut self.servers);
        for spec in specs {
            let tracked = match old.remove(&spec.id) {
                Some(mut tracked) => {
                    tracked.replace_spec(spec, now);
                    tracked
                }
                None if is_first => TrackedServer::warm(spec),
                None => TrackedServer::cold(spec, now),
            };
            self.servers.insert(tracked.spec().id.clone(), tracked);
        }
    }

    /// Records the response of `server` to a load probe.
    pub fn record_report(&mut self, server: &ServerId, report: LoadReport) {
        if let Some(tracked) = self.servers.get_mut(server) {
            tracked.record_report(report);
        }
    }

    /// Records the start of a request to `server`.
    pub fn start(&mut self, server: &ServerId, now: MonoTime) {
        if let Some(tracked) = self.servers.get_mut(server) {
            tracked.start(now);
        }
    }

    /// Records the end and outcome of a request to `server`, and ejects the server if it became an outlier.
    pub fn finish(
        &mut self,
        server: &ServerId,
        outcome: ServerOutcome,
        latency_us: u64,
        now: MonoTime,
    ) {
        let ejected = self.servers.values().filter(|it| it.is_ejected(now)).count();
        let total = self.servers.len();
        let Some(tracked) = self.servers.get_mut(server) else { return };
        tracked.finish(outcome, latency_us, now);
        if let Some(deadline) = self.detector.ejected_until(tracked, ejected, total, now) {
            tracked.eject(deadline);
        }
    }

    /// Picks a server for one request.
    pub fn pick(
        &self,
        criteria: &PickCriteria<'_>,
        now: MonoTime,
        rng: &mut dyn Rng,
    ) -> Result<ServerId, PickError> {
        let usable: Vec<&TrackedServer> =
            self.servers.values().filter(|it| it.is_usable(criteria, now)).collect();
        if usable.is_empty() {
            return Err(PickError::NoServer);
        }
        let candidates: Vec<PickCandidate> =
            usable.iter().filter_map(|it| it.candidate(now)).collect();
        let choice = self.policy.choose(&candidates, rng).ok_or(PickError::NoRoom)?;
        Ok(candidates[choice].server.clone())
    }

    /// Returns the state of `server`.
    pub fn server(&self, server: &ServerId) -> Option<&TrackedServer> {
        self.servers.get(server)
    }

    /// Returns the states of all servers.
    pub fn servers(&self) -> impl Iterator<Item = &TrackedServer> {
        self.servers.values()
    }
}
