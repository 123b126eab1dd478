//! Registered backend servers and hosts.
//!
//! The table holds the registrations that the store reports. A registration that ends while the store is unavailable,
//! or shortly after, does not mean that the server is gone: it is kept until servers had time to register again.
//! [`FleetTable`] returns the servers that may be used.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use super::{cold::ColdReport, notices::ServerNotices, server_state::server_hash};
use crate::{
    ids::{DatacentreId, HostId, IncarnationId, RegionId, ServerId, ServiceId, VersionId},
    time::MonoTime,
    units::SlotCount,
};

/// Time after the store became readable within which live servers have registered again. Servers take about two seconds
/// from the return of the store, which this host notices a little later.
const REREGISTRATION_TIME: Duration = Duration::from_millis(1_900);
/// Time for which a host that is no longer registered still counts in the division of shares; it may be cut off and
/// still serve requests.
const HOST_RETENTION: Duration = Duration::from_secs(60);
/// Pause before the store is asked again to remove the record of a lapsed share holder.
const REMOVAL_RETRY: Duration = Duration::from_secs(5);

/// Difference between the cold periods of two reports up to which they are considered equal.
const COLD_TOLERANCE: Duration = Duration::from_millis(300);

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
    /// Number of requests that it runs concurrently.
    pub slots: SlotCount,
    /// Whether it is draining.
    pub is_draining: bool,
    /// Remaining warm-up time, counted from the registration.
    pub warmup_left: Duration,
    /// Start time that the server reports, in milliseconds; differs after a restart under the same identifier.
    pub started: u64,
}

/// Capacity of a machine, in thousandths of a core with 400 Mbit/s; zero for a host that does not report it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HostCapacity(pub u32);

impl HostCapacity {
    /// Link bandwidth that corresponds to one core, in Mbit/s.
    const LINK_MBPS: f64 = 400.0;

    /// Capacity of a machine with `cores` and a link of `link_mbps`, whichever is the bottleneck.
    pub fn new(cores: f64, link_mbps: f64) -> Self {
        Self((cores.min(link_mbps / Self::LINK_MBPS) * 1_000.0) as u32)
    }
}

/// Registration of an entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostRecord {
    /// Identifier.
    pub id: HostId,
    /// Incarnation of its process.
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

/// Record of a host that may use a share of the global limits.
///
/// It outlives the host's registration, so that a host that starts knows of those that the store turns away.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderRecord {
    /// Identifier of the host.
    pub id: HostId,
    /// Region of the host.
    pub region: RegionId,
}

/// Host that counts in the division of shares.
#[derive(Debug, Clone)]
struct ShareHolder {
    region: RegionId,
    /// Revision of its record in the store, if there is one.
    stored: Option<u64>,
    /// End of the time for which it counts after its registration.
    until: MonoTime,
}

/// Registered backend server.
#[derive(Debug, Clone)]
pub struct FleetServer {
    /// Latest registration.
    pub record: ServerRecord,
    /// Until when it is cold.
    pub cold_until: MonoTime,
    /// End of the cold period that the server itself reported, rather than the store.
    reported_cold_until: MonoTime,
    /// End of the backoff that it asked for.
    pub backoff_until: MonoTime,
    /// Time at which it is removed unless it registers again.
    removed_at: Option<MonoTime>,
}

/// Table of registered backend servers and hosts.
#[derive(Debug, Default)]
pub struct FleetTable {
    servers: HashMap<ServerId, FleetServer>,
    hosts: HashMap<HostId, HostRecord>,
    /// Hosts that count in the division of shares.
    share_holders: HashMap<HostId, ShareHolder>,
    /// Time until which an ended registration does not mean that the server is gone.
    stale_until: MonoTime,
    notices: ServerNotices,
}

impl ShareHolder {
    /// Whether it counts although the host is not registered.
    fn counts(&self, now: MonoTime) -> bool {
        self.stored.is_some() || now < self.until
    }
}

impl FleetTable {
    /// Records that the store could not be read until `now`.
    pub fn record_outage(&mut self, now: MonoTime) {
        self.stale_until = self.stale_until.max(now.after(REREGISTRATION_TIME));
    }

    /// Adds or updates a registration.
    pub fn register(&mut self, record: ServerRecord, now: MonoTime) {
        let mut record = record;
        record.is_draining |= self.notices.is_leaving(&record.id, record.started);
        let backoff_until = self.notices.backoff_until(&record.id, record.started);
        let cold_until = now.after(record.warmup_left);
        let known = self.servers.get(&record.id);
        let is_restart = known.is_some_and(|it| it.record.started != record.started);
        let cold_until = match known {
            // A later registration may state less than the remaining time; a restart always starts a new cold period.
            Some(known) if !is_restart && record.warmup_left.is_zero() => known.cold_until.min(now),
            _ => cold_until,
        };
        // The store may still hold the registration from before the server reported that it is cold.
        let reported_cold_until =
            known.filter(|_| !is_restart).map(|it| it.reported_cold_until).unwrap_or_default();
        let cold_until = cold_until.max(reported_cold_until);
        let server = FleetServer {
            cold_until,
            reported_cold_until,
            backoff_until,
            removed_at: None,
            record,
        };
        self.servers.insert(server.record.id.clone(), server);
    }

    /// Records that a server announced that it is leaving; returns whether that is new.
    pub fn record_leaving(&mut self, id: &ServerId, started: u64, now: MonoTime) -> bool {
        let is_new = self.notices.add_leaving(id, started, now);
        let known = self.servers.get_mut(id);
        if let Some(known) = known.filter(|it| it.record.started == started) {
            known.record.is_draining = true;
        }
        is_new
    }

