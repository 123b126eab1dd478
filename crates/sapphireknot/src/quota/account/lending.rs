//! Lender's side of transfers.

use std::time::Duration;

use super::{LentShare, QuotaAccount, ShareSource, TransferMark, reserve_for};
use crate::{
    ids::{HostId, IncarnationId, TransferId},
    quota::{
        BorrowAnswer, BorrowCall, GiveBackCall,
        terms::{LeaseTerms, without_margin},
    },
    time::MonoTime,
    units::{TokenCount, TrafficShare},
};

/// Longest time for which share is lent. The lender cannot revoke a sublease, so this bounds how long a wrong estimate
/// of its own demand lasts.
const MAX_SUBLEASE: Duration = Duration::from_secs(5);
/// Shortest sublease; a shorter one does not justify the message.
const MIN_SUBLEASE: Duration = Duration::from_millis(200);

impl LentShare {
    fn matches(&self, borrower: &HostId, incarnation: IncarnationId, transfer: TransferId) -> bool {
        self.transfer == transfer && self.borrower == *borrower && self.incarnation == incarnation
    }
}

impl QuotaAccount {
    /// Lends unused share, or repeats the answer if the transfer was granted before.
    pub(in crate::quota) fn lend(&mut self, call: &BorrowCall, terms: &LeaseTerms) -> BorrowAnswer {
        if let Some(answer) = self.repeated_answer(call) {
            return answer;
        }
        if !self.mark_transfer(&call.borrower, call.incarnation, call.transfer) {
            return BorrowAnswer::REFUSED;
        }
        let now = self.bucket.refilled_at();
        let (parts, until) = self.allocate_share(call.share, terms);
        let share = TrafficShare(parts.iter().map(|it| it.1.0).sum());
        let tokens = self.allocate_tokens(share, call.tokens);
        if share == TrafficShare::NONE && tokens == TokenCount::NONE {
            return BorrowAnswer::REFUSED;
        }
        self.bucket.try_take(tokens);
        // A transfer of tokens alone is recorded too, so that a retry gets the same answer.
        let tokens_only = (ShareSource::Sublease(call.transfer), TrafficShare::NONE);
        let parts = if parts.is_empty() { vec![tokens_only] } else { parts };
        for (idx, (source, share)) in parts.into_iter().enumerate() {
            self.lent.push(LentShare {
                borrower: call.borrower.clone(),
                incarnation: call.incarnation,
                transfer: call.transfer,
                source,
                share,
                tokens: if idx == 0 { tokens } else { TokenCount::NONE },
                until,
            });
        }
        self.refresh(terms);
        BorrowAnswer::of(share, tokens, without_margin(now.until(until)))
    }

    fn repeated_answer(&self, call: &BorrowCall) -> Option<BorrowAnswer> {
        let is_same = |it: &&LentShare| it.matches(&call.borrower, call.incarnation, call.transfer);
        let parts = || self.lent.iter().filter(is_same);
        let until = parts().next()?.until;
        let share = TrafficShare(parts().map(|it| it.share.0).sum());
        let tokens = TokenCount(parts().map(|it| it.tokens.0).sum());
        let remaining = without_margin(self.bucket.refilled_at().until(until));
        Some(BorrowAnswer::of(share, tokens, remaining))
    }

    /// Records a transfer as seen; returns false if it or a later one of the borrower was seen before.
    fn mark_transfer(
        &mut self,
        borrower: &HostId,
        incarnation: IncarnationId,
        transfer: TransferId,
    ) -> bool {
        let mark = TransferMark { incarnation, transfer };
        let is_new = self.transfer_marks.get(borrower).is_none_or(|it| *it < mark);
        if is_new {
            self.transfer_marks.insert(borrower.clone(), mark);
        }
        is_new
    }

    /// Allocates share that this host's demand does not need, from the sources with the latest deadlines first; also
    /// returns when the transfer ends.
    fn allocate_share(
        &self,
        wanted: TrafficShare,
        terms: &LeaseTerms,
    ) -> (Vec<(ShareSource, TrafficShare)>, MonoTime) {
        let now = self.bucket.refilled_at();
        let spare = self.bucket.share().saturating_sub(self.needed_share(self.demand.rate()));
        let mut missing = wanted.min(spare);
        let mut until = now.after(MAX_SUBLEASE);
        let mut sources: Vec<_> = self
            .sources(terms)
            .filter(|it| now.until(it.2) >= MIN_SUBLEASE)
            .map(|it| (it.0, self.unlent_at(it, now), it.2))
            .filter(|it| it.1 > TrafficShare::NONE)
            .collect();
        sources.sort_by_key(|it| std::cmp::Reverse(it.2));
        let mut parts = Vec::new();
        for (source, share, deadline) in sources {
            let taken = share.min(missing);
            if taken > TrafficShare::NONE {
                missing = missing.saturating_sub(taken);
                until = until.min(deadline);
                parts.push((source, taken));
            }
        }
        (parts, until)
    }

    /// Tokens to transfer with `share`: as many as it has room for or as are wanted, without the reserve for this
    /// host's demand, but at least those that exceed the capacity that remains here.
    fn allocate_tokens(&self, share: TrafficShare, wanted: TokenCount) -> TokenCount {
        let limits = self.bucket.limits();
        let available = self.bucket.tokens();
        let reserve = reserve_for(self.demand.rate());
        let remaining = limits.burst.scaled(self.bucket.share().saturating_sub(share));
        let capacity = limits.burst.scaled(share).max(wanted);
        available.saturating_sub(reserve).min(capacity).max(available.saturating_sub(remaining))
    }

    /// Takes lent share back before its deadline; returns false if it is no longer lent.
    pub(in crate::quota) fn take_back(&mut self, call: &GiveBackCall, terms: &LeaseTerms) -> bool {
        let count = self.lent.len();
        self.lent.retain(|it| !it.matches(&call.borrower, call.incarnation, call.transfer));
        if self.lent.len() == count {
            // The return may overtake the call to borrow, which must not be granted afterwards.
            self.mark_transfer(&call.borrower, call.incarnation, call.transfer);
            return false;
        }
        self.refresh(terms);
        self.bucket.add(call.tokens);
        true
    }
}
