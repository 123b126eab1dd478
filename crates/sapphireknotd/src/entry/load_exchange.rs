//! Exchange of load reports with the collector of the region, and of region totals between collectors.
//!
//! Each call sends the reports from this host's own responses and returns those of other hosts; evidence on new
//! versions is exchanged in the same way while a rollout runs. A collector that does not answer is skipped for a
//! moment; until then this host continues with its own reports.

use std::{collections::HashMap, iter::repeat, sync::Arc, time::Duration};

use sapphireknot::{
    ids::{HostId, ServiceId},
    steering::{
        core::SteeringCore,
        evidence::{EvidencePosition, EvidenceReport},
        fleet::HostRecord,
        loads::{LoadReport, RegionLoad, ReportPosition},
        server_state::ServerLoad,
    },
    time::MonoTime,
};
use sapphireknot_wire::entry::{self as wire, LoadReports, ShareLoadsReply, ShareLoadsRequest};
use tokio::time::{sleep, timeout};
use tonic::{Response, Status};

use super::{
    evidence_codec::{decode_evidence, encode_evidence},
    peer_channels::{FAR_CALL_TIMEOUT, PeerChannels},
    state::EntryState,
};

/// Interval of the exchange; half of the time after which the weight of a report falls to a third.
const INTERVAL: Duration = Duration::from_millis(400);
/// Interval while a rollout is about to be completed: evidence passes through three hosts, and a completed rollout
/// cannot be reverted.
const DECISION_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout for the collector of the own region, which may be a host with little processor time.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Positions in the evidence exchange with one collector.
#[derive(Debug, Clone, Copy, Default)]
struct EvidencePositions {
    /// Position up to which evidence was sent to the collector.
    sent: EvidencePosition,
    /// Position up to which evidence was received from the collector.
    received: EvidencePosition,
}

impl EvidencePositions {
    /// Sets the positions after a call that was answered.
    fn advance(&mut self, sent: EvidencePosition, received: EvidencePosition) {
        // A lower position comes from another incarnation, which has none of the evidence sent before.
        let sent = if received < self.received { EvidencePosition::default() } else { sent };
        *self = Self { sent, received };
    }
}

/// Exchanges load reports until the process ends.
pub async fn run(state: Arc<EntryState>) {
    let channels = PeerChannels::new("load reports");
    let mut current: Option<HostId> = None;
    let mut position = ReportPosition::default();
    let mut evidence_positions: HashMap<HostId, EvidencePositions> = HashMap::new();
    // Spreads the calls of hosts that start together.
    sleep(INTERVAL.mul_f64(rand::random())).await;
    loop {
        let is_deciding = state.core.lock().is_completion_near(state.clock.now());
        sleep(if is_deciding { DECISION_INTERVAL } else { INTERVAL }).await;
        let Some(collector) = state.core.lock().load_collector().cloned() else { continue };
        if current.as_ref() != Some(&collector.id) {
            log::info!(collector:% = collector.id; "collector of load reports");
            current = Some(collector.id.clone());
            position = ReportPosition::default();
        }
        if collector.id == state.record.id {
            state.relay.set_changes(None);
            let remote_collectors = state.core.lock().remote_collectors();
            for collector in remote_collectors {
                let positions = evidence_positions.entry(collector.id.clone()).or_default();
                exchange_regions(&state, &channels, &collector, positions).await;
            }
        } else {
            let positions = evidence_positions.entry(collector.id.clone()).or_default();
            match exchange(&state, &channels, &collector, position, positions).await {
                Some(next) => position = next,
                None => state.relay.set_changes(None),
            }
        }
    }
}

/// Exchanges reports with the collector and returns the position of its reply; `None` if there was no answer.
async fn exchange(
    state: &EntryState,
    channels: &PeerChannels,
    collector: &HostRecord,
    position: ReportPosition,
    positions: &mut EvidencePositions,
) -> Option<ReportPosition> {
    let now = state.clock.now();
    let mut client = channels.client(collector, now)?;
    let (reports, (evidence, sent)) = {
        let mut core = state.core.lock();
        let evidence = core.unsent_evidence(collector, positions.sent, state.record.incarnation);
        (core.unsent_loads(now), evidence)
    };
    let request = ShareLoadsRequest {
        reports: Some(encode_reports(&reports, now)),
        position: position.0,
        regions: Vec::new(),
        evidence: encode_evidence(&evidence, now),
        evidence_position: positions.received.0,
        host: state.record.id.to_string(),
        known_revision: state.copy.lock().known().0,
    };
    let reply = call(state, channels, collector, CALL_TIMEOUT, client.share_loads(request)).await?;
    let now = state.clock.now();
    let new_reports = decode_reports(&reply.reports.unwrap_or_default(), now);
    state.meters.count_load_reports(new_reports.len());
    let evidence = decode_evidence(&reply.evidence, now);
    positions.advance(sent, EvidencePosition(reply.evidence_position));
    state.relay.set_changes(reply.changes);
    let mut core = state.core.lock();
    core.apply_load_reports(&new_reports);
    core.apply_region_loads(decode_regions(&reply.regions, now));
    take_evidence(&mut core, evidence);
    Some(ReportPosition(reply.position))
}

