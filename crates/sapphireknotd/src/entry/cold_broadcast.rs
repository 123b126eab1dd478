//! Sends reports of cold servers to other hosts.
//!
//! A report goes to the hosts of the own region and to one host of each other region, which relays it to the hosts
//! there. A host that does not answer is called once more, because no other host probes the server on its behalf.

use std::{sync::Arc, time::Duration};

use futures_util::{StreamExt, stream};
use sapphireknot::{
    steering::{cold::ColdReport, fleet::HostRecord},
    time::MonoTime,
};
use sapphireknot_wire::entry::TellColdRequest;
use tokio::time::{sleep, timeout};

use super::{
    peer_channels::{PeerChannels, call_limit},
    state::EntryState,
};

/// Timeout of a call within the region; the host called may have little processor time.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause before the second call to a host that did not answer; connections to it are reopened after half a second.
const RETRY_PAUSE: Duration = Duration::from_millis(550);
/// Maximum number of concurrent calls.
const MAX_CALLS: usize = 16;

/// Sender of reports of cold servers.
pub struct ColdBroadcaster {
    state: Arc<EntryState>,
    channels: PeerChannels,
}

impl ColdBroadcaster {
    /// Creates a sender for the host with `state`.
    pub fn new(state: Arc<EntryState>) -> Self {
        Self { state, channels: PeerChannels::new("cold servers") }
    }

    /// Sends `reports` to the hosts of all regions.
    pub fn send_to_all(self: &Arc<Self>, reports: Vec<ColdReport>) {
        let (neighbours, collectors) = {
            let core = self.state.core.lock();
            (core.region_peers(), core.remote_collectors())
        };
        let near = neighbours.into_iter().map(|it| (it, false));
        self.spawn(reports, near.chain(collectors.into_iter().map(|it| (it, true))).collect());
    }

    /// Sends `reports` to `recipients`, which do not relay them.
    pub fn send_to(self: &Arc<Self>, reports: Vec<ColdReport>, recipients: Vec<HostRecord>) {
        self.spawn(reports, recipients.into_iter().map(|it| (it, false)).collect());
    }

    /// Sends `reports` to `recipients`, each with whether it relays them to the hosts of its region.
    fn spawn(self: &Arc<Self>, reports: Vec<ColdReport>, recipients: Vec<(HostRecord, bool)>) {
        let broadcaster = self.clone();
        tokio::spawn(async move {
            let (broadcaster, reports) = (&broadcaster, &reports);
            let send = |(recipient, relay): (HostRecord, bool)| async move {
                if !broadcaster.send_one(reports, &recipient, relay).await {
                    sleep(RETRY_PAUSE).await;
                    broadcaster.send_one(reports, &recipient, relay).await;
                }
            };
            stream::iter(recipients).for_each_concurrent(MAX_CALLS, send).await;
        });
    }

    /// Sends `reports` to one host; returns whether it answered.
    async fn send_one(&self, reports: &[ColdReport], recipient: &HostRecord, relay: bool) -> bool {
        let now = self.state.clock.now();
        let Some(mut client) = self.channels.client(recipient, now) else { return false };
        let request = encode_cold(reports, relay, now);
        let limit = call_limit(recipient, &self.state.record, CALL_TIMEOUT);
        let cause = match timeout(limit, client.tell_cold(request)).await {
            Ok(Ok(_)) => {
                self.channels.record_success(recipient);
                return true;
            }
            Ok(Err(status)) => status.message().to_owned(),
            Err(_) => "no answer in time".to_owned(),
        };
        self.channels.record_failure(recipient, &cause, self.state.clock.now());
        false
    }
}

/// Encodes reports for the wire, with the time left at `now` instead of the end of the warm-up.
fn encode_cold(reports: &[ColdReport], relay: bool, now: MonoTime) -> TellColdRequest {
    let left = |it: &ColdReport| now.until(it.cold_until).as_millis();
    TellColdRequest {
        servers: reports.iter().map(|it| it.server).collect(),
        left_ms: reports.iter().map(|it| u32::try_from(left(it)).unwrap_or(u32::MAX)).collect(),
        relay,
    }
}

/// Decodes the reports of a message that arrived at `now`; lists of unequal length are cut to the shorter one.
pub fn decode_cold(request: &TellColdRequest, now: MonoTime) -> Vec<ColdReport> {
    let rows = request.servers.iter().zip(&request.left_ms);
    rows.map(|(server, left_ms)| ColdReport {
        server: *server,
        cold_until: now.after(Duration::from_millis((*left_ms).into())),
    })
    .collect()
}
