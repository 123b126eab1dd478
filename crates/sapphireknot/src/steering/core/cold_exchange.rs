//! Probes of servers for being cold, and the exchange of their results between hosts.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use super::SteeringCore;
use crate::{
    ids::{RegionId, ServerId},
    steering::{
        cold::{ColdReport, ProbeGroup},
        fleet::HostRecord,
    },
    time::MonoTime,
};

/// Server that this host probes for being cold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbeTarget {
    /// Identifier.
    pub server: ServerId,
    /// Start time of the server, in its own milliseconds.
    pub started: u64,
    /// Address.
    pub address: SocketAddr,
    /// Path of its health endpoint.
    pub path: String,
}

impl SteeringCore {
    /// Servers that this host probes; none while the store reports which servers are cold.
    pub fn probe_targets(&self, now: MonoTime) -> Vec<ProbeTarget> {
        if !self.fleet.is_stale(now) {
            return Vec::new();
        }
        let Some(plan) = &self.plan else { return Vec::new() };
        let mut groups: HashMap<&RegionId, Option<ProbeGroup>> = HashMap::new();
        let mut targets = Vec::new();
        let candidates =
            self.fleet.servers().filter(|it| !it.record.is_draining && now >= it.backoff_until);
        for record in candidates.map(|it| &it.record) {
            let Some(rule) = plan.services.get(&record.service) else { continue };
            let Some(path) = rule.health_path.as_ref().filter(|_| !rule.warmup.is_zero()) else {
                continue;
            };
            let Some(region) = self.location.regions.get(&record.datacentre) else { continue };
            // An evacuated data centre gets no probes either. Its servers are treated as cold when the evacuation ends.
            if self.evacuated.contains(&record.datacentre) {
                continue;
            }
            let group = groups.entry(region).or_insert_with(|| {
                let hosts = self.fleet.hosts();
                ProbeGroup::new(&self.location.host, &self.location.region, region, hosts)
            });
            if group.as_ref().is_some_and(|it| it.probes(&record.id)) {
                let (server, address) = (record.id.clone(), record.address);
                let (started, path) = (record.started, path.clone());
                targets.push(ProbeTarget { server, started, address, path });
            }
        }
        targets
    }

    /// Applies reports of cold servers; returns those that were not known.
    pub fn apply_cold_reports(&mut self, reports: &[ColdReport], now: MonoTime) -> Vec<ColdReport> {
        let latest = now.after(self.longest_warmup());
        let bounded = reports.iter().map(|it| {
            let cold_until = it.cold_until.min(latest);
            ColdReport { cold_until, ..*it }
        });
        let new_reports = self.fleet.apply_cold_reports(&bounded.collect::<Vec<_>>());
        if !new_reports.is_empty() {
            self.refresh(now);
        }
        new_reports
    }

    /// Other hosts of this region.
    pub fn region_peers(&self) -> Vec<HostRecord> {
        let hosts = self.fleet.hosts();
        let others =
            hosts.filter(|it| it.region == self.location.region && it.id != self.location.host);
        others.cloned().collect()
    }

    /// Longest time for which a server of any service stays cold.
    pub(super) fn longest_warmup(&self) -> Duration {
        let warmups = self.plan.iter().flat_map(|it| it.services.values());
        warmups.map(|it| it.warmup).max().unwrap_or_default()
    }
}
