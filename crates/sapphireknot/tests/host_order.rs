//! Host order in look-ups, and the stages of a graceful shutdown.

use std::time::Duration;

use sapphireknot::{
    config::load_document,
    drain::{DrainLimits, DrainStage, DrainTracker},
    ids::{HostId, OrganisationId, RegionId},
    lookup::{HostCandidate, HostIndex, LookupQuery, RegionDistances, order_hosts},
    time::MonoTime,
};

fn distances() -> RegionDistances {
    let link = |from, to, latency| {
        format!("- {{from: {from}, to: {to}, capacity: 1Gbit/s, latency: {latency}}}\n")
    };
    let regions = ["a", "b", "c"].map(|it| format!("- {{id: {it}, datacentres: [{it}-1]}}\n"));
    let links = [link("a", "b", "5ms"), link("b", "c", "5ms"), link("a", "c", "30ms")];
    let text = format!("regions:\n{}links:\n{}", regions.concat(), links.concat());
    RegionDistances::new(&load_document(&text).expect("valid document"))
}

/// Guards against callers that are sent to a distant region, and against distances that ignore indirect links.
#[test]
fn orders_by_distance_first() {
    let region = |it: &str| it.parse::<RegionId>().unwrap();
    let distances = distances();
    assert_eq!(distances.between(&region("a"), &region("c")), Duration::from_millis(10));
    assert_eq!(distances.between(&region("c"), &region("a")), Duration::MAX);
    let hosts = [("h1", "c"), ("h2", "b"), ("h3", "a")];
    let hosts = hosts.map(|(id, it)| (id.parse::<HostId>().unwrap(), region(it)));
    let candidate = |(id, region)| HostCandidate { id, region, weight: 1 };
    let candidates: Vec<_> = hosts.iter().map(|(id, it)| candidate((id, it))).collect();
    let from = region("a");
    let block = "10.0.0.0/24".parse().unwrap();
    let query = LookupQuery { organisation: None, block, region: &from };
    assert_eq!(order_hosts(&query, &candidates, &distances), [2, 1, 0]);
}

/// Guards against hosts whose part of the callers does not match their weight, and against a removed host that moves
/// callers between the remaining hosts.
#[test]
fn distributes_by_weight_and_keeps_order_without_removed_host() {
    let region: RegionId = "a".parse().unwrap();
    let ids: Vec<HostId> = (0..4).map(|it| format!("h{it}").parse().unwrap()).collect();
    let candidates = |last: u32| -> Vec<_> {
        let weights = [1, 1, 2, last];
        let pairs = ids.iter().zip(weights);
        pairs.map(|(id, weight)| HostCandidate { id, region: &region, weight }).collect()
    };
    let (before, after) = (candidates(4), candidates(0));
    let mut counts = [0; 4];
    for number in 0..8_000 {
        let organisation: OrganisationId = format!("o{number}").parse().unwrap();
        let block = "10.0.0.0/24".parse().unwrap();
        let query = LookupQuery { organisation: Some(&organisation), block, region: &region };
        let order = order_hosts(&query, &before, &RegionDistances::default());
        counts[order[0]] += 1;
        let kept: Vec<_> = order.into_iter().filter(|it| *it != 3).collect();
        assert_eq!(order_hosts(&query, &after, &RegionDistances::default()), kept);
    }
    for (count, expected) in counts.into_iter().zip([1_000i32, 1_000, 2_000, 4_000]) {
        // Four standard deviations of a binomial count are below 180.
        assert!((count - expected).abs() < 180, "{counts:?}");
    }
}

/// Guards against an index that returns other hosts than the full sort, including for equal distances and few hosts.
#[test]
fn index_matches_full_order() {
    let regions: Vec<RegionId> =
        ["a", "b", "c", "x", "y"].iter().map(|it| it.parse().unwrap()).collect();
    let distances = distances();
    for count in [0, 1, 7, 60, 400] {
        let ids: Vec<HostId> = (0..count).map(|it| format!("h{it}").parse().unwrap()).collect();
        for max_weight in [1, 2, 40] {
            let candidate = |(idx, id)| {
                let region = &regions[idx * 7 % regions.len()];
                HostCandidate { id, region, weight: idx as u32 * 13 % (max_weight + 1) }
            };
            let candidates: Vec<_> = ids.iter().enumerate().map(candidate).collect();
            let index = HostIndex::new(candidates.iter().copied());
            for number in 0..200 {
                let organisation: OrganisationId = format!("o{number}").parse().unwrap();
                let block = "10.0.0.0/24".parse().unwrap();
                let region = &regions[number % regions.len()];
                let query = LookupQuery { organisation: Some(&organisation), block, region };
                let mut expected = order_hosts(&query, &candidates, &distances);
                expected.truncate(8);
                assert_eq!(index.nearest(&query, &distances, 8), expected);
            }
        }
    }
}

/// Guards against a host that closes before cached look-ups expire, or ends while requests are in flight.
#[test]
fn leaves_before_it_closes() {
    let limits = |cache_seconds| DrainLimits {
        cache_lifetime: Duration::from_secs(cache_seconds),
        drain_limit: Duration::from_secs(30),
        longest_request: Duration::from_secs(10),
    };
    let at = |seconds: u64| MonoTime(seconds * 1_000_000);
    let mut tracker = DrainTracker::begin(at(100), limits(5));
    let steps = [
        (104, 0, DrainStage::Leaving),
        (105, 0, DrainStage::Closing),
        (129, 1, DrainStage::Closing),
        (130, 1, DrainStage::Ended),
    ];
    for (seconds, in_flight, stage) in steps {
        tracker.advance(at(seconds), in_flight);
        assert_eq!(tracker.stage(), stage, "at {seconds} s");
    }
    let mut tracker = DrainTracker::begin(at(100), limits(600));
    tracker.advance(at(130), 1);
    assert_eq!((tracker.stage(), tracker.deadline()), (DrainStage::Closing, at(140)));
    tracker.advance(at(131), 0);
    assert_eq!(tracker.stage(), DrainStage::Ended);
}

/// Guards against a closing host that sends a request to a backend server and ends while it runs.
#[test]
fn closing_host_sends_short_requests() {
    let end = MonoTime(10_000_000);
    let (before, after) = (MonoTime(10_000_000), MonoTime(10_000_001));
    for stage in [DrainStage::Serving, DrainStage::Leaving] {
        assert!(stage.allows_request(after, Some(end)), "{stage:?}");
    }
    assert!(DrainStage::Closing.allows_request(before, Some(end)));
    assert!(!DrainStage::Closing.allows_request(after, Some(end)));
    assert!(!DrainStage::Closing.allows_request(before, None));
    assert!(!DrainStage::Ended.allows_request(before, Some(end)));
}
