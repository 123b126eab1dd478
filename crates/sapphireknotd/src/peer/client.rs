//! gRPC clients for calls to other hosts.

use std::{
    collections::HashMap,
    future::Future,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use opentelemetry::{
    KeyValue,
    trace::{Span, Status as SpanStatus},
};
use parking_lot::Mutex;
use sapphireknot::{
    config::ConfigDocument,
    delta::{DeltaError, apply_notes, read_notes},
    head::{DocumentError, EncodedDocument},
    ids::{ConfigGeneration, PlanId, ServiceId},
    installed::InstalledConfig,
    membership::MemberRecord,
};
use sapphireknot_wire::peer::{
    ClaimRequestReply, ClaimRequestRequest, ExchangeReply, ExchangeRequest, FetchConfigReply,
    FetchConfigRequest, FetchEvidenceRequest, Gossip, ProbeViaRequest, peer_client::PeerClient,
};
use thiserror::Error;
use tonic::{
    Response, Status,
    transport::{Channel, Endpoint},
};

use super::rollouts::{PeerCounts, evidence_from_wire};
use crate::{loaded_config::LoadedConfig, spans::start_span};

/// Largest number of cached connections; a host calls a few random peers per second, so further ones would be idle.
const MAX_CONNECTIONS: usize = 64;
/// Largest message size; it has to hold a document of several chunks.
pub(crate) const MAX_MESSAGE_BYTES: usize = 64 << 20;
/// Factor by which the timeout for fetching a document exceeds that of other calls.
const FETCH_TIMEOUT_FACTOR: u32 = 10;

/// Failed call to a peer.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The call was not answered, or answered with an error.
    #[error("{step} at host {peer}: {reason}")]
    Call {
        /// Name of the call.
        step: &'static str,
        /// Address of the peer.
        peer: SocketAddr,
        /// Reason.
        reason: String,
    },
    /// The fetched document is invalid or does not match the digest sent by the peer.
    #[error("failed to fetch the configuration from host {peer}: {source}")]
    Document {
        /// Address of the peer.
        peer: SocketAddr,
        /// Underlying error.
        source: DocumentError,
    },
}

#[derive(Debug)]
struct CachedChannel {
    channel: Channel,
    last_use: u64,
}

#[derive(Debug, Default)]
struct ChannelCache {
    channels: HashMap<SocketAddr, CachedChannel>,
    uses: u64,
}

/// gRPC clients for other hosts, with a cache of connections.
#[derive(Debug)]
pub struct PeerClients {
    local_ip: Option<IpAddr>,
    call_timeout: Duration,
    cache: Mutex<ChannelCache>,
}

impl PeerClients {
    /// Creates clients that connect from the IP address of `own` and whose calls time out after `call_timeout`.
    pub fn new(own: SocketAddr, call_timeout: Duration) -> Self {
        let local_ip = Some(own.ip()).filter(|it| !it.is_unspecified());
        Self { local_ip, call_timeout, cache: Mutex::default() }
    }

    /// Returns the cached channel to `peer`, or creates one. A full cache evicts the least recently used channel.
    fn channel(&self, peer: SocketAddr) -> Channel {
        let mut cache = self.cache.lock();
        cache.uses += 1;
        let uses = cache.uses;
        if let Some(cached) = cache.channels.get_mut(&peer) {
            cached.last_use = uses;
            return cached.channel.clone();
        }
        if cache.channels.len() >= MAX_CONNECTIONS
            && let Some(oldest) =
                cache.channels.iter().min_by_key(|(_, it)| it.last_use).map(|(peer, _)| *peer)
        {
            cache.channels.remove(&oldest);
        }
        let uri = format!("http://{peer}").parse::<http::Uri>().unwrap_or_default();
        let channel = Endpoint::from(uri)
            .connect_timeout(self.call_timeout)
            .local_address(self.local_ip)
            .tcp_nodelay(true)
            .connect_lazy();
        cache.channels.insert(peer, CachedChannel { channel: channel.clone(), last_use: uses });
        channel
    }

    pub(super) fn client(&self, peer: SocketAddr) -> PeerClient<Channel> {
        PeerClient::new(self.channel(peer)).max_decoding_message_size(MAX_MESSAGE_BYTES)
    }

    pub(super) async fn call<F, T>(
        &self,
        step: &'static str,
        peer: SocketAddr,
        limit: Duration,
        call: F,
    ) -> Result<T, PeerError>
    where
        F: Future<Output = Result<Response<T>, Status>>,
    {
        let mut span = start_span(step);
        span.set_attribute(KeyValue::new("peer", peer.to_string()));
        let reason = match tokio::time::timeout(limit, call).await {
            Ok(Ok(response)) => {
                span.end();
                return Ok(response.into_inner());
            }
            Ok(Err(status)) => format!("{}: {}", status.code(), status.message()),
            Err(_) => {
                // The connection may be dead, so the next call opens a new one.
                self.cache.lock().channels.remove(&peer);
                "time limit exceeded".to_owned()
            }
        };
        span.set_status(SpanStatus::error(reason.clone()));
        span.end();
        Err(PeerError::Call { step, peer, reason })
    }

