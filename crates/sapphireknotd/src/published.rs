//! State that actors publish and that requests read without messaging an actor.

use std::sync::Arc;

use arc_swap::{ArcSwap, ArcSwapOption};
use sapphireknot::{drain::DrainStage, installed::InstalledConfig, membership::MemberRecord};
use tokio::sync::watch;

use crate::{
    clock::HostClock,
    directory::HostDirectory,
    interfaces::{HostIdentity, SharedDeadline},
    settings::HostSettings,
};

/// Settings, identity and latest snapshots of this host.
#[derive(Debug)]
pub struct PublishedState {
    /// Settings of this host.
    pub settings: HostSettings,
    /// Clock of the process.
    pub clock: HostClock,
    /// Identity of this host.
    pub identity: HostIdentity,
    /// Configuration in force; `None` until the first one is installed. Owner: configuration actor.
    pub config: ArcSwapOption<InstalledConfig>,
    /// Time after which API keys can no longer be trusted. Owner: configuration actor.
    pub fresh_until: SharedDeadline,
    /// Known hosts, including this one. Owner: member actor.
    pub members: ArcSwap<Vec<MemberRecord>>,
    /// Hosts that accept callers. Owner: member actor.
    pub directory: ArcSwap<HostDirectory>,
    /// Stage of the graceful shutdown. Owner: drain actor.
    pub drain: watch::Sender<DrainStage>,
}

impl PublishedState {
    /// Creates the state of a serving host that has no configuration and knows no other hosts.
    pub fn new(settings: HostSettings, clock: HostClock, identity: HostIdentity) -> Self {
        Self {
            settings,
            clock,
            config: ArcSwapOption::empty(),
            fresh_until: SharedDeadline::default(),
            members: ArcSwap::default(),
            directory: ArcSwap::from_pointee(HostDirectory::new(&identity, &[])),
            identity,
            drain: watch::Sender::new(DrainStage::Serving),
        }
    }

    /// Publishes the known hosts and the directory for look-ups.
    pub fn publish_members(&self, members: Vec<MemberRecord>) {
        self.directory.store(Arc::new(HostDirectory::new(&self.identity, &members)));
        self.members.store(Arc::new(members));
    }
}
