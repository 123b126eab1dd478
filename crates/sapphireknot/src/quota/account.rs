//! Shares and tokens of one resource on this host.

mod lending;

use std::{collections::HashMap, time::Duration};

use crate::{
    ids::{HostId, IncarnationId, TransferId},
    quota::{
        BorrowAnswer, DemandEstimate, LeaseKind, QuotaLimits, TokenBucket,
        demand::share_for_demand, terms::LeaseTerms,
    },
    time::MonoTime,
    units::{RequestRate, TokenCount, TrafficShare},
};

/// Time for whose demand a lender keeps tokens in reserve.
const RESERVE_TIME: Duration = Duration::from_millis(500);

/// Tokens that a demand uses within [`RESERVE_TIME`].
fn reserve_for(demand: RequestRate) -> TokenCount {
    demand.accrued(MonoTime(0), MonoTime(0).after(RESERVE_TIME))
}

#[derive(Debug)]
struct BorrowedShare {
    transfer: TransferId,
    lender: HostId,
    share: TrafficShare,
    deadline: MonoTime,
}

#[derive(Debug)]
struct PendingBorrow {
    transfer: TransferId,
    lender: HostId,
    /// When the first call was sent. The lender answers every call of the transfer after this time.
    first_sent: MonoTime,
}

/// Origin of lent share. Borrowed share may be lent on until its own sublease ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ShareSource {
    Grant(LeaseKind),
    Sublease(TransferId),
}

/// Part of a transfer to a borrower. A transfer may have parts from several sources, which end at the same time.
#[derive(Debug)]
struct LentShare {
    borrower: HostId,
    incarnation: IncarnationId,
    transfer: TransferId,
    source: ShareSource,
    share: TrafficShare,
    tokens: TokenCount,
    /// When this host may use the share again; the borrower stops a safety margin earlier.
    until: MonoTime,
}

/// High-water mark of the transfers of a borrower. No transfer at or below it is granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TransferMark {
    incarnation: IncarnationId,
    transfer: TransferId,
}

/// Snapshot of an account, for status reports and decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccountView {
    /// Rate and burst over all hosts.
    pub limits: QuotaLimits,
    /// Share in use.
    pub active: TrafficShare,
    /// Floor and surplus granted by the store, including what is lent or has lapsed.
    pub granted: [TrafficShare; 2],
    /// Share borrowed from other hosts.
    pub borrowed: TrafficShare,
    /// Share lent to other hosts.
    pub lent: TrafficShare,
    /// Tokens in the bucket.
    pub tokens: TokenCount,
    /// Share that the demand needs.
    pub needed: TrafficShare,
    /// Unanswered calls to lenders.
    pub pending: usize,
    /// When the bucket will hold a token if none is taken; `None` if it never will.
    pub ready_at: Option<MonoTime>,
}

#[derive(Debug)]
pub(super) struct QuotaAccount {
    bucket: TokenBucket,
    demand: DemandEstimate,
    granted: [TrafficShare; 2],
    borrowed: Vec<BorrowedShare>,
    pending: Vec<PendingBorrow>,
    lent: Vec<LentShare>,
    transfer_marks: HashMap<HostId, TransferMark>,
}

impl QuotaAccount {
    pub(super) fn new(limits: QuotaLimits, now: MonoTime) -> Self {
        Self {
            bucket: TokenBucket::new(limits, now),
            demand: DemandEstimate::new(now),
            granted: [TrafficShare::NONE; 2],
            borrowed: Vec::new(),
            pending: Vec::new(),
            lent: Vec::new(),
            transfer_marks: HashMap::new(),
        }
    }

    /// Share that is usable at `time`.
    fn active_at(&self, time: MonoTime, terms: &LeaseTerms) -> TrafficShare {
        TrafficShare(self.sources(terms).map(|it| self.unlent_at(it, time).0).sum())
    }

