//! Moves of traffic between two versions on separate processes.

use std::time::{Duration, Instant};

use sapphireknot::operator::ItemState;
use sapphireknot_standin::{
    backend::{DefectEffect, VersionDefect},
    fixture::ServiceBed,
};

use super::version_bed::*;

/// Guards against a good version that misses its deadline, an item that stays pending, and a step above the cap.
#[tokio::test]
async fn good_version() {
    let bed = start_bed().await;
    let load = start_load(&bed, Duration::from_secs(16));
    apply_plan(&bed, "p1", Duration::from_secs(16)).await;
    let samples = sample_shares(&bed, 1.0, Duration::from_secs(16)).await;
    for shares in &samples {
        assert!(shares.iter().any(|it| *it > 0.0 && *it <= 0.01), "{shares:?}");
        assert!(shares.windows(2).all(|it| it[1] - it[0] <= 0.4 + 1e-9), "{shares:?}");
    }
    wait_item(&bed, "p1", ItemState::Done, Duration::from_secs(4)).await;
    let (old_before, new_before) = version_counts(&bed).await;
    let summary = load.await.unwrap();
    assert_eq!(summary.succeeded(), summary.total(), "{summary:?}");
    let (old, new) = version_counts(&bed).await;
    assert!(new > new_before, "the new version gets the requests");
    assert!(old <= old_before + 3, "the old version gets none: {old_before} then {old}");
}

/// Runs a move to a version with `defect`, and checks that it is taken back with a reason.
///
/// A host trips a version that nearly always fails within about ten requests of the fault on a route, and tells its peers
/// at once, so that three hosts with two routes stay under 60.
async fn take_back(bed: &ServiceBed, id: &str, defect: VersionDefect, reason: &str) {
    let is_late = defect.after_ms > 0;
    let fault = Instant::now() + Duration::from_millis(defect.after_ms);
    set_defects(bed, vec![defect]).await;
    let (old_start, mut new_start) = version_counts(bed).await;
    apply_plan(bed, id, Duration::from_secs(25)).await;
    if is_late {
        tokio::time::sleep_until(fault.into()).await;
        let (_, new) = version_counts(bed).await;
        assert!(new > new_start, "{id}: the version is in use when its fault begins");
        new_start = new;
    }
    let found = wait_item(bed, id, ItemState::Reverted, Duration::from_secs(20)).await;
    assert!(found.contains(reason), "{id}: {found}");
    sample_shares(bed, 0.0, Duration::from_secs(2)).await;
    let (old, new) = version_counts(bed).await;
    let (old, new) = (old - old_start, new - new_start);
    assert!(new <= 60, "{id}: {new} requests after the fault, {old} on the old version");
    let (_, before) = version_counts(bed).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let (_, after) = version_counts(bed).await;
    assert_eq!(before, after, "{id}: no request after the version was taken back");
    println!("{id}: {new} after the fault, {old} on the old version: {found}");
}

/// Guards against a version that fails or is slow from the start and keeps its traffic.
#[tokio::test]
async fn bad_from_start() {
    let bed = start_bed().await;
    let load = start_load(&bed, Duration::from_secs(60));
    take_back(&bed, "p1", VersionDefect::always(DefectEffect::Fail), "failed").await;
    take_back(&bed, "p2", VersionDefect::always(DefectEffect::SlowMs(300)), "slow").await;
    load.abort();
}

/// Guards against a fault that begins at a larger share, or on one route only, and is not seen.
#[tokio::test]
async fn bad_later() {
    let bed = start_bed().await;
    let load = start_load(&bed, Duration::from_secs(60));
    let late = VersionDefect { after_ms: 6_000, ..VersionDefect::always(DefectEffect::Fail) };
    take_back(&bed, "p1", late, "failed").await;
    let one_route = VersionDefect {
        path_prefix: "/reports/public".to_owned(),
        ..VersionDefect::always(DefectEffect::Fail)
    };
    take_back(&bed, "p2", one_route, "route public").await;
    load.abort();
}
