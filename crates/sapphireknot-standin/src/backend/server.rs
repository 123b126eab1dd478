//! HTTP server of a stand-in backend, with a control address.
//!
//! | Control call | Body |
//! |---|---|
//! | `GET /faults`, `PUT /faults` | [`BackendFaults`] |
//! | `GET /counts` | [`super::RunCounts`] |
//! | `GET /records` | list of [`super::RequestRecord`] |
//! | `GET /load` | the actual [`super::LoadReport`], regardless of faults |
//! | `PUT /leaving` | `true` or `false` |
//! | `POST /cool-down` | none; restarts the warm-up |

use std::{io, net::SocketAddr, sync::Arc};

use http::Method;
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use super::{
    handler::handle_request,
    plan::{BackendFaults, BackendPlan},
    state::{BackendState, GaugeGuard},
};
use crate::control::{ControlHandler, ControlReply, ServiceRuntime, serve_control, with_body};

/// Bound addresses of a backend server.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct BackendAddresses {
    /// Address for requests and load reports.
    pub backend: SocketAddr,
    /// Control address.
    pub control: SocketAddr,
}

/// Running backend server; stopped when dropped.
#[derive(Debug)]
pub struct BackendServer {
    state: Arc<BackendState>,
    addresses: BackendAddresses,
    _runtime: ServiceRuntime,
}

impl BackendServer {
    /// Serves requests at `listen` and control calls at `control`.
    pub fn start(plan: BackendPlan, listen: SocketAddr, control: SocketAddr) -> io::Result<Self> {
        let state = Arc::new(BackendState::new(plan)?);
        let runtime = ServiceRuntime::start()?;
        let backend = runtime.listen(listen, |listener| serve(listener, state.clone()))?;
        let control_handler = Arc::new(BackendControl(state.clone()));
        let control =
            runtime.listen(control, |listener| serve_control(listener, control_handler))?;
        let addresses = BackendAddresses { backend, control };
        Ok(Self { state, addresses, _runtime: runtime })
    }

    /// Bound addresses.
    pub fn addresses(&self) -> BackendAddresses {
        self.addresses
    }

    /// Shared state, to read counters and set faults.
    pub fn state(&self) -> &BackendState {
        &self.state
    }

    /// Stops the server and drops its connections and running requests.
    pub fn stop(self) {}
}

async fn serve(listener: TcpListener, state: Arc<BackendState>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let state = state.clone();
        tokio::spawn(async move {
            let _guard = GaugeGuard::connection(&state);
            let _ = stream.set_nodelay(true);
            let service = service_fn(|request| handle_request(state.clone(), request));
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new());
            // Connection errors are expected: some faults reset connections.
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

struct BackendControl(Arc<BackendState>);

impl ControlHandler for BackendControl {
    fn handle(&self, method: &Method, path: &str, body: &[u8]) -> ControlReply {
        match (method.as_str(), path) {
            ("GET", "/faults") => ControlReply::content(&self.0.faults()),
            ("PUT", "/faults") => with_body(body, |faults: BackendFaults| {
                self.0.set_faults(faults);
                ControlReply::done()
            }),
            ("GET", "/counts") => ControlReply::content(&self.0.counts()),
            ("GET", "/records") => ControlReply::content(&self.0.records()),
            ("GET", "/load") => ControlReply::content(&self.0.actual_load()),
            ("PUT", "/leaving") => with_body(body, |leaving: bool| {
                self.0.set_leaving(leaving);
                ControlReply::done()
            }),
            ("POST", "/cool-down") => {
                self.0.reset_warmup();
                ControlReply::done()
            }
            _ => ControlReply::not_found(),
        }
    }
}