/// Exchanges the totals of the own region for those of another region with its collector.
async fn exchange_regions(
    state: &EntryState,
    channels: &PeerChannels,
    collector: &HostRecord,
    positions: &mut EvidencePositions,
) {
    let now = state.clock.now();
    let Some(mut client) = channels.client(collector, now) else { return };
    let (regions, (evidence, sent)) = {
        let mut core = state.core.lock();
        let evidence = core.unsent_evidence(collector, positions.sent, state.record.incarnation);
        (encode_regions(&core.own_region_loads(now), now), evidence)
    };
    if regions.is_empty() && evidence.is_empty() {
        return;
    }
    let request = ShareLoadsRequest {
        regions,
        evidence: encode_evidence(&evidence, now),
        evidence_position: positions.received.0,
        ..ShareLoadsRequest::default()
    };
    let reply = client.share_loads(request);
    if let Some(reply) = call(state, channels, collector, FAR_CALL_TIMEOUT, reply).await {
        let started = now;
        let now = state.clock.now();
        let mut regions = decode_regions(&reply.regions, now);
        regions.iter_mut().for_each(|it| it.round_trip = Some(now.since(started)));
        positions.advance(sent, EvidencePosition(reply.evidence_position));
        let mut core = state.core.lock();
        core.apply_region_loads(regions);
        take_evidence(&mut core, decode_evidence(&reply.evidence, now));
    }
}

/// Adds the evidence of other hosts to the core; records that become due are written at the next tick.
pub fn take_evidence(core: &mut SteeringCore, reports: Vec<EvidenceReport>) {
    let defective: Vec<ServiceId> = core.apply_evidence(reports);
    for service in defective {
        let counts = core.known_evidence(&service);
        log::warn!(service:%, counts:? = counts; "evidence shows new version to be defective");
    }
}

async fn call<C>(
    state: &EntryState,
    channels: &PeerChannels,
    collector: &HostRecord,
    limit: Duration,
    reply: C,
) -> Option<ShareLoadsReply>
where
    C: Future<Output = Result<Response<ShareLoadsReply>, Status>>,
{
    let cause = match timeout(limit, reply).await {
        Ok(Ok(reply)) => {
            channels.record_success(collector);
            return Some(reply.into_inner());
        }
        Ok(Err(status)) => status.message().to_owned(),
        Err(_) => "no answer in time".to_owned(),
    };
    channels.record_failure(collector, &cause, state.clock.now());
    state.meters.count_exchange_failure();
    None
}

/// Encodes the totals of regions, with their ages at `now`.
pub fn encode_regions(loads: &[RegionLoad], now: MonoTime) -> Vec<wire::RegionLoad> {
    let permille = |part: f64| (part * 1_000.0) as u32;
    let encode = |it: &RegionLoad| wire::RegionLoad {
        service: it.service.to_string(),
        region: it.region.to_string(),
        utilisation_permille: permille(it.utilisation),
        home_permille: permille(it.home_share),
        age_ms: u32::try_from(now.since(it.at).as_millis()).unwrap_or(u32::MAX),
        round_trip_ms: it
            .round_trip
            .map_or(0, |it| u32::try_from(it.as_millis()).unwrap_or(u32::MAX).max(1)),
    };
    loads.iter().map(encode).collect()
}

/// Decodes the totals of a message that arrived at `now`, and skips those with an invalid name, because this host uses
/// no such service or region.
pub fn decode_regions(loads: &[wire::RegionLoad], now: MonoTime) -> Vec<RegionLoad> {
    let decode = |it: &wire::RegionLoad| {
        Some(RegionLoad {
            service: it.service.parse().ok()?,
            region: it.region.parse().ok()?,
            utilisation: f64::from(it.utilisation_permille) / 1_000.0,
            home_share: f64::from(it.home_permille) / 1_000.0,
            round_trip: (it.round_trip_ms > 0)
                .then(|| Duration::from_millis(it.round_trip_ms.into())),
            at: now.before(Duration::from_millis(it.age_ms.into())),
        })
    };
    loads.iter().filter_map(decode).collect()
}

/// Encodes load reports, with their ages at `now`.
pub fn encode_reports(reports: &[LoadReport], now: MonoTime) -> LoadReports {
    let age = |it: &LoadReport| u32::try_from(now.since(it.at).as_millis()).unwrap_or(u32::MAX);
    LoadReports {
        servers: reports.iter().map(|it| it.server).collect(),
        running: reports.iter().map(|it| it.load.map_or(0, |load| load.running)).collect(),
        waiting: reports.iter().map(|it| it.load.map_or(0, |load| load.waiting)).collect(),
        age_ms: reports.iter().map(age).collect(),
        unreached: reports.iter().map(|it| it.load.is_none()).collect(),
        failing_permille: reports.iter().map(|it| encode_rate(it.failure_rate)).collect(),
    }
}

fn encode_rate(rate: Option<f64>) -> u32 {
    rate.map_or(0, |it| (it.clamp(0.0, 1.0) * 1_000.0) as u32 + 1)
}

fn decode_rate(permille: u32) -> Option<f64> {
    permille.checked_sub(1).map(|it| f64::from(it) / 1_000.0)
}

/// Decodes the reports of a message that arrived at `now`; lists of unequal length are cut to the shortest one.
pub fn decode_reports(reports: &LoadReports, now: MonoTime) -> Vec<LoadReport> {
    let LoadReports { servers, running, waiting, age_ms, unreached, failing_permille } = reports;
    let loads = running.iter().zip(waiting).zip(unreached);
    // A host of an earlier release sends no failure rates.
    let rates = failing_permille.iter().copied().chain(repeat(0));
    let rows = servers.iter().zip(loads).zip(age_ms).zip(rates);
    rows.map(|(((server, ((running, waiting), is_unreached)), age), rate)| LoadReport {
        server: *server,
        load: (!is_unreached).then_some(ServerLoad { running: *running, waiting: *waiting }),
        failure_rate: decode_rate(rate),
        at: now.before(Duration::from_millis((*age).into())),
    })
    .collect()
}
