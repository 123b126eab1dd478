//! State that actors publish and that requests read without waiting for a mailbox.

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

/// Settings, identity and newest snapshots of this host.
#[derive(Debug)]
pub struct PublishedState {
    /// Settings.
    pub settings: HostSettings,
    /// Clocks.
    pub clock: HostClock,
    /// This host.
    pub identity: HostIdentity,
    /// Configuration in force; none before the first was installed. Owner: configuration actor.
    pub config: ArcSwapOption<InstalledConfig>,
    /// When keys can no longer be trusted. Owner: configuration actor.
    pub fresh_until: SharedDeadline,
    /// Known hosts, this one included. Owner: member actor.
    pub members: ArcSwap<Vec<MemberRecord>>,
    /// Hosts that take callers. Owner: member actor.
    pub directory: ArcSwap<HostDirectory>,
    /// Stage of a graceful shutdown. Owner: drain actor.
    pub drain: watch::Sender<DrainStage>,
}

impl PublishedState {
    /// State of a host that serves and knows neither a configuration nor other hosts.
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

    /// Publishes the known hosts and what look-ups use of them.
    pub fn publish_members(&self, members: Vec<MemberRecord>) {
        self.directory.store(Arc::new(HostDirectory::new(&self.identity, &members)));
        self.members.store(Arc::new(members));
    }
}
