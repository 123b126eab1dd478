//! Exchange of evidence on new versions with the host that collects it for the region, and between these hosts.

use super::SteeringCore;
use crate::{
    ids::{HostId, IncarnationId, ServiceId},
    steering::{
        evidence::{EvidencePosition, EvidenceReport, HostEvidence, VersionCounts},
        fleet::HostRecord,
    },
};

impl SteeringCore {
    /// What a collector is to be told that does not know what came after `position`, with the position after it.
    ///
    /// The collector of the own region gets the counts of this host, that of another one the sum of this region.
    pub fn unsent_evidence(
        &mut self,
        collector: &HostRecord,
        position: EvidencePosition,
        incarnation: IncarnationId,
    ) -> (Vec<EvidenceReport>, EvidencePosition) {
        self.post_own(incarnation);
        let own = &self.place;
        let reports = if collector.region == own.region {
            let counts = self.evidence.host_since(&own.host, position);
            counts.into_iter().map(EvidenceReport::Host).collect()
        } else {
            let sums = self.evidence.own_region(&own.region, None, position);
            sums.into_iter().map(EvidenceReport::Region).collect()
        };
        (reports, self.evidence.position())
    }

    /// What a host that calls this collector is to be told that does not know what came after `position`.
    ///
    /// `host` is the caller if it is one of the own region; its own counts are left out of the sum.
    pub fn evidence_for(
        &mut self,
        host: Option<&HostId>,
        position: EvidencePosition,
        incarnation: IncarnationId,
    ) -> (Vec<EvidenceReport>, EvidencePosition) {
        self.post_own(incarnation);
        let mut sums = self.evidence.own_region(&self.place.region, host, position);
        if host.is_some() {
            sums.extend(self.evidence.other_regions(position));
        }
        (sums.into_iter().map(EvidenceReport::Region).collect(), self.evidence.position())
    }

    /// Takes what other hosts told; returns the services whose new version looks bad since then.
    pub fn apply_evidence(&mut self, reports: Vec<EvidenceReport>) -> Vec<ServiceId> {
        let mut told = Vec::new();
        let mut has_hosts = false;
        for report in reports {
            match report {
                EvidenceReport::Host(evidence) if evidence.host != self.place.host => {
                    self.evidence.add_host(evidence);
                    has_hosts = true;
                }
                EvidenceReport::Host(_) => {}
                EvidenceReport::Region(evidence) => {
                    // The sum of the own region comes from its collector and is not passed on.
                    if evidence.region != self.place.region {
                        self.evidence.add_region(evidence.clone());
                    }
                    told.push(evidence);
                }
            }
        }
        if has_hosts {
            let (region, start) = (&self.place.region, EvidencePosition::default());
            told.extend(self.evidence.own_region(region, Some(&self.place.host), start));
        }
        let mut bad = Vec::new();
        for evidence in told {
            let service = evidence.service.clone();
            if self.versions.apply_evidence(evidence) {
                bad.push(service);
            }
        }
        bad
    }

    /// Outcomes of the versions of a service by which a rollout was judged, for reports.
    pub fn known_evidence(&self, service: &ServiceId) -> Option<VersionCounts> {
        self.versions.known_evidence(service)
    }

    fn post_own(&mut self, incarnation: IncarnationId) {
        for (order, seen, counts) in self.versions.own_evidence() {
            let (service, host) = (order.service.clone(), self.place.host.clone());
            let order = order.revision;
            let evidence = HostEvidence { service, order, host, incarnation, seen, counts };
            self.evidence.add_host(evidence);
        }
    }
}
