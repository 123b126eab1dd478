//! Table of known hosts with the failure detector.

use std::{collections::BTreeMap, time::Duration};

use rand::{Rng, RngExt, seq::IteratorRandom};

use super::{
    MemberRecord, MemberState,
    merge::{merge_record, needs_refutation},
    updates::{MAX_UPDATES, UpdateQueue},
};
use crate::{
    ids::{ConfigGeneration, HostId, IncarnationId, RegionId},
    time::MonoTime,
};

/// Number of hosts that are asked to probe an unresponsive host, and that are notified of a change of this host.
const PEER_FANOUT: usize = 3;
/// One probe in this many crosses regions.
const CROSS_REGION_RATIO: u32 = 5;
/// One probe in this many goes to a failed host, so that hosts find each other after a partition.
const FAILED_PROBE_RATIO: u32 = 4;
/// Largest number of other hosts in a table; more than five times the target size.
const MAX_MEMBERS: usize = 8_192;

/// Time limits of a table.
#[derive(Debug, Clone, Copy)]
pub struct MemberSettings {
    /// Time within which a suspected host must refute the suspicion.
    pub suspicion: Duration,
    /// Time after which a failed host or one that left is forgotten.
    pub retention: Duration,
}

/// Event that the table processes.
#[derive(Debug, Clone)]
pub enum MemberEvent {
    /// The platform listed hosts. The list may be stale, so it is used only for unknown hosts.
    Seeded(Vec<MemberRecord>),
    /// A message from another host arrived.
    MessageReceived {
        /// The sender's record of itself.
        sender: Box<MemberRecord>,
        /// Records of other hosts in the message.
        members: Vec<MemberRecord>,
    },
    /// A message that carried updates about these hosts was sent.
    UpdatesSent(Vec<HostId>),
    /// The next probe is due.
    ProbeDue,
    /// A host did not answer a direct probe.
    DirectProbeFailed {
        /// The host.
        target: HostId,
        /// Run that was probed.
        incarnation: IncarnationId,
    },
    /// A host answered none of the indirect probes.
    IndirectProbeFailed {
        /// The host.
        target: HostId,
        /// Run that was probed.
        incarnation: IncarnationId,
    },
    /// Deadlines are to be checked against the current time.
    TimePassed,
    /// A generation of the configuration is in force on this host.
    Installed(ConfigGeneration),
    /// This host has drained every backend server that leaves by a generation.
    Drained(ConfigGeneration),
    /// The load of this host was measured.
    LoadMeasured(u32),
    /// A graceful shutdown of this host began.
    LeaveBegan,
    /// A graceful shutdown of this host ended.
    LeaveEnded,
}

/// Action that the caller carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum MemberAction {
    /// Probe a host.
    Probe(MemberRecord),
    /// Ask other hosts to probe a host.
    ProbeVia {
        /// The host.
        target: MemberRecord,
        /// Hosts to ask.
        delegates: Vec<MemberRecord>,
    },
    /// Send a message to these hosts soon.
    Notify(Vec<MemberRecord>),
}

#[derive(Debug)]
struct MemberEntry {
    record: MemberRecord,
    /// When a suspected host is declared failed, or when a failed host or one that left is forgotten.
    deadline: Option<MonoTime>,
}

impl MemberEntry {
    fn is_due(&self, now: MonoTime) -> bool {
        self.deadline.is_some_and(|it| it <= now)
    }
}

/// Table of the known hosts.
#[derive(Debug)]
pub struct MemberTable {
    settings: MemberSettings,
    own: MemberRecord,
    others: BTreeMap<HostId, MemberEntry>,
    updates: UpdateQueue,
    revision: u64,
}

impl MemberTable {
    /// Creates a table that knows only this host.
    pub fn new(settings: MemberSettings, own: MemberRecord) -> Self {
        let (others, updates) = (BTreeMap::new(), UpdateQueue::default());
        Self { settings, own, others, updates, revision: 0 }
    }

    /// Record of this host.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Counter that increases whenever a record may have changed.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// All known hosts, this one included, ordered by id.
    pub fn members(&self) -> Vec<MemberRecord> {
        let mut members: Vec<_> = self.others.values().map(|it| it.record.clone()).collect();
        let idx = members.partition_point(|it| it.id < self.own.id);
        members.insert(idx, self.own.clone());
        members
    }

    /// Record of another host.
    pub fn member(&self, id: &HostId) -> Option<&MemberRecord> {
        self.others.get(id).map(|it| &it.record)
    }

