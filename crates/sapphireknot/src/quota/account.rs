//! Share and tokens of one resource on this host.

use std::{collections::HashMap, time::Duration};

use crate::{
    ids::{HostId, IncarnationId, TransferId},
    quota::{
        BorrowAnswer, BorrowCall, DemandEstimate, GiveBackCall, LeaseKind, QuotaLimits,
        TokenBucket,
        terms::{LeaseTerms, without_margin},
    },
    time::MonoTime,
    units::{TokenCount, TrafficShare},
};

/// Longest time for which share is lent. The lender cannot call it back, so this bounds how long a wrong guess lasts.
const LONGEST_SUBLEASE: Duration = Duration::from_secs(5);
/// Shortest sublease worth a message.
const SHORTEST_SUBLEASE: Duration = Duration::from_millis(200);
/// Demand for which a lender keeps tokens.
const KEPT_DEMAND: Duration = Duration::from_millis(500);

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
    /// When the first call was sent. The lender's answer to any call of the transfer is later.
    first_sent: MonoTime,
}

#[derive(Debug)]
struct LentShare {
    borrower: HostId,
    incarnation: IncarnationId,
    transfer: TransferId,
    kind: LeaseKind,
    share: TrafficShare,
    tokens: TokenCount,
    /// When the share is this host's again; the borrower stops a margin earlier.
    until: MonoTime,
}

/// Latest transfer of a borrower; an older one is never granted again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TransferMark {
    incarnation: IncarnationId,
    transfer: TransferId,
}

