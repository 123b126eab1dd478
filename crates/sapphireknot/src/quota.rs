//! Distributed quotas of organisations, spill and links, enforced over all hosts together.
//!
//! The quota of a resource is divided into shares of one millionth. Every share is held by one host at a time: by a
//! grant in the store or by a sublease from the host that has the grant. A host admits requests from a token bucket
//! that refills at `share × rate` up to `share × burst`. The shares in use never exceed the whole, tokens are created
//! only by refilling, and a transfer subtracts tokens before it adds them elsewhere. The sum of tokens therefore never
//! exceeds the burst, and the sum of refill rates never exceeds the rate. `docs/quota.md` gives the argument for each
//! fault.

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
