//! Choice of a backend server.
//!
//! [`ServerPicker`] holds what one host knows of the backend servers of one service: its own requests in flight, the
//! servers' lagging load reports, and the outcomes that it saw. A [`PickPolicy`] chooses among the servers that have
//! room. What the host saw itself overrides what a server reports: [`OutlierDetector`] ejects by outcome, and a server that
//! sheds a request counts as full for a while, whatever it reports.

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

/// How an attempt ended, as far as it says something about the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerOutcome {
    /// Complete response without a server error.
    Succeeded,
    /// Complete response with a server error.
    Failed,
    /// The server refused for lack of room.
    Shed,
    /// No connection, broken response or time limit exceeded.
    Broken,
    /// Says nothing about the server.
    Cancelled,
}

/// What a request needs.
#[derive(Debug, Clone, Copy)]
pub struct PickCriteria<'a> {
    /// Version that serves it.
    pub version: &'a VersionId,
    /// Region whose servers are considered.
    pub region: &'a RegionId,
    /// Servers that failed this request before.
    pub excluded: &'a [ServerId],
}

/// Why no server was picked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PickError {
    /// Usable servers exist and all are full.
    NoRoom,
    /// No server is usable.
    NoServer,
}

/// Backend servers of one service as one host sees them.
pub struct ServerPicker {
    servers: BTreeMap<ServerId, TrackedServer>,
    policy: Box<dyn PickPolicy>,
    detector: OutlierDetector,
}

impl ServerPicker {
    /// A picker without servers.
    pub fn new(policy: Box<dyn PickPolicy>, limits: OutlierLimits) -> Self {
        Self { servers: BTreeMap::new(), policy, detector: OutlierDetector::new(limits) }
    }

    /// Replaces the servers; those that stay keep their state, new ones start cold.
    ///
    /// The first set counts as warm: a host that restarts must not treat every server as cold.
    pub fn replace_servers(&mut self, specs: Vec<ServerSpec>, now: MonoTime) {
        let is_first = self.servers.is_empty();
        let mut old = std::mem::take(&mut self.servers);
        for spec in specs {
            let track = match old.remove(&spec.id) {
                Some(mut track) => {
                    track.replace_spec(spec, now);
                    track
                }
                None if is_first => TrackedServer::warm(spec),
                None => TrackedServer::cold(spec, now),
            };
            self.servers.insert(track.spec().id.clone(), track);
        }
    }

    /// Takes a server's answer to a probe that was sent at `report.probed_at`.
    pub fn record_report(&mut self, server: &ServerId, report: LoadReport) {
        if let Some(track) = self.servers.get_mut(server) {
            track.record_report(report);
        }
    }

    /// Counts a request that is sent to `server`.
    pub fn start(&mut self, server: &ServerId, now: MonoTime) {
        if let Some(track) = self.servers.get_mut(server) {
            track.start(now);
        }
    }

    /// Counts the end of a request and takes its outcome as evidence.
    pub fn finish(
        &mut self,
        server: &ServerId,
        outcome: ServerOutcome,
        latency_us: u64,
        now: MonoTime,
    ) {
        let ejected = self.servers.values().filter(|it| it.is_ejected(now)).count();
        let total = self.servers.len();
        let Some(track) = self.servers.get_mut(server) else { return };
        track.finish(outcome, latency_us, now);
        if let Some(deadline) = self.detector.ejected_until(track, ejected, total, now) {
            track.eject(deadline);
        }
    }

    /// The server for one request.
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

    /// State of `server`.
    pub fn server(&self, server: &ServerId) -> Option<&TrackedServer> {
        self.servers.get(server)
    }

    /// States of all servers.
    pub fn servers(&self) -> impl Iterator<Item = &TrackedServer> {
        self.servers.values()
    }
}
