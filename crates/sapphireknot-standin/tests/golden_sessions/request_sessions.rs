//! Sessions in which callers send requests.

use http::Method;
use sapphireknot_standin::{
    backend::{BackendFaults, DefectEffect, VersionDefect},
    client::HttpCall,
    fault::FaultRule,
    fixture::{OrganisationPlan, ServiceBed, ServicePlan},
};

use crate::recorder::SessionRecorder;

/// Guards against an unintended change in the responses to callers, from the first start without a configuration on,
/// for each kind of request and refusal.
#[tokio::test]
async fn first_start() {
    let mut plan = ServicePlan::small(1);
    let tiny = OrganisationPlan { id: "tiny".to_owned(), rate: "1/s".to_owned(), burst: 1 };
    plan.organisations.push(tiny);
    let mut session = SessionRecorder::new(ServiceBed::start_empty(plan).await.unwrap());
    let item = || HttpCall::get("/reports/items/1");
    session.request(0, Some("acme"), item()).await;
    session.command(0, &["config"]).await;
    session.init().await;
    session.init().await;
    let lookup = HttpCall::get("/v1/lookup?client=127.0.0.1&organisation=acme");
    session.request(0, None, lookup).await;
    session.request(0, Some("acme"), item()).await;
    session.request(1, Some("beta"), ServiceBed::booking("b1")).await;
    session.request(2, None, HttpCall::get("/reports/public")).await;

    session.remark("refusals");
    session.request(0, Some("acme"), HttpCall::get("/nothing")).await;
    session.request(0, Some("acme"), HttpCall::new(Method::DELETE, "/reports/items/1")).await;
    session.request(0, Some("acme"), HttpCall::get("/reports/items/%zz")).await;
    session.request(0, None, item()).await;
    session.request(0, Some("nobody"), item()).await;
    session.request_until(0, "tiny", item(), "over-rate").await;

    session.remark("the backend server resets the connection after the run");
    let faults = BackendFaults { reset_after: FaultRule::next(1), ..BackendFaults::default() };
    session.bed.set_backend_faults(0, &faults).await.unwrap();
    session.request(0, Some("acme"), ServiceBed::booking("b2")).await;
    session.remark("the backend server sheds");
    let faults = BackendFaults { shed: FaultRule::share(1.0), ..BackendFaults::default() };
    session.bed.set_backend_faults(1, &faults).await.unwrap();
    session.request(1, Some("acme"), ServiceBed::booking("b3")).await;
    session.remark("the backend server sends its response after the deadline");
    let late = FaultRule::share(1.0);
    let faults = BackendFaults { late, late_ms: 3_000, ..BackendFaults::default() };
    session.bed.set_backend_faults(2, &faults).await.unwrap();
    session.request(2, Some("acme"), ServiceBed::booking("b4")).await;
    session.remark("the backend server fails");
    let defects = vec![VersionDefect::always(DefectEffect::Fail)];
    let faults = BackendFaults { defects, ..BackendFaults::default() };
    session.bed.set_backend_faults(0, &faults).await.unwrap();
    session.request(0, Some("acme"), ServiceBed::booking("b5")).await;
    session.finish("first_start", 1).await;
}
