//! Conversion of configured backend servers into the specifications used by the picker.

use sapphireknot::{
    config::ServiceEntry,
    ids::{HostId, ServerId},
    installed::InstalledConfig,
    membership::MemberRecord,
    picker::{ServerSpec, SubsetLimits, is_in_subset},
};

/// Number of connections that a host keeps to a backend server: one per slot, of which a server has 3 to 5, and those
/// of probes.
const HOST_CONNECTIONS: u32 = 8;

/// Returns the servers of `service`. A server whose subset does not contain this host is marked as leaving.
pub(super) fn server_specs(
    own_host: &HostId,
    config: &InstalledConfig,
    service: &ServiceEntry,
    members: &[MemberRecord],
    draining: &[ServerId],
) -> Vec<ServerSpec> {
    let specs = service.servers.iter().filter_map(|it| {
        let region = config.document.region_of(&it.datacentre)?;
        let takes_spill = service.spill.iter().any(|it| it.into == *region);
        let user_hosts = members.iter().filter(|it| it.state.is_live() && it.id != *own_host);
        let user_hosts =
            user_hosts.filter(|it| takes_spill || it.region == *region).map(|it| &it.id);
        let user_hosts: Vec<&HostId> = user_hosts.chain([own_host]).collect();
        let limits =
            SubsetLimits { server_connections: it.connections, host_connections: HOST_CONNECTIONS };
        Some(ServerSpec {
            id: it.id.clone(),
            region: region.clone(),
            version: it.version.clone(),
            slots: it.slots,
            is_leaving: it.leaving && !draining.contains(&it.id)
                || !is_in_subset(own_host, &it.id, user_hosts, limits),
        })
    });
    specs.collect()
}
