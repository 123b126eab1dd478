//! Exchange of rollout evidence with the collector of the region, and between collectors.

use super::SteeringCore;
use crate::{
    ids::{HostId, IncarnationId, ServiceId},
    steering::{
        evidence::{EvidencePosition, EvidenceReport, HostEvidence, VersionCounts},
        fleet::HostRecord,
    },
};

impl SteeringCore {
    /// Returns the evidence that a collector lacks after `position`, with the position that follows it.
    ///
    /// The collector of the own region gets the counts of this host, a collector of another region the sum of this
    /// region.
    pub fn unsent_evidence(
        &mut self,
        collector: &HostRecord,
        position: EvidencePosition,
        incarnation: IncarnationId,
    ) -> (Vec<EvidenceReport>, EvidencePosition) {
        self.record_own_evidence(incarnation);
        let own = &self.location;
        let reports = if collector.region == own.region {
            let counts = self.evidence.host_since(&own.host, position);
            counts.into_iter().map(EvidenceReport::Host).collect()
        } else {
            let sums = self.evidence.own_region(&own.region, None, position);
            sums.into_iter().map(EvidenceReport::Region).collect()
        };
        (reports, self.evidence.position())
    }

    /// Returns the evidence that a host lacks after `position` when it calls this collector.
    ///
    /// `host` is the caller if it belongs to the own region; its own counts are left out of the sum.
    pub fn evidence_for(
        &mut self,
        host: Option<&HostId>,
        position: EvidencePosition,
        incarnation: IncarnationId,
    ) -> (Vec<EvidenceReport>, EvidencePosition) {
        self.record_own_evidence(incarnation);
        let mut sums = self.evidence.own_region(&self.location.region, host, position);
        if host.is_some() {
            sums.extend(self.evidence.other_regions(position));
        }
        (sums.into_iter().map(EvidenceReport::Region).collect(), self.evidence.position())
    }

    /// Applies evidence of other hosts; returns the services whose new version looks bad because of it.
    pub fn apply_evidence(&mut self, reports: Vec<EvidenceReport>) -> Vec<ServiceId> {
        let mut updates = Vec::new();
        let mut has_hosts = false;
        for report in reports {
            match report {
                EvidenceReport::Host(evidence) if evidence.host != self.location.host => {
                    self.evidence.add_host(evidence);
                    has_hosts = true;
                }
                EvidenceReport::Host(_) => {}
                EvidenceReport::Region(evidence) => {
                    // The sum of the own region comes from its collector and is not forwarded.
                    if evidence.region != self.location.region {
                        self.evidence.add_region(evidence.clone());
                    }
                    updates.push(evidence);
                }
            }
        }
        if has_hosts {
            let (region, start) = (&self.location.region, EvidencePosition::default());
            updates.extend(self.evidence.own_region(region, Some(&self.location.host), start));
        }
        let mut bad = Vec::new();
        for evidence in updates {
            let service = evidence.service.clone();
            if self.versions.apply_evidence(evidence) {
                bad.push(service);
            }
        }
        bad
    }

    /// Outcomes by which the rollout of a service was evaluated, for reports.
    pub fn known_evidence(&self, service: &ServiceId) -> Option<VersionCounts> {
        self.versions.known_evidence(service)
    }

    fn record_own_evidence(&mut self, incarnation: IncarnationId) {
        for (order, seen, counts) in self.versions.own_evidence() {
            let (service, host) = (order.service.clone(), self.location.host.clone());
            let order = order.revision;
            let evidence = HostEvidence { service, order, host, incarnation, seen, counts };
            self.evidence.add_host(evidence);
        }
    }
}
