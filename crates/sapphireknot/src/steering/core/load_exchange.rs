//! Exchange of load reports with the host that collects them for the region.

use std::collections::HashMap;

use super::SteeringCore;
use crate::{
    steering::{
        fleet::HostRecord,
        loads::{LoadReport, ReportPosition},
        shares::host_of,
    },
    time::MonoTime,
};

/// Seed by which the collector of a region is chosen; differs from the hashes of organisations in all likelihood.
const COLLECTOR_SEED: u64 = 0x10ad;

impl SteeringCore {
    /// Host that collects the load reports of this region.
    pub fn load_collector(&self) -> Option<&HostRecord> {
        let hosts = self.fleet.hosts().filter(|it| it.region == self.place.region);
        host_of(COLLECTOR_SEED, hosts)
    }

    /// Takes out the reports that the collector was not told yet.
    pub fn untold_loads(&mut self, now: MonoTime) -> Vec<LoadReport> {
        self.loads.expire(now);
        let reports = self.loads.since(self.told_loads);
        self.told_loads = self.loads.position();
        reports
    }

    /// Takes reports of other hosts for the choice of servers.
    pub fn take_loads(&mut self, reports: &[LoadReport]) {
        let reports: HashMap<u64, LoadReport> = reports.iter().map(|it| (it.server, *it)).collect();
        for picker in self.pickers.values_mut() {
            picker.record_reports(&reports);
        }
    }

    /// Takes the reports of another host as the collector; returns those that arrived after `position` from others.
    pub fn collect_loads(
        &mut self,
        reports: &[LoadReport],
        position: ReportPosition,
        now: MonoTime,
    ) -> (Vec<LoadReport>, ReportPosition) {
        self.loads.expire(now);
        let news = self.loads.since(position);
        for report in reports {
            self.loads.add(*report);
        }
        self.take_loads(reports);
        (news, self.loads.position())
    }
}
