//! Exchange of load reports with the collector of the region, and of sums between collectors.
//!
//! Each call brings the reports of this host's own responses and returns those of other hosts; the same holds for the
//! evidence on new versions while a rollout runs. A collector that does not answer is left out for a moment; until then
//! this host goes on with its own reports.

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

/// Interval of the exchange; half of the time after which a report counts for a third.
const INTERVAL: Duration = Duration::from_millis(400);
/// Interval while a rollout is about to be completed: evidence passes three hosts, and a completed rollout cannot be taken
/// back.
const DECISION_INTERVAL: Duration = Duration::from_millis(100);
/// Time in which the collector of the own region answers; it may be a host with little processor time.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Evidence that was exchanged with one collector.
#[derive(Debug, Clone, Copy, Default)]
struct EvidenceLink {
    /// Position up to which the collector was told.
    told: EvidencePosition,
    /// Position up to which the collector told.
    heard: EvidencePosition,
}

impl EvidenceLink {
    /// Takes the positions of a call that was answered.
    fn advance(&mut self, told: EvidencePosition, heard: EvidencePosition) {
        // A position that falls is one of another incarnation, which knows nothing of what was told.
        let told = if heard < self.heard { EvidencePosition::default() } else { told };
        *self = Self { told, heard };
    }
}

/// Exchanges load reports until the process ends.
pub async fn run(state: Arc<EntryState>) {
    let channels = PeerChannels::new("load reports");
    let mut chosen: Option<HostId> = None;
    let mut position = ReportPosition::default();
    let mut links: HashMap<HostId, EvidenceLink> = HashMap::new();
    // Hosts that start together do not call together.
    sleep(INTERVAL.mul_f64(rand::random())).await;
    loop {
        let is_deciding = state.core.lock().is_completion_near(state.clock.now());
        sleep(if is_deciding { DECISION_INTERVAL } else { INTERVAL }).await;
        let Some(collector) = state.core.lock().load_collector().cloned() else { continue };
        if chosen.as_ref() != Some(&collector.id) {
            log::info!(collector:% = collector.id; "collector of load reports");
            chosen = Some(collector.id.clone());
            position = ReportPosition::default();
        }
        if collector.id == state.record.id {
            state.relay.take(None);
            let others = state.core.lock().remote_collectors();
            for collector in others {
                let link = links.entry(collector.id.clone()).or_default();
                exchange_regions(&state, &channels, &collector, link).await;
            }
        } else {
            let link = links.entry(collector.id.clone()).or_default();
            match exchange(&state, &channels, &collector, position, link).await {
                Some(next) => position = next,
                None => state.relay.take(None),
            }
        }
    }
}

/// Position of the collector's reply; `None` if there was no answer.
async fn exchange(
    state: &EntryState,
    channels: &PeerChannels,
    collector: &HostRecord,
    position: ReportPosition,
    link: &mut EvidenceLink,
) -> Option<ReportPosition> {
    let now = state.clock.now();
    let mut client = channels.client(collector, now)?;
    let (reports, (evidence, told)) = {
        let mut core = state.core.lock();
        let evidence = core.unsent_evidence(collector, link.told, state.record.incarnation);
        (core.unsent_loads(now), evidence)
    };
    let request = ShareLoadsRequest {
        reports: Some(encode_reports(&reports, now)),
        position: position.0,
        regions: Vec::new(),
        evidence: encode_evidence(&evidence, now),
        evidence_position: link.heard.0,
        host: state.record.id.to_string(),
        known_revision: state.copy.lock().known().0,
    };
    let reply = call(state, channels, collector, CALL_TIMEOUT, client.share_loads(request)).await?;
    let now = state.clock.now();
    let news = decode_reports(&reply.reports.unwrap_or_default(), now);
    state.meters.count_load_reports(news.len());
    let evidence = decode_evidence(&reply.evidence, now);
    link.advance(told, EvidencePosition(reply.evidence_position));
    state.relay.take(reply.changes);
    let mut core = state.core.lock();
    core.apply_load_reports(&news);
    core.apply_region_loads(decode_regions(&reply.regions, now));
    take_evidence(&mut core, evidence);
    Some(ReportPosition(reply.position))
}

/// Tells the collector of another region of the own region, and asks for the other one.
async fn exchange_regions(
    state: &EntryState,
    channels: &PeerChannels,
    collector: &HostRecord,
    link: &mut EvidenceLink,
) {
    let now = state.clock.now();
    let Some(mut client) = channels.client(collector, now) else { return };
    let (regions, (evidence, told)) = {
        let mut core = state.core.lock();
        let evidence = core.unsent_evidence(collector, link.told, state.record.incarnation);
        (encode_regions(&core.own_region_loads(now), now), evidence)
    };
    if regions.is_empty() && evidence.is_empty() {
        return;
    }
    let request = ShareLoadsRequest {
        regions,
        evidence: encode_evidence(&evidence, now),
        evidence_position: link.heard.0,
        ..ShareLoadsRequest::default()
    };
    let reply = client.share_loads(request);
    if let Some(reply) = call(state, channels, collector, FAR_CALL_TIMEOUT, reply).await {
        let began = now;
        let now = state.clock.now();
        let mut regions = decode_regions(&reply.regions, now);
        regions.iter_mut().for_each(|it| it.round_trip = Some(now.since(began)));
        link.advance(told, EvidencePosition(reply.evidence_position));
        let mut core = state.core.lock();
        core.apply_region_loads(regions);
        take_evidence(&mut core, decode_evidence(&reply.evidence, now));
    }
}

/// Takes what another host told of new versions; the next tick writes what is due.
pub fn take_evidence(core: &mut SteeringCore, reports: Vec<EvidenceReport>) {
    let bad: Vec<ServiceId> = core.apply_evidence(reports);
    for service in bad {
        let counts = core.known_evidence(&service);
        log::warn!(service:%, counts:? = counts; "new version looks bad");
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
            channels.record_answer(collector);
            return Some(reply.into_inner());
        }
        Ok(Err(status)) => status.message().to_owned(),
        Err(_) => "no answer in time".to_owned(),
    };
    channels.record_loss(collector, &cause, state.clock.now());
    state.meters.count_exchange_failure();
    None
}

/// Sums of regions as messages carry them, with their ages at `now`.
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

/// Sums of a message that arrived at `now`; those with a name that is none are left out, as this host uses no such
/// service or region.
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

/// Reports as messages carry them, with their ages at `now`.
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

/// Reports of a message that arrived at `now`; lists of unequal length end with the shortest.
pub fn decode_reports(reports: &LoadReports, now: MonoTime) -> Vec<LoadReport> {
    let LoadReports { servers, running, waiting, age_ms, unreached, failing_permille } = reports;
    let loads = running.iter().zip(waiting).zip(unreached);
    // A host of an earlier release does not tell failures.
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
