//! Ledger of the shares and tokens that one host holds.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use crate::{
    ids::{HostId, IncarnationId, TransferId},
    quota::{
        AccountView, GrantShares, LeaseKind, QuotaLimits, ResourceId, account::QuotaAccount,
        terms::LeaseTerms,
    },
    time::MonoTime,
    units::{TokenCount, TrafficShare},
};

/// Host to which a ledger belongs, with the counter of its transfers.
#[derive(Debug, Clone)]
pub struct LedgerIdentity {
    /// Host.
    pub host: HostId,
    /// Run of its process.
    pub incarnation: IncarnationId,
    transfer_counter: Arc<AtomicU64>,
}

impl LedgerIdentity {
    /// Creates the identity of one run. Clones share the counter, so ledgers created from them use different transfer
    /// ids.
    pub fn new(host: HostId, incarnation: IncarnationId) -> Self {
        Self { host, incarnation, transfer_counter: Arc::default() }
    }

    /// The next transfer id for a lender. Its upper half is the lender's incarnation, so that a later run of the
    /// lender, which does not know the transfer, rejects a delayed call. Its lower half increases with every transfer.
    fn next_transfer(&self, lender: IncarnationId) -> TransferId {
        let sequence = self.transfer_counter.fetch_add(1, Ordering::Relaxed);
        TransferId(u128::from(lender.0) << 64 | u128::from(sequence))
    }
}

/// Incarnation of the lender to which a transfer belongs.
fn lender_incarnation(transfer: TransferId) -> u128 {
    transfer.0 >> 64
}

/// Call that asks a lender for share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BorrowCall {
    /// Host that asks.
    pub borrower: HostId,
    /// Run of its process.
    pub incarnation: IncarnationId,
    /// Transfer id; retries use the same one.
    pub transfer: TransferId,
    /// Resource.
    pub resource: ResourceId,
    /// Share requested.
    pub share: TrafficShare,
    /// Tokens requested.
    pub tokens: TokenCount,
}

/// Answer of a lender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BorrowAnswer {
    /// Share lent; zero if refused.
    pub share: TrafficShare,
    /// Tokens lent.
    pub tokens: TokenCount,
    /// Time for which the borrower may use the share, counted from before it sent its first call.
    pub remaining: Duration,
}

impl BorrowAnswer {
    /// Answer by which nothing is lent.
    pub const REFUSED: Self =
        Self { share: TrafficShare::NONE, tokens: TokenCount::NONE, remaining: Duration::ZERO };

    pub(super) fn of(share: TrafficShare, tokens: TokenCount, remaining: Duration) -> Self {
        Self { share, tokens, remaining }
    }
}

/// Call that returns borrowed share; it is retried until it is answered or the sublease ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GiveBackCall {
    /// Host that borrowed.
    pub borrower: HostId,
    /// Run of its process.
    pub incarnation: IncarnationId,
    /// Host that lent.
    pub lender: HostId,
    /// Transfer.
    pub transfer: TransferId,
    /// Tokens that are returned.
    pub tokens: TokenCount,
}

/// Shares and tokens that one host holds.
///
/// Every call takes the time of the host's monotonic clock and first advances the accounts that it touches to that
/// time, so a process that was paused past a deadline does not use share that ended meanwhile.
#[derive(Debug)]
pub struct QuotaLedger {
    identity: LedgerIdentity,
    terms: LeaseTerms,
    accounts: HashMap<ResourceId, QuotaAccount>,
    is_stopped: bool,
}

impl QuotaLedger {
    /// Creates a ledger without resources.
    pub fn new(identity: LedgerIdentity) -> Self {
        Self { identity, terms: LeaseTerms::default(), accounts: HashMap::new(), is_stopped: false }
    }

    /// Sets rate and burst of the whole quota. Shares stay; tokens are clamped to the new capacity.
    pub fn set_limits(&mut self, now: MonoTime, resource: &ResourceId, limits: QuotaLimits) {
        match self.accounts.get_mut(resource) {
            Some(account) => {
                account.settle(now, &self.terms);
                account.set_limits(limits);
            }
            None => {
                self.accounts.insert(resource.clone(), QuotaAccount::new(limits, now));
            }
        }
    }

    /// Takes one token and counts the request as demand.
    pub fn try_take(&mut self, now: MonoTime, resource: &ResourceId) -> bool {
        let Some(account) = self.settled_account(now, resource) else {
            return false;
        };
        account.record_demand(now);
        account.try_take()
    }

    /// Takes one token for a request that has been counted before and waited for share.
    pub fn retry_take(&mut self, now: MonoTime, resource: &ResourceId) -> bool {
        self.settled_account(now, resource).is_some_and(QuotaAccount::try_take)
    }