    /// All grants and borrowed shares, with share and deadline.
    fn sources(
        &self,
        terms: &LeaseTerms,
    ) -> impl Iterator<Item = (ShareSource, TrafficShare, MonoTime)> {
        let grants = LeaseKind::ALL.map(|kind| {
            let share = self.granted[kind as usize];
            (ShareSource::Grant(kind), share, terms.get(kind).deadline())
        });
        let borrowed = self.borrowed.iter();
        let subleases =
            borrowed.map(|it| (ShareSource::Sublease(it.transfer), it.share, it.deadline));
        grants.into_iter().chain(subleases)
    }

    fn lent_at(&self, source: ShareSource, time: MonoTime) -> TrafficShare {
        let lent = self.lent.iter().filter(|it| it.source == source && time < it.until);
        TrafficShare(lent.map(|it| it.share.0).sum())
    }

    /// Share of a source that has neither lapsed nor been lent.
    fn unlent_at(
        &self,
        (source, share, deadline): (ShareSource, TrafficShare, MonoTime),
        time: MonoTime,
    ) -> TrafficShare {
        if time >= deadline {
            return TrafficShare::NONE;
        }
        share.saturating_sub(self.lent_at(source, time))
    }

    /// The first deadline after the last refill and not after `now`.
    fn next_deadline(&self, now: MonoTime, terms: &LeaseTerms) -> Option<MonoTime> {
        let leases = LeaseKind::ALL.iter().map(|&kind| terms.get(kind).deadline());
        let borrowed = self.borrowed.iter().map(|it| it.deadline);
        let lent = self.lent.iter().map(|it| it.until);
        let settled = self.bucket.refilled_at();
        leases.chain(borrowed).chain(lent).filter(|&it| settled < it && it <= now).min()
    }

    /// Advances the account to `now` and applies every deadline that passed meanwhile, in order.
    pub(super) fn settle(&mut self, now: MonoTime, terms: &LeaseTerms) {
        while let Some(deadline) = self.next_deadline(now, terms) {
            self.bucket.refill(deadline);
            self.refresh(terms);
        }
        self.bucket.refill(now);
        let settled = self.bucket.refilled_at();
        self.borrowed.retain(|it| settled < it.deadline);
        self.lent.retain(|it| settled < it.until);
        self.demand.advance(now);
    }

    /// Sets the share of the bucket to what is usable at the last refill.
    pub(super) fn refresh(&mut self, terms: &LeaseTerms) {
        self.bucket.set_share(self.active_at(self.bucket.refilled_at(), terms));
    }

    pub(super) fn set_limits(&mut self, limits: QuotaLimits) {
        self.bucket.set_limits(limits);
    }

    pub(super) fn set_granted(&mut self, kind: LeaseKind, share: TrafficShare) {
        self.granted[kind as usize] = share;
    }

    pub(super) fn record_demand(&mut self, now: MonoTime) {
        self.demand.record(now);
    }

    pub(super) fn try_take(&mut self) -> bool {
        self.bucket.try_take(TokenCount::ONE)
    }

    /// Share that covers a demand and whose bucket has room for the reserve.
    fn needed_share(&self, demand: RequestRate) -> TrafficShare {
        let limits = self.bucket.limits();
        share_for_demand(demand, limits).max(limits.share_for(reserve_for(demand)))
    }

    /// Share and tokens that the demand and `waiting` requests lack; `None` if nothing is lacking or a call is pending.
    pub(super) fn borrow_need(&self, waiting: u32) -> Option<(TrafficShare, TokenCount)> {
        if !self.pending.is_empty() {
            return None;
        }
        let limits = self.bucket.limits();
        let demand = self.demand.rate();
        let waiting = TokenCount(u64::from(waiting) * TokenCount::ONE.0);
        let reserve = reserve_for(demand).max(waiting);
        let required = self.needed_share(demand).max(limits.share_for(reserve));
        let (available, active) = (self.bucket.tokens(), self.bucket.share());
        // Tokens are borrowed only when less than half of the reserve is left, so that small changes cause no messages.
        let is_short = required > active || available < waiting || available.0 * 2 < reserve.0;
        let share = required.saturating_sub(active);
        is_short.then_some((share, reserve.saturating_sub(available)))
    }

