//! Rollouts: traffic shifts between two versions of a service.

use std::time::{Duration, Instant};

use sapphireknot::operator::ItemState;
use sapphireknot_standin::{
    backend::{DefectEffect, VersionDefect},
    fixture::{ProcessSignal, ServiceBed},
    store::OutageKind,
};

use super::version_bed::*;

/// Guards against a rollout of a good version that misses its deadline, an item that stays pending, and a step above
/// the cap.
#[tokio::test]
async fn good_version() {
    let _permit = acquire_bed_permit().await;
    let bed = start_bed().await;
    let load = start_load(&bed, &[0, 1, 2], Duration::from_secs(16));
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
    assert!(new > new_before, "the new version received no requests");
    assert!(
        old <= old_before + 3,
        "the old version still received requests: {old_before} before, {old} after"
    );
}

/// Guards against a good version that is reverted because the servers of both versions were slow for a moment during
/// the rollout.
#[tokio::test]
async fn shared_slowness() {
    let _permit = acquire_bed_permit().await;
    let bed = start_bed().await;
    let load = start_load(&bed, &[0, 1, 2], Duration::from_secs(60));
    apply_plan(&bed, "p1", Duration::from_secs(16)).await;
    wait_share(&bed, 0, 0.5).await;
    set_slowness(&bed, 25).await;
    tokio::time::sleep(Duration::from_millis(800)).await;
    set_slowness(&bed, 0).await;
    wait_item(&bed, "p1", ItemState::Done, Duration::from_secs(17)).await;
    load.abort();
}

/// Rolls out a version with `defect`, and asserts that it is reverted for `reason`.
///
/// A host trips a version that nearly always fails after about ten failed requests on a route and notifies its peers
/// immediately, so three hosts with two routes send it fewer than 60 requests.
async fn expect_reverted(bed: &ServiceBed, id: &str, defect: VersionDefect, reason: &str) {
    let is_late = defect.after_ms > 0;
    let fault = Instant::now() + Duration::from_millis(defect.after_ms);
    set_defects(bed, vec![defect]).await;
    let (old_start, mut new_start) = version_counts(bed).await;
    apply_plan(bed, id, Duration::from_secs(25)).await;
    if is_late {
        tokio::time::sleep_until(fault.into()).await;
        let (_, new) = version_counts(bed).await;
        assert!(new > new_start, "{id}: the version is not in use when its fault begins");
        new_start = new;
    }
    let found = wait_item(bed, id, ItemState::Reverted, Duration::from_secs(20)).await;
    assert!(found.contains(reason), "{id}: unexpected reason: {found}");
    sample_shares(bed, 0.0, Duration::from_secs(2)).await;
    let (old, new) = version_counts(bed).await;
    let (old, new) = (old - old_start, new - new_start);
    assert!(new <= 60, "{id}: {new} requests after the fault began, {old} on the old version");
    let (_, before) = version_counts(bed).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let (_, after) = version_counts(bed).await;
    assert_eq!(before, after, "{id}: requests reached the version after it was reverted");
    println!("{id}: {new} requests after the fault began, {old} on the old version: {found}");
}

/// Guards against a version that fails or is slow from the start and is not reverted.
#[tokio::test]
async fn defective_from_start() {
    let _permit = acquire_bed_permit().await;
    let bed = start_bed().await;
    let load = start_load(&bed, &[0, 1, 2], Duration::from_secs(60));
    expect_reverted(&bed, "p1", VersionDefect::always(DefectEffect::Fail), "failed").await;
    expect_reverted(&bed, "p2", VersionDefect::always(DefectEffect::SlowMs(300)), "slow").await;
    load.abort();
}

/// Guards against a fault that is not detected because it begins at a larger share or affects only one route.
#[tokio::test]
async fn defect_starts_later() {
    let _permit = acquire_bed_permit().await;
    let bed = start_bed().await;
    let load = start_load(&bed, &[0, 1, 2], Duration::from_secs(60));
    let late = VersionDefect { after_ms: 6_000, ..VersionDefect::always(DefectEffect::Fail) };
    expect_reverted(&bed, "p1", late, "failed").await;
    let one_route = VersionDefect {
        path_prefix: "/reports/public".to_owned(),
        ..VersionDefect::always(DefectEffect::Fail)
    };
    expect_reverted(&bed, "p2", one_route, "route public").await;
    load.abort();
}

/// Guards against shares that rise or drop to zero while the store is down, and against a rollout that continues after
/// its deadline because no host can store its end.
#[tokio::test]
async fn store_outage() {
    let _permit = acquire_bed_permit().await;
    let bed = start_bed().await;
    let load = start_load(&bed, &[0, 1, 2], Duration::from_secs(60));
    let span = Duration::from_secs(15);
    let deadline = Instant::now() + span;
    apply_plan(&bed, "p1", span).await;
    wait_share(&bed, 1, 0.03).await;
    set_outage(&bed, Some(OutageKind::Silent)).await;
    // A state that was written just before the outage may still be propagating.
    tokio::time::sleep(Duration::from_millis(700)).await;
    let share_at_outage = highest_share(&bed).await;
    for _ in 0..20 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let share = highest_share(&bed).await;
        assert!(
            share > 0.0 && share <= share_at_outage,
            "share {share} during the outage, {share_at_outage} at its start"
        );
    }
    set_outage(&bed, None).await;
    wait_share(&bed, 2, share_at_outage * 2.0).await;
    set_outage(&bed, Some(OutageKind::Silent)).await;
    assert!(Instant::now() < deadline, "the second outage began after the deadline");
    tokio::time::sleep_until((deadline + Duration::from_millis(500)).into()).await;
    assert!(highest_share(&bed).await < 1e-9, "a host did not revert on its own");
    let (_, before) = version_counts(&bed).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(version_counts(&bed).await.1, before);
    set_outage(&bed, None).await;
    let reason = wait_item(&bed, "p1", ItemState::Reverted, Duration::from_secs(12)).await;
    assert!(reason.contains("deadline"), "{reason}");
    load.abort();
}