    fn settled_account(
        &mut self,
        now: MonoTime,
        resource: &ResourceId,
    ) -> Option<&mut QuotaAccount> {
        let account = self.accounts.get_mut(resource)?;
        account.settle(now, &self.terms);
        Some(account)
    }

    /// Advances all accounts to `now`.
    pub fn settle(&mut self, now: MonoTime) {
        for account in self.accounts.values_mut() {
            account.settle(now, &self.terms);
        }
    }

    fn refresh(&mut self) {
        for account in self.accounts.values_mut() {
            account.refresh(&self.terms);
        }
    }

    /// Records a lease that was created by a call sent at `sent`. Grants of an earlier lease of this kind become void;
    /// an answer that arrives after that of a later lease is ignored.
    pub fn start_lease(&mut self, now: MonoTime, kind: LeaseKind, sent: MonoTime, span: Duration) {
        if self.terms.get(kind).covers(sent) {
            self.end_lease(now, kind);
            self.terms.get_mut(kind).start(sent, span);
        }
    }

    /// Records that a renewal sent at `sent` found the lease alive.
    pub fn renew_lease(&mut self, now: MonoTime, kind: LeaseKind, sent: MonoTime, span: Duration) {
        self.settle(now);
        self.terms.get_mut(kind).renew(sent, span);
        self.refresh();
    }

    /// Extends the surplus until `until` while the store is down, unless it has lapsed.
    pub fn extend_surplus(&mut self, now: MonoTime, until: MonoTime) {
        self.settle(now);
        self.terms.get_mut(LeaseKind::Surplus).extend(now, until);
        self.refresh();
    }

    /// Records that the store no longer knows the lease.
    pub fn end_lease(&mut self, now: MonoTime, kind: LeaseKind) {
        self.settle(now);
        self.terms.get_mut(kind).end(now);
        for account in self.accounts.values_mut() {
            account.set_granted(kind, TrafficShare::NONE);
        }
        self.refresh();
    }

    /// Installs the shares of a claim that this host wrote. `began` is a time before the record was read: a claim that
    /// began under an earlier lease is ignored, because other hosts may have seen that lease end. New share starts
    /// without tokens.
    pub fn install_claim(
        &mut self,
        now: MonoTime,
        resource: &ResourceId,
        began: MonoTime,
        shares: GrantShares,
    ) {
        let is_stopped = self.is_stopped;
        let terms = self.terms;
        let Some(account) = self.settled_account(now, resource) else {
            return;
        };
        for kind in LeaseKind::ALL {
            if terms.get(kind).covers(began) && !is_stopped {
                account.set_granted(kind, shares.get(kind));
            }
        }
        account.refresh(&terms);
    }

    /// Lends unused share. Share and tokens are subtracted before the answer is created, and a retry gets the same
    /// answer.
    pub fn lend(&mut self, now: MonoTime, call: &BorrowCall) -> BorrowAnswer {
        let is_addressed =
            lender_incarnation(call.transfer) == u128::from(self.identity.incarnation.0);
        if !is_addressed || self.is_stopped {
            return BorrowAnswer::REFUSED;
        }
        let terms = self.terms;
        match self.settled_account(now, &call.resource) {
            Some(account) => account.lend(call, &terms),
            None => BorrowAnswer::REFUSED,
        }
    }

    /// Takes lent share back; returns false if the transfer has ended or was returned before.
    pub fn take_back(&mut self, now: MonoTime, call: &GiveBackCall) -> bool {
        if lender_incarnation(call.transfer) != u128::from(self.identity.incarnation.0) {
            return false;
        }
        self.settle(now);
        let terms = self.terms;
        // The call does not name the resource, so every account records the transfer if it does not know it.
        self.accounts.values_mut().map(|it| it.take_back(call, &terms)).filter(|it| *it).count() > 0
    }

    /// Advances a resource to `now` and returns what its demand and `waiting` requests lack. The caller requests this
    /// amount from each of the nearest peers and gives back the excess.
    pub fn borrow_need(
        &mut self,
        now: MonoTime,
        resource: &ResourceId,
        waiting: u32,
    ) -> Option<(TrafficShare, TokenCount)> {
        self.settled_account(now, resource)?.borrow_need(waiting)
    }

