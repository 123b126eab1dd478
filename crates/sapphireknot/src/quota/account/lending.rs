//! Lender's side of transfers.

use std::time::Duration;

use super::{LentShare, QuotaAccount, ShareSource, TransferMark, tokens_for};
use crate::{
    ids::{HostId, IncarnationId, TransferId},
    quota::{
        BorrowAnswer, BorrowCall, GiveBackCall,
        terms::{LeaseTerms, without_margin},
    },
    time::MonoTime,
    units::{TokenCount, TrafficShare},
};

/// Longest time for which share is lent. The lender cannot call it back, so this bounds how long a wrong guess lasts.
const LONGEST_SUBLEASE: Duration = Duration::from_secs(5);
/// Shortest sublease worth a message.
const SHORTEST_SUBLEASE: Duration = Duration::from_millis(200);

impl LentShare {
    fn is_of(&self, borrower: &HostId, incarnation: IncarnationId, transfer: TransferId) -> bool {
        self.transfer == transfer && self.borrower == *borrower && self.incarnation == incarnation
    }
}

impl QuotaAccount {
    /// Lends unused share, or repeats the answer to a transfer that is known.
    pub(in crate::quota) fn lend(&mut self, call: &BorrowCall, terms: &LeaseTerms) -> BorrowAnswer {
        if let Some(answer) = self.known_answer(call) {
            return answer;
        }
        if !self.mark_transfer(&call.borrower, call.incarnation, call.transfer) {
            return BorrowAnswer::REFUSED;
        }
        let now = self.bucket.refilled_at();
        let (parts, until) = self.choose_parts(call.share, terms);
        let share = TrafficShare(parts.iter().map(|it| it.1.0).sum());
        let tokens = self.choose_tokens(share, call.tokens);
        if share == TrafficShare::NONE && tokens == TokenCount::NONE {
            return BorrowAnswer::REFUSED;
        }
        self.bucket.try_take(tokens);
        // A transfer of tokens alone is noted too, so that a retry gets the same answer.
        let nothing = (ShareSource::Sublease(call.transfer), TrafficShare::NONE);
        let parts = if parts.is_empty() { vec![nothing] } else { parts };
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

    fn known_answer(&self, call: &BorrowCall) -> Option<BorrowAnswer> {
        let is_same = |it: &&LentShare| it.is_of(&call.borrower, call.incarnation, call.transfer);
        let parts = || self.lent.iter().filter(is_same);
        let until = parts().next()?.until;
        let share = TrafficShare(parts().map(|it| it.share.0).sum());
        let tokens = TokenCount(parts().map(|it| it.tokens.0).sum());
        let remaining = without_margin(self.bucket.refilled_at().until(until));
        Some(BorrowAnswer::of(share, tokens, remaining))
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

    /// Share that the own demand leaves, from the sources that last longest, and when the transfer ends.
    fn choose_parts(
        &self,
        wanted: TrafficShare,
        terms: &LeaseTerms,
    ) -> (Vec<(ShareSource, TrafficShare)>, MonoTime) {
        let now = self.bucket.refilled_at();
        let spare = self.bucket.share().saturating_sub(self.needed_room(self.demand.rate()));
        let mut missing = wanted.min(spare);
        let mut until = now.after(LONGEST_SUBLEASE);
        let mut sources: Vec<_> = self
            .sources(terms)
            .filter(|it| now.until(it.2) >= SHORTEST_SUBLEASE)
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

    /// Tokens that go with `share`: those that it has room for or that are wanted, less those for the own demand, and
    /// those that no longer fit here.
    fn choose_tokens(&self, share: TrafficShare, wanted: TokenCount) -> TokenCount {
        let limits = self.bucket.limits();
        let there = self.bucket.tokens();
        let kept = tokens_for(self.demand.rate());
        let remaining = limits.burst.scaled(self.bucket.share().saturating_sub(share));
        let fitting = limits.burst.scaled(share).max(wanted);
        there.saturating_sub(kept).min(fitting).max(there.saturating_sub(remaining))
    }

    /// Takes lent share back before its deadline; false if it is not lent any more.
    pub(in crate::quota) fn take_back(&mut self, call: &GiveBackCall, terms: &LeaseTerms) -> bool {
        let count = self.lent.len();
        self.lent.retain(|it| !it.is_of(&call.borrower, call.incarnation, call.transfer));
        if self.lent.len() == count {
            // A call to borrow that is overtaken by its return must not be granted later.
            self.mark_transfer(&call.borrower, call.incarnation, call.transfer);
            return false;
        }
        self.refresh(terms);
        self.bucket.add(call.tokens);
        true
    }
}