    /// Records to send in a message to `peer`: a suspicion that `peer` has to refute, pending updates and random
    /// records.
    pub fn updates_for<R>(&self, peer: Option<&HostId>, rng: &mut R) -> Vec<MemberRecord>
    where
        R: Rng,
    {
        let mut records: Vec<MemberRecord> = Vec::with_capacity(MAX_UPDATES);
        let accused = peer.and_then(|id| self.member(id));
        records.extend(accused.filter(|it| it.state > MemberState::Leaving).cloned());
        for id in self.updates.least_sent(MAX_UPDATES - 1) {
            if records.len() < MAX_UPDATES - 1
                && !records.iter().any(|it| it.id == id)
                && let Some(record) = self.member(&id)
            {
                records.push(record.clone());
            }
        }
        let known: Vec<_> = self.others.values().map(|it| &it.record).collect();
        for _ in 0..MAX_UPDATES {
            if records.len() == MAX_UPDATES || known.is_empty() {
                break;
            }
            let record = known[rng.random_range(0..known.len())];
            if !records.iter().any(|it| it.id == record.id) {
                records.push(record.clone());
            }
        }
        records
    }

    /// Up to `count` random live hosts, with the same preference for this host's region as for probes.
    pub fn random_peers<R>(&self, count: usize, except: &HostId, rng: &mut R) -> Vec<MemberRecord>
    where
        R: Rng,
    {
        let mut peers: Vec<MemberRecord> = Vec::with_capacity(count);
        for _ in 0..count {
            let is_free = |it: &MemberRecord| {
                it.state.is_live() && it.id != *except && !peers.iter().any(|peer| peer.id == it.id)
            };
            let Some(peer) = self.pick_random(is_free, rng) else { break };
            peers.push(peer);
        }
        peers
    }

    /// Up to `count` random live hosts of `region`.
    pub fn random_peers_in<R>(
        &self,
        region: &RegionId,
        count: usize,
        rng: &mut R,
    ) -> Vec<MemberRecord>
    where
        R: Rng,
    {
        let live = self.others.values().map(|it| &it.record);
        let live = live.filter(|it| it.region == *region && it.state.is_live());
        live.sample(rng, count).into_iter().cloned().collect()
    }

    /// Processes an event and returns the resulting actions.
    pub fn handle<R>(&mut self, now: MonoTime, event: MemberEvent, rng: &mut R) -> Vec<MemberAction>
    where
        R: Rng,
    {
        let is_change = match &event {
            MemberEvent::UpdatesSent(_) | MemberEvent::ProbeDue => false,
            MemberEvent::TimePassed => self.others.values().any(|it| it.is_due(now)),
            _ => true,
        };
        self.revision += u64::from(is_change);
        match event {
            MemberEvent::Seeded(records) => {
                let count = self.others.len();
                for record in records {
                    if record.id != self.own.id && !self.others.contains_key(&record.id) {
                        self.apply_update(now, &record);
                    }
                }
                // Hosts that were listed before this one started do not know it, and probes alone would take several
                // intervals to reach all of them.
                if self.others.len() > count {
                    return self.notify(rng);
                }
            }
            MemberEvent::MessageReceived { sender, members } => {
                // Updates about this host are processed first, so that the reply carries the refutation.
                for record in members.iter().take(MAX_UPDATES) {
                    self.apply_update(now, record);
                }
                self.apply_update(now, &sender);
            }
            MemberEvent::UpdatesSent(hosts) => {
                let count = self.others.len() + 1;
                for host in &hosts {
                    self.updates.record_sent(host, count);
                }
            }
            MemberEvent::ProbeDue => {
                return self.next_probe(rng).map(MemberAction::Probe).into_iter().collect();
            }
            MemberEvent::DirectProbeFailed { target, incarnation } => {
                return self.probe_via(now, &target, incarnation, rng);
            }
            MemberEvent::IndirectProbeFailed { target, incarnation } => {
                return self.suspect(now, &target, incarnation);
            }
            MemberEvent::TimePassed => self.expire_deadlines(now),
            MemberEvent::Installed(generation) => {
                if generation > self.own.generation {
                    self.own.generation = generation;
                    self.own.version += 1;
                    return self.notify(rng);
                }
            }
            MemberEvent::Drained(generation) => {
                if generation > self.own.drained {
                    self.own.drained = generation;
                    self.own.version += 1;
                    return self.notify(rng);
                }
            }
            MemberEvent::LoadMeasured(load_permille) => {
                if load_permille != self.own.load_permille {
                    self.own.load_permille = load_permille;
                    self.own.version += 1;
                }
            }
            MemberEvent::LeaveBegan => return self.set_own_state(MemberState::Leaving, rng),
            MemberEvent::LeaveEnded => return self.set_own_state(MemberState::Left, rng),
        }
        Vec::new()
    }

    fn notify<R>(&self, rng: &mut R) -> Vec<MemberAction>
    where
        R: Rng,
    {
        vec![MemberAction::Notify(self.random_peers(PEER_FANOUT, &self.own.id, rng))]
    }

    fn set_own_state<R>(&mut self, state: MemberState, rng: &mut R) -> Vec<MemberAction>
    where
        R: Rng,
    {
        if state <= self.own.state {
            return Vec::new();
        }
        self.own.state = state;
        self.own.version += 1;
        self.notify(rng)
    }

