//! Messages of actors that address one another.

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

use super::shared::ReadError;
use crate::{
    loaded_config::LoadedConfig,
    peer::{PeerError, convert::GossipView},
};

/// What a peer's reply told.
#[derive(Debug)]
pub struct PeerEvidence {
    /// Peer.
    pub peer: MemberRecord,
    /// From before the request was sent; none if the peer sent a request, of which no age counts.
    pub sent: Option<MonoTime>,
    /// Generation in force there.
    pub generation: ConfigGeneration,
    /// Age of its latest proof.
    pub proof_age: Option<Duration>,
    /// Whether the store is down, with the age of the observation.
    pub report: Option<(bool, Duration)>,
}

/// Message to the configuration actor.
#[derive(Debug)]
pub enum ConfigMessage {
    /// The head was read.
    HeadRead {
        /// When the read began.
        began: MonoTime,
        /// Entry of the head.
        entry: Option<StoredEntry>,
    },
    /// A document was loaded from the store.
    StoreLoaded(Result<LoadedConfig, ReadError>),
    /// A document was fetched from a peer.
    PeerLoaded(Result<Option<LoadedConfig>, PeerError>),
    /// A change was accepted by this host; the reply follows its installation.
    Written(LoadedConfig, RpcReplyPort<()>),
    /// A peer was heard.
    PeerHeard(Box<PeerEvidence>),
    /// Time has passed.
    Tick,
}

/// Message to the member actor.
#[derive(Debug)]
pub enum MemberMessage {
    /// A peer's gossip arrived; the reply carries ours.
    Exchange(Box<GossipView>, RpcReplyPort<Gossip>),
    /// Gossip for a message to some host is needed.
    MakeGossip(RpcReplyPort<Gossip>),
    /// A peer replied.
    Replied(Box<GossipView>),
    /// A host answered neither directly nor indirectly, or not directly.
    Missed {
        /// The host.
        target: HostId,
        /// Run that was probed.
        incarnation: IncarnationId,
        /// Whether delegates were asked.
        is_indirect: bool,
    },
    /// The platform listed hosts.
    Listed(Vec<ListedHost>),
    /// News of rollouts are to be told at once.
    Announce,
    /// A generation is in force on this host.
    Installed(ConfigGeneration),
    /// Every backend server that leaves by a generation is out on this host.
    Drained(ConfigGeneration),
    /// The configuration actor runs.
    Connected(ActorRef<ConfigMessage>),
    /// The next probe is due.
    ProbeDue,
    /// Proofs may be overdue.
    ReportsDue,
    /// Time has passed.
    Tick,
    /// The graceful shutdown reached a stage.
    Drain(DrainStage),
}
