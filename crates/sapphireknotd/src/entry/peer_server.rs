//! Calls of other hosts.

use std::{pin::Pin, sync::Arc};

use futures_util::{Stream, StreamExt, stream};
use sapphireknot::{
    ids::{HostId, OrganisationId},
    steering::{evidence::EvidencePosition, feed_copy::CopyRevision, loads::ReportPosition},
};
use sapphireknot_wire::entry::{
    CopyPart, ReadCopyRequest, ShareLoadsReply, ShareLoadsRequest, TakeTokensReply,
    TakeTokensRequest, TellColdReply, TellColdRequest,
    entry_server::{Entry, EntryServer},
};
use tokio::{net::TcpListener, sync::Semaphore};
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status, transport::Server};

use super::{
    cold_peers::{ColdPeers, decode_cold},
    copy_calls,
    evidence_codec::{decode_evidence, encode_evidence},
    feed_relay,
    load_peers::{decode_regions, decode_reports, encode_regions, encode_reports, take_evidence},
    state::EntryState,
};

/// Copies that are sent at the same time: each holds one message in memory, and many hosts may start together.
const MAX_COPIES: usize = 8;

/// Server of the calls between hosts.
struct PeerServer {
    state: Arc<EntryState>,
    cold_peers: Arc<ColdPeers>,
    copies: Arc<Semaphore>,
}

#[tonic::async_trait]
impl Entry for PeerServer {
    type ReadCopyStream = Pin<Box<dyn Stream<Item = Result<CopyPart, Status>> + Send>>;

    async fn read_copy(
        &self,
        request: Request<ReadCopyRequest>,
    ) -> Result<Response<Self::ReadCopyStream>, Status> {
        let known = CopyRevision(request.into_inner().known_revision);
        let permit = self.copies.clone().acquire_owned().await;
        let permit = permit.map_err(|err| Status::unavailable(err.to_string()))?;
        let offer = self.state.copy.lock().offer(known);
        if offer.as_ref().is_some_and(|it| !it.entries.is_empty()) {
            self.state.meters.count_sent_copy();
        }
        let now = self.state.clock.now();
        let parts = offer.into_iter().flat_map(move |it| copy_calls::parts(it, now));
        let parts = stream::iter(parts).map(move |part| {
            let _held = &permit;
            Ok(part)
        });
        Ok(Response::new(Box::pin(parts)))
    }

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

    async fn tell_cold(
        &self,
        request: Request<TellColdRequest>,
    ) -> Result<Response<TellColdReply>, Status> {
        let request = request.into_inner();
        let now = self.state.clock.now();
        let reports = decode_cold(&request, now);
        let news = self.state.core.lock().apply_cold_reports(&reports, now);
        if !news.is_empty() {
            log::info!(servers = news.len(); "servers are cold, as another host tells");
            if request.relay {
                let listeners = self.state.core.lock().region_peers();
                self.cold_peers.tell(news, listeners);
            }
        }
        Ok(Response::new(TellColdReply::default()))
    }

    async fn share_loads(
        &self,
        request: Request<ShareLoadsRequest>,
    ) -> Result<Response<ShareLoadsReply>, Status> {
        let ShareLoadsRequest {
            reports,
            position,
            regions,
            evidence,
            evidence_position,
            host,
            known_revision,
        } = request.into_inner();
        let now = self.state.clock.now();
        let evidence = decode_evidence(&evidence, now);
        let heard = EvidencePosition(evidence_position);
        let incarnation = self.state.record.incarnation;
        // A region without servers of its own has no load to tell, but may have evidence.
        let is_far = !regions.is_empty() || (host.is_empty() && !evidence.is_empty());
        if is_far {
            let regions = decode_regions(&regions, now);
            let mut core = self.state.core.lock();
            core.apply_region_loads(regions);
            take_evidence(&mut core, evidence);
            let (evidence, after) = core.evidence_for(None, heard, incarnation);
            let reply = ShareLoadsReply {
                regions: encode_regions(&core.own_region_loads(now), now),
                evidence: encode_evidence(&evidence, now),
                evidence_position: after.0,
                ..ShareLoadsReply::default()
            };
            return Ok(Response::new(reply));
        }
        let reports = decode_reports(&reports.unwrap_or_default(), now);
        self.state.meters.count_load_reports(reports.len());
        let position = ReportPosition(position);
        let changes = feed_relay::changes_for(&self.state, known_revision);
        let mut core = self.state.core.lock();
        let (news, position) = core.collect_loads(&reports, position, now);
        take_evidence(&mut core, evidence);
        // A host of an earlier release does not name itself and takes no evidence.
        let caller = host.parse::<HostId>().ok();
        let (evidence, after) = core.evidence_for(caller.as_ref(), heard, incarnation);
        let reply = ShareLoadsReply {
            reports: Some(encode_reports(&news, now)),
            position: position.0,
            regions: encode_regions(&core.region_loads(now), now),
            evidence: encode_evidence(&evidence, now),
            evidence_position: after.0,
            changes,
        };
        Ok(Response::new(reply))
    }
}

/// Serves other hosts until the process ends.
pub async fn serve(state: Arc<EntryState>, cold_peers: Arc<ColdPeers>, listener: TcpListener) {
    let copies = Arc::new(Semaphore::new(MAX_COPIES));
    let service = EntryServer::new(PeerServer { state, cold_peers, copies });
    let server = Server::builder().tcp_nodelay(true).add_service(service);
    if let Err(err) = server.serve_with_incoming(TcpListenerStream::new(listener)).await {
        log::error!(error:% = err; "serve other hosts");
    }
}
