//! The quota decisions of the library, driven by ticks and delayed messages.

use std::{collections::HashMap, time::Duration};

use sapphireknot::{
    ids::{HostId, IncarnationId, TransferId},
    quota::{
        BorrowAnswer, BorrowCall, ClaimNeed, GiveBackCall, GrantShares, LeaseKind, LedgerIdentity,
        PeerDistance, PeerOrder, QuotaLedger, QuotaRecord, ReclaimGuard, ResourceId, claim,
    },
    time::MonoTime,
    units::TrafficShare,
};
use sapphireknot_standin::quota_store::{QuotaStore, SHORT_LEASE, lease_span};

use super::{
    load::{HOSTS, RATES, SECOND, latency, limits, region},
    simulation::{Network, QuotaPolicy},
};

/// Peers asked at once.
const ASKED_PEERS: usize = 3;
/// Interval at which share is asked for before a request lacks a token.
const AHEAD: u64 = SECOND * 3 / 10;
/// Time after which an unanswered call is given up.
const ANSWER_WAIT: u64 = SECOND / 10;
/// Time before the end of a sublease at which it is given back with its tokens.
const RETURN_LEAD: Duration = Duration::from_millis(300);
/// Time that a store call takes beyond the way there and back.
const STORE_TIME: u64 = 2_000;
/// Host next to the store.
const STORE_HOST: usize = 0;

#[derive(Debug)]
enum QuotaMessage {
    Borrow { from: usize, to: usize, call: BorrowCall },
    Borrowed { to: usize, lender: usize, call: BorrowCall, answer: BorrowAnswer },
    GiveBack { to: usize, call: GiveBackCall },
    Renew { host: usize, incarnation: IncarnationId, sent: MonoTime },
    Renewed { host: usize, incarnation: IncarnationId, sent: MonoTime, alive: [RenewState; 2] },
    Claim { host: usize, incarnation: IncarnationId, began: MonoTime },
    Claimed { host: usize, incarnation: IncarnationId, began: MonoTime, record: QuotaRecord },
}

#[derive(Debug, Clone, Copy)]
enum RenewState {
    Alive,
    Created(u64),
    Gone,
}

struct TransferHost {
    id: HostId,
    incarnation: IncarnationId,
    ledger: QuotaLedger,
    peers: Vec<PeerOrder>,
    leases: [Option<u64>; 2],
    watch: ReclaimGuard,
    awaited: Vec<(TransferId, usize, u64)>,
    next_renewal: u64,
    next_ahead: u64,
}

/// Grants, subleases and tokens as the library decides.
pub(crate) struct TransferPolicy {
    hosts: Vec<TransferHost>,
    resources: Vec<ResourceId>,
    store: QuotaStore,
    messages: HashMap<u64, QuotaMessage>,
    next: u64,
}

fn host_id(host: usize) -> HostId {
    format!("h{host}").parse().expect("a host id")
}

fn host_index(id: &HostId) -> usize {
    id.as_str()[1..].parse().expect("an id of this measurement")
}

fn new_host(host: usize, incarnation: u64, resources: &[ResourceId], now: u64) -> TransferHost {
    let (id, incarnation) = (host_id(host), IncarnationId(incarnation));
    let mut ledger = QuotaLedger::new(LedgerIdentity::new(id.clone(), incarnation));
    let mut order = PeerOrder::default();
    let others = (0..HOSTS).filter(|it| *it != host).map(|peer| {
        let distance = match () {
            () if peer / 2 == host / 2 => PeerDistance::Datacentre,
            () if region(peer) == region(host) => PeerDistance::Region,
            () => PeerDistance::OtherRegion,
        };
        (distance, ((peer + HOSTS - host) % HOSTS) as u64, host_id(peer))
    });
    order.set_peers(others);
    for (idx, resource) in resources.iter().enumerate() {
        ledger.set_limits(MonoTime(now), resource, limits(idx));
    }
    TransferHost {
        id,
        incarnation,
        ledger,
        peers: vec![order; RATES.len()],
        leases: [None; 2],
        watch: ReclaimGuard::default(),
        awaited: Vec::new(),
        next_renewal: now,
        next_ahead: now,
    }
}

impl TransferPolicy {
    pub(crate) fn new(seed: u64) -> Self {
        let name = |idx| format!("organisation/o{idx}-{seed}").parse().expect("a resource");
        let resources: Vec<ResourceId> = (0..RATES.len()).map(name).collect();
        let hosts = (0..HOSTS).map(|host| new_host(host, 1, &resources, 0)).collect();
        let store = QuotaStore::default();
        Self { hosts, resources, store, messages: HashMap::new(), next: 0 }
    }

