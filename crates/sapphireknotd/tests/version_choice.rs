//! Version selection when some versions have no usable servers.

use sapphireknot::{ids::VersionId, rollout::ShareMap, units::TrafficShare};
use sapphireknotd::rollout::choose_version;

fn version(name: &str) -> VersionId {
    name.parse().expect("valid identifier")
}

fn share_map() -> ShareMap {
    [("v1", 60), ("v2", 30), ("v3", 10)]
        .map(|(it, share)| (version(it), TrafficShare::percent(share)))
        .into()
}

/// Returns how many of 100 evenly spaced draws select each of the three versions, and how many select none.
fn count(usable: &[&str], old: Option<&str>) -> [usize; 4] {
    let usable: Vec<_> = usable.iter().map(|it| version(it)).collect();
    let old = old.map(version);
    let mut counts = [0; 4];
    for draw in (0..1_000_000).step_by(10_000) {
        let chosen = choose_version(&share_map(), &usable, old.as_ref(), draw);
        let names = ["v1", "v2", "v3"].map(version);
        let index = names.iter().position(|it| Some(it) == chosen.as_ref());
        counts[index.unwrap_or(3)] += 1;
    }
    counts
}

/// Guards against requests that are refused because a new version has no servers, and against a new version that
/// exceeds its share because the old one has none.
#[test]
fn with_traffic_plan() {
    assert_eq!(count(&["v1", "v2", "v3"], Some("v1")), [60, 30, 10, 0]);
    assert_eq!(count(&["v1", "v3"], Some("v1")), [90, 0, 10, 0]);
    assert_eq!(count(&["v2", "v3"], Some("v1")), [0, 30, 10, 60]);
}

/// Guards against requests that are refused although another version of a service without a plan has servers.
#[test]
fn without_traffic_plan() {
    assert_eq!(count(&["v2", "v3"], None), [0, 75, 25, 0]);
    assert_eq!(count(&[], None), [0, 0, 0, 100]);
}
