//! gRPC server for calls from other hosts.

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
    cold_broadcast::{ColdBroadcaster, decode_cold},
    copy_transfer,
    evidence_codec::{decode_evidence, encode_evidence},
    feed_relay,
    load_exchange::{
        decode_regions, decode_reports, encode_regions, encode_reports, take_evidence,
    },
    state::EntryState,
};

/// Maximum number of copies sent concurrently: each holds one message in memory, and many hosts may start together.
const MAX_COPIES: usize = 8;

/// Implementation of the calls between hosts.
struct PeerServer {
    state: Arc<EntryState>,
    cold_broadcaster: Arc<ColdBroadcaster>,
    copy_permits: Arc<Semaphore>,
}

#[tonic::async_trait]
impl Entry for PeerServer {
    type ReadCopyStream = Pin<Box<dyn Stream<Item = Result<CopyPart, Status>> + Send>>;

    async fn read_copy(
        &self,
        request: Request<ReadCopyRequest>,
    ) -> Result<Response<Self::ReadCopyStream>, Status> {
        let known = CopyRevision(request.into_inner().known_revision);
        let permit = self.copy_permits.clone().acquire_owned().await;
        let permit = permit.map_err(|err| Status::unavailable(err.to_string()))?;
        let offer = self.state.copy.lock().offer(known);
        if offer.as_ref().is_some_and(|it| !it.entries.is_empty()) {
            self.state.meters.count_sent_copy();
        }
        let now = self.state.clock.now();
        let parts = offer.into_iter().flat_map(move |it| copy_transfer::copy_parts(it, now));
        let parts = stream::iter(parts).map(move |part| {
            let _permit = &permit;
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
        let grant = {
            let mut core = self.state.core.lock();
            let granted = core.grant(&organisation, count, now);
            granted.or_else(|| core.lend(&organisation, count, now))
        };
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
        let new_reports = self.state.core.lock().apply_cold_reports(&reports, now);
        if !new_reports.is_empty() {
            log::info!(servers = new_reports.len(); "another host reported cold servers");
            if request.relay {
                let recipients = self.state.core.lock().region_peers();
                self.cold_broadcaster.send_to(new_reports, recipients);
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
        let received = EvidencePosition(evidence_position);
        let incarnation = self.state.record.incarnation;
        // A region without servers of its own has no load to report, but may have evidence.
        let is_far = !regions.is_empty() || (host.is_empty() && !evidence.is_empty());
        if is_far {
            let regions = decode_regions(&regions, now);
            let mut core = self.state.core.lock();
            core.apply_region_loads(regions);
            take_evidence(&mut core, evidence);
            let (evidence, after) = core.evidence_for(None, received, incarnation);
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
        let (new_reports, position) = core.collect_loads(&reports, position, now);
        take_evidence(&mut core, evidence);
        // A host of an earlier release does not send its identifier and accepts no evidence.
        let caller = host.parse::<HostId>().ok();
        let (evidence, after) = core.evidence_for(caller.as_ref(), received, incarnation);
        let reply = ShareLoadsReply {
            reports: Some(encode_reports(&new_reports, now)),
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
pub async fn serve(
    state: Arc<EntryState>,
    cold_broadcaster: Arc<ColdBroadcaster>,
    listener: TcpListener,
) {
    let copy_permits = Arc::new(Semaphore::new(MAX_COPIES));
    let service = EntryServer::new(PeerServer { state, cold_broadcaster, copy_permits });
    let server = Server::builder().tcp_nodelay(true).add_service(service);
    if let Err(err) = server.serve_with_incoming(TcpListenerStream::new(listener)).await {
        log::error!(error:% = err; "serve other hosts");
    }
}
