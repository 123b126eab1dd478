//! Conversion of rollout decisions, trips and evidence to and from gRPC messages.

use std::collections::BTreeMap;

use sapphireknot::{
    ids::{FencingToken, IncarnationId, ServiceId},
    rollout::{OutcomeCounts, RolloutVerdict, SampleKey, ShareMap, ShareNotice, TripNotice},
    units::TrafficShare,
};
use sapphireknot_wire::peer::{
    FetchEvidenceReply, Gossip, OutcomeCount, RolloutShares, RolloutVerdict as WireVerdict, Trip,
    VersionShare,
};

use super::fields::{ConvertError, parse_field};
use crate::rollout::{LocalEvidence, RolloutUpdates};

/// Rollout evidence of a peer.
#[derive(Debug, Clone)]
pub struct PeerCounts {
    /// Incarnation of the peer.
    pub incarnation: IncarnationId,
    /// Cumulative counts since the start of this incarnation.
    pub counts: BTreeMap<SampleKey, OutcomeCounts>,
    /// Whether the peer knows of a trip.
    pub is_tripped: bool,
}

/// Converts decisions and trips to their messages.
pub(crate) fn rollout_updates_to_wire(updates: &RolloutUpdates) -> (Vec<RolloutShares>, Vec<Trip>) {
    let shares = updates.notices.iter().map(|(service, it)| shares_to_wire(service, it)).collect();
    let trips = updates.trips.iter().map(|(service, it)| Trip {
        service: service.to_string(),
        plan: it.plan.to_string(),
        version: it.version.to_string(),
        host: it.host.to_string(),
        reason: it.reason.clone(),
    });
    (shares, trips.collect())
}

fn shares_to_wire(service: &ServiceId, notice: &ShareNotice) -> RolloutShares {
    let verdict = match notice.verdict {
        RolloutVerdict::Running => WireVerdict::Running,
        RolloutVerdict::Done => WireVerdict::Done,
        RolloutVerdict::Reverted => WireVerdict::Reverted,
    };
    let shares = notice
        .shares
        .iter()
        .map(|(version, share)| VersionShare { version: version.to_string(), share_ppm: share.0 });
    RolloutShares {
        service: service.to_string(),
        plan: notice.plan.to_string(),
        token: notice.token.0,
        step: notice.step,
        shares: shares.collect(),
        verdict: verdict.into(),
        reason: notice.reason.clone().unwrap_or_default(),
    }
}

/// Converts the decisions and trips in a gossip message. Invalid ones are skipped.
pub(super) fn rollout_updates_from_wire(gossip: &Gossip) -> RolloutUpdates {
    let mut updates = RolloutUpdates::default();
    for message in &gossip.rollouts {
        match shares_from_wire(message) {
            Ok(notice) => updates.notices.push(notice),
            Err(err) => log::debug!("invalid rollout decision in gossip: {err}"),
        }
    }
    for message in &gossip.trips {
        match trip_from_wire(message) {
            Ok(trip) => updates.trips.push(trip),
            Err(err) => log::debug!("invalid trip in gossip: {err}"),
        }
    }
    updates
}

fn shares_from_wire(message: &RolloutShares) -> Result<(ServiceId, ShareNotice), ConvertError> {
    let verdict = match WireVerdict::try_from(message.verdict) {
        Ok(WireVerdict::Running) => RolloutVerdict::Running,
        Ok(WireVerdict::Done) => RolloutVerdict::Done,
        Ok(WireVerdict::Reverted) => RolloutVerdict::Reverted,
        Err(err) => return Err(ConvertError { field: "verdict", reason: err.to_string() }),
    };
    let mut shares = ShareMap::new();
    for share in &message.shares {
        shares.insert(parse_field("version", &share.version)?, TrafficShare(share.share_ppm));
    }
    let sum: u64 = shares.values().map(|it| u64::from(it.0)).sum();
    if sum != u64::from(TrafficShare::WHOLE.0) {
        let reason = format!("{sum} parts per million in all");
        return Err(ConvertError { field: "shares", reason });
    }
    let notice = ShareNotice {
        plan: parse_field("plan", &message.plan)?,
        token: FencingToken(message.token),
        step: message.step,
        shares,
        verdict,
        reason: Some(message.reason.clone()).filter(|it| !it.is_empty()),
    };
    Ok((parse_field("service", &message.service)?, notice))
}

fn trip_from_wire(message: &Trip) -> Result<(ServiceId, TripNotice), ConvertError> {
    let trip = TripNotice {
        plan: parse_field("plan", &message.plan)?,
        version: parse_field("version", &message.version)?,
        host: parse_field("host", &message.host)?,
        reason: message.reason.clone(),
    };
    Ok((parse_field("service", &message.service)?, trip))
}

/// Builds the reply with the evidence of this host.
pub(crate) fn evidence_to_wire(
    incarnation: IncarnationId,
    evidence: &LocalEvidence,
) -> FetchEvidenceReply {
    let counts = evidence.counts.iter().map(|((version, route), counts)| OutcomeCount {
        version: version.to_string(),
        route: route.to_string(),
        succeeded: counts.succeeded,
        failed: counts.failed,
        slow: counts.slow,
    });
    FetchEvidenceReply {
        incarnation: incarnation.0,
        counts: counts.collect(),
        tripped: evidence.is_tripped,
    }
}

/// Converts a reply to the evidence of a peer.
pub(super) fn evidence_from_wire(reply: &FetchEvidenceReply) -> Result<PeerCounts, ConvertError> {
    let mut counts = BTreeMap::new();
    for count in &reply.counts {
        let key = (parse_field("version", &count.version)?, parse_field("route", &count.route)?);
        let OutcomeCount { succeeded, failed, slow, .. } = *count;
        counts.insert(key, OutcomeCounts { succeeded, failed, slow });
    }
    let incarnation = IncarnationId(reply.incarnation);
    Ok(PeerCounts { incarnation, counts, is_tripped: reply.tripped })
}
