//! Selection of a service version among those that have servers.

use sapphireknot::{
    config::{ConfigDocument, ServiceEntry},
    ids::{RegionId, VersionId},
    rollout::ShareMap,
    units::TrafficShare,
};

/// Returns the versions of `service` with at least one server that hosts in the region `own` may use.
pub(super) fn usable_versions(
    document: &ConfigDocument,
    service: &ServiceEntry,
    own_region: &RegionId,
) -> Vec<VersionId> {
    let is_reachable = |region: &RegionId| {
        region == own_region || service.spill.iter().any(|it| it.into == *region)
    };
    let mut versions: Vec<_> = service
        .servers
        .iter()
        .filter(|it| !it.leaving && document.region_of(&it.datacentre).is_some_and(is_reachable))
        .map(|it| it.version.clone())
        .collect();
    versions.sort();
    versions.dedup();
    versions
}

/// Selects a version by `draw`, a random number that is uniform in `0..1_000_000`.
///
/// With a traffic plan, the share of a version without servers goes to `old_version`, the version that the plan moves
/// away from. It is not divided among the other versions, since the new version would then get more than its decided
/// share as soon as the servers of the old one are withdrawn. Without a plan, the versions that have servers divide it.
pub fn choose_version(
    shares: &ShareMap,
    usable: &[VersionId],
    old_version: Option<&VersionId>,
    draw: u32,
) -> Option<VersionId> {
    let is_usable = |id: &VersionId| usable.contains(id);
    if let Some(old_version) = old_version {
        let drawn = version_at(shares.iter(), u64::from(draw))?;
        return Some(if is_usable(&drawn) { drawn } else { old_version.clone() }).filter(is_usable);
    }
    let candidates: Vec<_> = shares.iter().filter(|(id, _)| is_usable(id)).collect();
    let total: u64 = candidates.iter().map(|(_, share)| u64::from(share.0)).sum();
    let point = u64::from(draw) * total / u64::from(TrafficShare::WHOLE.0);
    version_at(candidates.into_iter(), point)
}

fn version_at<'a, I>(shares: I, point: u64) -> Option<VersionId>
where
    I: Iterator<Item = (&'a VersionId, &'a TrafficShare)>,
{
    let mut remaining = point;
    for (id, share) in shares {
        match remaining.checked_sub(u64::from(share.0)) {
            Some(next) => remaining = next,
            None => return Some(id.clone()),
        }
    }
    None
}
