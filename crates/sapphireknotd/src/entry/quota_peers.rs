//! Admissions from the hosts that own quotas.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use parking_lot::Mutex;
use sapphireknot::{
    ids::{HostId, OrganisationId},
    steering::{fleet::HostRecord, tokens::PoolAnswer},
    time::MonoTime,
};
use sapphireknot_wire::entry::{
    TakeTokensReply, TakeTokensRequest,
    entry_client::EntryClient,
    entry_server::{Entry, EntryServer},
};
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{
    Request, Response, Status,
    transport::{Channel, Endpoint, Server},
};

use super::state::EntryState;

/// Time in which an owner answers; a host of the same region is a few milliseconds away.
const CALL_TIMEOUT: Duration = Duration::from_millis(100);
/// Least time for which an organisation is refused without a call, so that one that sends far too much costs few calls.
const MIN_DENIAL: Duration = Duration::from_millis(80);
/// Time for which an owner that did not answer is not asked again.
const AVOID: Duration = Duration::from_millis(500);

/// Clients of the hosts that own quotas.
#[derive(Debug, Default)]
pub struct QuotaPeers {
    channels: Mutex<HashMap<SocketAddr, Channel>>,
    avoided: Mutex<HashMap<HostId, MonoTime>>,
    /// One call at a time for each organisation; further requests wait for its result.
    calls: Mutex<HashMap<OrganisationId, Arc<tokio::sync::Mutex<()>>>>,
}

impl QuotaPeers {
    /// Admits one request of `organisation`; otherwise returns when another one may pass.
    pub async fn admit(
        &self,
        state: &EntryState,
        organisation: &OrganisationId,
    ) -> Result<(), MonoTime> {
        let answer = state.core.lock().admit(organisation, state.clock.now());
        if let Some(result) = settled(answer) {
            return result;
        }
        let call = self.calls.lock().entry(organisation.clone()).or_default().clone();
        let _turn = call.lock().await;
        // Another request may have got admissions for this one too.
        let answer = state.core.lock().admit_again(organisation, state.clock.now());
        let PoolAnswer::Ask(count) = answer else {
            return settled(answer).unwrap_or(Ok(()));
        };
        match self.ask(state, organisation, count).await {
            Some((granted, retry_at)) => {
                let now = state.clock.now();
                let mut core = state.core.lock();
                core.fill_pool(organisation, granted, retry_at, now);
                settled(core.admit_again(organisation, now)).unwrap_or(Err(retry_at))
            }
            None => state.core.lock().admit_alone(organisation, state.clock.now()),
        }
    }

    /// What owners grant, and when more is expected; `None` if the region's own one cannot be asked.
    ///
    /// Regions are busy at different times, so that another region's part may be free while the own one is used up.
    async fn ask(
        &self,
        state: &EntryState,
        organisation: &OrganisationId,
        count: u32,
    ) -> Option<(u32, MonoTime)> {
        let now = state.clock.now();
        let (own_grant, owner, far) = {
            let mut core = state.core.lock();
            let grant = core.grant(organisation, count, now);
            let owner = core.quota_owner(organisation, now)?.clone();
            (grant, owner, core.far_owners(organisation, now))
        };
        let near = match own_grant {
            Some(grant) => grant,
            None => self.ask_owner(state, &owner, organisation, count).await?,
        };
        let mut retry_at = match near {
            Ok(granted) => return Some((granted, now)),
            Err(retry_at) => retry_at,
        };
        for owner in far {
            match self.ask_owner(state, &owner, organisation, count).await {
                Some(Ok(granted)) => return Some((granted, now)),
                Some(Err(other)) => retry_at = retry_at.min(other),
                None => {}
            }
        }
        Some((0, retry_at.max(state.clock.now().after(MIN_DENIAL))))
    }

