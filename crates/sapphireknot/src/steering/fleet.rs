//! Registered backend servers and hosts.
//!
//! The table holds what the store says. A registration that ends while the store is out of reach, or just after, says
//! nothing of the server: it is kept until servers had time to register again. [`FleetTable`] returns the servers that
//! may be used.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use super::{cold::ColdReport, notices::ServerNotices, server_state::server_hash};
use crate::{
    ids::{DatacentreId, HostId, IncarnationId, RegionId, ServerId, ServiceId, VersionId},
    time::MonoTime,
    units::SlotCount,
};

/// Time after the store was first read again within which a server that lives has registered again. Servers take about two
/// seconds from the return of the store, which this host notices a little later.
const REGISTER_AGAIN: Duration = Duration::from_millis(1_900);
/// Time for which a host that left the list still counts in the division of shares; it may be cut off and serve on.
const HOST_RETENTION: Duration = Duration::from_secs(60);

/// Difference between two reports of a server's cold time up to which they say the same.
const COLD_SLACK: Duration = Duration::from_millis(300);

/// Registration of a backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerRecord {
    /// Identifier.
    pub id: ServerId,
    /// Service.
    pub service: ServiceId,
    /// Address.
    pub address: SocketAddr,
    /// Data centre.
    pub datacentre: DatacentreId,
    /// Version of its software.
    pub version: VersionId,
    /// Requests that it runs at the same time.
    pub slots: SlotCount,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// Time for which it stays cold, counted from the registration.
    pub warmup_left: Duration,
    /// Start of the server as it says itself, in milliseconds; differs after a restart under the same identifier.
    pub started: u64,
}

/// What a machine can carry, in thousandths of a core with 400 Mbit/s; zero for a host that does not tell.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HostCapacity(pub u32);

impl HostCapacity {
    /// Link that goes with a whole core, in Mbit/s.
    const LINK_MBPS: f64 = 400.0;

    /// Capacity of a machine with `cores` and a link of `link_mbps`, whichever is the narrower.
    pub fn new(cores: f64, link_mbps: f64) -> Self {
        Self((cores.min(link_mbps / Self::LINK_MBPS) * 1_000.0) as u32)
    }
}

/// Entry host as it registers itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostRecord {
    /// Identifier.
    pub id: HostId,
    /// Run of its process.
    pub incarnation: IncarnationId,
    /// Region.
    pub region: RegionId,
    /// Data centre.
    pub datacentre: DatacentreId,
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for other hosts.
    pub peer_address: SocketAddr,
    /// Capacity of its machine.
    pub capacity: HostCapacity,
}

/// Backend server that is registered.
#[derive(Debug, Clone)]
pub struct FleetServer {
    /// Latest registration.
    pub record: ServerRecord,
    /// Until when it is cold.
    pub cold_until: MonoTime,
    /// Until when it is cold as it told itself rather than the store.
    told_until: MonoTime,
    /// Until when it wants no requests of this host.
    pub away_until: MonoTime,
    /// When it is removed unless it registers again.
    missing_until: Option<MonoTime>,
}

/// Backend servers and hosts that are registered.
#[derive(Debug, Default)]
pub struct FleetTable {
    servers: HashMap<ServerId, FleetServer>,
    hosts: HashMap<HostId, HostRecord>,
    /// Hosts with the time until which they count in the division of shares.
    counted: HashMap<HostId, (RegionId, MonoTime)>,
    /// Until when an ended registration does not yet mean that the server is gone.
    doubtful_until: MonoTime,
    notices: ServerNotices,
}

impl FleetTable {
    /// Notes that the store could not be read until `now`.
    pub fn record_outage(&mut self, now: MonoTime) {
        self.doubtful_until = self.doubtful_until.max(now.after(REGISTER_AGAIN));
    }

    /// Takes a registration.
    pub fn register(&mut self, record: ServerRecord, now: MonoTime) {
        let mut record = record;
        record.is_draining |= self.notices.is_leaving(&record.id, record.started);
        let away_until = self.notices.away_until(&record.id, record.started);
        let cold_until = now.after(record.warmup_left);
        let known = self.servers.get(&record.id);
        let is_restart = known.is_some_and(|it| it.record.started != record.started);
        let cold_until = match known {
            // A later registration may say less than what is left; a restart always counts anew.
            Some(known) if !is_restart && record.warmup_left.is_zero() => known.cold_until.min(now),
            _ => cold_until,
        };
        // The store may still have the registration from before the server told that it is cold.
        let told_until = known.filter(|_| !is_restart).map(|it| it.told_until).unwrap_or_default();
        let cold_until = cold_until.max(told_until);
        let server =
            FleetServer { cold_until, told_until, away_until, missing_until: None, record };
        self.servers.insert(server.record.id.clone(), server);
    }

    /// Notes that a server told that it leaves; says whether that is new.
    pub fn record_leaving(&mut self, id: &ServerId, started: u64, now: MonoTime) -> bool {
        let is_news = self.notices.add_leaving(id, started, now);
        let known = self.servers.get_mut(id);
        if let Some(known) = known.filter(|it| it.record.started == started) {
            known.record.is_draining = true;
        }
        is_news
    }

