//! A backend server fails while requests are under way.

use sapphireknot_standin::{
    backend::{BackendFaults, DefectEffect, VersionDefect},
    fault::FaultRule,
    fixture::{BookingAnswer, BookingLoad, BookingOutcome, ProcessSignal, ServiceBed, ServicePlan},
};

use crate::support::{LIMIT, expect_consistent};

/// Whether the caller was told that the booking may have run.
fn is_unknown(outcome: &BookingOutcome) -> bool {
    matches!(&outcome.answer, BookingAnswer::Refused { ran, .. } if ran == "unknown")
}

/// Guards against a second run of a booking, a false "not run", an incomplete answer and another request's answer, when a
/// backend server closes connections before or after the run, or is late, slow, or sends half of a response.
#[tokio::test]
async fn broken_responses() {
    let bed = ServiceBed::start(ServicePlan::paired(1)).await.unwrap();
    let callers: Vec<_> = (0..3).map(|it| bed.direct_caller(it, "acme")).collect();
    let load = BookingLoad::start(&callers, 4);
    let half = FaultRule::share(0.5);
    // The routes time out after two seconds.
    let slow = VersionDefect { share: 0.5, ..VersionDefect::always(DefectEffect::SlowMs(2_500)) };
    let faults = [
        BackendFaults { reset_after: half, ..BackendFaults::default() },
        BackendFaults { reset_before: half, ..BackendFaults::default() },
        BackendFaults { truncated: half, ..BackendFaults::default() },
        BackendFaults { late: half, late_ms: 2_500, ..BackendFaults::default() },
        BackendFaults { defects: vec![slow], ..BackendFaults::default() },
    ];
    for faults in faults {
        bed.set_backend_faults(0, &faults).await.unwrap();
        let condition = format!("callers meet {faults:?}");
        load.wait_more(&condition, 3, LIMIT, is_unknown).await.unwrap();
        bed.set_backend_faults(0, &BackendFaults::default()).await.unwrap();
        load.wait_more("bookings are made", 30, LIMIT, BookingOutcome::is_done).await.unwrap();
    }
    let outcomes = load.stop().await;
    expect_consistent(&bed, &outcomes);
}

/// Guards against a shed booking that is refused although another backend server is free, or sent again after it ran.
#[tokio::test]
async fn shed_requests() {
    let bed = ServiceBed::start(ServicePlan::paired(1)).await.unwrap();
    let callers: Vec<_> = (0..3).map(|it| bed.direct_caller(it, "acme")).collect();
    let load = BookingLoad::start(&callers, 4);
    let faults = BackendFaults { shed: FaultRule::share(1.0), ..BackendFaults::default() };
    bed.set_backend_faults(0, &faults).await.unwrap();
    load.wait_more("bookings are made", 100, LIMIT, BookingOutcome::is_done).await.unwrap();
    let outcomes = load.stop().await;
    expect_consistent(&bed, &outcomes);
    assert!(bed.counts().await.unwrap()[0].shed > 0);
    assert!(!outcomes.iter().any(is_unknown));
}

/// Guards against the same when a backend server is killed, and against a service that goes down with it.
#[tokio::test]
async fn killed_server() {
    let bed = ServiceBed::start(ServicePlan::paired(1)).await.unwrap();
    let callers: Vec<_> = (0..3).map(|it| bed.direct_caller(it, "acme")).collect();
    let load = BookingLoad::start(&callers, 4);
    load.wait_more("bookings are made", 60, LIMIT, BookingOutcome::is_done).await.unwrap();
    bed.bed.backends()[0].process.signal(ProcessSignal::Kill).unwrap();
    load.wait_more("the others serve", 200, LIMIT, BookingOutcome::is_done).await.unwrap();
    let before = load.outcomes().len();
    load.wait_more("the others serve", 100, LIMIT, BookingOutcome::is_done).await.unwrap();
    let outcomes = load.stop().await;
    expect_consistent(&bed, &outcomes);
    // A refused connection proves that a booking did not run, so it goes to another backend server.
    let late: Vec<_> = outcomes[before..].iter().filter(|it| !it.is_done()).collect();
    assert!(late.is_empty(), "{late:?}");
}

/// Guards against the same when a backend server stands still and goes on with old requests later.
#[tokio::test]
async fn frozen_server() {
    let bed = ServiceBed::start(ServicePlan::paired(1)).await.unwrap();
    let callers: Vec<_> = (0..3).map(|it| bed.direct_caller(it, "acme")).collect();
    let load = BookingLoad::start(&callers, 4);
    load.wait_more("bookings are made", 60, LIMIT, BookingOutcome::is_done).await.unwrap();
    bed.bed.backends()[1].process.signal(ProcessSignal::Freeze).unwrap();
    load.wait_more("callers are refused", 3, LIMIT, is_unknown).await.unwrap();
    bed.bed.backends()[1].process.signal(ProcessSignal::Thaw).unwrap();
    load.wait_more("bookings are made", 60, LIMIT, BookingOutcome::is_done).await.unwrap();
    let outcomes = load.stop().await;
    expect_consistent(&bed, &outcomes);
}
