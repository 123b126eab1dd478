//! gRPC adapter for the platform's key-value store and host list.

use std::{future::Future, net::SocketAddr, time::Duration};

use async_trait::async_trait;
use sapphireknot_wire::store::{
    Entry, GetRequest, GrantLeaseRequest, ListHostsRequest, ListRequest, RenewLeaseRequest,
    RevokeLeaseRequest, SwapReply, SwapRequest, WatchRequest, hosts_client::HostsClient,
    store_client::StoreClient,
};
use tonic::{
    Code, Response, Status,
    transport::{Channel, Endpoint},
};

use crate::{
    hosts::{HostList, ListedHost},
    store::{
        KeyValueStore, LeaseId, StoreError, StoreRevision, StoredEntry, SwapOutcome, SwapWrite,
    },
};

/// Maximum size of a message; larger than the limit of 1 MB for a value.
const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// Interval of HTTP/2 keep-alive pings. An unresponsive connection is replaced after this interval plus the call
/// timeout.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Connection to the platform, opened on first use.
#[derive(Debug, Clone)]
struct PlatformChannel {
    channel: Channel,
    peer: String,
    call_timeout: Duration,
}

impl PlatformChannel {
    fn new(address: SocketAddr, call_timeout: Duration) -> Self {
        let endpoint =
            Endpoint::from(format!("http://{address}").parse::<http::Uri>().unwrap_or_default());
        let channel = endpoint
            .connect_timeout(call_timeout)
            .http2_keep_alive_interval(PROBE_INTERVAL)
            .keep_alive_timeout(call_timeout)
            .keep_alive_while_idle(true)
            .connect_lazy();
        Self { channel, peer: address.to_string(), call_timeout }
    }

    /// Awaits a call for at most the call timeout plus `wait`.
    async fn call<F, T>(&self, step: &'static str, wait: Duration, call: F) -> Result<T, StoreError>
    where
        F: Future<Output = Result<Response<T>, Status>>,
    {
        match tokio::time::timeout(self.call_timeout + wait, call).await {
            Ok(Ok(response)) => Ok(response.into_inner()),
            Ok(Err(status)) => Err(self.status_error(step, &status)),
            Err(_) => Err(self.unanswered(step, "time limit exceeded".to_owned())),
        }
    }

    /// Maps a gRPC status to an error. The listed codes guarantee that the call had no effect.
    fn status_error(&self, step: &'static str, status: &Status) -> StoreError {
        let reason = status.message().to_owned();
        match status.code() {
            Code::InvalidArgument | Code::FailedPrecondition | Code::ResourceExhausted => {
                StoreError::Refused { step, peer: self.peer.clone(), reason }
            }
            _ => self.unanswered(step, reason),
        }
    }

    fn unanswered(&self, step: &'static str, reason: String) -> StoreError {
        StoreError::Unanswered { step, peer: self.peer.clone(), reason }
    }
}

/// gRPC client of the platform's key-value store.
#[derive(Debug, Clone)]
pub struct GrpcStore {
    platform: PlatformChannel,
    client: StoreClient<Channel>,
}

impl GrpcStore {
    /// Creates a client of the store at `address` whose calls time out after `call_timeout`.
    pub fn new(address: SocketAddr, call_timeout: Duration) -> Self {
        let platform = PlatformChannel::new(address, call_timeout);
        let client = StoreClient::new(platform.channel.clone())
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        Self { platform, client }
    }
}

/// Converts an entry; a lease of zero means none.
fn stored_entry(entry: Entry) -> StoredEntry {
    StoredEntry {
        key: entry.key,
        value: entry.value,
        revision: StoreRevision(entry.revision),
        lease: (entry.lease != 0).then_some(LeaseId(entry.lease)),
    }
}

fn swap_outcome(reply: SwapReply) -> SwapOutcome {
    if reply.swapped {
        SwapOutcome::Swapped(StoreRevision(reply.revision))
    } else if reply.lease_alive {
        SwapOutcome::Conflict(reply.current.map(stored_entry))
    } else {
        SwapOutcome::LeaseEnded
    }
}

/// Converts a duration to whole milliseconds, saturating at the maximum.
fn whole_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

#[async_trait]
impl KeyValueStore for GrpcStore {
    async fn get(&self, key: &str) -> Result<Option<StoredEntry>, StoreError> {
        let mut client = self.client.clone();
        let call = client.get(GetRequest { key: key.to_owned() });
        let reply = self.platform.call("get", Duration::ZERO, call).await?;
        Ok(reply.entry.map(stored_entry))
    }