/// Guards against a rollout that stops when its planner fails, and against a thawed planner that overwrites a newer
/// state.
#[tokio::test]
async fn planner_lost() {
    let _permit = acquire_bed_permit().await;
    let bed = start_bed().await;
    // No requests are sent to the host that will be frozen, because they would hang.
    apply_plan(&bed, "p1", Duration::from_secs(28)).await;
    let first = wait_planner(&bed, None).await;
    let others: Vec<_> = (0..3).filter(|it| *it != first).collect();
    let load = start_load(&bed, &others, Duration::from_secs(60));
    wait_share(&bed, others[0], 0.01).await;
    bed.bed.signal_host(first, ProcessSignal::Freeze).unwrap();
    let second = wait_planner(&bed, Some(first)).await;
    let before = read_record(&bed, "rollout/reports").await.unwrap();
    wait_share(&bed, second, 0.09).await;
    bed.bed.signal_host(first, ProcessSignal::Thaw).unwrap();
    let mut seen = (before["token"].as_u64().unwrap(), before["step"].as_u64().unwrap());
    let end = Instant::now() + Duration::from_secs(2);
    while Instant::now() < end {
        let state = read_record(&bed, "rollout/reports").await.unwrap();
        let now = (state["token"].as_u64().unwrap(), state["step"].as_u64().unwrap());
        assert!(now >= seen, "{now:?} was written after {seen:?}");
        seen = now;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(
        seen.0 > before["token"].as_u64().unwrap(),
        "the second planner did not write its token"
    );
    load.abort();
    bed.bed.signal_host(second, ProcessSignal::Kill).unwrap();
    let left: Vec<_> = (0..3).filter(|it| *it != second).collect();
    let load = start_load(&bed, &left, Duration::from_secs(60));
    wait_planner(&bed, Some(second)).await;
    for index in left {
        wait_share(&bed, index, 1.0).await;
    }
    load.abort();
}

/// Guards against requests that are refused because the new version has no servers, against a plan that continues after
/// it was replaced or withdrawn, and against an item status without that reason.
#[tokio::test]
async fn plan_changes() {
    let _permit = acquire_bed_permit().await;
    let bed = start_bed().await;
    let load = start_load(&bed, &[0, 1, 2], Duration::from_secs(17));
    apply_plan(&bed, "p1", Duration::from_secs(30)).await;
    wait_share(&bed, 0, 0.01).await;
    apply_plan(&bed, "p2", Duration::from_secs(30)).await;
    let reason = wait_item(&bed, "p1", ItemState::Reverted, Duration::from_secs(3)).await;
    assert!(reason.contains("replaced by plan p2"), "{reason}");
    wait_share(&bed, 0, 0.03).await;
    let note = "{id: note-w, items: [{withdraw: {traffic: reports}}, \
                {add: {version: {service: reports, version: v3}}}]}";
    bed.apply(1, note, &[]).await.unwrap().expect_code(0).unwrap();
    let reason = wait_item(&bed, "p2", ItemState::Reverted, Duration::from_secs(3)).await;
    assert!(reason.contains("withdrawn"), "{reason}");
    let (_, before) = version_counts(&bed).await;
    apply_plan(&bed, "idle", Duration::from_secs(7)).await;
    let reason = wait_item(&bed, "idle", ItemState::Reverted, Duration::from_secs(8)).await;
    assert!(reason.contains("the new version has no requests"), "{reason}");
    assert_eq!(
        version_counts(&bed).await.1,
        before,
        "v2 received requests although the plan targets v3"
    );
    let summary = load.await.unwrap();
    assert_eq!(summary.succeeded(), summary.total(), "{summary:?}");
}

/// Guards against servers that are drained in one step although the cap allows only one per step, and against an item
/// that is done while a host still uses the servers.
#[tokio::test]
async fn several_drains() {
    let _permit = acquire_bed_permit().await;
    let bed = start_bed().await;
    let load = start_load(&bed, &[0, 1, 2], Duration::from_secs(6));
    tokio::time::sleep(Duration::from_secs(1)).await;
    // The cap of 20% allows one of the six servers per step, and a step takes 500 ms.
    let start = Instant::now();
    bed.apply(0, &drain_note(&bed, &[3, 4, 5]), &["--wait", "8s"])
        .await
        .unwrap()
        .expect_code(0)
        .unwrap();
    let elapsed = start.elapsed();
    assert!(
        elapsed >= Duration::from_millis(1_000),
        "three steps took less than two intervals: {elapsed:?}"
    );
    wait_item(&bed, "drain", ItemState::Done, Duration::from_secs(1)).await;
    let summary = load.await.unwrap();
    assert_eq!(summary.succeeded(), summary.total(), "{summary:?}");
}