    fn send(&mut self, from: usize, to: usize, message: QuotaMessage, net: &mut Network) {
        self.next += 1;
        if net.send(from, to, self.next) {
            self.messages.insert(self.next, message);
        }
    }

    /// Sends a call to the store or its answer.
    fn send_store(&mut self, host: usize, message: QuotaMessage, net: &mut Network) {
        self.next += 1;
        let delay = latency(STORE_HOST, host) + STORE_TIME / 2;
        if net.deliver(host, STORE_HOST, self.next, delay) {
            self.messages.insert(self.next, message);
        }
    }

    fn borrow(&mut self, place: (usize, usize), waiting: u32, now: u64, net: &mut Network) {
        let (host, organisation) = place;
        let resource = self.resources[organisation].clone();
        let state = &mut self.hosts[host];
        let Some(wanted) = state.ledger.borrow_need(MonoTime(now), &resource, waiting) else {
            return;
        };
        let order = &state.peers[organisation];
        let nearest = order.nearest(MonoTime(now), ASKED_PEERS);
        let lenders: Vec<usize> = nearest.into_iter().map(|it| host_index(it.1)).collect();
        for lender in lenders {
            let (id, incarnation) = (self.hosts[lender].id.clone(), self.hosts[lender].incarnation);
            let ledger = &mut self.hosts[host].ledger;
            let call = ledger.begin_borrow(MonoTime(now), &resource, (&id, incarnation), wanted);
            let Some(call) = call else { continue };
            self.hosts[host].awaited.push((call.transfer, organisation, now + ANSWER_WAIT));
            self.send(host, lender, QuotaMessage::Borrow { from: host, to: lender, call }, net);
        }
    }

    fn give_back(&mut self, host: usize, call: GiveBackCall, net: &mut Network) {
        let to = host_index(&call.lender);
        self.send(host, to, QuotaMessage::GiveBack { to, call }, net);
    }

    fn renew(&mut self, host: usize, incarnation: IncarnationId, now: u64) -> [RenewState; 2] {
        let id = host_id(host);
        LeaseKind::ALL.map(|kind| match self.hosts[host].leases[kind as usize] {
            Some(lease) if self.store.renew_lease(&id, kind, lease, now) => RenewState::Alive,
            Some(_) => RenewState::Gone,
            None => match self.store.create_lease(&id, incarnation, kind, now) {
                Some(lease) => RenewState::Created(lease),
                None => RenewState::Gone,
            },
        })
    }

    fn take_renewal(&mut self, host: usize, now: MonoTime, sent: MonoTime, alive: [RenewState; 2]) {
        let state = &mut self.hosts[host];
        state.watch.record_answer(sent);
        for kind in LeaseKind::ALL {
            match alive[kind as usize] {
                RenewState::Alive => state.ledger.renew_lease(now, kind, sent, lease_span(kind)),
                RenewState::Created(lease) => {
                    state.leases[kind as usize] = Some(lease);
                    state.ledger.start_lease(now, kind, sent, lease_span(kind));
                }
                RenewState::Gone => {
                    state.leases[kind as usize] = None;
                    state.next_renewal = now.0;
                    state.ledger.end_lease(now, kind);
                }
            }
        }
    }

    /// Decides a claim at the store and writes it, as if no other host wrote between read and write.
    fn write_claim(&mut self, host: usize, now: u64) -> QuotaRecord {
        let state = &self.hosts[host];
        let view = self.store.lease_view(now);
        let may_reclaim = state.watch.may_reclaim(MonoTime(now), SHORT_LEASE);
        let mut needs = Vec::new();
        for resource in &self.resources {
            let needed = state.ledger.view(resource).map(|it| it.needed).unwrap_or_default();
            let mut need = ClaimNeed::fair(resource.clone(), HOSTS as u32, needed);
            for kind in LeaseKind::ALL {
                if state.leases[kind as usize].is_none() {
                    need.wanted = match kind {
                        LeaseKind::Floor => {
                            GrantShares { floor: TrafficShare::NONE, ..need.wanted }
                        }
                        LeaseKind::Surplus => {
                            GrantShares { surplus: TrafficShare::NONE, ..need.wanted }
                        }
                    };
                }
            }
            needs.push(need);
        }
        let leases = may_reclaim.then_some(&view);
        let record = claim(&self.store.record, leases, &state.id, state.incarnation, &needs);
        self.store.swap(self.store.revision, record.clone());
        record
    }

    fn is_current(&self, host: usize, incarnation: IncarnationId) -> bool {
        self.hosts[host].incarnation == incarnation
    }
}

impl QuotaPolicy for TransferPolicy {
    fn try_take(&mut self, host: usize, organisation: usize, now: u64, is_first: bool) -> bool {
        let ledger = &mut self.hosts[host].ledger;
        let resource = &self.resources[organisation];
        match is_first {
            true => ledger.try_take(MonoTime(now), resource),
            false => ledger.retry_take(MonoTime(now), resource),
        }
    }

