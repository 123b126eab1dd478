//! Reports on backend servers that the hosts of a region exchange.
//!
//! Where many hosts share the servers, each of them gets few responses of a server, seldom learns its load, and finds out
//! late that it is gone. One host of each region collects what all of them saw and passes it on. A host without a
//! collector goes on with its own reports. Collectors of different regions tell each other sums only ([`RegionLoad`]), as
//! links between regions are narrow and few requests go there.

use std::{collections::HashMap, time::Duration};

use super::server_state::ServerLoad;
use crate::{
    ids::{RegionId, ServiceId},
    time::MonoTime,
};

/// Age from which a report is not passed on; it counts for little then.
const REPORT_LIFE: Duration = Duration::from_secs(2);

/// What some host saw of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Hash of the server's id.
    pub server: u64,
    /// Load that the server told; `None` if it could not be reached.
    pub load: Option<ServerLoad>,
    /// Rate of failures among its recent responses to all hosts; `None` from a host that fails at many servers.
    pub failure_rate: Option<f64>,
    /// When that was.
    pub at: MonoTime,
}

/// A region's servers of one service as the region's collector sees them.
#[derive(Debug, Clone, PartialEq)]
pub struct RegionLoad {
    /// Service.
    pub service: ServiceId,
    /// Region.
    pub region: RegionId,
    /// Requests that run or wait, divided by the slots.
    pub utilisation: f64,
    /// Share of their objects that hosts of the region keep there.
    pub home_share: f64,
    /// Way to the region and back; `None` if it was not measured.
    pub round_trip: Option<Duration>,
    /// When that was.
    pub at: MonoTime,
}

impl RegionLoad {
    /// Whether it is too old to rely on.
    pub fn is_expired(&self, now: MonoTime) -> bool {
        now >= self.at.after(REPORT_LIFE)
    }
}

/// Position in the reports of a collector.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReportPosition(pub u64);

/// Latest report of each server, in the order of arrival.
#[derive(Debug, Default)]
pub struct LoadReportTable {
    latest: HashMap<u64, (LoadReport, ReportPosition)>,
    position: ReportPosition,
}

impl LoadReportTable {
    /// Takes a report unless a later one is known.
    pub fn add(&mut self, report: LoadReport) {
        let is_late = self.latest.get(&report.server).is_some_and(|(it, _)| it.at >= report.at);
        if !is_late {
            self.position.0 += 1;
            self.latest.insert(report.server, (report, self.position));
        }
    }

    /// Drops reports that are too old at `now`.
    pub fn expire(&mut self, now: MonoTime) {
        self.latest.retain(|_, (report, _)| now < report.at.after(REPORT_LIFE));
    }

    /// Reports that arrived after `position`; all if the position is one of an earlier incarnation.
    pub fn since(&self, position: ReportPosition) -> Vec<LoadReport> {
        let after = if position > self.position { ReportPosition::default() } else { position };
        let reports = self.latest.values().filter(|(_, it)| *it > after);
        reports.map(|(report, _)| *report).collect()
    }

    /// Position after the last report.
    pub fn position(&self) -> ReportPosition {
        self.position
    }
}
