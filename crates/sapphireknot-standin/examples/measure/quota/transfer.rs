//! Policy that runs the quota decisions of the library with simulated ticks and delayed messages.

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

/// Number of peers that are asked for share at once.
const BORROW_FANOUT: usize = 3;
/// Interval at which a host borrows share in advance, before a request lacks a token.
const PREFETCH_INTERVAL: u64 = SECOND * 3 / 10;
/// Time after which an unanswered call is abandoned.
const ANSWER_TIMEOUT: u64 = SECOND / 10;
/// Time before the end of a sublease at which the borrower gives it back with its tokens.
const RETURN_LEAD: Duration = Duration::from_millis(300);
/// Time that the store takes for a call, in addition to the network latency in both directions.
const STORE_PROCESSING_TIME: u64 = 2_000;
/// Host whose network location the store shares.
const STORE_HOST: usize = 0;

/// Message between hosts, or between a host and the store.
#[derive(Debug)]
enum QuotaMessage {
    Borrow { from: usize, to: usize, call: BorrowCall },
    Borrowed { to: usize, lender: usize, call: BorrowCall, answer: BorrowAnswer },
    GiveBack { to: usize, call: GiveBackCall },
    Renew { host: usize, incarnation: IncarnationId, sent: MonoTime },
    Renewed { host: usize, incarnation: IncarnationId, sent: MonoTime, outcomes: [RenewOutcome; 2] },
    Claim { host: usize, incarnation: IncarnationId, started_at: MonoTime },
    Claimed { host: usize, incarnation: IncarnationId, started_at: MonoTime, record: QuotaRecord },
}

/// Result of a lease renewal at the store.
#[derive(Debug, Clone, Copy)]
enum RenewOutcome {
    Renewed,
    /// The host had no lease and got a new one with this id.
    Created(u64),
    /// The lease has ended, or no new one could be created.
    Ended,
}

struct TransferHost {
    id: HostId,
    incarnation: IncarnationId,
    ledger: QuotaLedger,
    peers: Vec<PeerOrder>,
    /// Ids of the leases, indexed by `LeaseKind`.
    leases: [Option<u64>; 2],
    reclaim_guard: ReclaimGuard,
    /// Transfer, organisation and deadline of each unanswered borrow call.
    pending_calls: Vec<(TransferId, usize, u64)>,
    next_renewal: u64,
    next_prefetch: u64,
}

/// Policy with the grants, subleases and tokens of the library.
pub(crate) struct TransferPolicy {
    hosts: Vec<TransferHost>,
    resources: Vec<ResourceId>,
    store: QuotaStore,
    /// Content of the messages in transit, by message id.
    messages: HashMap<u64, QuotaMessage>,
    next_message: u64,
}

fn host_id(host: usize) -> HostId {
    format!("h{host}").parse().expect("valid host id")
}

fn host_index(id: &HostId) -> usize {
    id.as_str()[1..].parse().expect("host id is 'h' and an index")
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
        reclaim_guard: ReclaimGuard::default(),
        pending_calls: Vec::new(),
        next_renewal: now,
        next_prefetch: now,
    }
}

impl TransferPolicy {
    pub(crate) fn new(seed: u64) -> Self {
        let name = |idx| format!("organisation/o{idx}-{seed}").parse().expect("valid resource id");
        let resources: Vec<ResourceId> = (0..RATES.len()).map(name).collect();
        let hosts = (0..HOSTS).map(|host| new_host(host, 1, &resources, 0)).collect();
        let store = QuotaStore::default();
        Self { hosts, resources, store, messages: HashMap::new(), next_message: 0 }
    }

    fn send(&mut self, from: usize, to: usize, message: QuotaMessage, net: &mut Network) {
        self.next_message += 1;
        if net.send(from, to, self.next_message) {
            self.messages.insert(self.next_message, message);
        }
    }

    /// Sends a call to the store, or the answer of the store to the host.
    fn send_store(&mut self, host: usize, message: QuotaMessage, net: &mut Network) {
        self.next_message += 1;
        let delay = latency(STORE_HOST, host) + STORE_PROCESSING_TIME / 2;
        if net.send_with_delay(host, STORE_HOST, self.next_message, delay) {
            self.messages.insert(self.next_message, message);
        }
    }

    /// Sends borrow calls to the nearest peers if the ledger of the account needs more share.
    fn borrow(&mut self, account: (usize, usize), waiting: u32, now: u64, net: &mut Network) {
        let (host, organisation) = account;
        let resource = self.resources[organisation].clone();
        let state = &mut self.hosts[host];
        let Some(wanted) = state.ledger.borrow_need(MonoTime(now), &resource, waiting) else {
            return;
        };
        let order = &state.peers[organisation];
        let nearest = order.nearest(MonoTime(now), BORROW_FANOUT);
        let lenders: Vec<usize> = nearest.into_iter().map(|it| host_index(it.1)).collect();
        for lender in lenders {
            let (id, incarnation) = (self.hosts[lender].id.clone(), self.hosts[lender].incarnation);
            let ledger = &mut self.hosts[host].ledger;
            let call = ledger.begin_borrow(MonoTime(now), &resource, (&id, incarnation), wanted);
            let Some(call) = call else { continue };
            self.hosts[host].pending_calls.push((
                call.transfer,
                organisation,
                now + ANSWER_TIMEOUT,
            ));
            self.send(host, lender, QuotaMessage::Borrow { from: host, to: lender, call }, net);
        }
    }