    fn tick(&mut self, host: usize, now: u64, net: &mut Network) {
        let time = MonoTime(now);
        let (late, awaited): (Vec<_>, Vec<_>) =
            self.hosts[host].awaited.iter().partition(|it| it.2 <= now);
        self.hosts[host].awaited = awaited;
        for (transfer, organisation, _) in late {
            let resource = self.resources[organisation].clone();
            if let Some(call) = self.hosts[host].ledger.abandon(time, &resource, transfer) {
                let until = MonoTime(now + SECOND);
                self.hosts[host].peers[organisation].back_off(&call.lender, until);
                self.give_back(host, call, net);
            }
        }
        let is_ahead = now >= self.hosts[host].next_ahead;
        if is_ahead {
            self.hosts[host].next_ahead = now + AHEAD;
        }
        for organisation in 0..RATES.len() {
            let resource = self.resources[organisation].clone();
            let ledger = &mut self.hosts[host].ledger;
            let calls = ledger.give_back_unused(time, &resource, time.after(RETURN_LEAD));
            for call in calls {
                self.give_back(host, call, net);
            }
            if is_ahead {
                self.borrow((host, organisation), 0, now, net);
            }
        }
        let is_down = net.fault.is_store_down(now);
        let state = &mut self.hosts[host];
        if now >= state.next_renewal {
            state.next_renewal = now + SECOND * 4 / 5;
            let incarnation = state.incarnation;
            if is_down {
                state.watch.record_failure();
                state.ledger.extend_surplus(time, MonoTime(now + 2 * SECOND));
                return;
            }
            self.send_store(host, QuotaMessage::Renew { host, incarnation, sent: time }, net);
            let began = time;
            self.send_store(host, QuotaMessage::Claim { host, incarnation, began }, net);
        }
    }

    fn want(&mut self, place: (usize, usize), waiting: u32, now: u64, net: &mut Network) {
        self.borrow(place, waiting, now, net);
    }

    fn receive(&mut self, message: u64, now: u64, net: &mut Network) -> Option<(usize, usize)> {
        let time = MonoTime(now);
        match self.messages.remove(&message)? {
            QuotaMessage::Borrow { from, to, call } => {
                let answer = self.hosts[to].ledger.lend(time, &call);
                let message = QuotaMessage::Borrowed { to: from, lender: to, call, answer };
                self.send(to, from, message, net);
                None
            }
            QuotaMessage::Borrowed { to, lender, call, answer } => {
                let organisation = self.resources.iter().position(|it| *it == call.resource)?;
                let state = &mut self.hosts[to];
                state.ledger.accept(time, &call.resource, call.transfer, &answer);
                state.awaited.retain(|it| it.0 != call.transfer);
                let is_enough = answer.share >= call.share && answer.tokens >= call.tokens;
                let (order, lender) = (&mut state.peers[organisation], host_id(lender));
                if is_enough {
                    order.record_full_loan(&lender);
                } else {
                    order.record_shortage(&lender, time, answer == BorrowAnswer::REFUSED);
                }
                Some((to, organisation))
            }
            QuotaMessage::GiveBack { to, call } => {
                self.hosts[to].ledger.take_back(time, &call);
                None
            }
            QuotaMessage::Renew { host, incarnation, sent } => {
                if !net.fault.is_store_down(now) && self.is_current(host, incarnation) {
                    let alive = self.renew(host, incarnation, now);
                    let message = QuotaMessage::Renewed { host, incarnation, sent, alive };
                    self.send_store(host, message, net);
                }
                None
            }
            QuotaMessage::Renewed { host, incarnation, sent, alive } => {
                if self.is_current(host, incarnation) {
                    self.take_renewal(host, time, sent, alive);
                }
                None
            }
            QuotaMessage::Claim { host, incarnation, began } => {
                if !net.fault.is_store_down(now) && self.is_current(host, incarnation) {
                    let record = self.write_claim(host, now);
                    let message = QuotaMessage::Claimed { host, incarnation, began, record };
                    self.send_store(host, message, net);
                }
                None
            }
            QuotaMessage::Claimed { host, incarnation, began, record } => {
                let state = &mut self.hosts[host];
                for resource in self.resources.iter().filter(|_| state.incarnation == incarnation) {
                    let shares = record.shares(resource, &state.id, incarnation);
                    state.ledger.install_claim(time, resource, began, shares);
                }
                None
            }
        }
    }

    fn restart(&mut self, host: usize, now: u64) {
        let incarnation = self.hosts[host].incarnation.0 + 1;
        self.hosts[host] = new_host(host, incarnation, &self.resources, now);
    }
}
