//! Selection among the copies of the store that other hosts offer to a host that cannot read it.
//!
//! The newest copy wins. If the host that offers it has lost the store itself, hosts that the copy lists may have a
//! newer one: they are queried once before it is taken, and it is taken anyway if none of them has.

use std::{net::SocketAddr, time::Duration};

use super::feed_copy::CopyOffer;
use crate::time::MonoTime;

/// Copy offered by a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CopyAnswer {
    /// Address of the host.
    pub peer: SocketAddr,
    /// Offered copy.
    pub offer: CopyOffer,
}

/// Next step of a search after hosts answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SearchStep {
    /// Take this copy.
    Take(CopyAnswer),
    /// Ask the hosts that the candidate copy lists.
    AskMore,
    /// No host has a copy.
    NoCopy,
}

/// Search for the newest copy.
#[derive(Debug, Default)]
pub struct CopySearch {
    candidate: Option<CopyAnswer>,
}

impl CopySearch {
    /// Newest copy so far, offered by a host that has lost the store.
    pub fn candidate(&self) -> Option<&CopyAnswer> {
        self.candidate.as_ref()
    }

    /// Selects the next step after `answers` arrived. A copy older than `stale_age` is taken at once only if it lists
    /// no other host.
    pub fn next_step<F>(
        &mut self,
        answers: Vec<CopyAnswer>,
        stale_age: Duration,
        now: MonoTime,
        lists_others: F,
    ) -> SearchStep
    where
        F: Fn(&CopyOffer) -> bool,
    {
        let earlier = self.candidate.take();
        let is_repeated = earlier.is_some();
        let newest = earlier
            .into_iter()
            .chain(answers)
            .reduce(|best, it| if it.offer.is_newer(&best.offer) { it } else { best });
        let Some(newest) = newest else { return SearchStep::NoCopy };
        let is_stale = now.since(newest.offer.confirmed_at) > stale_age;
        if is_stale && !is_repeated && lists_others(&newest.offer) {
            self.candidate = Some(newest);
            return SearchStep::AskMore;
        }
        SearchStep::Take(newest)
    }
}
