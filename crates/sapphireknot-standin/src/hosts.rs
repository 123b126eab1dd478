//! Stand-in for the host list of the platform.
//!
//! | Control call | Body |
//! |---|---|
//! | `PUT /hosts` | list of [`HostRow`] |
//! | `GET /hosts` | the latest list, regardless of `lag_ms` |
//! | `PUT /faults` | [`HostFaults`] |

use std::{
    collections::VecDeque,
    future::pending,
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use http::Method;
use parking_lot::Mutex;
use sapphireknot_wire::store::{
    ListHostsReply, ListHostsRequest, ListedHost,
    hosts_server::{Hosts, HostsServer},
};
use serde::{Deserialize, Serialize};
use tonic::{
    Request, Response, Status,
    transport::{Server, server::TcpIncoming},
};

use crate::{
    control::{ControlHandler, ControlReply, ServiceRuntime, serve_control, with_body},
    store::OutageKind,
};

/// Number of past lists that are kept for stale replies.
const MAX_LISTS: usize = 1_000;

/// Host of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostRow {
    /// Identifier.
    pub id: String,
    /// Region.
    pub region: String,
    /// Data centre.
    pub datacentre: String,
    /// Address for other hosts.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Whether the host is shutting down.
    #[serde(default)]
    pub leaving: bool,
}

/// Faults of the host list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostFaults {
    /// Fails all calls while it is set.
    pub outage: Option<OutageKind>,
    /// Age in milliseconds of the list that replies return.
    pub lag_ms: u64,
}

/// History of the host list and its faults.
#[derive(Debug, Default)]
pub struct HostRegistry {
    lists: Mutex<VecDeque<(Instant, Vec<HostRow>)>>,
    faults: Mutex<HostFaults>,
}

impl HostRegistry {
    /// Replaces the list.
    pub fn set_hosts(&self, rows: Vec<HostRow>) {
        let mut lists = self.lists.lock();
        if lists.len() == MAX_LISTS {
            lists.pop_front();
        }
        lists.push_back((Instant::now(), rows));
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: HostFaults) {
        *self.faults.lock() = faults;
    }

    /// Returns the latest list.
    pub fn latest(&self) -> Vec<HostRow> {
        self.lists.lock().back().map(|(_, rows)| rows.clone()).unwrap_or_default()
    }

    /// Returns the list that was current `lag_ms` before `now`; empty if none was set by then.
    pub fn lagging(&self, now: Instant) -> Vec<HostRow> {
        let lag = Duration::from_millis(self.faults.lock().lag_ms);
        let lists = self.lists.lock();
        let seen = lists.iter().rev().find(|(set, _)| now.duration_since(*set) >= lag);
        seen.map(|(_, rows)| rows.clone()).unwrap_or_default()
    }
}

/// Bound addresses of a host list.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct HostListAddresses {
    /// Address of the gRPC service `Hosts`.
    pub hosts: SocketAddr,
    /// Control address.
    pub control: SocketAddr,
}

/// Running host list; stopped when dropped.
#[derive(Debug)]
pub struct HostListServer {
    registry: Arc<HostRegistry>,
    addresses: HostListAddresses,
    _runtime: ServiceRuntime,
}

impl HostListServer {
    /// Serves an empty list at `listen`, and its control at `control`.
    pub fn start(listen: SocketAddr, control: SocketAddr) -> io::Result<Self> {
        let registry = Arc::new(HostRegistry::default());
        let runtime = ServiceRuntime::start()?;
        let handler = HostListService(registry.clone());
        let hosts = runtime.listen(listen, |listener| async move {
            let server = Server::builder().add_service(HostsServer::new(handler));
            let _ = server.serve_with_incoming(TcpIncoming::from(listener)).await;
        })?;
        let control_handler = Arc::new(HostListControl(registry.clone()));
        let control =
            runtime.listen(control, |listener| serve_control(listener, control_handler))?;
        let addresses = HostListAddresses { hosts, control };
        Ok(Self { registry, addresses, _runtime: runtime })
    }

    /// Bound addresses.
    pub fn addresses(&self) -> HostListAddresses {
        self.addresses
    }

    /// Registry that the server reads.
    pub fn registry(&self) -> &HostRegistry {
        &self.registry
    }
}

struct HostListControl(Arc<HostRegistry>);

impl ControlHandler for HostListControl {
    fn handle(&self, method: &Method, path: &str, body: &[u8]) -> ControlReply {
        match (method.as_str(), path) {
            ("GET", "/hosts") => ControlReply::content(&self.0.latest()),
            ("PUT", "/hosts") => with_body(body, |rows: Vec<HostRow>| {
                self.0.set_hosts(rows);
                ControlReply::done()
            }),
            ("PUT", "/faults") => with_body(body, |faults: HostFaults| {
                self.0.set_faults(faults);
                ControlReply::done()
            }),
            _ => ControlReply::not_found(),
        }
    }
}

struct HostListService(Arc<HostRegistry>);

#[tonic::async_trait]
impl Hosts for HostListService {
    async fn list_hosts(
        &self,
        _request: Request<ListHostsRequest>,
    ) -> Result<Response<ListHostsReply>, Status> {
        let outage = self.0.faults.lock().outage;
        match outage {
            None => {}
            Some(OutageKind::Refused) => return Err(Status::unavailable("out of service")),
            Some(OutageKind::Silent) => return pending().await,
        }
        let hosts = self.0.lagging(Instant::now()).into_iter().map(to_listed_host).collect();
        Ok(Response::new(ListHostsReply { hosts }))
    }
}

fn to_listed_host(row: HostRow) -> ListedHost {
    ListedHost {
        id: row.id,
        region: row.region,
        datacentre: row.datacentre,
        peer_address: row.peer_address.to_string(),
        caller_address: row.caller_address.to_string(),
        leaving: row.leaving,
    }
}
