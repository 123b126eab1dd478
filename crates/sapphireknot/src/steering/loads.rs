//! Load reports on backend servers that the hosts of a region exchange.
//!
//! Where many hosts share the servers, each host gets few responses of a server, rarely learns its load, and detects
//! late that it is gone. One host of each region, the collector, gathers the reports of all of them and distributes
//! them. A host without a collector continues with its own reports. Collectors of different regions exchange sums only
//! ([`RegionLoad`]), as links between regions are narrow and few requests cross them.

use std::{collections::HashMap, time::Duration};

use super::server_state::ServerLoad;
use crate::{
    ids::{RegionId, ServiceId},
    time::MonoTime,
};

/// Age from which a report is not forwarded; it carries little weight then.
const REPORT_TTL: Duration = Duration::from_secs(2);

/// Observation of a server by some host.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Hash of the server's id.
    pub server: u64,
    /// Load that the server reported; `None` if it could not be reached.
    pub load: Option<ServerLoad>,
    /// Failure rate among its recent responses to all hosts; `None` from a host whose requests fail at many servers.
    pub failure_rate: Option<f64>,
    /// When that was.
    pub at: MonoTime,
}

/// Load of one service's servers in a region, as its collector sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct RegionLoad {
    /// Service.
    pub service: ServiceId,
    /// Region.
    pub region: RegionId,
    /// Running and waiting requests, divided by the slots.
    pub utilisation: f64,
    /// Share of objects that hosts of the region keep in it.
    pub home_share: f64,
    /// Round trip to the region; `None` if it was not measured.
    pub round_trip: Option<Duration>,
    /// When that was.
    pub at: MonoTime,
}

impl RegionLoad {
    /// Whether the report is too old to be used.
    pub fn is_expired(&self, now: MonoTime) -> bool {
        now >= self.at.after(REPORT_TTL)
    }
}

/// Position in the sequence of a collector's reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReportPosition(pub u64);

/// Latest report of each server, with its position in the order of arrival.
#[derive(Debug, Default)]
pub struct LoadReportTable {
    latest: HashMap<u64, (LoadReport, ReportPosition)>,
    position: ReportPosition,
}

impl LoadReportTable {
    /// Adds a report unless a later one is known.
    pub fn add(&mut self, report: LoadReport) {
        let is_late = self.latest.get(&report.server).is_some_and(|(it, _)| it.at >= report.at);
        if !is_late {
            self.position.0 += 1;
            self.latest.insert(report.server, (report, self.position));
        }
    }

    /// Drops reports that are too old at `now`.
    pub fn expire(&mut self, now: MonoTime) {
        self.latest.retain(|_, (report, _)| now < report.at.after(REPORT_TTL));
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