    /// Notes that a server told that it wants no requests until `until`; returns the latest such time, unless the server
    /// has started again.
    pub fn record_backoff(
        &mut self,
        record: &ServerRecord,
        until: MonoTime,
        now: MonoTime,
    ) -> Option<MonoTime> {
        let until = self.notices.add_away(&record.id, record.started, until, now)?;
        let known = self.servers.get_mut(&record.id);
        let known = known.filter(|it| it.record.started == record.started)?;
        known.away_until = until;
        Some(until)
    }

    /// Ends a registration.
    pub fn unregister(&mut self, id: &ServerId, now: MonoTime) {
        if now >= self.doubtful_until {
            self.servers.remove(id);
        } else if let Some(server) = self.servers.get_mut(id) {
            server.missing_until.get_or_insert(self.doubtful_until);
        }
    }

    /// Replaces all registrations by those of a complete read.
    pub fn replace_servers(&mut self, records: Vec<ServerRecord>, now: MonoTime) {
        let ids: Vec<ServerId> = self.servers.keys().cloned().collect();
        for id in ids {
            if !records.iter().any(|it| it.id == id) {
                self.unregister(&id, now);
            }
        }
        for record in records {
            self.register(record, now);
        }
    }

    /// Treats the servers of a data centre as cold until `until`.
    pub fn cool_down(&mut self, datacentre: &DatacentreId, until: MonoTime) {
        for server in self.servers.values_mut() {
            if server.record.datacentre == *datacentre {
                server.cold_until = server.cold_until.max(until);
            }
        }
    }

    /// Takes what servers told of themselves; returns what was not known.
    ///
    /// A server's word makes it cold and never warm, as it may be older than a restart that the store told.
    pub fn apply_cold_reports(&mut self, reports: &[ColdReport]) -> Vec<ColdReport> {
        let until: HashMap<u64, MonoTime> =
            reports.iter().map(|it| (it.server, it.cold_until)).collect();
        let mut news = Vec::new();
        for server in self.servers.values_mut() {
            let hash = server_hash(&server.record.id);
            let Some(&cold_until) = until.get(&hash) else { continue };
            if cold_until > server.cold_until.after(COLD_SLACK) {
                (server.cold_until, server.told_until) = (cold_until, cold_until);
                news.push(ColdReport { server: hash, cold_until });
            }
        }
        news
    }

    /// Whether the store could not be read until a moment ago, so that registrations may be out of date.
    pub fn is_doubtful(&self, now: MonoTime) -> bool {
        now < self.doubtful_until
    }

    /// Removes servers that did not register again in time and hosts that no longer count.
    pub fn expire(&mut self, now: MonoTime) {
        self.servers.retain(|_, it| it.missing_until.is_none_or(|until| now < until));
        self.counted.retain(|_, (_, until)| now < *until);
        self.notices.expire(now);
    }

    /// When [`Self::expire`] is due.
    pub fn next_expiry(&self) -> Option<MonoTime> {
        self.servers.values().filter_map(|it| it.missing_until).min()
    }

    /// Takes the registration of a host.
    pub fn add_host(&mut self, record: HostRecord, now: MonoTime) {
        let counted = (record.region.clone(), now.after(HOST_RETENTION));
        self.counted.insert(record.id.clone(), counted);
        self.hosts.insert(record.id.clone(), record);
    }

    /// Ends the registration of a host.
    pub fn remove_host(&mut self, id: &HostId, now: MonoTime) {
        if let Some(record) = self.hosts.remove(id) {
            self.counted.insert(record.id, (record.region, now.after(HOST_RETENTION)));
        }
    }

    /// Replaces all registered hosts.
    pub fn replace_hosts(&mut self, records: Vec<HostRecord>, now: MonoTime) {
        let ids: Vec<HostId> = self.hosts.keys().cloned().collect();
        for id in ids {
            self.remove_host(&id, now);
        }
        for record in records {
            self.add_host(record, now);
        }
    }

    /// Registered hosts.
    pub fn hosts(&self) -> impl Iterator<Item = &HostRecord> + Clone {
        self.hosts.values()
    }

    /// Registered servers, those that drain included.
    pub fn servers(&self) -> impl Iterator<Item = &FleetServer> + Clone {
        self.servers.values()
    }

    /// Regions of the hosts among which shares are divided, with their number of hosts.
    pub fn host_counts(&self, now: MonoTime) -> HashMap<RegionId, u32> {
        let mut counts = HashMap::new();
        let registered = self.hosts.values().map(|it| &it.region);
        let left = self
            .counted
            .iter()
            .filter(|(id, (_, until))| !self.hosts.contains_key(*id) && now < *until);
        for region in registered.chain(left.map(|(_, (region, _))| region)) {
            *counts.entry(region.clone()).or_default() += 1;
        }
        counts
    }
}