    /// What one owner grants, or when more is expected; `None` if it cannot be asked.
    async fn ask_owner(
        &self,
        state: &EntryState,
        owner: &HostRecord,
        organisation: &OrganisationId,
        count: u32,
    ) -> Option<Result<u32, MonoTime>> {
        let now = state.clock.now();
        if self.avoided.lock().get(&owner.id).is_some_and(|until| now < *until) {
            return None;
        }
        let call = TakeTokensRequest { organisation: organisation.to_string(), count };
        let mut client = EntryClient::new(self.channel(owner.peer_address)?);
        let cause = match tokio::time::timeout(CALL_TIMEOUT, client.take_tokens(call)).await {
            Ok(Ok(reply)) => {
                let TakeTokensReply { is_owner, granted, retry_ms } = reply.into_inner();
                let retry_at = state.clock.now().after(Duration::from_millis(retry_ms.into()));
                let result = if granted > 0 { Ok(granted) } else { Err(retry_at) };
                // A host that sees another owner does so for a moment only.
                return is_owner.then_some(result);
            }
            Ok(Err(status)) => status.message().to_owned(),
            Err(_) => "no answer in time".to_owned(),
        };
        // The connection may have gone silent; the next call opens a new one.
        self.channels.lock().remove(&owner.peer_address);
        self.avoided.lock().insert(owner.id.clone(), now.after(AVOID));
        log::info!(organisation:%, owner:% = owner.id, cause; "owner of a quota not reached");
        None
    }

    fn channel(&self, peer: SocketAddr) -> Option<Channel> {
        if let Some(channel) = self.channels.lock().get(&peer) {
            return Some(channel.clone());
        }
        let endpoint = match Endpoint::from_shared(format!("http://{peer}")) {
            Ok(endpoint) => endpoint,
            Err(err) => {
                log::error!(peer:%, error:% = err; "address of a host");
                return None;
            }
        };
        let channel = endpoint.connect_timeout(CALL_TIMEOUT).tcp_nodelay(true).connect_lazy();
        self.channels.lock().insert(peer, channel.clone());
        Some(channel)
    }
}

/// The result of a request, unless the owner is to be asked.
fn settled(answer: PoolAnswer) -> Option<Result<(), MonoTime>> {
    match answer {
        PoolAnswer::Admitted => Some(Ok(())),
        PoolAnswer::Denied(retry_at) => Some(Err(retry_at)),
        PoolAnswer::Ask(_) => None,
    }
}

/// Server of the calls between hosts.
struct PeerServer {
    state: Arc<EntryState>,
}

#[tonic::async_trait]
impl Entry for PeerServer {
    async fn take_tokens(
        &self,
        request: Request<TakeTokensRequest>,
    ) -> Result<Response<TakeTokensReply>, Status> {
        let TakeTokensRequest { organisation, count } = request.into_inner();
        let organisation = organisation.parse::<OrganisationId>();
        let organisation = organisation.map_err(|err| Status::invalid_argument(err.to_string()))?;
        let now = self.state.clock.now();
        let grant = self.state.core.lock().grant(&organisation, count, now);
        let reply = match grant {
            None => TakeTokensReply::default(),
            Some(Ok(granted)) => TakeTokensReply { is_owner: true, granted, retry_ms: 0 },
            Some(Err(retry_at)) => {
                let retry_ms = u32::try_from(now.until(retry_at).as_millis()).unwrap_or(u32::MAX);
                TakeTokensReply { is_owner: true, granted: 0, retry_ms: retry_ms.max(1) }
            }
        };
        Ok(Response::new(reply))
    }
}

/// Serves other hosts until the process ends.
pub async fn serve(state: Arc<EntryState>, listener: TcpListener) {
    let server =
        Server::builder().tcp_nodelay(true).add_service(EntryServer::new(PeerServer { state }));
    if let Err(err) = server.serve_with_incoming(TcpListenerStream::new(listener)).await {
        log::error!(error:% = err; "serve other hosts");
    }
}
