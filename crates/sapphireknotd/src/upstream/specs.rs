//! Backend servers of a service as the picker knows them.

use sapphireknot::{
    config::ServiceEntry,
    ids::{HostId, ServerId},
    installed::InstalledConfig,
    membership::MemberRecord,
    picker::{ServerSpec, SubsetLimits, is_in_subset},
};

/// Connections that a host keeps to a backend server: its slots, of which a server has 3 to 5, and probes.
const HOST_CONNECTIONS: u32 = 8;

/// The servers of `service`; one whose subset leaves this host out counts as leaving.
pub(super) fn server_specs(
    own: &HostId,
    config: &InstalledConfig,
    service: &ServiceEntry,
    members: &[MemberRecord],
    draining: &[ServerId],
) -> Vec<ServerSpec> {
    let specs = service.servers.iter().filter_map(|it| {
        let region = config.document.region_of(&it.datacentre)?;
        let takes_spill = service.spill.iter().any(|it| it.into == *region);
        let users = members.iter().filter(|it| it.state.is_live() && it.id != *own);
        let users = users.filter(|it| takes_spill || it.region == *region).map(|it| &it.id);
        let users: Vec<&HostId> = users.chain([own]).collect();
        let limits =
            SubsetLimits { server_connections: it.connections, host_connections: HOST_CONNECTIONS };
        Some(ServerSpec {
            id: it.id.clone(),
            region: region.clone(),
            version: it.version.clone(),
            slots: it.slots,
            is_leaving: it.leaving && !draining.contains(&it.id)
                || !is_in_subset(own, &it.id, users, limits),
        })
    });
    specs.collect()
}
