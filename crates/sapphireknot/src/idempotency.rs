//! At-most-once execution of requests with idempotency keys.
//!
//! A request with an idempotency key runs at most once within the deduplication window, whichever host it is sent to.
//! Each key is recorded by three owner hosts: the highest-ranked by rendezvous hashing among the hosts that were
//! members within the window, including failed ones. A host claims the key at the owners before it forwards the
//! request, and forwards it only if two owners with complete records of the window grant the claim ([`decide_claim`]).
//! Any two such quorums share an owner, even if one owner was replaced; the records of an owner that restarted are
//! incomplete until the window has passed. Without a quorum the request is not sent and its outcome is unknown.
//!
//! Two owners with a quorum of one would not be safe: an owner that missed the first claim but has complete records
//! would grant the second one after the other owner restarted.

use std::{collections::HashMap, time::Duration};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    ids::{HostId, IncarnationId, OrganisationId},
    keys::KeyDigest,
    time::MonoTime,
};

/// Number of owners per key.
pub const OWNER_COUNT: usize = 3;
/// Number of owners that must grant a claim; any two quorums share an owner.
pub const OWNER_QUORUM: usize = 2;

/// Idempotency key, scoped to an organisation.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimKey {
    /// Organisation.
    pub organisation: OrganisationId,
    /// SHA-256 of the key.
    pub digest: KeyDigest,
}

/// Request that claims a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimHolder {
    /// Host that forwards the request.
    pub host: HostId,
    /// Incarnation of that host.
    pub incarnation: IncarnationId,
    /// Sequence number of the request on that host; distinguishes a retried claim from another request.
    pub request: u64,
}

/// Response of an owner to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimReply {
    /// No other request holds the key, according to the records of the owner.
    Granted {
        /// Whether the records of the owner cover the whole window.
        is_complete: bool,
    },
    /// Another request with this key is in progress.
    InProgress,
    /// A request with this key has run.
    Ran,
    /// A request with this key may have run.
    Unknown,
}

/// Outcome of a request that holds a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The request provably did not run; the key is released.
    NotRun,
    /// The request ran.
    Ran,
    /// The request may have run.
    Unknown,
}

/// Decision on whether to forward a request with an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimDecision {
    /// Forward the request.
    Run,
    /// Another request with this key is in progress.
    InProgress,
    /// A request with this key has run.
    Ran,
    /// An earlier execution cannot be ruled out.
    Unknown,
}

/// Decides whether to forward a request, given the replies of the owners; `None` stands for an owner that did not
/// reply.
pub fn decide_claim(replies: &[Option<ClaimReply>]) -> ClaimDecision {
    let has = |reply| replies.contains(&Some(reply));
    let complete_grant = Some(ClaimReply::Granted { is_complete: true });
    let has_quorum = replies.iter().filter(|it| **it == complete_grant).count() >= OWNER_QUORUM;
    if has(ClaimReply::Ran) {
        ClaimDecision::Ran
    } else if has(ClaimReply::InProgress) {
        ClaimDecision::InProgress
    } else if has(ClaimReply::Unknown) || !has_quorum {
        ClaimDecision::Unknown
    } else {
        ClaimDecision::Run
    }
}

/// Returns the owners of `key` among `hosts`, which must contain every host that was a member within the window.
pub fn claim_owners<'a, I>(key: &ClaimKey, hosts: I) -> Vec<&'a HostId>
where
    I: IntoIterator<Item = &'a HostId>,
{
    let rank = |host: &HostId| {
        let text = format!("{}/{}/{host}", key.organisation, key.digest.to_hex());
        xxh3_64(text.as_bytes())
    };
    let mut ranked: Vec<_> = hosts.into_iter().map(|it| (rank(it), it)).collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked.truncate(OWNER_COUNT);
    ranked.into_iter().map(|(_, host)| host).collect()
}

/// State of the request that holds a key.
#[derive(Debug)]
enum ClaimState {
    Running(ClaimHolder),
    Ended(ClaimOutcome),
}

#[derive(Debug)]
struct ClaimRecord {
    state: ClaimState,
    expires_at: MonoTime,
}

/// Retention limits of a claim table.
#[derive(Debug, Clone, Copy)]
pub struct ClaimLimits {
    /// Deduplication window: time for which the outcome of a request is kept.
    pub window: Duration,
    /// Maximum number of keys in the table.
    pub max_keys: usize,
}

impl Default for ClaimLimits {
    fn default() -> Self {
        Self { window: Duration::from_secs(120), max_keys: 200_000 }
    }
}

/// Claims on the keys that one host owns.
#[derive(Debug)]
pub struct ClaimTable {
    limits: ClaimLimits,
    records: HashMap<ClaimKey, ClaimRecord>,
    /// Time from which the records cover the whole window.
    complete_at: MonoTime,
    next_sweep_at: MonoTime,
}

impl ClaimTable {
    /// Creates an empty table at the start of an owner.
    ///
    /// `is_first_start` means that no request can have run before because there was no configuration.
    pub fn new(limits: ClaimLimits, is_first_start: bool, now: MonoTime) -> Self {
        let complete_at = if is_first_start { now } else { now.after(limits.window) };
        Self { limits, records: HashMap::new(), complete_at, next_sweep_at: now }
    }

    /// Declares that no request can have run before `time`, so the records are complete from then on.
    pub fn set_complete_from(&mut self, time: MonoTime) {
        self.complete_at = self.complete_at.min(time);
    }

    /// Claims `key` for `holder`.
    ///
    /// Retrying a claim is idempotent, so that a lost reply can be retried.
    pub fn claim(&mut self, key: ClaimKey, holder: ClaimHolder, now: MonoTime) -> ClaimReply {
        self.sweep(now);
        if let Some(record) = self.records.get(&key).filter(|it| now < it.expires_at) {
            return match &record.state {
                ClaimState::Running(other) if *other == holder => self.granted(now),
                ClaimState::Running(_) => ClaimReply::InProgress,
                ClaimState::Ended(ClaimOutcome::Ran) => ClaimReply::Ran,
                ClaimState::Ended(_) => ClaimReply::Unknown,
            };
        }
        // A full table must not evict a key, so a claim on a new key does not count towards the quorum.
        if self.records.len() >= self.limits.max_keys {
            return ClaimReply::Granted { is_complete: false };
        }
        let expires_at = now.after(self.limits.window);
        self.records.insert(key, ClaimRecord { state: ClaimState::Running(holder), expires_at });
        self.granted(now)
    }

    /// Records the outcome of a request that holds `key` and restarts the window.
    pub fn finish(
        &mut self,
        key: &ClaimKey,
        holder: &ClaimHolder,
        outcome: ClaimOutcome,
        now: MonoTime,
    ) {
        let Some(record) = self.records.get_mut(key) else { return };
        if !matches!(&record.state, ClaimState::Running(other) if other == holder) {
            return;
        }
        if outcome == ClaimOutcome::NotRun {
            self.records.remove(key);
        } else {
            record.state = ClaimState::Ended(outcome);
            record.expires_at = now.after(self.limits.window);
        }
    }

    fn granted(&self, now: MonoTime) -> ClaimReply {
        ClaimReply::Granted { is_complete: now >= self.complete_at }
    }

    /// Removes expired keys, at most once per eighth of the window.
    fn sweep(&mut self, now: MonoTime) {
        if now >= self.next_sweep_at {
            self.records.retain(|_, it| now < it.expires_at);
            self.next_sweep_at = now.after(self.limits.window / 8);
        }
    }

    /// Returns the number of keys in the table.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
