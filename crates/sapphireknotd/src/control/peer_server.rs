//! gRPC server for calls from other hosts.

use std::{future::Future, net::SocketAddr, sync::Arc};

use ractor::{ActorRef, rpc::CallResult};
use sapphireknot::{drain::DrainStage, ids::ConfigGeneration, quota::BorrowAnswer};
use sapphireknot_wire::peer::{
    BorrowReply, BorrowRequest, ClaimRequestReply, ClaimRequestRequest, ExchangeReply,
    ExchangeRequest, FetchConfigReply, FetchConfigRequest, FetchEvidenceReply,
    FetchEvidenceRequest, GiveBackReply, GiveBackRequest, ProbeViaReply, ProbeViaRequest,
    peer_server::{Peer, PeerServer as PeerService},
};
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status};

use super::{messages::MemberMessage, shared::ControlShared};
use crate::peer::{
    MAX_MESSAGE_BYTES, PeerClients, borrow_answer_to_wire, borrow_from_wire, claim_from_wire,
    claim_reply_to_wire,
    convert::gossip_from_wire,
    evidence_to_wire,
    fields::{ConvertError, parse_field},
    give_back_from_wire,
};

/// gRPC service for calls from other hosts.
pub(super) struct PeerServer {
    shared: Arc<ControlShared>,
    peers: Arc<PeerClients>,
    members: ActorRef<MemberMessage>,
}

impl PeerServer {
    /// Creates a server that forwards gossip to the member actor.
    pub(super) fn new(
        shared: Arc<ControlShared>,
        peers: Arc<PeerClients>,
        members: ActorRef<MemberMessage>,
    ) -> Self {
        Self { shared, peers, members }
    }

    /// Calls the member actor and maps its failures to gRPC statuses.
    async fn call_members<F, T>(&self, message: F) -> Result<T, Status>
    where
        F: FnOnce(ractor::RpcReplyPort<T>) -> MemberMessage,
        T: Send + 'static,
    {
        let limit = self.shared.context.settings.timing.peer_timeout.0;
        match self.members.call(message, Some(limit)).await {
            Ok(CallResult::Success(reply)) => Ok(reply),
            Ok(CallResult::Timeout) => Err(Status::deadline_exceeded("the member actor is busy")),
            Ok(CallResult::SenderError) | Err(_) => {
                Err(Status::unavailable("the member actor has stopped"))
            }
        }
    }
}

#[tonic::async_trait]
impl Peer for PeerServer {
    async fn exchange(
        &self,
        request: Request<ExchangeRequest>,
    ) -> Result<Response<ExchangeReply>, Status> {
        let view = gossip_from_wire(request.get_ref().gossip.as_ref())
            .map_err(|err| Status::invalid_argument(err.to_string()))?;
        let gossip =
            self.call_members(|port| MemberMessage::Exchange(Box::new(view), port)).await?;
        Ok(Response::new(ExchangeReply { gossip: Some(gossip) }))
    }

    async fn probe_via(
        &self,
        request: Request<ProbeViaRequest>,
    ) -> Result<Response<ProbeViaReply>, Status> {
        let request = request.into_inner();
        let address: SocketAddr = request
            .target_address
            .parse()
            .map_err(|err| Status::invalid_argument(format!("target_address: {err}")))?;
        // Only the addresses of known members are probed, so that a caller cannot make this host connect to arbitrary
        // ones.
        let members = self.shared.context.members.load();
        if !members.iter().any(|it| it.id.as_str() == request.target && it.peer_address == address)
        {
            return Ok(Response::new(ProbeViaReply { answered: false }));
        }
        let gossip = self.call_members(MemberMessage::BuildGossip).await?;
        let answered = self.peers.exchange(address, gossip).await.is_ok();
        Ok(Response::new(ProbeViaReply { answered }))
    }

    async fn fetch_config(
        &self,
        request: Request<FetchConfigRequest>,
    ) -> Result<Response<FetchConfigReply>, Status> {
        let FetchConfigRequest { known_generation, whole } = *request.get_ref();
        let encoded = self.shared.encoded.load();
        let Some(config) = encoded.as_ref().filter(|it| it.generation.0 > known_generation) else {
            return Ok(Response::new(FetchConfigReply::default()));
        };
        let mut reply = FetchConfigReply {
            generation: config.generation.0,
            digest: hex::decode(&config.encoded.digest).unwrap_or_default(),
            ..FetchConfigReply::default()
        };
        match config.notes.notes_after(ConfigGeneration(known_generation)) {
            Some(notes) if !whole => reply.notes = notes,
            _ => reply.document = config.encoded.bytes.clone(),
        }
        Ok(Response::new(reply))
    }

    async fn borrow(
        &self,
        request: Request<BorrowRequest>,
    ) -> Result<Response<BorrowReply>, Status> {
        let call = borrow_from_wire(request.get_ref())
            .map_err(|err| Status::invalid_argument(err.to_string()))?;
        let context = &self.shared.context;
        // A leaving host lends nothing, so that all its shares are returned before it releases its grants.
        let is_serving = *context.drain.borrow() == DrainStage::Serving;
        let answer = match is_serving {
            true => context.quotas.ledger().lend(context.clock.now(), &call),
            false => BorrowAnswer::REFUSED,
        };
        Ok(Response::new(borrow_answer_to_wire(answer)))
    }

    async fn give_back(
        &self,
        request: Request<GiveBackRequest>,
    ) -> Result<Response<GiveBackReply>, Status> {
        let context = &self.shared.context;
        let call = give_back_from_wire(request.get_ref(), &context.identity.id)
            .map_err(|err| Status::invalid_argument(err.to_string()))?;
        let accepted = context.quotas.ledger().take_back(context.clock.now(), &call);
        Ok(Response::new(GiveBackReply { accepted }))
    }

    async fn fetch_evidence(
        &self,
        request: Request<FetchEvidenceRequest>,
    ) -> Result<Response<FetchEvidenceReply>, Status> {
        let invalid = |err: ConvertError| Status::invalid_argument(err.to_string());
        let request = request.get_ref();
        let service = parse_field("service", &request.service).map_err(invalid)?;
        let plan = parse_field("plan", &request.plan).map_err(invalid)?;
        let context = &self.shared.context;
        let evidence = context.rollouts.evidence(&service, &plan);
        let evidence =
            evidence.ok_or_else(|| Status::not_found("the plan is not in force on this host"))?;
        Ok(Response::new(evidence_to_wire(context.identity.incarnation, &evidence)))
    }

    async fn claim_request(
        &self,
        request: Request<ClaimRequestRequest>,
    ) -> Result<Response<ClaimRequestReply>, Status> {
        let message = claim_from_wire(request.get_ref())
            .map_err(|err| Status::invalid_argument(err.to_string()))?;
        let reply = self.shared.context.claims.answer(message);
        Ok(Response::new(claim_reply_to_wire(reply)))
    }
}

/// Serves calls from peers until `stopped` completes.
pub(super) async fn serve_peers<F>(
    server: PeerServer,
    listener: TcpListener,
    stopped: F,
) -> Result<(), tonic::transport::Error>
where
    F: Future<Output = ()>,
{
    let limit = server.shared.context.settings.timing.peer_timeout.0 * 10;
    let service = PeerService::new(server).max_encoding_message_size(MAX_MESSAGE_BYTES);
    tonic::transport::Server::builder()
        .timeout(limit)
        .add_service(service)
        .serve_with_incoming_shutdown(TcpListenerStream::new(listener), stopped)
        .await
}
