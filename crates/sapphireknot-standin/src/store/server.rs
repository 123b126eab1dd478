//! gRPC server of the store, with a control address.
//!
//! | Control call | Body |
//! |---|---|
//! | `GET /faults`, `PUT /faults` | [`StoreFaults`] |
//! | `GET /counts` | [`super::CallCounts`] |
//! | `POST /end-lease` | `{"lease": 7}` or `{"key": "role/a"}` |

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use http::Method;
use sapphireknot_platform::{LeaseId, StoreRevision, StoredEntry, SwapOutcome, SwapWrite};
use sapphireknot_wire::store::{
    Entry, GetReply, GetRequest, GrantLeaseReply, GrantLeaseRequest, ListReply, ListRequest,
    RenewLeaseReply, RenewLeaseRequest, RevokeLeaseReply, RevokeLeaseRequest, SwapReply,
    SwapRequest, WatchReply, WatchRequest,
    store_server::{Store, StoreServer as StoreService},
};
use serde::{Deserialize, Serialize};
use tonic::{
    Request, Response, Status,
    transport::{Server, server::TcpIncoming},
};

use super::memory::{CallFailure, MemoryStore, StoreFaults};
use crate::control::{ControlHandler, ControlReply, ServiceRuntime, serve_control, with_body};

/// Size limit of a gRPC message; above the 1 MiB limit of a value.
const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// Time limit of calls to the in-memory store through its trait; gRPC clients have their own.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Bound addresses of a store.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct StoreAddresses {
    /// Address of the gRPC service `Store`.
    pub store: SocketAddr,
    /// Control address.
    pub control: SocketAddr,
}

/// Running store; stopped when dropped.
#[derive(Debug)]
pub struct StoreServer {
    store: Arc<MemoryStore>,
    addresses: StoreAddresses,
    _runtime: ServiceRuntime,
}

impl StoreServer {
    /// Serves an empty store at `listen`, and its control at `control`.
    pub fn start(listen: SocketAddr, control: SocketAddr) -> io::Result<Self> {
        let store = Arc::new(MemoryStore::new(CALL_TIMEOUT));
        let runtime = ServiceRuntime::start()?;
        let handler = GrpcStore(store.clone());
        let listen = runtime.listen(listen, |listener| async move {
            let service = StoreService::new(handler)
                .max_decoding_message_size(MAX_MESSAGE_BYTES)
                .max_encoding_message_size(MAX_MESSAGE_BYTES);
            let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
            let server = Server::builder().add_service(service);
            // Runs until the runtime shuts down; errors of single connections do not end it.
            let _ = server.serve_with_incoming(incoming).await;
        })?;
        let control_handler = Arc::new(StoreControl(store.clone()));
        let control =
            runtime.listen(control, |listener| serve_control(listener, control_handler))?;
        let addresses = StoreAddresses { store: listen, control };
        Ok(Self { store, addresses, _runtime: runtime })
    }

    /// Bound addresses.
    pub fn addresses(&self) -> StoreAddresses {
        self.addresses
    }

    /// Store that the server exposes.
    pub fn store(&self) -> &MemoryStore {
        &self.store
    }

    /// Stops the server and drops its connections and pending calls.
    pub fn stop(self) {}
}

struct StoreControl(Arc<MemoryStore>);

/// Body of `POST /end-lease`. Serde puts the name of this enum into the error reply to a malformed body.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum LeaseChoice {
    Lease { lease: u64 },
    Key { key: String },
}

impl ControlHandler for StoreControl {
    fn handle(&self, method: &Method, path: &str, body: &[u8]) -> ControlReply {
        match (method.as_str(), path) {
            ("GET", "/faults") => ControlReply::content(&self.0.faults()),
            ("PUT", "/faults") => with_body(body, |faults: StoreFaults| {
                self.0.set_faults(faults);
                ControlReply::done()
            }),
            ("GET", "/counts") => ControlReply::content(&self.0.counts()),
            ("POST", "/end-lease") => with_body(body, |selector: LeaseChoice| {
                let lease = match selector {
                    LeaseChoice::Lease { lease } => Some(LeaseId(lease)),
                    LeaseChoice::Key { key } => self.0.lease_of(&key),
                };
                let Some(lease) = lease else {
                    return ControlReply::bad_request("the entry has no lease");
                };
                self.0.end_lease(lease);
                ControlReply::done()
            }),
            _ => ControlReply::not_found(),
        }
    }
}

