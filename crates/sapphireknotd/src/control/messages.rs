//! Messages of the configuration actor and the member actor, which send messages to each other.

use std::time::Duration;

use ractor::{ActorRef, RpcReplyPort};
use sapphireknot::{
    drain::DrainStage,
    ids::{ConfigGeneration, HostId, IncarnationId},
    membership::MemberRecord,
    time::MonoTime,
};
use sapphireknot_platform::{ListedHost, StoredEntry};
use sapphireknot_wire::peer::Gossip;

use super::shared::StoreRecordError;
use crate::{
    loaded_config::LoadedConfig,
    peer::{PeerError, convert::GossipView},
};

/// State that a peer reported in an exchange of gossip.
#[derive(Debug)]
pub struct PeerObservation {
    /// Member record of the peer.
    pub peer: MemberRecord,
    /// Time just before the request was sent; `None` if the peer sent the request, since the ages in it cannot be
    /// bounded.
    pub request_sent: Option<MonoTime>,
    /// Generation in force on the peer.
    pub generation: ConfigGeneration,
    /// Age of the peer's latest freshness proof.
    pub proof_age: Option<Duration>,
    /// Whether the peer sees the store as down, with the age of that observation.
    pub store_report: Option<(bool, Duration)>,
}

/// Message to the configuration actor.
#[derive(Debug)]
pub enum ConfigMessage {
    /// The configuration head was read from the store.
    HeadRead {
        /// Start of the read.
        began: MonoTime,
        /// Store entry of the head; `None` if it does not exist.
        entry: Option<StoredEntry>,
    },
    /// Loading a document from the store ended.
    StoreLoaded(Result<LoadedConfig, StoreRecordError>),
    /// Fetching a document from a peer ended.
    PeerLoaded(Result<Option<LoadedConfig>, PeerError>),
    /// A change submitted to this host was accepted; the reply is sent after its installation.
    ChangeAccepted(LoadedConfig, RpcReplyPort<()>),
    /// A peer sent its state.
    PeerObserved(Box<PeerObservation>),
    /// Recomputes the freshness deadline.
    Tick,
}

/// Message to the member actor.
#[derive(Debug)]
pub enum MemberMessage {
    /// A peer sent gossip; the reply carries the gossip of this host.
    Exchange(Box<GossipView>, RpcReplyPort<Gossip>),
    /// Builds gossip that is not addressed to a particular peer.
    BuildGossip(RpcReplyPort<Gossip>),
    /// A peer replied with its gossip.
    GossipReceived(Box<GossipView>),
    /// A direct or indirect probe of a host failed.
    ProbeFailed {
        /// Probed host.
        target: HostId,
        /// Incarnation that was probed.
        incarnation: IncarnationId,
        /// Whether the probe went through delegates.
        is_indirect: bool,
    },
    /// The host list of the platform was read.
    HostsListed(Vec<ListedHost>),
    /// There are new rollout decisions or trips, which are sent to peers at once.
    Announce,
    /// A generation is in force on this host.
    Installed(ConfigGeneration),
    /// This host sends no more requests to the servers marked as leaving up to this generation.
    ServersDrained(ConfigGeneration),
    /// The configuration actor was started.
    ConfigActorStarted(ActorRef<ConfigMessage>),
    /// The next probe is due.
    ProbeDue,
    /// Checks whether freshness proofs are overdue and peers have to be asked for them.
    StoreReportsDue,
    /// Checks the deadlines of the member table.
    Tick,
    /// The graceful shutdown reached a stage.
    DrainStageChanged(DrainStage),
}
