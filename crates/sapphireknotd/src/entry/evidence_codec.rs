//! Wire encoding of the evidence on new versions, with ages instead of points in time.

use std::time::Duration;

use sapphireknot::{
    ids::IncarnationId,
    steering::evidence::{
        EvidenceReport, HostEvidence, RegionEvidence, VersionCounts, VersionTally,
    },
    time::MonoTime,
};
use sapphireknot_wire::entry as wire;

/// Encodes the reports, with their ages at `now`.
pub fn encode_evidence(reports: &[EvidenceReport], now: MonoTime) -> Vec<wire::VersionEvidence> {
    let age = |seen: MonoTime| u32::try_from(now.since(seen).as_millis()).unwrap_or(u32::MAX);
    let encode = |report: &EvidenceReport| match report {
        EvidenceReport::Host(it) => wire::VersionEvidence {
            service: it.service.to_string(),
            order: it.order,
            host: it.host.to_string(),
            incarnation: it.incarnation.0,
            order_age_ms: age(it.seen),
            sum: Some(encode_counts(it.counts)),
            ..wire::VersionEvidence::default()
        },
        EvidenceReport::Region(it) => wire::VersionEvidence {
            service: it.service.to_string(),
            order: it.order,
            region: it.region.to_string(),
            order_age_ms: age(it.seen),
            sum: Some(encode_counts(it.sum)),
            most: Some(encode_counts(it.outlier)),
            ..wire::VersionEvidence::default()
        },
    };
    reports.iter().map(encode).collect()
}

/// Decodes the reports of a message that arrived at `now`, and skips those with an invalid name.
pub fn decode_evidence(reports: &[wire::VersionEvidence], now: MonoTime) -> Vec<EvidenceReport> {
    let decode = |it: &wire::VersionEvidence| {
        let (service, order) = (it.service.parse().ok()?, it.order);
        let sum = decode_counts(it.sum.as_ref()?)?;
        // A host of an earlier release sends no age; the field is then 0.
        let seen = now.before(Duration::from_millis(it.order_age_ms.into()));
        if !it.host.is_empty() {
            let (host, incarnation) = (it.host.parse().ok()?, IncarnationId(it.incarnation));
            let evidence = HostEvidence { service, order, host, incarnation, seen, counts: sum };
            return Some(EvidenceReport::Host(evidence));
        }
        let (region, most) = (it.region.parse().ok()?, decode_counts(it.most.as_ref()?)?);
        Some(EvidenceReport::Region(RegionEvidence {
            service,
            order,
            region,
            seen,
            sum,
            outlier: most,
        }))
    };
    reports.iter().filter_map(decode).collect()
}

fn encode_counts(counts: VersionCounts) -> wire::VersionCounts {
    let VersionTally { requests, failures, slow } = counts.old;
    let old = wire::VersionTally { requests, failures, slow };
    let VersionTally { requests, failures, slow } = counts.new;
    let new = wire::VersionTally { requests, failures, slow };
    let explained_milli = (counts.explained * 1_000.0) as u64;
    wire::VersionCounts { old: Some(old), new: Some(new), explained_milli }
}

fn decode_counts(counts: &wire::VersionCounts) -> Option<VersionCounts> {
    let wire::VersionTally { requests, failures, slow } = *counts.old.as_ref()?;
    let old = VersionTally { requests, failures, slow };
    let wire::VersionTally { requests, failures, slow } = *counts.new.as_ref()?;
    let new = VersionTally { requests, failures, slow };
    Some(VersionCounts { old, new, explained: counts.explained_milli as f64 / 1_000.0 })
}
