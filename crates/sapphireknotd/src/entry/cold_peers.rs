//! Tells other hosts which servers say that they are cold.
//!
//! A finding goes to the hosts of the own region and to one host of each other region, which passes it on to the hosts
//! there. A host that does not answer is told once more, as nobody asks the server on its behalf.

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

/// Time in which a host answers; it may have little processor time.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause before a host that did not answer is told again; connections to it are opened anew after half a second.
const REPEAT_PAUSE: Duration = Duration::from_millis(550);
/// Hosts that are told at the same time.
const MAX_CALLS: usize = 16;

/// Connections to the hosts that are told.
pub struct ColdPeers {
    state: Arc<EntryState>,
    channels: PeerChannels,
}

impl ColdPeers {
    /// Connections of the host with `state`.
    pub fn new(state: Arc<EntryState>) -> Self {
        Self { state, channels: PeerChannels::new("cold servers") }
    }

    /// Tells the hosts of all regions.
    pub fn tell_all(self: &Arc<Self>, reports: Vec<ColdReport>) {
        let (neighbours, collectors) = {
            let core = self.state.core.lock();
            (core.region_peers(), core.remote_collectors())
        };
        let near = neighbours.into_iter().map(|it| (it, false));
        self.spawn(reports, near.chain(collectors.into_iter().map(|it| (it, true))).collect());
    }

    /// Tells `listeners`, which tell nobody else.
    pub fn tell(self: &Arc<Self>, reports: Vec<ColdReport>, listeners: Vec<HostRecord>) {
        self.spawn(reports, listeners.into_iter().map(|it| (it, false)).collect());
    }

    /// Tells `listeners`, each with whether it is to tell the hosts of its region.
    fn spawn(self: &Arc<Self>, reports: Vec<ColdReport>, listeners: Vec<(HostRecord, bool)>) {
        let peers = self.clone();
        tokio::spawn(async move {
            let (peers, reports) = (&peers, &reports);
            let tell = |(listener, relay): (HostRecord, bool)| async move {
                if !peers.tell_one(reports, &listener, relay).await {
                    sleep(REPEAT_PAUSE).await;
                    peers.tell_one(reports, &listener, relay).await;
                }
            };
            stream::iter(listeners).for_each_concurrent(MAX_CALLS, tell).await;
        });
    }

    /// Whether `listener` answered.
    async fn tell_one(&self, reports: &[ColdReport], listener: &HostRecord, relay: bool) -> bool {
        let now = self.state.clock.now();
        let Some(mut client) = self.channels.client(listener, now) else { return false };
        let request = encode_cold(reports, relay, now);
        let limit = call_limit(listener, &self.state.record, CALL_TIMEOUT);
        let cause = match timeout(limit, client.tell_cold(request)).await {
            Ok(Ok(_)) => {
                self.channels.record_answer(listener);
                return true;
            }
            Ok(Err(status)) => status.message().to_owned(),
            Err(_) => "no answer in time".to_owned(),
        };
        self.channels.record_loss(listener, &cause, self.state.clock.now());
        false
    }
}

/// Reports as a message carries them, with the times that are left at `now`.
fn encode_cold(reports: &[ColdReport], relay: bool, now: MonoTime) -> TellColdRequest {
    let left = |it: &ColdReport| now.until(it.cold_until).as_millis();
    TellColdRequest {
        servers: reports.iter().map(|it| it.server).collect(),
        left_ms: reports.iter().map(|it| u32::try_from(left(it)).unwrap_or(u32::MAX)).collect(),
        relay,
    }
}

/// Reports of a message that arrived at `now`; lists of unequal length end with the shorter.
pub fn decode_cold(request: &TellColdRequest, now: MonoTime) -> Vec<ColdReport> {
    let rows = request.servers.iter().zip(&request.left_ms);
    rows.map(|(server, left_ms)| ColdReport {
        server: *server,
        cold_until: now.after(Duration::from_millis((*left_ms).into())),
    })
    .collect()
}
