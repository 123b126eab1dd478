//! Exchange of load reports with the host that collects them for the region, and between these hosts.

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

/// Seed by which the collector of a region is chosen; differs from the hashes of organisations in all likelihood.
const COLLECTOR_SEED: u64 = 0x10ad;

/// Part of the servers that a host used lately, as a divisor, above which its failures are not told. Servers that fail by
/// themselves are few; a host with a bad link or a caller whose requests fail everywhere sees failures at most.
const FAILING_PARTS: usize = 4;

impl SteeringCore {
    /// Host that collects the load reports of this region.
    pub fn load_collector(&self) -> Option<&HostRecord> {
        let hosts = self.fleet.hosts().filter(|it| it.region == self.place.region);
        central_host(COLLECTOR_SEED, hosts)
    }

    /// Hosts that collect the load reports of other regions.
    pub fn remote_collectors(&self) -> Vec<HostRecord> {
        let own = &self.place.region;
        let regions: BTreeSet<&RegionId> =
            self.fleet.hosts().map(|it| &it.region).filter(|it| *it != own).collect();
        let collector = |region: &RegionId| {
            central_host(COLLECTOR_SEED, self.fleet.hosts().filter(|it| it.region == *region))
        };
        regions.into_iter().filter_map(collector).cloned().collect()
    }

    /// The own region's servers by service.
    pub fn own_region_loads(&self, now: MonoTime) -> Vec<RegionLoad> {
        self.pickers.iter().filter_map(|(id, it)| it.own_region(id, now)).collect()
    }

    /// All regions' servers by service as far as they are known.
    pub fn region_loads(&self, now: MonoTime) -> Vec<RegionLoad> {
        let others = self.pickers.values().flat_map(|it| it.other_regions(now).cloned());
        others.chain(self.own_region_loads(now)).collect()
    }

    /// Takes what collectors told.
    pub fn apply_region_loads(&mut self, loads: Vec<RegionLoad>) {
        for load in loads {
            if let Some(picker) = self.pickers.get_mut(&load.service) {
                picker.record_region(load);
            }
        }
    }

    /// Takes out the reports that the collector was not told yet.
    pub fn unsent_loads(&mut self, now: MonoTime) -> Vec<LoadReport> {
        self.loads.expire(now);
        let mut reports = self.loads.since(self.told_loads);
        self.told_loads = self.loads.position();
        if self.fails_widely(now) {
            reports.iter_mut().for_each(|it| it.failure_rate = None);
        }
        reports
    }

    /// Whether requests of this host fail at so many servers that the cause is hardly theirs.
    fn fails_widely(&self, now: MonoTime) -> bool {
        let servers = self.pickers.values().flat_map(|it| it.servers());
        let (mut used, mut failing) = (0, 0);
        for is_failing in servers.filter_map(|it| it.recent_answers(now)) {
            used += 1;
            failing += usize::from(is_failing);
        }
        failing > 1 && failing * FAILING_PARTS > used
    }

    /// Takes reports of other hosts for the choice of servers.
    pub fn apply_load_reports(&mut self, reports: &[LoadReport]) {
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
        self.apply_load_reports(reports);
        (news, self.loads.position())
    }
}
