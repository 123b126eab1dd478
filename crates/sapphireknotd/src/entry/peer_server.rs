//! Calls of other hosts.

use std::{pin::Pin, sync::Arc};

use futures_util::{Stream, StreamExt, stream};
use sapphireknot::{
    ids::OrganisationId,
    steering::{feed_copy::CopyRevision, loads::ReportPosition},
};
use sapphireknot_wire::entry::{
    CopyPart, ReadCopyRequest, ShareLoadsReply, ShareLoadsRequest, TakeTokensReply,
    TakeTokensRequest,
    entry_server::{Entry, EntryServer},
};
use tokio::{net::TcpListener, sync::Semaphore};
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status, transport::Server};

use super::{
    load_peers::{decode_regions, decode_reports, encode_regions, encode_reports},
    peer_source,
    state::EntryState,
};

/// Copies that are sent at the same time: each holds one message in memory, and many hosts may start together.
const MAX_COPIES: usize = 8;

/// Server of the calls between hosts.
struct PeerServer {
    state: Arc<EntryState>,
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
        let now = self.state.clock.now();
        let parts = offer.into_iter().flat_map(move |it| peer_source::parts(it, now));
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

    async fn share_loads(
        &self,
        request: Request<ShareLoadsRequest>,
    ) -> Result<Response<ShareLoadsReply>, Status> {
        let ShareLoadsRequest { reports, position, regions } = request.into_inner();
        let now = self.state.clock.now();
        if !regions.is_empty() {
            let regions = decode_regions(&regions, now);
            let mut core = self.state.core.lock();
            core.take_region_loads(regions);
            let regions = encode_regions(&core.own_region_loads(now), now);
            return Ok(Response::new(ShareLoadsReply { regions, ..ShareLoadsReply::default() }));
        }
        let reports = decode_reports(&reports.unwrap_or_default(), now);
        self.state.meters.count_load_reports(reports.len());
        let position = ReportPosition(position);
        let mut core = self.state.core.lock();
        let (news, position) = core.collect_loads(&reports, position, now);
        let regions = encode_regions(&core.region_loads(now), now);
        let reports = Some(encode_reports(&news, now));
        Ok(Response::new(ShareLoadsReply { reports, position: position.0, regions }))
    }
}

/// Serves other hosts until the process ends.
pub async fn serve(state: Arc<EntryState>, listener: TcpListener) {
    let copies = Arc::new(Semaphore::new(MAX_COPIES));
    let service = EntryServer::new(PeerServer { state, copies });
    let server = Server::builder().tcp_nodelay(true).add_service(service);
    if let Err(err) = server.serve_with_incoming(TcpListenerStream::new(listener)).await {
        log::error!(error:% = err; "serve other hosts");
    }
}
