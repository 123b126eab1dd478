//! Exchange of load reports with the collector of the region.
//!
//! Each call brings the reports of this host's own responses and returns those of other hosts. A collector that does not
//! answer is left out for a moment; until then this host goes on with its own reports.

use std::{sync::Arc, time::Duration};

use sapphireknot::{
    ids::HostId,
    steering::{
        fleet::HostRecord,
        loads::{LoadReport, ReportPosition},
        server_state::ServerLoad,
    },
    time::MonoTime,
};
use sapphireknot_wire::entry::{LoadReports, ShareLoadsRequest};
use tokio::time::{sleep, timeout};

use super::{peer_channels::PeerChannels, state::EntryState};

/// Interval of the exchange; half of the time after which a report counts for a third.
const INTERVAL: Duration = Duration::from_millis(400);
/// Time in which a collector answers; it may be a host with little processor time.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Exchanges load reports until the process ends.
pub async fn run(state: Arc<EntryState>) {
    let channels = PeerChannels::new("load reports");
    let mut chosen: Option<HostId> = None;
    let mut position = ReportPosition::default();
    // Hosts that start together do not call together.
    sleep(INTERVAL.mul_f64(rand::random())).await;
    loop {
        sleep(INTERVAL).await;
        let Some(collector) = state.core.lock().load_collector().cloned() else { continue };
        if chosen.as_ref() != Some(&collector.id) {
            log::info!(collector:% = collector.id; "collector of load reports");
            chosen = Some(collector.id.clone());
            position = ReportPosition::default();
        }
        if collector.id != state.record.id
            && let Some(next) = exchange(&state, &channels, &collector, position).await
        {
            position = next;
        }
    }
}

/// Position of the collector's reply; `None` if there was nothing to tell or no answer.
async fn exchange(
    state: &EntryState,
    channels: &PeerChannels,
    collector: &HostRecord,
    position: ReportPosition,
) -> Option<ReportPosition> {
    let now = state.clock.now();
    let mut client = channels.client(collector, now)?;
    let reports = state.core.lock().untold_loads(now);
    if reports.is_empty() {
        return None;
    }
    let reports = Some(encode_reports(&reports, now));
    let call = client.share_loads(ShareLoadsRequest { reports, position: position.0 });
    let cause = match timeout(CALL_TIMEOUT, call).await {
        Ok(Ok(reply)) => {
            channels.record_answer(collector);
            let reply = reply.into_inner();
            let news = decode_reports(&reply.reports.unwrap_or_default(), state.clock.now());
            state.core.lock().take_loads(&news);
            state.meters.count_load_reports(news.len());
            return Some(ReportPosition(reply.position));
        }
        Ok(Err(status)) => status.message().to_owned(),
        Err(_) => "no answer in time".to_owned(),
    };
    channels.record_loss(collector, &cause, now);
    state.meters.count_exchange_failure();
    None
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
    }
}

/// Reports of a message that arrived at `now`; lists of unequal length end with the shortest.
pub fn decode_reports(reports: &LoadReports, now: MonoTime) -> Vec<LoadReport> {
    let LoadReports { servers, running, waiting, age_ms, unreached } = reports;
    let loads = running.iter().zip(waiting).zip(unreached);
    let rows = servers.iter().zip(loads).zip(age_ms);
    rows.map(|((server, ((running, waiting), is_unreached)), age)| LoadReport {
        server: *server,
        load: (!is_unreached).then_some(ServerLoad { running: *running, waiting: *waiting }),
        at: now.before(Duration::from_millis((*age).into())),
    })
    .collect()
}
