//! Limits of a resource and terms of leases.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    time::MonoTime,
    units::{BurstSize, RequestRate, TokenCount, TrafficShare},
};

/// A holder stops using its lease one part in this many before the end. This safety margin covers clocks of two
/// machines whose rates differ by up to a ninth.
const MARGIN_DIVISOR: u32 = 10;

/// Rate and burst of a resource over all hosts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QuotaLimits {
    /// Rate over all hosts.
    pub rate: RequestRate,
    /// Burst over all hosts.
    pub burst: BurstSize,
}

impl QuotaLimits {
    /// The smallest share whose bucket has room for `tokens`, at most the whole.
    pub fn share_for(self, tokens: TokenCount) -> TrafficShare {
        // A share of one part per million holds a millionth of a token for each request of the burst.
        let share = tokens.0.div_ceil(self.burst.0.max(1)).min(u64::from(TrafficShare::WHOLE.0));
        TrafficShare(u32::try_from(share).unwrap_or(TrafficShare::WHOLE.0))
    }
}

/// Lease to which a grant is bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LeaseKind {
    /// Long lease, which outlasts a partition from the store.
    Floor,
    /// Short lease, whose grants follow the demand.
    Surplus,
}

impl LeaseKind {
    /// Both kinds.
    pub const ALL: [Self; 2] = [Self::Floor, Self::Surplus];
}

/// The part of a lease or sublease that its holder uses, without the safety margin.
pub(super) fn without_margin(span: Duration) -> Duration {
    span / MARGIN_DIVISOR * (MARGIN_DIVISOR - 1)
}

/// Lease in the store as its holder sees it on its own clock.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LeaseTerm {
    started: MonoTime,
    deadline: MonoTime,
    extended: MonoTime,
}

impl LeaseTerm {
    /// Records a lease that was created by a call sent at `sent`.
    pub fn start(&mut self, sent: MonoTime, span: Duration) {
        let deadline = sent.after(without_margin(span));
        *self = Self { started: sent, deadline, extended: deadline };
    }

    /// Records a successful renewal sent at `sent`. A term that lapsed becomes valid again: the lease never ended in
    /// the store, so nobody has reclaimed its grants.
    pub fn renew(&mut self, sent: MonoTime, span: Duration) {
        if self.covers(sent) {
            self.deadline = self.deadline.max(sent.after(without_margin(span)));
        }
    }

    /// Extends the term until `until` while the store is down. A term that lapsed before stays lapsed, because its
    /// grants may have been reclaimed.
    pub fn extend(&mut self, now: MonoTime, until: MonoTime) {
        if now < self.deadline() {
            self.extended = self.extended.max(until);
        }
    }

    /// Ends the term because the store no longer has the lease. Answers to calls sent before `now` are ignored from
    /// then on.
    pub fn end(&mut self, now: MonoTime) {
        *self = Self { started: now.after(Duration::from_micros(1)), ..Self::default() };
    }

    /// When the holder stops using the lease.
    pub fn deadline(&self) -> MonoTime {
        self.deadline.max(self.extended)
    }

    /// Whether a call that began at `began` belongs to this lease rather than to an earlier one.
    pub fn covers(&self, began: MonoTime) -> bool {
        began >= self.started
    }
}

/// Terms of both leases of a host.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LeaseTerms([LeaseTerm; 2]);

impl LeaseTerms {
    pub(super) fn get(&self, kind: LeaseKind) -> &LeaseTerm {
        &self.0[kind as usize]
    }

    pub(super) fn get_mut(&mut self, kind: LeaseKind) -> &mut LeaseTerm {
        &mut self.0[kind as usize]
    }
}