    /// A random host that satisfies `fits`, four times in five from this host's region.
    fn pick_random<F, R>(&self, fits: F, rng: &mut R) -> Option<MemberRecord>
    where
        F: Fn(&MemberRecord) -> bool,
        R: Rng,
    {
        let (near, far): (Vec<_>, Vec<_>) = self
            .others
            .values()
            .map(|it| &it.record)
            .filter(|it| fits(it))
            .partition(|it| it.region == self.own.region);
        let is_far = near.is_empty() || rng.random_range(0..CROSS_REGION_RATIO) == 0;
        let pool = if is_far && !far.is_empty() { far } else { near };
        if pool.is_empty() {
            return None;
        }
        Some(pool[rng.random_range(0..pool.len())].clone())
    }

    fn next_probe<R>(&self, rng: &mut R) -> Option<MemberRecord>
    where
        R: Rng,
    {
        let is_failed = |it: &MemberRecord| it.state == MemberState::Failed;
        if rng.random_range(0..FAILED_PROBE_RATIO) == 0
            && let Some(record) = self.pick_random(is_failed, rng)
        {
            return Some(record);
        }
        let is_live = |it: &MemberRecord| it.state.is_live();
        self.pick_random(is_live, rng).or_else(|| self.pick_random(is_failed, rng))
    }

    fn probe_via<R>(
        &mut self,
        now: MonoTime,
        target: &HostId,
        incarnation: IncarnationId,
        rng: &mut R,
    ) -> Vec<MemberAction>
    where
        R: Rng,
    {
        let Some(record) = self.member(target).cloned() else { return Vec::new() };
        if record.incarnation != incarnation || record.state >= MemberState::Suspect {
            return Vec::new();
        }
        let delegates = self.random_peers(PEER_FANOUT, target, rng);
        if delegates.is_empty() {
            return self.suspect(now, target, incarnation);
        }
        vec![MemberAction::ProbeVia { target: record, delegates }]
    }

    /// Suspects a host and notifies it, so that it can refute the suspicion at once if it is reachable.
    fn suspect(
        &mut self,
        now: MonoTime,
        target: &HostId,
        incarnation: IncarnationId,
    ) -> Vec<MemberAction> {
        let Some(record) = self.member(target) else { return Vec::new() };
        if record.incarnation != incarnation || record.state >= MemberState::Suspect {
            return Vec::new();
        }
        let record = MemberRecord { state: MemberState::Suspect, ..record.clone() };
        self.apply_update(now, &record);
        vec![MemberAction::Notify(vec![record])]
    }

    fn apply_update(&mut self, now: MonoTime, update: &MemberRecord) {
        if update.id == self.own.id {
            if needs_refutation(&self.own, update) {
                let highest = update.incarnation.max(self.own.incarnation);
                self.own.incarnation = IncarnationId(highest.0.saturating_add(1));
            }
            return;
        }
        // Otherwise stale updates would repeatedly bring back a failed host, or one that left, at hosts that forgot it.
        let is_rejected = self.others.len() >= MAX_MEMBERS || !update.state.is_live();
        let entry = match self.others.entry(update.id.clone()) {
            std::collections::btree_map::Entry::Occupied(slot) => {
                let entry = slot.into_mut();
                let before = (entry.record.incarnation, entry.record.state);
                if !merge_record(&mut entry.record, update) {
                    return;
                }
                if (entry.record.incarnation, entry.record.state) == before {
                    self.updates.push(&update.id);
                    return;
                }
                entry
            }
            std::collections::btree_map::Entry::Vacant(_) if is_rejected => return,
            std::collections::btree_map::Entry::Vacant(slot) => {
                slot.insert(MemberEntry { record: update.clone(), deadline: None })
            }
        };
        entry.deadline = match entry.record.state {
            MemberState::Alive | MemberState::Leaving => None,
            MemberState::Suspect => Some(now.after(self.settings.suspicion)),
            MemberState::Failed | MemberState::Left => Some(now.after(self.settings.retention)),
        };
        self.updates.push(&update.id);
    }

    /// Declares suspected hosts failed and forgets failed hosts and those that left, once their deadlines have passed.
    fn expire_deadlines(&mut self, now: MonoTime) {
        let retention = self.settings.retention;
        let mut forgotten = Vec::new();
        for (id, entry) in &mut self.others {
            if !entry.is_due(now) {
                continue;
            }
            if entry.record.state == MemberState::Suspect {
                entry.record.state = MemberState::Failed;
                entry.deadline = Some(now.after(retention));
                self.updates.push(id);
            } else {
                forgotten.push(id.clone());
            }
        }
        for id in forgotten {
            self.others.remove(&id);
            self.updates.remove(&id);
        }
    }
}