    /// Exchanges gossip with `peer`, which also serves as a probe.
    pub async fn exchange(
        &self,
        peer: SocketAddr,
        gossip: Gossip,
    ) -> Result<ExchangeReply, PeerError> {
        let mut client = self.client(peer);
        let call = client.exchange(ExchangeRequest { gossip: Some(gossip) });
        self.call("peer exchange", peer, self.call_timeout, call).await
    }

    /// Asks `delegate` to probe `target`. The timeout is doubled, since the delegate's own call may take a whole one.
    pub async fn probe_via(
        &self,
        delegate: SocketAddr,
        target: &MemberRecord,
    ) -> Result<bool, PeerError> {
        let mut client = self.client(delegate);
        let call = client.probe_via(ProbeViaRequest {
            target: target.id.to_string(),
            target_address: target.peer_address.to_string(),
        });
        let limit = self.call_timeout * 2;
        Ok(self.call("peer probe via", delegate, limit, call).await?.answered)
    }

    /// Fetches the outcomes that `peer` counted for a traffic plan.
    pub async fn fetch_evidence(
        &self,
        peer: SocketAddr,
        service: &ServiceId,
        plan: &PlanId,
    ) -> Result<PeerCounts, PeerError> {
        const STEP: &str = "peer fetch evidence";
        let mut client = self.client(peer);
        let (service, plan) = (service.to_string(), plan.to_string());
        let call = client.fetch_evidence(FetchEvidenceRequest { service, plan });
        let reply = self.call(STEP, peer, self.call_timeout, call).await?;
        evidence_from_wire(&reply).map_err(|err| PeerError::Call {
            step: STEP,
            peer,
            reason: err.to_string(),
        })
    }

    /// Claims an idempotency key at its owner `peer`, or reports the end of the request to it.
    pub(super) async fn claim_request(
        &self,
        peer: SocketAddr,
        request: ClaimRequestRequest,
    ) -> Result<ClaimRequestReply, PeerError> {
        let mut client = self.client(peer);
        let call = client.claim_request(request);
        self.call("peer claim request", peer, self.call_timeout, call).await
    }

    /// Fetches the configuration of `peer` if it is newer than `known`, as release notes if the peer still has them.
    pub async fn fetch_config(
        &self,
        peer: SocketAddr,
        known: Option<Arc<InstalledConfig>>,
    ) -> Result<Option<LoadedConfig>, PeerError> {
        let generation = known.as_ref().map(|it| it.generation).unwrap_or_default();
        let mut reply = self.fetch(peer, generation, known.is_none()).await?;
        if let Some(known) = known
            && !reply.notes.is_empty()
        {
            match apply_note_reply(known, reply).await {
                Ok(loaded) => return Ok(Some(loaded)),
                Err(err) => log::warn!("failed to apply release notes from host {peer}: {err}"),
            }
            reply = self.fetch(peer, generation, true).await?;
        }
        if reply.document.is_empty() || reply.generation <= generation.0 {
            return Ok(None);
        }
        let digest = hex::encode(&reply.digest);
        let document: ConfigDocument = EncodedDocument::decode(&reply.document, &digest)
            .map_err(|source| PeerError::Document { peer, source })?;
        let generation = ConfigGeneration(reply.generation);
        let encoded = Some(EncodedDocument { bytes: reply.document, digest });
        Ok(Some(LoadedConfig { generation, document, encoded, notes: Vec::new(), began: None }))
    }

    async fn fetch(
        &self,
        peer: SocketAddr,
        known: ConfigGeneration,
        whole: bool,
    ) -> Result<FetchConfigReply, PeerError> {
        let mut client = self.client(peer);
        let call = client.fetch_config(FetchConfigRequest { known_generation: known.0, whole });
        self.call("peer fetch config", peer, self.call_timeout * FETCH_TIMEOUT_FACTOR, call).await
    }
}

/// Applies the release notes in a reply. Runs on a blocking thread, since a large document would occupy a runtime
/// thread for too long.
async fn apply_note_reply(
    known: Arc<InstalledConfig>,
    reply: FetchConfigReply,
) -> Result<LoadedConfig, DeltaError> {
    let applying = tokio::task::spawn_blocking(move || {
        let notes = read_notes(&reply.notes)?;
        let digest = hex::encode(&reply.digest);
        let (document, encoded) = apply_notes(&known.document, &notes, &digest)?;
        let generation = ConfigGeneration(reply.generation);
        Ok(LoadedConfig { generation, document, encoded: Some(encoded), notes, began: None })
    });
    applying.await.unwrap_or_else(|err| {
        Err(DocumentError::Syntax(serde::de::Error::custom(format!("apply notes: {err}"))).into())
    })
}
