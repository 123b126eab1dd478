//! Exchange of load reports with the collector of the region, and between collectors.

use std::collections::{BTreeSet, HashMap};

use super::SteeringCore;
use crate::{
    ids::RegionId,
    steering::{
        fleet::HostRecord,
        loads::{LoadReport, RegionLoad, ReportPosition},
        shares::central_host,
    },
    time::MonoTime,
};

/// Seed for choosing the collector of a region. It is practically certain to differ from the hashes of organisations.
const COLLECTOR_SEED: u64 = 0x10ad;

/// Divisor of the number of recently used servers. If more servers than the quotient fail, this host does not report
/// their failures: few servers fail by themselves, whereas a host with a bad link, or with a caller whose requests fail
/// everywhere, sees failures at most of them.
const FAILING_DIVISOR: usize = 4;

impl SteeringCore {
    /// Host that collects the load reports of this region.
    pub fn load_collector(&self) -> Option<&HostRecord> {
        let hosts = self.fleet.hosts().filter(|it| it.region == self.location.region);
        central_host(COLLECTOR_SEED, hosts)
    }

    /// Hosts that collect the load reports of other regions.
    pub fn remote_collectors(&self) -> Vec<HostRecord> {
        let own = &self.location.region;
        let regions: BTreeSet<&RegionId> =
            self.fleet.hosts().map(|it| &it.region).filter(|it| *it != own).collect();
        let collector = |region: &RegionId| {
            central_host(COLLECTOR_SEED, self.fleet.hosts().filter(|it| it.region == *region))
        };
        regions.into_iter().filter_map(collector).cloned().collect()
    }

    /// Load of the own region by service.
    pub fn own_region_loads(&self, now: MonoTime) -> Vec<RegionLoad> {
        self.pickers.iter().filter_map(|(id, it)| it.own_region(id, now)).collect()
    }

    /// Known load of all regions by service.
    pub fn region_loads(&self, now: MonoTime) -> Vec<RegionLoad> {
        let others = self.pickers.values().flat_map(|it| it.other_regions(now).cloned());
        others.chain(self.own_region_loads(now)).collect()
    }

    /// Applies the region loads that collectors sent.
    pub fn apply_region_loads(&mut self, loads: Vec<RegionLoad>) {
        for load in loads {
            if let Some(picker) = self.pickers.get_mut(&load.service) {
                picker.apply_region_load(load);
            }
        }
    }

    /// Takes the reports that were not sent to the collector yet.
    pub fn unsent_loads(&mut self, now: MonoTime) -> Vec<LoadReport> {
        self.loads.expire(now);
        let mut reports = self.loads.since(self.sent_position);
        self.sent_position = self.loads.position();
        if self.has_widespread_failures(now) {
            reports.iter_mut().for_each(|it| it.failure_rate = None);
        }
        reports
    }

    /// Whether requests of this host fail at so many servers that these are unlikely to be the cause.
    fn has_widespread_failures(&self, now: MonoTime) -> bool {
        let servers = self.pickers.values().flat_map(|it| it.servers());
        let (mut used, mut failing) = (0, 0);
        for is_failing in servers.filter_map(|it| it.recent_response_failure(now)) {
            used += 1;
            failing += usize::from(is_failing);
        }
        failing > 1 && failing * FAILING_DIVISOR > used
    }

    /// Applies load reports of other hosts to the choice of servers.
    pub fn apply_load_reports(&mut self, reports: &[LoadReport]) {
        let reports: HashMap<u64, LoadReport> = reports.iter().map(|it| (it.server, *it)).collect();
        for picker in self.pickers.values_mut() {
            picker.apply_load_reports(&reports);
        }
    }

    /// Adds the reports of another host as the collector; returns those of other hosts that arrived after `position`.
    pub fn collect_loads(
        &mut self,
        reports: &[LoadReport],
        position: ReportPosition,
        now: MonoTime,
    ) -> (Vec<LoadReport>, ReportPosition) {
        self.loads.expire(now);
        let new_reports = self.loads.since(position);
        for report in reports {
            self.loads.add(*report);
        }
        self.apply_load_reports(reports);
        (new_reports, self.loads.position())
    }
}
