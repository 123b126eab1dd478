//! Quotas of organisations, spill and links over all hosts together.
//!
//! The whole of a resource is split into shares of a millionth. Every share is held by one host at a time: by a grant
//! in the store or by a sublease from the host that has the grant. A host admits from a bucket that fills at
//! `share × rate` up to `share × burst`. Since the shares in use never exceed the whole, and tokens arise only by filling
//! and move only by being subtracted first, the sum of tokens never exceeds the burst and the sum of fill rates never
//! exceeds the rate. `docs/quota.md` gives the argument for each fault.

mod account;
mod bucket;
mod claim;
mod demand;
mod ledger;
mod record;
mod resource;
mod shared;
mod terms;

pub use self::{
    account::AccountView,
    bucket::TokenBucket,
    claim::{ClaimNeed, LeaseView, ReclaimGuard, claim, release},
    demand::{DemandEstimate, PeerDistance, PeerOrder},
    ledger::{BorrowAnswer, BorrowCall, GiveBackCall, LedgerIdentity, QuotaLedger},
    record::{GrantEntry, GrantShares, QuotaRecord, RecordError, shard_key},
    resource::{ResourceError, ResourceId},
    shared::SharedLedger,
    terms::{LeaseKind, LeaseTerm, QuotaLimits},
};
