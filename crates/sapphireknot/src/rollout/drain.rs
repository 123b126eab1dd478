//! Planned drains of backend servers.
//!
//! Servers that leave lose their traffic in steps, so that the others take on no more than the cap at once.

use std::collections::BTreeMap;

use crate::{
    ids::ServerId,
    units::{SlotCount, TrafficShare},
};

/// Backend server as far as a drain is concerned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainServer {
    /// Identifier.
    pub id: ServerId,
    /// Slots.
    pub slots: SlotCount,
    /// Whether it is to leave.
    pub leaving: bool,
    /// Part of its usual traffic that it still gets.
    pub weight: TrafficShare,
}

/// Next step of the drains of one service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DrainStep {
    /// New weight of each server that changes.
    pub weights: BTreeMap<ServerId, TrafficShare>,
    /// Part of the service's capacity that leaves in this step.
    pub moved: TrafficShare,
}

/// The next step under `cap`, in the order of identifiers.
///
/// Nothing leaves if no server would stay.
pub fn next_drain(servers: &[DrainServer], cap: TrafficShare) -> DrainStep {
    let mut step = DrainStep::default();
    let whole: u64 = servers.iter().map(|it| u64::from(it.slots.0)).sum();
    if !servers.iter().any(|it| !it.leaving && it.slots.0 > 0) {
        return step;
    }
    let mut leaving: Vec<_> = servers.iter().filter(|it| it.leaving && it.weight.0 > 0).collect();
    leaving.sort_by(|a, b| a.id.cmp(&b.id));
    // In slots times millionths, so that nothing is rounded before the end.
    let budget = u64::from(cap.0) * whole;
    let mut used = 0;
    for server in leaving {
        let slots = u64::from(server.slots.0);
        let room = (budget - used).checked_div(slots).unwrap_or(u64::MAX);
        let taken = u64::from(server.weight.0).min(room);
        if taken == 0 {
            break;
        }
        used += taken * slots;
        let weight =
            server.weight.saturating_sub(TrafficShare(u32::try_from(taken).unwrap_or(u32::MAX)));
        step.weights.insert(server.id.clone(), weight);
    }
    step.moved = TrafficShare(u32::try_from(used.div_ceil(whole)).unwrap_or(u32::MAX));
    step
}
