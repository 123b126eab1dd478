//! Failures of a backend server while requests are in flight.

use sapphireknot_standin::{
    backend::{BackendFaults, DefectEffect, VersionDefect},
    fault::FaultRule,
    fixture::{BookingAnswer, BookingLoad, BookingOutcome, ProcessSignal, ServiceBed, ServicePlan},
};

use crate::support::{WAIT_TIMEOUT, expect_consistent};

/// Whether the response says that the booking may have run.
fn is_unknown(outcome: &BookingOutcome) -> bool {
    matches!(&outcome.answer, BookingAnswer::Refused { ran, .. } if ran == "unknown")
}

/// Guards against bookings that run twice, are reported as not run although they ran, or get an incomplete response or
/// that of another request, when a backend server resets connections before or after the run, responds late or slowly,
/// or truncates responses.
#[tokio::test]
async fn broken_responses() {
    let bed = ServiceBed::start(ServicePlan::paired(1)).await.unwrap();
    let callers: Vec<_> = (0..3).map(|it| bed.direct_caller(it, "acme")).collect();
    let load = BookingLoad::start(&callers, 4);
    let half_of_requests = FaultRule::share(0.5);
    // The routes time out after two seconds.
    let slow = VersionDefect { share: 0.5, ..VersionDefect::always(DefectEffect::SlowMs(2_500)) };
    let faults = [
        BackendFaults { reset_after: half_of_requests, ..BackendFaults::default() },
        BackendFaults { reset_before: half_of_requests, ..BackendFaults::default() },
        BackendFaults { truncated: half_of_requests, ..BackendFaults::default() },
        BackendFaults { late: half_of_requests, late_ms: 2_500, ..BackendFaults::default() },
        BackendFaults { defects: vec![slow], ..BackendFaults::default() },
    ];
    let mut wait_error = None;
    for faults in faults {
        bed.set_backend_faults(0, &faults).await.unwrap();
        let condition = format!("bookings have an unknown outcome with {faults:?}");
        // Consistency is checked before this wait fails: if bookings were retried, none would be refused as unknown,
        // and the second runs are the error to report.
        wait_error = load.wait_more(&condition, 3, WAIT_TIMEOUT, is_unknown).await.err();
        if wait_error.is_some() {
            break;
        }
        bed.set_backend_faults(0, &BackendFaults::default()).await.unwrap();
        load.wait_more("bookings are made", 30, WAIT_TIMEOUT, BookingOutcome::is_done)
            .await
            .unwrap();
    }
    let outcomes = load.stop().await;
    expect_consistent(&bed, &outcomes);
    assert!(wait_error.is_none(), "{wait_error:?}");
}

/// Guards against a shed booking that is refused although another backend server has free slots, or retried after it
/// ran.
#[tokio::test]
async fn shed_requests() {
    let bed = ServiceBed::start(ServicePlan::paired(1)).await.unwrap();
    let callers: Vec<_> = (0..3).map(|it| bed.direct_caller(it, "acme")).collect();
    let load = BookingLoad::start(&callers, 4);
    let faults = BackendFaults { shed: FaultRule::share(1.0), ..BackendFaults::default() };
    bed.set_backend_faults(0, &faults).await.unwrap();
    load.wait_more("bookings are made", 100, WAIT_TIMEOUT, BookingOutcome::is_done).await.unwrap();
    let outcomes = load.stop().await;
    expect_consistent(&bed, &outcomes);
    assert!(bed.counts().await.unwrap()[0].shed > 0);
    assert!(!outcomes.iter().any(is_unknown));
}

/// Guards against bookings that run twice or get a wrong answer when a backend server is killed, and against requests
/// that fail although other servers are available.
#[tokio::test]
async fn killed_server() {
    let bed = ServiceBed::start(ServicePlan::paired(1)).await.unwrap();
    let callers: Vec<_> = (0..3).map(|it| bed.direct_caller(it, "acme")).collect();
    let load = BookingLoad::start(&callers, 4);
    load.wait_more("bookings are made", 60, WAIT_TIMEOUT, BookingOutcome::is_done).await.unwrap();
    bed.bed.backends()[0].process.signal(ProcessSignal::Kill).unwrap();
    load.wait_more("the other servers serve", 200, WAIT_TIMEOUT, BookingOutcome::is_done)
        .await
        .unwrap();
    let before = load.outcomes().len();
    load.wait_more("the other servers serve", 100, WAIT_TIMEOUT, BookingOutcome::is_done)
        .await
        .unwrap();
    let outcomes = load.stop().await;
    expect_consistent(&bed, &outcomes);
    // A refused connection proves that a booking did not run, so it must be retried at another backend server.
    let late: Vec<_> = outcomes[before..].iter().filter(|it| !it.is_done()).collect();
    assert!(late.is_empty(), "{late:?}");
}

/// Guards against bookings that run twice or get a wrong answer when a backend server is frozen and continues with old
/// requests after the thaw.
#[tokio::test]
async fn frozen_server() {
    let bed = ServiceBed::start(ServicePlan::paired(1)).await.unwrap();
    let callers: Vec<_> = (0..3).map(|it| bed.direct_caller(it, "acme")).collect();
    let load = BookingLoad::start(&callers, 4);
    load.wait_more("bookings are made", 60, WAIT_TIMEOUT, BookingOutcome::is_done).await.unwrap();
    bed.bed.backends()[1].process.signal(ProcessSignal::Freeze).unwrap();
    load.wait_more("bookings have an unknown outcome", 3, WAIT_TIMEOUT, is_unknown).await.unwrap();
    bed.bed.backends()[1].process.signal(ProcessSignal::Thaw).unwrap();
    load.wait_more("bookings are made", 60, WAIT_TIMEOUT, BookingOutcome::is_done).await.unwrap();
    let outcomes = load.stop().await;
    expect_consistent(&bed, &outcomes);
}
