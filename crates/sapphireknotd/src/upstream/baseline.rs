//! Version choice by the shares of the configuration.

use std::sync::Weak;

use sapphireknot::{
    ids::{ServiceId, VersionId},
    units::TrafficShare,
};

use crate::context::{HostContext, VersionRouter, VersionSample};

/// Follows the shares of the configuration.
#[derive(Debug)]
pub struct ConfiguredRouter {
    context: Weak<HostContext>,
}

impl ConfiguredRouter {
    /// A router that reads the configuration of `context`.
    pub fn new(context: Weak<HostContext>) -> Self {
        Self { context }
    }
}

impl VersionRouter for ConfiguredRouter {
    fn choose(&self, service: &ServiceId, draw: u32) -> Option<VersionId> {
        let context = self.context.upgrade()?;
        let config = context.config.load();
        let service = config.as_ref()?.routes.service(service)?;
        let has_servers =
            |id: &VersionId| service.servers.iter().any(|it| it.version == *id && !it.leaving);
        let versions: Vec<_> = service.versions.iter().filter(|(id, _)| has_servers(id)).collect();
        let total: u64 = versions.iter().map(|(_, share)| u64::from(share.0)).sum();
        let mut point = u64::from(draw) * total / u64::from(TrafficShare::WHOLE.0);
        for (id, share) in versions {
            match point.checked_sub(u64::from(share.0)) {
                Some(rest) => point = rest,
                None => return Some(id.clone()),
            }
        }
        None
    }

    fn record(&self, _sample: VersionSample) {}
}
