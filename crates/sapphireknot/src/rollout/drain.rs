//! Planned drains of backend servers.
//!
//! Leaving servers lose their traffic in steps, so that the remaining ones take over no more than the cap at once.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    config::ServerEntry,
    ids::ServerId,
    time::MonoTime,
    units::{SlotCount, TrafficShare},
};

/// Attributes of a backend server that a drain depends on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainServer {
    /// Identifier.
    pub id: ServerId,
    /// Slots.
    pub slots: SlotCount,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Part of its usual traffic that it still receives.
    pub weight: TrafficShare,
}

/// Next step of the drains of one service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DrainStep {
    /// New weight of each server whose weight changes.
    pub weights: BTreeMap<ServerId, TrafficShare>,
    /// Part of the service's capacity that leaves in this step.
    pub moved: TrafficShare,
}

/// Computes the next step under `cap`; servers leave in the order of their identifiers.
///
/// The step is empty if no server with slots stays.
pub fn next_drain(servers: &[DrainServer], cap: TrafficShare) -> DrainStep {
    let mut step = DrainStep::default();
    let whole: u64 = servers.iter().map(|it| u64::from(it.slots.0)).sum();
    if !servers.iter().any(|it| !it.leaving && it.slots.0 > 0) {
        return step;
    }
    let mut leaving: Vec<_> = servers.iter().filter(|it| it.leaving && it.weight.0 > 0).collect();
    leaving.sort_by(|a, b| a.id.cmp(&b.id));
    // In millionths of a slot, so that nothing is rounded before the end.
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

/// Schedule of the drains of one service on one host.
///
/// Each step takes whole servers out of service. A step takes at least one server, even if that exceeds the cap,
/// because a leaving server must not receive new requests after a few seconds.
#[derive(Debug, Clone, Default)]
pub struct DrainSchedule {
    staying: BTreeSet<ServerId>,
    draining: BTreeSet<ServerId>,
    next_step: MonoTime,
}

impl DrainSchedule {
    /// Replaces the servers with those of a new configuration.
    ///
    /// A leaving server that this host has never used receives no requests; one that no longer leaves is used again.
    pub fn replace_servers<'a, I>(&mut self, servers: I)
    where
        I: Iterator<Item = &'a ServerEntry> + Clone,
    {
        let was_used = |it: &ServerId| self.staying.contains(it) || self.draining.contains(it);
        let leaving = servers.clone().filter(|it| it.leaving && was_used(&it.id));
        self.draining = leaving.map(|it| it.id.clone()).collect();
        self.staying = servers.filter(|it| !it.leaving).map(|it| it.id.clone()).collect();
    }

    /// Takes the next servers out of service if a step is due; returns whether one was.
    pub fn advance<'a, I>(
        &mut self,
        servers: I,
        cap: TrafficShare,
        step_interval: Duration,
        now: MonoTime,
    ) -> bool
    where
        I: Iterator<Item = &'a ServerEntry>,
    {
        if !self.is_due(now) {
            return false;
        }
        let weight = |it: &ServerEntry| {
            let is_out = it.leaving && !self.draining.contains(&it.id);
            if is_out { TrafficShare::NONE } else { TrafficShare::WHOLE }
        };
        let servers: Vec<_> = servers
            .map(|it| DrainServer {
                id: it.id.clone(),
                slots: it.slots,
                leaving: it.leaving,
                weight: weight(it),
            })
            .collect();
        let step = next_drain(&servers, cap);
        let whole = step.weights.into_iter().filter(|it| it.1 == TrafficShare::NONE);
        let mut taken: Vec<_> = whole.map(|it| it.0).collect();
        if step.moved == TrafficShare::NONE && !servers.iter().any(|it| !it.leaving) {
            // No server is left to take over the requests, so steps would only delay the drain.
            taken = self.draining.iter().cloned().collect();
        } else if taken.is_empty() {
            taken.extend(self.draining.first().cloned());
        }
        self.draining.retain(|it| !taken.contains(it));
        self.next_step = now.after(step_interval);
        true
    }

    /// Whether a step is due.
    pub fn is_due(&self, now: MonoTime) -> bool {
        !self.draining.is_empty() && now >= self.next_step
    }

    /// Leaving servers that still receive requests.
    pub fn draining(&self) -> impl Iterator<Item = &ServerId> {
        self.draining.iter()
    }
}
