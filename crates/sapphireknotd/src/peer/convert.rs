//! Conversion of members and gossip to and from gRPC messages.

use std::{net::SocketAddr, time::Duration};

use sapphireknot::{
    ids::{ConfigGeneration, IncarnationId},
    membership::{MemberRecord, MemberState},
};
use sapphireknot_wire::peer::{Gossip, Member, MemberState as WireState};

use super::{
    fields::{ConvertError, parse_field},
    rollouts::rollout_updates_from_wire,
};
use crate::rollout::RolloutUpdates;

/// Converts a member record to its message.
pub fn member_to_wire(record: &MemberRecord) -> Member {
    let state = match record.state {
        MemberState::Alive => WireState::Alive,
        MemberState::Leaving => WireState::Leaving,
        MemberState::Suspect => WireState::Suspect,
        MemberState::Failed => WireState::Failed,
        MemberState::Left => WireState::Left,
    };
    Member {
        id: record.id.to_string(),
        region: record.region.to_string(),
        datacentre: record.datacentre.to_string(),
        peer_address: record.peer_address.to_string(),
        caller_address: record.caller_address.to_string(),
        incarnation: record.incarnation.0,
        state: state.into(),
        generation: record.generation.0,
        drained_generation: record.drained.0,
        load_permille: record.load_permille,
        version: record.version,
    }
}

/// Converts a message to a member record.
pub fn member_from_wire(member: &Member) -> Result<MemberRecord, ConvertError> {
    let state = match WireState::try_from(member.state) {
        Ok(WireState::Alive) => MemberState::Alive,
        Ok(WireState::Leaving) => MemberState::Leaving,
        Ok(WireState::Suspect) => MemberState::Suspect,
        Ok(WireState::Failed) => MemberState::Failed,
        Ok(WireState::Left) => MemberState::Left,
        Err(err) => return Err(ConvertError { field: "state", reason: err.to_string() }),
    };
    Ok(MemberRecord {
        id: parse_field("id", &member.id)?,
        region: parse_field("region", &member.region)?,
        datacentre: parse_field("datacentre", &member.datacentre)?,
        peer_address: parse_field::<SocketAddr>("peer_address", &member.peer_address)?,
        caller_address: parse_field::<SocketAddr>("caller_address", &member.caller_address)?,
        incarnation: IncarnationId(member.incarnation),
        state,
        generation: ConfigGeneration(member.generation),
        drained: ConfigGeneration(member.drained_generation),
        load_permille: member.load_permille,
        version: member.version,
    })
}

/// Decoded gossip message.
#[derive(Debug, Clone)]
pub struct GossipView {
    /// Record of the sender about itself.
    pub sender: MemberRecord,
    /// Records of other hosts, without invalid ones.
    pub members: Vec<MemberRecord>,
    /// Generation in force on the sender.
    pub generation: ConfigGeneration,
    /// Age of the sender's latest freshness proof.
    pub proof_age: Option<Duration>,
    /// Whether the sender sees the store as down, with the age of that observation.
    pub store_report: Option<(bool, Duration)>,
    /// Decisions and trips of rollouts.
    pub rollout_updates: RolloutUpdates,
}

/// Decodes a gossip message. Invalid records of other hosts, decisions and trips are skipped.
pub fn gossip_from_wire(gossip: Option<&Gossip>) -> Result<GossipView, ConvertError> {
    let missing = |field| ConvertError { field, reason: "absent".to_owned() };
    let gossip = gossip.ok_or_else(|| missing("gossip"))?;
    let sender = member_from_wire(gossip.sender.as_ref().ok_or_else(|| missing("sender"))?)?;
    let read = |member| match member_from_wire(member) {
        Ok(record) => Some(record),
        Err(err) => {
            log::debug!("invalid member record in gossip of host {}: {err}", sender.id);
            None
        }
    };
    Ok(GossipView {
        members: gossip.members.iter().filter_map(read).collect(),
        generation: ConfigGeneration(gossip.generation),
        proof_age: gossip.freshness_age_us.map(Duration::from_micros),
        store_report: gossip.store.as_ref().map(|it| (it.down, Duration::from_micros(it.age_us))),
        rollout_updates: rollout_updates_from_wire(gossip),
        sender,
    })
}
