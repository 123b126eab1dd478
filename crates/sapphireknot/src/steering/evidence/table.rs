//! Latest evidence of each host and region, as a host stores it for others.
//!
//! Each entry carries the position at which it arrived, so that a host gets only what arrived after the last position
//! that it read.

use std::collections::BTreeMap;

use super::{HostEvidence, RegionEvidence, VersionCounts, larger_excess};
use crate::ids::{HostId, RegionId, ServiceId};

/// Position in the sequence of entries that a host received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct EvidencePosition(pub u64);

/// Latest counts of each host and region, in the order of arrival. Holds one entry for each service and host at most.
#[derive(Debug, Default)]
pub struct EvidenceTable {
    hosts: BTreeMap<(ServiceId, HostId), (HostEvidence, EvidencePosition)>,
    regions: BTreeMap<(ServiceId, RegionId), (RegionEvidence, EvidencePosition)>,
    position: EvidencePosition,
}

impl EvidenceTable {
    /// Adds the counts of a host unless later ones are known.
    pub fn add_host(&mut self, evidence: HostEvidence) {
        let recency = |it: &HostEvidence| (it.order, it.incarnation, it.counts.requests());
        let key = (evidence.service.clone(), evidence.host.clone());
        if self.hosts.get(&key).is_some_and(|(it, _)| recency(it) >= recency(&evidence)) {
            return;
        }
        self.position.0 += 1;
        self.hosts.insert(key, (evidence, self.position));
    }

    /// Replaces the counts of another region.
    pub fn add_region(&mut self, evidence: RegionEvidence) {
        let key = (evidence.service.clone(), evidence.region.clone());
        let is_known = |it: &RegionEvidence| {
            let is_same = it.sum == evidence.sum && it.outlier == evidence.outlier;
            it.order > evidence.order || (it.order == evidence.order && is_same)
        };
        if self.regions.get(&key).is_some_and(|(it, _)| is_known(it)) {
            return;
        }
        self.position.0 += 1;
        self.regions.insert(key, (evidence, self.position));
    }

    /// Counts of `host` that arrived after `position`.
    pub fn host_since(&self, host: &HostId, position: EvidencePosition) -> Vec<HostEvidence> {
        let entries = self.hosts.values().filter(|(it, at)| it.host == *host && *at > position);
        entries.map(|(it, _)| it.clone()).collect()
    }

    /// Sums of the own region by service, without the host `except`, that changed after `position`.
    pub fn own_region(
        &self,
        region: &RegionId,
        except: Option<&HostId>,
        position: EvidencePosition,
    ) -> Vec<RegionEvidence> {
        let mut sums: BTreeMap<&ServiceId, (RegionEvidence, EvidencePosition)> = BTreeMap::new();
        for ((service, host), (evidence, at)) in &self.hosts {
            if except == Some(host) {
                continue;
            }
            let first = || {
                let (service, region) = (service.clone(), region.clone());
                let (sum, outlier) = (VersionCounts::default(), VersionCounts::default());
                let (order, seen) = (evidence.order, evidence.seen);
                let first = RegionEvidence { service, order, region, seen, sum, outlier };
                (first, EvidencePosition::default())
            };
            let (sum, changed) = sums.entry(service).or_insert_with(first);
            if evidence.order < sum.order {
                continue;
            }
            if evidence.order > sum.order {
                (*sum, *changed) = first();
            }
            let has_none = sum.sum.requests() == 0;
            sum.outlier = if has_none {
                evidence.counts
            } else {
                larger_excess(sum.outlier, evidence.counts)
            };
            sum.sum = sum.sum + evidence.counts;
            sum.seen = sum.seen.min(evidence.seen);
            *changed = (*changed).max(*at);
        }
        let after = self.valid_position(position);
        sums.into_values().filter(|(_, at)| *at > after).map(|(it, _)| it).collect()
    }

    /// Counts of other regions that changed after `position`.
    pub fn other_regions(&self, position: EvidencePosition) -> Vec<RegionEvidence> {
        let after = self.valid_position(position);
        let entries = self.regions.values().filter(|(_, at)| *at > after);
        entries.map(|(it, _)| it.clone()).collect()
    }

    /// Position after the last entry.
    pub fn position(&self) -> EvidencePosition {
        self.position
    }

    /// Returns `position`, or the start if it is one of an earlier incarnation.
    fn valid_position(&self, position: EvidencePosition) -> EvidencePosition {
        if position > self.position { EvidencePosition::default() } else { position }
    }
}