/// What an account holds, for status and decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccountView {
    /// Rate and burst of the whole.
    pub limits: QuotaLimits,
    /// Share in use.
    pub active: TrafficShare,
    /// Share granted by the store, floor and surplus, whether or not it is lent or lapsed.
    pub granted: [TrafficShare; 2],
    /// Share borrowed from other hosts.
    pub borrowed: TrafficShare,
    /// Share lent to other hosts.
    pub lent: TrafficShare,
    /// Tokens.
    pub tokens: TokenCount,
    /// Share that the demand needs.
    pub needed: TrafficShare,
    /// Tokens that the demand of half a second uses up.
    pub needed_tokens: TokenCount,
    /// Unanswered calls to lenders.
    pub pending: usize,
    /// When the next token is there if none is taken.
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
    marks: HashMap<HostId, TransferMark>,
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
            marks: HashMap::new(),
        }
    }

    /// Share that is usable at `time`.
    fn active_at(&self, time: MonoTime, terms: &LeaseTerms) -> TrafficShare {
        let own = LeaseKind::ALL.iter().map(|&kind| self.unlent_at(kind, time, terms).0);
        let borrowed = self.borrowed.iter().filter(|it| time < it.deadline).map(|it| it.share.0);
        TrafficShare(own.chain(borrowed).sum())
    }

    fn lent_at(&self, kind: LeaseKind, time: MonoTime) -> TrafficShare {
        let lent = self.lent.iter().filter(|it| it.kind == kind && time < it.until);
        TrafficShare(lent.map(|it| it.share.0).sum())
    }

    /// Granted share of a kind that is neither lapsed nor lent.
    fn unlent_at(&self, kind: LeaseKind, time: MonoTime, terms: &LeaseTerms) -> TrafficShare {
        if time >= terms.get(kind).deadline() {
            return TrafficShare::NONE;
        }
        self.granted[kind as usize].saturating_sub(self.lent_at(kind, time))
    }

    /// The first deadline after the settled time and not after `now`.
    fn next_deadline(&self, now: MonoTime, terms: &LeaseTerms) -> Option<MonoTime> {
        let leases = LeaseKind::ALL.iter().map(|&kind| terms.get(kind).deadline());
        let borrowed = self.borrowed.iter().map(|it| it.deadline);
        let lent = self.lent.iter().map(|it| it.until);
        let settled = self.bucket.settled();
        leases.chain(borrowed).chain(lent).filter(|&it| settled < it && it <= now).min()
    }

    /// Brings the account to `now`, with every deadline that passed meanwhile taken in order.
    pub(super) fn settle(&mut self, now: MonoTime, terms: &LeaseTerms) {
        while let Some(deadline) = self.next_deadline(now, terms) {
            self.bucket.settle(deadline);
            self.refresh(terms);
        }
        self.bucket.settle(now);
        let settled = self.bucket.settled();
        self.borrowed.retain(|it| settled < it.deadline);
        self.lent.retain(|it| settled < it.until);
        self.demand.advance(now);
    }

    /// Puts the share at the settled time into force.
    pub(super) fn refresh(&mut self, terms: &LeaseTerms) {
        self.bucket.set_share(self.active_at(self.bucket.settled(), terms));
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

    /// Lends unused share, or repeats the answer to a transfer that is known.
    pub(super) fn lend(&mut self, call: &BorrowCall, terms: &LeaseTerms) -> BorrowAnswer {
        let now = self.bucket.settled();
        let is_same = |it: &&LentShare| {
            it.transfer == call.transfer
                && it.borrower == call.borrower
                && it.incarnation == call.incarnation
        };
        if let Some(lent) = self.lent.iter().find(is_same) {
            return BorrowAnswer::of(
                lent.share,
                lent.tokens,
                without_margin(now.until(lent.until)),
            );
        }
        if !self.mark_transfer(&call.borrower, call.incarnation, call.transfer) {
            return BorrowAnswer::REFUSED;
        }
        let Some((kind, share, until)) = self.choose_loan(call.share, terms) else {
            return BorrowAnswer::REFUSED;
        };
        let tokens = self.choose_tokens(share, call.tokens);
        self.bucket.try_take(tokens);
        self.lent.push(LentShare {
            borrower: call.borrower.clone(),
            incarnation: call.incarnation,
            transfer: call.transfer,
            kind,
            share,
            tokens,
            until,
        });
        self.refresh(terms);
        BorrowAnswer::of(share, tokens, without_margin(now.until(until)))
    }

    /// Notes a transfer as seen; false if it or a later one of the borrower was seen before.
    fn mark_transfer(
        &mut self,
        borrower: &HostId,
        incarnation: IncarnationId,
        transfer: TransferId,
    ) -> bool {
        let mark = TransferMark { incarnation, transfer };
        let is_new = self.marks.get(borrower).is_none_or(|it| *it < mark);
        if is_new {
            self.marks.insert(borrower.clone(), mark);
        }
        is_new
    }

    /// Share that the own demand leaves, from the lease kind with most of it.
    fn choose_loan(
        &self,
        wanted: TrafficShare,
        terms: &LeaseTerms,
    ) -> Option<(LeaseKind, TrafficShare, MonoTime)> {
        let now = self.bucket.settled();
        let needed = self.demand.needed_share(self.bucket.limits());
        let spare = self.bucket.share().saturating_sub(needed);
        let loans = LeaseKind::ALL.iter().map(|&kind| {
            let share = self.unlent_at(kind, now, terms).min(spare).min(wanted);
            let until = terms.get(kind).deadline().min(now.after(LONGEST_SUBLEASE));
            (kind, share, until)
        });
        loans
            .filter(|(_, share, until)| {
                *share > TrafficShare::NONE && now.until(*until) >= SHORTEST_SUBLEASE
            })
            .max_by_key(|(_, share, until)| (*share, *until))
    }

    /// Tokens that go with `share`: those wanted beyond the own demand, and those that no longer fit here.
    fn choose_tokens(&self, share: TrafficShare, wanted: TokenCount) -> TokenCount {
        let limits = self.bucket.limits();
        let there = self.bucket.tokens();
        let kept = self.demand.needed_tokens(KEPT_DEMAND);
        let remaining = limits.burst.scaled(self.bucket.share().saturating_sub(share));
        let offered = there.saturating_sub(kept).min(wanted).max(there.saturating_sub(remaining));
        offered.min(limits.burst.scaled(share))
    }

    /// Takes lent share back before its deadline; false if it is not lent any more.
    pub(super) fn take_back(&mut self, call: &GiveBackCall, terms: &LeaseTerms) -> bool {
        let found = self.lent.iter().position(|it| {
            it.transfer == call.transfer
                && it.borrower == call.borrower
                && it.incarnation == call.incarnation
        });
        let Some(idx) = found else {
            // A call to borrow that is overtaken by its return must not be granted later.
            self.mark_transfer(&call.borrower, call.incarnation, call.transfer);
            return false;
        };
        self.lent.swap_remove(idx);
        self.refresh(terms);
        self.bucket.add(call.tokens);
        true
    }

    pub(super) fn begin_borrow(&mut self, transfer: TransferId, lender: HostId) {
        let first_sent = self.bucket.settled();
        self.pending.push(PendingBorrow { transfer, lender, first_sent });
    }

    /// Adds borrowed share; an answer that is not awaited, or comes too late, changes nothing.
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
        if answer.share == TrafficShare::NONE || deadline <= self.bucket.settled() {
            return;
        }
        let lender = pending.lender;
        self.borrowed.push(BorrowedShare { transfer, lender, share: answer.share, deadline });
        self.refresh(terms);
        self.bucket.add(answer.tokens);
    }

    /// Stops waiting for an answer; returns the lender.
    pub(super) fn abandon(&mut self, transfer: TransferId) -> Option<HostId> {
        let idx = self.pending.iter().position(|it| it.transfer == transfer)?;
        Some(self.pending.swap_remove(idx).lender)
    }

    /// Subtracts borrowed share with its part of the tokens; returns the lender and the tokens.
    pub(super) fn give_back(
        &mut self,
        transfer: TransferId,
        terms: &LeaseTerms,
    ) -> Option<(HostId, TokenCount)> {
        let idx = self.borrowed.iter().position(|it| it.transfer == transfer)?;
        let borrowed = self.borrowed.swap_remove(idx);
        let whole = u128::from(self.bucket.share().0.max(1));
        let part = u128::from(self.bucket.tokens().0) * u128::from(borrowed.share.0) / whole;
        let tokens = TokenCount(u64::try_from(part).unwrap_or(0));
        self.bucket.try_take(tokens);
        self.refresh(terms);
        Some((borrowed.lender, tokens))
    }

    /// Borrowed transfers that end before `before`, or all that the demand does not need.
    pub(super) fn returnable(&self, before: MonoTime) -> Vec<TransferId> {
        let needed = self.demand.needed_share(self.bucket.limits());
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

    /// Ids of everything borrowed and awaited.
    pub(super) fn open_transfers(&self) -> (Vec<TransferId>, Vec<TransferId>) {
        let borrowed = self.borrowed.iter().map(|it| it.transfer).collect();
        let pending = self.pending.iter().map(|it| it.transfer).collect();
        (borrowed, pending)
    }

    /// Share of a kind that is lent at the settled time.
    pub(super) fn lent(&self, kind: LeaseKind) -> TrafficShare {
        self.lent_at(kind, self.bucket.settled())
    }

    pub(super) fn view(&self) -> AccountView {
        AccountView {
            limits: self.bucket.limits(),
            active: self.bucket.share(),
            granted: self.granted,
            borrowed: TrafficShare(self.borrowed.iter().map(|it| it.share.0).sum()),
            lent: TrafficShare(self.lent.iter().map(|it| it.share.0).sum()),
            tokens: self.bucket.tokens(),
            needed: self.demand.needed_share(self.bucket.limits()),
            needed_tokens: self.demand.needed_tokens(KEPT_DEMAND),
            pending: self.pending.len(),
            ready_at: self.bucket.ready_at(TokenCount::ONE),
        }
    }
}