    /// Begins a transfer from `lender`; the returned call must be sent afterwards and may be retried.
    pub fn begin_borrow(
        &mut self,
        now: MonoTime,
        resource: &ResourceId,
        lender: (&HostId, IncarnationId),
        wanted: (TrafficShare, TokenCount),
    ) -> Option<BorrowCall> {
        if self.is_stopped {
            return None;
        }
        let transfer = self.identity.next_transfer(lender.1);
        self.settled_account(now, resource)?.begin_borrow(transfer, lender.0.clone());
        Some(BorrowCall {
            borrower: self.identity.host.clone(),
            incarnation: self.identity.incarnation,
            transfer,
            resource: resource.clone(),
            share: wanted.0,
            tokens: wanted.1,
        })
    }

    /// Adds the share of a lender's answer. Answers without a pending call are ignored.
    pub fn accept(
        &mut self,
        now: MonoTime,
        resource: &ResourceId,
        transfer: TransferId,
        answer: &BorrowAnswer,
    ) {
        let terms = self.terms;
        if let Some(account) = self.settled_account(now, resource) {
            account.accept(transfer, answer, &terms);
        }
    }

    /// Stops waiting for an answer. The returned call releases the share at the lender in case it was lent.
    pub fn abandon(
        &mut self,
        now: MonoTime,
        resource: &ResourceId,
        transfer: TransferId,
    ) -> Option<GiveBackCall> {
        let lender = self.settled_account(now, resource)?.abandon(transfer)?;
        Some(self.give_back_call(lender, transfer, TokenCount::NONE))
    }

    /// Subtracts borrowed share and tokens and returns the call that gives them back to the lender.
    pub fn give_back(
        &mut self,
        now: MonoTime,
        resource: &ResourceId,
        transfer: TransferId,
    ) -> Option<GiveBackCall> {
        let terms = self.terms;
        let (lender, tokens) = self.settled_account(now, resource)?.give_back(transfer, &terms)?;
        Some(self.give_back_call(lender, transfer, tokens))
    }

    fn give_back_call(
        &self,
        lender: HostId,
        transfer: TransferId,
        tokens: TokenCount,
    ) -> GiveBackCall {
        let LedgerIdentity { host, incarnation, .. } = &self.identity;
        GiveBackCall { borrower: host.clone(), incarnation: *incarnation, lender, transfer, tokens }
    }

    /// Gives back the borrowed share that ends by `before` or that the demand does not need.
    pub fn give_back_unused(
        &mut self,
        now: MonoTime,
        resource: &ResourceId,
        before: MonoTime,
    ) -> Vec<GiveBackCall> {
        let Some(account) = self.settled_account(now, resource) else {
            return Vec::new();
        };
        let transfers = account.returnable(before);
        transfers.into_iter().filter_map(|it| self.give_back(now, resource, it)).collect()
    }

    /// Stops using and lending any share and returns the calls that give borrowed share back.
    ///
    /// Afterwards [`release`](crate::quota::release) removes the grants from the store, except for
    /// [`QuotaLedger::lent_shares`]: borrowers use these until their subleases end. While any is lent, the leases must
    /// run out rather than be revoked.
    pub fn stop(&mut self, now: MonoTime) -> Vec<GiveBackCall> {
        self.settle(now);
        self.is_stopped = true;
        let mut calls = Vec::new();
        let resources: Vec<ResourceId> = self.accounts.keys().cloned().collect();
        for resource in resources {
            let Some(account) = self.accounts.get(&resource) else { continue };
            let (borrowed, pending) = account.open_transfers();
            calls.extend(borrowed.iter().filter_map(|it| self.give_back(now, &resource, *it)));
            calls.extend(pending.iter().filter_map(|it| self.abandon(now, &resource, *it)));
        }
        for account in self.accounts.values_mut() {
            for kind in LeaseKind::ALL {
                account.set_granted(kind, TrafficShare::NONE);
            }
        }
        self.refresh();
        calls
    }

    /// Snapshot of a resource as of the last call that touched it.
    pub fn view(&self, resource: &ResourceId) -> Option<AccountView> {
        self.accounts.get(resource).map(QuotaAccount::view)
    }

    /// Resources with limits.
    pub fn resources(&self) -> Vec<&ResourceId> {
        self.accounts.keys().collect()
    }

    /// Granted share that is lent to others, per kind of lease.
    pub fn lent_shares(&self, resource: &ResourceId) -> GrantShares {
        let lent = |kind| self.accounts.get(resource).map(|it| it.lent(kind)).unwrap_or_default();
        GrantShares { floor: lent(LeaseKind::Floor), surplus: lent(LeaseKind::Surplus) }
    }

    /// When this host stops using the grants of a lease.
    pub fn lease_deadline(&self, kind: LeaseKind) -> MonoTime {
        self.terms.get(kind).deadline()
    }
}