    fn give_back(&mut self, host: usize, call: GiveBackCall, net: &mut Network) {
        let to = host_index(&call.lender);
        self.send(host, to, QuotaMessage::GiveBack { to, call }, net);
    }

    /// Renews both leases of a host at the store and creates those that it lacks.
    fn renew_leases(
        &mut self,
        host: usize,
        incarnation: IncarnationId,
        now: u64,
    ) -> [RenewOutcome; 2] {
        let id = host_id(host);
        LeaseKind::ALL.map(|kind| match self.hosts[host].leases[kind as usize] {
            Some(lease) if self.store.renew_lease(&id, kind, lease, now) => RenewOutcome::Renewed,
            Some(_) => RenewOutcome::Ended,
            None => match self.store.create_lease(&id, incarnation, kind, now) {
                Some(lease) => RenewOutcome::Created(lease),
                None => RenewOutcome::Ended,
            },
        })
    }

    /// Applies the answer to a renewal that was sent at `sent`.
    fn apply_renewal(
        &mut self,
        host: usize,
        now: MonoTime,
        sent: MonoTime,
        outcomes: [RenewOutcome; 2],
    ) {
        let state = &mut self.hosts[host];
        state.reclaim_guard.record_answer(sent);
        for kind in LeaseKind::ALL {
            match outcomes[kind as usize] {
                RenewOutcome::Renewed => {
                    state.ledger.renew_lease(now, kind, sent, lease_span(kind))
                }
                RenewOutcome::Created(lease) => {
                    state.leases[kind as usize] = Some(lease);
                    state.ledger.start_lease(now, kind, sent, lease_span(kind));
                }
                RenewOutcome::Ended => {
                    state.leases[kind as usize] = None;
                    state.next_renewal = now.0;
                    state.ledger.end_lease(now, kind);
                }
            }
        }
    }

    /// Decides a claim on the record of the store and writes it in one step, so that no other host writes between the
    /// read and the write.
    fn write_claim(&mut self, host: usize, now: u64) -> QuotaRecord {
        let state = &self.hosts[host];
        let view = self.store.lease_view(now);
        let may_reclaim = state.reclaim_guard.may_reclaim(MonoTime(now), SHORT_LEASE);
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

    /// Whether the host was not restarted since it sent a message with this incarnation.
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
        let (timed_out, pending_calls): (Vec<_>, Vec<_>) =
            self.hosts[host].pending_calls.iter().partition(|it| it.2 <= now);
        self.hosts[host].pending_calls = pending_calls;
        for (transfer, organisation, _) in timed_out {
            let resource = self.resources[organisation].clone();
            if let Some(call) = self.hosts[host].ledger.abandon(time, &resource, transfer) {
                let until = MonoTime(now + SECOND);
                self.hosts[host].peers[organisation].back_off(&call.lender, until);
                self.give_back(host, call, net);
            }
        }
        let is_prefetch_due = now >= self.hosts[host].next_prefetch;
        if is_prefetch_due {
            self.hosts[host].next_prefetch = now + PREFETCH_INTERVAL;
        }
        for organisation in 0..RATES.len() {
            let resource = self.resources[organisation].clone();
            let ledger = &mut self.hosts[host].ledger;
            let calls = ledger.give_back_unused(time, &resource, time.after(RETURN_LEAD));
            for call in calls {
                self.give_back(host, call, net);
            }
            if is_prefetch_due {
                self.borrow((host, organisation), 0, now, net);
            }
        }
        let is_store_down = net.fault.is_store_down(now);
        let state = &mut self.hosts[host];
        if now >= state.next_renewal {
            state.next_renewal = now + SECOND * 4 / 5;
            let incarnation = state.incarnation;
            if is_store_down {
                state.reclaim_guard.record_failure();
                state.ledger.extend_surplus(time, MonoTime(now + 2 * SECOND));
                return;
            }
            self.send_store(host, QuotaMessage::Renew { host, incarnation, sent: time }, net);
            let started_at = time;
            self.send_store(host, QuotaMessage::Claim { host, incarnation, started_at }, net);
        }
    }

    fn request_tokens(
        &mut self,
        account: (usize, usize),
        waiting: u32,
        now: u64,
        net: &mut Network,
    ) {
        self.borrow(account, waiting, now, net);
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
                state.pending_calls.retain(|it| it.0 != call.transfer);
                let is_full_loan = answer.share >= call.share && answer.tokens >= call.tokens;
                let (order, lender) = (&mut state.peers[organisation], host_id(lender));
                if is_full_loan {
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
                    let outcomes = self.renew_leases(host, incarnation, now);
                    let message = QuotaMessage::Renewed { host, incarnation, sent, outcomes };
                    self.send_store(host, message, net);
                }
                None
            }
            QuotaMessage::Renewed { host, incarnation, sent, outcomes } => {
                if self.is_current(host, incarnation) {
                    self.apply_renewal(host, time, sent, outcomes);
                }
                None
            }
            QuotaMessage::Claim { host, incarnation, started_at } => {
                if !net.fault.is_store_down(now) && self.is_current(host, incarnation) {
                    let record = self.write_claim(host, now);
                    let message = QuotaMessage::Claimed { host, incarnation, started_at, record };
                    self.send_store(host, message, net);
                }
                None
            }
            QuotaMessage::Claimed { host, incarnation, started_at, record } => {
                let state = &mut self.hosts[host];
                for resource in self.resources.iter().filter(|_| state.incarnation == incarnation) {
                    let shares = record.shares(resource, &state.id, incarnation);
                    state.ledger.install_claim(time, resource, started_at, shares);
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