    async fn list(&self, prefix: &str) -> Result<Vec<StoredEntry>, StoreError> {
        let mut client = self.client.clone();
        let call = client.list(ListRequest { prefix: prefix.to_owned() });
        let reply = self.platform.call("list", Duration::ZERO, call).await?;
        Ok(reply.entries.into_iter().map(stored_entry).collect())
    }

    async fn compare_and_swap(&self, write: SwapWrite) -> Result<SwapOutcome, StoreError> {
        let mut client = self.client.clone();
        let call = client.compare_and_swap(SwapRequest {
            key: write.key,
            expected_revision: write.expected.0,
            value: write.value,
            lease: write.lease.map_or(0, |it| it.0),
        });
        let reply = self.platform.call("compare-and-swap", Duration::ZERO, call).await?;
        Ok(swap_outcome(reply))
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let mut client = self.client.clone();
        let call = client.grant_lease(GrantLeaseRequest { ttl_ms: whole_millis(ttl) });
        let reply = self.platform.call("grant lease", Duration::ZERO, call).await?;
        Ok(LeaseId(reply.lease))
    }

    async fn renew_leases(&self, leases: &[LeaseId]) -> Result<Vec<LeaseId>, StoreError> {
        let mut client = self.client.clone();
        let leases = leases.iter().map(|it| it.0).collect();
        let call = client.renew_lease(RenewLeaseRequest { leases });
        let reply = self.platform.call("renew lease", Duration::ZERO, call).await?;
        Ok(reply.alive.into_iter().map(LeaseId).collect())
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let mut client = self.client.clone();
        let call = client.revoke_lease(RevokeLeaseRequest { lease: lease.0 });
        self.platform.call("revoke lease", Duration::ZERO, call).await?;
        Ok(())
    }

    async fn watch(
        &self,
        key: &str,
        known: StoreRevision,
        wait: Duration,
    ) -> Result<Option<Option<StoredEntry>>, StoreError> {
        let mut client = self.client.clone();
        let call = client.watch(WatchRequest {
            key: key.to_owned(),
            known_revision: known.0,
            wait_ms: whole_millis(wait),
        });
        let reply = self.platform.call("watch", wait, call).await?;
        Ok(reply.changed.then(|| reply.entry.map(stored_entry)))
    }
}

/// gRPC client of the platform's host list.
#[derive(Debug, Clone)]
pub struct GrpcHosts {
    platform: PlatformChannel,
    client: HostsClient<Channel>,
}

impl GrpcHosts {
    /// Creates a client of the host list at `address` whose calls time out after `call_timeout`.
    pub fn new(address: SocketAddr, call_timeout: Duration) -> Self {
        let platform = PlatformChannel::new(address, call_timeout);
        let client = HostsClient::new(platform.channel.clone());
        Self { platform, client }
    }

    /// Parses a host of the list; a malformed one makes the whole call fail.
    fn parse_listed_host(
        &self,
        host: sapphireknot_wire::store::ListedHost,
    ) -> Result<ListedHost, StoreError> {
        let malformed = |reason: String| self.platform.unanswered("list hosts", reason);
        Ok(ListedHost {
            id: host.id.parse().map_err(|err| malformed(format!("{err}")))?,
            region: host.region.parse().map_err(|err| malformed(format!("{err}")))?,
            datacentre: host.datacentre.parse().map_err(|err| malformed(format!("{err}")))?,
            peer_address: host.peer_address.parse().map_err(|err| malformed(format!("{err}")))?,
            caller_address: host
                .caller_address
                .parse()
                .map_err(|err| malformed(format!("{err}")))?,
            leaving: host.leaving,
        })
    }
}

#[async_trait]
impl HostList for GrpcHosts {
    async fn list_hosts(&self) -> Result<Vec<ListedHost>, StoreError> {
        let mut client = self.client.clone();
        let call = client.list_hosts(ListHostsRequest {});
        let reply = self.platform.call("list hosts", Duration::ZERO, call).await?;
        reply.hosts.into_iter().map(|it| self.parse_listed_host(it)).collect()
    }
}
