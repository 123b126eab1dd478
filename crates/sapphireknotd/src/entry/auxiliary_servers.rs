//! Listeners other than the one for callers: directory, readiness check and metrics.

use std::{future::pending, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::{body::Incoming, service::service_fn};
use prometheus::{Registry, TextEncoder};
use sapphireknot::steering::{feed_copy::CopySource, host_lookup::select_hosts};
use tokio::{net::TcpListener, sync::Semaphore};

use super::state::EntryState;
use crate::serving::{
    AcceptOptions, OverflowPolicy, accept_connections, http1_builder, serve_http1,
};

/// Time within which the headers of a request must arrive; also the idle timeout of a connection.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves the directory, which tells callers where to connect.
pub async fn serve_directory(state: Arc<EntryState>, listener: TcpListener) {
    serve(listener, move |request| {
        let state = state.clone();
        async move { answer_directory(&state, &request) }
    })
    .await;
}

fn answer_directory(state: &EntryState, request: &Request<Incoming>) -> Response<Bytes> {
    let dialect = &state.platform.dialect;
    let Some(query) = dialect.parse_resolve_query(request.uri()) else {
        return empty_response(StatusCode::NOT_FOUND);
    };
    let region = query.region.unwrap_or_else(|| state.record.region.clone());
    let plan = state.plan.load();
    let addresses = {
        // A host that is ready is listed even if the store has not yet returned its own registration.
        let own = state.is_ready().then_some(&state.record);
        let core = state.core.lock();
        let own = own.filter(|own| core.hosts().all(|it| it.id != own.id));
        let (hosts, plan) = (core.hosts().chain(own), plan.as_deref());
        select_hosts(hosts, plan, &query.host_name, &region, &mut rand::rng())
    };
    if addresses.is_empty() {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    let lifetime = state.settings.load().bounds.name_lifetime.0;
    let mut response = Response::new(dialect.encode_addresses(&addresses, lifetime));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Serves the readiness check of the platform.
pub async fn serve_readiness(state: Arc<EntryState>, listener: TcpListener) {
    serve(listener, move |request| {
        let state = state.clone();
        async move {
            if !state.platform.dialect.is_readiness_probe(request.uri()) {
                return empty_response(StatusCode::NOT_FOUND);
            }
            empty_response(if state.is_ready() {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            })
        }
    })
    .await;
}

/// Serves metrics in text format.
pub async fn serve_metrics(state: Arc<EntryState>, registry: Registry, listener: TcpListener) {
    serve(listener, move |_| {
        let text = metrics_text(&state, &registry);
        async move { Response::new(Bytes::from(text)) }
    })
    .await;
}

fn metrics_text(state: &EntryState, registry: &Registry) -> String {
    let mut text = match TextEncoder::new().encode_to_string(&registry.gather()) {
        Ok(text) => text,
        Err(err) => {
            log::warn!(error:% = err; "encode metrics");
            String::new()
        }
    };
    for count in state.platform.store.call_counts() {
        let call = count.call.replace(' ', "_");
        let results = [("answered", count.answered), ("failed", count.failed)];
        for (result, value) in results {
            let line = format!(
                "sapphireknot_entry_store_calls{{call=\"{call}\",result=\"{result}\"}} {value}\n"
            );
            text.push_str(&line);
        }
    }
    let now = state.clock.now();
    let (source, age) = {
        let copy = state.copy.lock();
        (copy.source(), copy.age(now))
    };
    if let Some(age) = age {
        for known in [CopySource::Store, CopySource::Peer] {
            let (name, value) = (known.as_str(), u8::from(known == source));
            text.push_str(&format!(
                "sapphireknot_entry_feed_source{{source=\"{name}\"}} {value}\n"
            ));
        }
        text.push_str(&format!("sapphireknot_entry_feed_age_seconds {:.3}\n", age.as_secs_f64()));
    }
    let core = state.core.lock();
    let share = core.share(now);
    if let Some(plan) = core.plan() {
        text.push_str(&format!("sapphireknot_entry_plan_generation {}\n", plan.generation));
    }
    text.push_str(&format!("sapphireknot_entry_hosts {}\n", share.hosts));
    text.push_str(&format!("sapphireknot_entry_traffic_share {}\n", share.traffic.as_fraction()));
    for (service, picker) in core.pickers() {
        let usable = picker.servers().iter().filter(|it| it.is_usable(now)).count();
        text.push_str(&format!(
            "sapphireknot_entry_usable_servers{{service=\"{service}\"}} {usable}\n"
        ));
        text.push_str(&format!(
            "sapphireknot_entry_home_share{{service=\"{service}\"}} {:.3}\n",
            picker.home_share()
        ));
        for load in picker.other_regions(now) {
            text.push_str(&format!(
                "sapphireknot_entry_region_load{{service=\"{service}\",region=\"{}\"}} {:.3}\n",
                load.region, load.utilisation
            ));
        }
    }
    text
}

fn empty_response(status: StatusCode) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    response
}

async fn serve<F, R>(listener: TcpListener, handler: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<Bytes>> + Send,
{
    let serve = |stream, _peer| {
        let handler = handler.clone();
        async move {
            let service = service_fn(|request| {
                let handler = handler.clone();
                async move { Ok(handler(request).await.map(Full::new)) }
            });
            let builder = http1_builder(READ_TIMEOUT);
            if let Err(err) = serve_http1(stream, &builder, service, pending(), || true).await {
                log::debug!(error:% = err; "connection ended");
            }
        }
    };
    let rules = AcceptOptions {
        max_connections: Semaphore::MAX_PERMITS,
        when_full: OverflowPolicy::Wait,
        failure: "accept connection",
    };
    accept_connections(listener, rules, pending(), serve).await;
}