    /// Records that a server asked for no requests until `until`; returns the end of its backoff, unless the server has
    /// been restarted.
    pub fn record_backoff(
        &mut self,
        record: &ServerRecord,
        until: MonoTime,
        now: MonoTime,
    ) -> Option<MonoTime> {
        let until = self.notices.add_backoff(&record.id, record.started, until, now)?;
        let known = self.servers.get_mut(&record.id);
        let known = known.filter(|it| it.record.started == record.started)?;
        known.backoff_until = until;
        Some(until)
    }

    /// Ends a registration; while registrations may be stale, the server is kept for a while.
    pub fn unregister(&mut self, id: &ServerId, now: MonoTime) {
        if now >= self.stale_until {
            self.servers.remove(id);
        } else if let Some(server) = self.servers.get_mut(id) {
            server.removed_at.get_or_insert(self.stale_until);
        }
    }

    /// Replaces all registrations of servers by those of a complete read.
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

    /// Applies reports of cold servers; returns those that were not known.
    ///
    /// A report can only make a server cold and never warm, as it may be older than a restart that the store reported.
    pub fn apply_cold_reports(&mut self, reports: &[ColdReport]) -> Vec<ColdReport> {
        let until: HashMap<u64, MonoTime> =
            reports.iter().map(|it| (it.server, it.cold_until)).collect();
        let mut new_reports = Vec::new();
        for server in self.servers.values_mut() {
            let hash = server_hash(&server.record.id);
            let Some(&cold_until) = until.get(&hash) else { continue };
            if cold_until > server.cold_until.after(COLD_TOLERANCE) {
                (server.cold_until, server.reported_cold_until) = (cold_until, cold_until);
                new_reports.push(ColdReport { server: hash, cold_until });
            }
        }
        new_reports
    }

    /// Whether the store was unreadable until recently, so that registrations may be stale.
    pub fn is_stale(&self, now: MonoTime) -> bool {
        now < self.stale_until
    }

    /// Removes servers that did not register again in time, and hosts that no longer count in the division of shares.
    pub fn expire(&mut self, now: MonoTime) {
        self.servers.retain(|_, it| it.removed_at.is_none_or(|until| now < until));
        self.share_holders.retain(|_, it| it.counts(now));
        self.notices.expire(now);
    }

    /// When [`Self::expire`] is due.
    pub fn next_expiry(&self) -> Option<MonoTime> {
        self.servers.values().filter_map(|it| it.removed_at).min()
    }

    /// Adds or updates the registration of a host.
    pub fn add_host(&mut self, record: HostRecord, now: MonoTime) {
        self.retain_holder(&record.id, &record.region, now);
        self.hosts.insert(record.id.clone(), record);
    }

    /// Ends the registration of a host.
    pub fn remove_host(&mut self, id: &HostId, now: MonoTime) {
        if let Some(record) = self.hosts.remove(id) {
            self.retain_holder(&record.id, &record.region, now);
        }
    }

    /// Counts a host in the division of shares for [`HOST_RETENTION`], or for as long as its record is stored.
    fn retain_holder(&mut self, id: &HostId, region: &RegionId, now: MonoTime) {
        let stored = self.share_holders.get(id).and_then(|it| it.stored);
        let until = now.after(HOST_RETENTION);
        let holder = ShareHolder { region: region.clone(), stored, until };
        self.share_holders.insert(id.clone(), holder);
    }

    /// Adds or updates the record of a share holder, at the given revision of the store.
    pub fn add_holder(&mut self, record: HolderRecord, revision: u64, now: MonoTime) {
        let until = now.after(HOST_RETENTION);
        let holder = ShareHolder { region: record.region, stored: Some(revision), until };
        self.share_holders.insert(record.id, holder);
    }

    /// Ends the record of a share holder. A host that still counted it has removed it long after its registration ended.
    pub fn remove_holder(&mut self, id: &HostId) {
        self.share_holders.remove(id);
    }

    /// Replaces all records of share holders.
    pub fn replace_holders(&mut self, records: Vec<(HolderRecord, u64)>, now: MonoTime) {
        self.share_holders.retain(|_, it| it.stored.is_none());
        for (record, revision) in records {
            self.add_holder(record, revision, now);
        }
    }

    /// Whether a host counts in the division of shares.
    pub fn is_holder(&self, id: &HostId, now: MonoTime) -> bool {
        let holder = self.share_holders.get(id);
        self.hosts.contains_key(id) || holder.is_some_and(|it| it.counts(now))
    }

    /// Returns the records of share holders that are to be removed, with their revisions: those of hosts that have not
    /// been registered for a minute. A record that is still there is returned again after a pause.
    pub fn take_lapsed_holders(&mut self, now: MonoTime) -> Vec<(HostId, u64)> {
        let mut lapsed = Vec::new();
        for (id, holder) in &mut self.share_holders {
            let Some(revision) = holder.stored.filter(|_| now >= holder.until) else { continue };
            if !self.hosts.contains_key(id) {
                holder.until = now.after(REMOVAL_RETRY);
                lapsed.push((id.clone(), revision));
            }
        }
        lapsed
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

    /// Registered servers, including draining ones.
    pub fn servers(&self) -> impl Iterator<Item = &FleetServer> + Clone {
        self.servers.values()
    }

    /// Number of hosts by region among which shares are divided.
    pub fn host_counts(&self, now: MonoTime) -> HashMap<RegionId, u32> {
        let mut counts = HashMap::new();
        let registered = self.hosts.values().map(|it| &it.region);
        let left = self
            .share_holders
            .iter()
            .filter(|(id, holder)| !self.hosts.contains_key(*id) && holder.counts(now));
        for region in registered.chain(left.map(|(_, holder)| &holder.region)) {
            *counts.entry(region.clone()).or_default() += 1;
        }
        counts
    }
}
