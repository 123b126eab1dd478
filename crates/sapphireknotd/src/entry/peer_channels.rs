//! gRPC channels to other hosts.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use parking_lot::Mutex;
use sapphireknot::{ids::HostId, steering::fleet::HostRecord, time::MonoTime};
use sapphireknot_wire::entry::entry_client::EntryClient;
use tonic::transport::{Channel, Endpoint};

/// Timeout for connecting to a host of any region; calls have shorter timeouts of their own.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a call to another region, including the connection: regions may be 60 ms apart one way.
pub const FAR_CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which a host that did not answer is not called again.
const SKIP_TIME: Duration = Duration::from_millis(500);

/// gRPC channels to other hosts for one task.
#[derive(Debug)]
pub struct PeerChannels {
    /// Purpose of the calls, for log lines.
    task: &'static str,
    channels: Mutex<HashMap<SocketAddr, Channel>>,
    /// Hosts that did not answer the last call, each with the time until which it is skipped.
    skipped: Mutex<HashMap<HostId, MonoTime>>,
}

impl PeerChannels {
    /// Creates an empty set of channels for `task`.
    pub fn new(task: &'static str) -> Self {
        Self { task, channels: Mutex::default(), skipped: Mutex::default() }
    }

    /// Returns a client for `host`, or `None` while it is skipped.
    pub fn client(&self, host: &HostRecord, now: MonoTime) -> Option<EntryClient<Channel>> {
        if self.skipped.lock().get(&host.id).is_some_and(|until| now < *until) {
            return None;
        }
        self.channel(host.peer_address).map(EntryClient::new)
    }

    /// Records that `host` answered.
    pub fn record_success(&self, host: &HostRecord) {
        if self.skipped.lock().remove(&host.id).is_some() {
            log::info!(peer:% = host.id, task = self.task; "host regained");
        }
    }

    /// Records that `host` did not answer, and skips it for a while.
    pub fn record_failure(&self, host: &HostRecord, cause: &str, now: MonoTime) {
        // The connection may be dead without notice; the next call opens a new one.
        self.channels.lock().remove(&host.peer_address);
        if self.skipped.lock().insert(host.id.clone(), now.after(SKIP_TIME)).is_none() {
            log::warn!(peer:% = host.id, task = self.task, cause; "host lost");
        }
    }

    fn channel(&self, peer: SocketAddr) -> Option<Channel> {
        if let Some(channel) = self.channels.lock().get(&peer) {
            return Some(channel.clone());
        }
        let endpoint = match Endpoint::from_shared(format!("http://{peer}")) {
            Ok(endpoint) => endpoint,
            Err(err) => {
                log::error!(peer:%, error:% = err; "invalid peer address");
                return None;
            }
        };
        let channel = endpoint.connect_timeout(CONNECT_TIMEOUT).tcp_nodelay(true).connect_lazy();
        self.channels.lock().insert(peer, channel.clone());
        Some(channel)
    }
}

/// Timeout of a call to `peer`: `near` in the region of `own`, and [`FAR_CALL_TIMEOUT`] in others.
pub fn call_limit(peer: &HostRecord, own: &HostRecord, near: Duration) -> Duration {
    if peer.region == own.region { near } else { FAR_CALL_TIMEOUT }
}
