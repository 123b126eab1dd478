//! Questions to servers whether they are cold, and what other hosts heard.

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

/// Server that this host asks whether it is cold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbeTarget {
    /// Server.
    pub server: ServerId,
    /// Its start.
    pub started: u64,
    /// Address.
    pub address: SocketAddr,
    /// Path at which it tells of itself.
    pub path: String,
}

impl SteeringCore {
    /// Servers that this host asks; none while the store tells which ones are cold.
    pub fn probe_targets(&self, now: MonoTime) -> Vec<ProbeTarget> {
        if !self.fleet.is_doubtful(now) {
            return Vec::new();
        }
        let Some(plan) = &self.plan else { return Vec::new() };
        let mut teams: HashMap<&RegionId, Option<ProbeGroup>> = HashMap::new();
        let mut targets = Vec::new();
        let asked =
            self.fleet.servers().filter(|it| !it.record.is_draining && now >= it.away_until);
        for record in asked.map(|it| &it.record) {
            let Some(rule) = plan.services.get(&record.service) else { continue };
            let Some(path) = rule.health_path.as_ref().filter(|_| !rule.warmup.is_zero()) else {
                continue;
            };
            let Some(region) = self.place.regions.get(&record.datacentre) else { continue };
            // Nothing is sent to an evacuated data centre, whose servers count as cold once it is taken back.
            if self.evacuated.contains(&record.datacentre) {
                continue;
            }
            let team = teams.entry(region).or_insert_with(|| {
                let hosts = self.fleet.hosts();
                ProbeGroup::new(&self.place.host, &self.place.region, region, hosts)
            });
            if team.as_ref().is_some_and(|it| it.asks(&record.id)) {
                let (server, address) = (record.id.clone(), record.address);
                let (started, path) = (record.started, path.clone());
                targets.push(ProbeTarget { server, started, address, path });
            }
        }
        targets
    }

    /// Takes which servers say that they are cold; returns what was not known.
    pub fn apply_cold_reports(&mut self, reports: &[ColdReport], now: MonoTime) -> Vec<ColdReport> {
        let latest = now.after(self.longest_warmup());
        let bounded = reports.iter().map(|it| {
            let cold_until = it.cold_until.min(latest);
            ColdReport { cold_until, ..*it }
        });
        let news = self.fleet.apply_cold_reports(&bounded.collect::<Vec<_>>());
        if !news.is_empty() {
            self.refresh(now);
        }
        news
    }

    /// The other hosts of this region.
    pub fn neighbours(&self) -> Vec<HostRecord> {
        let hosts = self.fleet.hosts();
        let others = hosts.filter(|it| it.region == self.place.region && it.id != self.place.host);
        others.cloned().collect()
    }

    /// Longest time for which a server of any service stays cold.
    pub(super) fn longest_warmup(&self) -> Duration {
        let warmups = self.plan.iter().flat_map(|it| it.services.values());
        warmups.map(|it| it.warmup).max().unwrap_or_default()
    }
}
