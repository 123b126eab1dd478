//! Moves of traffic between two versions on separate processes.

use std::time::{Duration, Instant};

use sapphireknot::operator::ItemState;
use sapphireknot_standin::{
    backend::{DefectEffect, VersionDefect},
    fixture::{ProcessSignal, ServiceBed},
    store::OutageKind,
};

use super::version_bed::*;

/// Guards against a good version that misses its deadline, an item that stays pending, and a step above the cap.
#[tokio::test]
async fn good_version() {
    let _turn = take_turn().await;
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
    assert!(new > new_before, "the new version gets the requests");
    assert!(old <= old_before + 3, "the old version gets none: {old_before} then {old}");
}

/// Guards against a good version that is taken back because all servers were slow for a moment during the move.
#[tokio::test]
async fn shared_slowness() {
    let _turn = take_turn().await;
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
    let _turn = take_turn().await;
    let bed = start_bed().await;
    let load = start_load(&bed, &[0, 1, 2], Duration::from_secs(60));
    take_back(&bed, "p1", VersionDefect::always(DefectEffect::Fail), "failed").await;
    take_back(&bed, "p2", VersionDefect::always(DefectEffect::SlowMs(300)), "slow").await;
    load.abort();
}

/// Guards against a fault that begins at a larger share, or on one route only, and is not seen.
#[tokio::test]
async fn bad_later() {
    let _turn = take_turn().await;
    let bed = start_bed().await;
    let load = start_load(&bed, &[0, 1, 2], Duration::from_secs(60));
    let late = VersionDefect { after_ms: 6_000, ..VersionDefect::always(DefectEffect::Fail) };
    take_back(&bed, "p1", late, "failed").await;
    let one_route = VersionDefect {
        path_prefix: "/reports/public".to_owned(),
        ..VersionDefect::always(DefectEffect::Fail)
    };
    take_back(&bed, "p2", one_route, "route public").await;
    load.abort();
}

/// Guards against shares that rise or a version that loses its shares while the store is down, and against a move that
/// goes on after its deadline because nobody can write that it ended.
#[tokio::test]
async fn store_outage() {
    let _turn = take_turn().await;
    let bed = start_bed().await;
    let load = start_load(&bed, &[0, 1, 2], Duration::from_secs(60));
    let span = Duration::from_secs(15);
    let deadline = Instant::now() + span;
    apply_plan(&bed, "p1", span).await;
    wait_share(&bed, 1, 0.03).await;
    set_outage(&bed, Some(OutageKind::Silent)).await;
    // A state that was written before the outage is still told.
    tokio::time::sleep(Duration::from_millis(700)).await;
    let held = highest_share(&bed).await;
    for _ in 0..20 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let share = highest_share(&bed).await;
        assert!(share > 0.0 && share <= held, "{share} after {held}");
    }
    set_outage(&bed, None).await;
    wait_share(&bed, 2, held * 2.0).await;
    set_outage(&bed, Some(OutageKind::Silent)).await;
    assert!(Instant::now() < deadline, "the second outage begins before the deadline");
    tokio::time::sleep_until((deadline + Duration::from_millis(500)).into()).await;
    assert!(highest_share(&bed).await < 1e-9, "each host reverts by itself");
    let (_, before) = version_counts(&bed).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(version_counts(&bed).await.1, before);
    set_outage(&bed, None).await;
    let reason = wait_item(&bed, "p1", ItemState::Reverted, Duration::from_secs(12)).await;
    assert!(reason.contains("deadline"), "{reason}");
    load.abort();
}

/// Guards against a move that ends with its planner, and against a planner that wakes and writes over a newer state.
#[tokio::test]
async fn planner_lost() {
    let _turn = take_turn().await;
    let bed = start_bed().await;
    // The host that is frozen must not hold requests, so that the others go on.
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
    assert!(seen.0 > before["token"].as_u64().unwrap(), "the second planner writes its token");
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

/// Guards against requests that are refused for want of a server of the new version, against a plan that goes on after it
/// was replaced or withdrawn, and against an item that does not say so.
#[tokio::test]
async fn plan_changes() {
    let _turn = take_turn().await;
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
    assert_eq!(version_counts(&bed).await.1, before, "the old version has all requests");
    let summary = load.await.unwrap();
    assert_eq!(summary.succeeded(), summary.total(), "{summary:?}");
}

/// Guards against servers that leave together and are taken out at once, and against an item that is done while a host
/// still uses them.
#[tokio::test]
async fn several_drains() {
    let _turn = take_turn().await;
    let bed = start_bed().await;
    let load = start_load(&bed, &[0, 1, 2], Duration::from_secs(6));
    tokio::time::sleep(Duration::from_secs(1)).await;
    // The cap of 20% allows one of the six servers in a step, and a step takes 500 ms.
    let began = Instant::now();
    bed.apply(0, &drain_note(&bed, &[3, 4, 5]), &["--wait", "8s"])
        .await
        .unwrap()
        .expect_code(0)
        .unwrap();
    let took = began.elapsed();
    assert!(took >= Duration::from_millis(1_000), "three steps take two intervals: {took:?}");
    wait_item(&bed, "drain", ItemState::Done, Duration::from_secs(1)).await;
    let summary = load.await.unwrap();
    assert_eq!(summary.succeeded(), summary.total(), "{summary:?}");
}