struct GrpcStore(Arc<MemoryStore>);

fn to_status(failure: CallFailure) -> Status {
    match failure {
        CallFailure::Outage => Status::unavailable("out of service"),
        CallFailure::Refused(reason) => Status::invalid_argument(reason),
    }
}

fn to_wire_entry(entry: StoredEntry) -> Entry {
    Entry {
        key: entry.key,
        value: entry.value,
        revision: entry.revision.0,
        lease: entry.lease.map_or(0, |it| it.0),
    }
}

fn swap_reply(outcome: SwapOutcome) -> SwapReply {
    let base = SwapReply { swapped: false, revision: 0, current: None, lease_alive: true };
    match outcome {
        SwapOutcome::Swapped(revision) => SwapReply { swapped: true, revision: revision.0, ..base },
        SwapOutcome::Conflict(current) => SwapReply { current: current.map(to_wire_entry), ..base },
        SwapOutcome::LeaseEnded => SwapReply { lease_alive: false, ..base },
    }
}

#[tonic::async_trait]
impl Store for GrpcStore {
    async fn get(&self, request: Request<GetRequest>) -> Result<Response<GetReply>, Status> {
        let key = request.into_inner().key;
        let entry = self.0.read(|map| map.get(&key)).await.map_err(to_status)?;
        Ok(Response::new(GetReply { entry: entry.map(to_wire_entry) }))
    }

    async fn list(&self, request: Request<ListRequest>) -> Result<Response<ListReply>, Status> {
        let prefix = request.into_inner().prefix;
        let entries = self.0.read(|map| map.list(&prefix)).await.map_err(to_status)?;
        let entries = entries.into_iter().map(to_wire_entry).collect();
        Ok(Response::new(ListReply { entries }))
    }

    async fn compare_and_swap(
        &self,
        request: Request<SwapRequest>,
    ) -> Result<Response<SwapReply>, Status> {
        let request = request.into_inner();
        let write = SwapWrite {
            key: request.key,
            expected: StoreRevision(request.expected_revision),
            value: request.value,
            lease: (request.lease != 0).then_some(LeaseId(request.lease)),
        };
        let outcome = self.0.write(|map, _| map.swap(write)).await.map_err(to_status)?;
        Ok(Response::new(swap_reply(outcome)))
    }

    async fn grant_lease(
        &self,
        request: Request<GrantLeaseRequest>,
    ) -> Result<Response<GrantLeaseReply>, Status> {
        let ttl = Duration::from_millis(request.into_inner().ttl_ms);
        let lease = self.0.write(|map, now| Ok(map.grant(ttl, now))).await.map_err(to_status)?;
        Ok(Response::new(GrantLeaseReply { lease: lease.0 }))
    }

    async fn renew_lease(
        &self,
        request: Request<RenewLeaseRequest>,
    ) -> Result<Response<RenewLeaseReply>, Status> {
        let leases: Vec<_> = request.into_inner().leases.into_iter().map(LeaseId).collect();
        let call = self.0.write(|map, now| Ok(map.renew(&leases, now)));
        let alive = call.await.map_err(to_status)?;
        Ok(Response::new(RenewLeaseReply { alive: alive.into_iter().map(|it| it.0).collect() }))
    }

    async fn revoke_lease(
        &self,
        request: Request<RevokeLeaseRequest>,
    ) -> Result<Response<RevokeLeaseReply>, Status> {
        let lease = LeaseId(request.into_inner().lease);
        let call = self.0.write(|map, _| {
            map.revoke(lease);
            Ok(())
        });
        call.await.map_err(to_status)?;
        Ok(Response::new(RevokeLeaseReply {}))
    }

    async fn watch(&self, request: Request<WatchRequest>) -> Result<Response<WatchReply>, Status> {
        let request = request.into_inner();
        let known = StoreRevision(request.known_revision);
        let wait = Duration::from_millis(request.wait_ms);
        let change = self.0.wait_change(&request.key, known, wait).await.map_err(to_status)?;
        let changed = change.is_some();
        Ok(Response::new(WatchReply { changed, entry: change.flatten().map(to_wire_entry) }))
    }
}