    pub(super) fn begin_borrow(&mut self, transfer: TransferId, lender: HostId) {
        let first_sent = self.bucket.refilled_at();
        self.pending.push(PendingBorrow { transfer, lender, first_sent });
    }

    /// Adds borrowed share; an answer without a pending call, or after the end of the sublease, changes nothing.
    pub(super) fn accept(
        &mut self,
        transfer: TransferId,
        answer: &BorrowAnswer,
        terms: &LeaseTerms,
    ) {
        let Some(idx) = self.pending.iter().position(|it| it.transfer == transfer) else {
            return;
        };
        let pending = self.pending.swap_remove(idx);
        let deadline = pending.first_sent.after(answer.remaining);
        if deadline <= self.bucket.refilled_at() {
            return;
        }
        if answer.share > TrafficShare::NONE {
            let lender = pending.lender;
            self.borrowed.push(BorrowedShare { transfer, lender, share: answer.share, deadline });
            self.refresh(terms);
        }
        self.bucket.add(answer.tokens);
    }

    /// Stops waiting for an answer; returns the lender.
    pub(super) fn abandon(&mut self, transfer: TransferId) -> Option<HostId> {
        let idx = self.pending.iter().position(|it| it.transfer == transfer)?;
        Some(self.pending.swap_remove(idx).lender)
    }

    /// Subtracts borrowed share with its part of the tokens; returns the lender and the tokens. Does nothing while any
    /// of the share is lent on.
    pub(super) fn give_back(
        &mut self,
        transfer: TransferId,
        terms: &LeaseTerms,
    ) -> Option<(HostId, TokenCount)> {
        let idx = self.borrowed.iter().position(|it| it.transfer == transfer)?;
        if self.lent_at(ShareSource::Sublease(transfer), self.bucket.refilled_at())
            > TrafficShare::NONE
        {
            return None;
        }
        let borrowed = self.borrowed.swap_remove(idx);
        let whole = u128::from(self.bucket.share().0.max(1));
        let part = u128::from(self.bucket.tokens().0) * u128::from(borrowed.share.0) / whole;
        let tokens = TokenCount(u64::try_from(part).unwrap_or(0));
        self.bucket.try_take(tokens);
        self.refresh(terms);
        Some((borrowed.lender, tokens))
    }

    /// Borrowed transfers that end by `before` or that the peak demand does not need.
    pub(super) fn returnable(&self, before: MonoTime) -> Vec<TransferId> {
        let needed = self.needed_share(self.demand.peak_rate());
        let mut spare = self.bucket.share().saturating_sub(needed);
        let mut transfers = Vec::new();
        for borrowed in &self.borrowed {
            let is_unused = borrowed.share <= spare;
            if is_unused {
                spare = spare.saturating_sub(borrowed.share);
            }
            if is_unused || borrowed.deadline <= before {
                transfers.push(borrowed.transfer);
            }
        }
        transfers
    }

    /// Ids of the borrowed and of the pending transfers.
    pub(super) fn open_transfers(&self) -> (Vec<TransferId>, Vec<TransferId>) {
        let borrowed = self.borrowed.iter().map(|it| it.transfer).collect();
        let pending = self.pending.iter().map(|it| it.transfer).collect();
        (borrowed, pending)
    }

    /// Granted share of a kind that is lent at the last refill.
    pub(super) fn lent(&self, kind: LeaseKind) -> TrafficShare {
        self.lent_at(ShareSource::Grant(kind), self.bucket.refilled_at())
    }

    pub(super) fn view(&self) -> AccountView {
        AccountView {
            limits: self.bucket.limits(),
            active: self.bucket.share(),
            granted: self.granted,
            borrowed: TrafficShare(self.borrowed.iter().map(|it| it.share.0).sum()),
            lent: TrafficShare(self.lent.iter().map(|it| it.share.0).sum()),
            tokens: self.bucket.tokens(),
            needed: share_for_demand(self.demand.rate(), self.bucket.limits()),
            pending: self.pending.len(),
            ready_at: self.bucket.ready_at(TokenCount::ONE),
        }
    }
}
