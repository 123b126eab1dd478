//! Idempotency keys of callers.
//!
//! A request with an idempotency key runs at most once within the window, whichever host it is sent to. Three owner hosts
//! remember each key: those that come first by rendezvous hashing among the hosts that were members within the window,
//! failed ones included. A host claims the key at the owners before it sends the request, and sends it only if two owners
//! that remember the whole window grant the claim ([`decide_claim`]). Any two such pairs share an owner, also when one
//! owner was replaced; an owner that restarted does not vouch for keys before its start. Otherwise the request is not sent and
//! its outcome is unknown.
//!
//! Two owners of which one suffices do not hold: an owner that missed the first claim but remembers its whole window
//! would vouch for the second one after the other owner restarted.

use std::{collections::HashMap, time::Duration};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    ids::{HostId, IncarnationId, OrganisationId},
    keys::KeyDigest,
    time::MonoTime,
};

/// Owners of each key.
pub const OWNER_COUNT: usize = 3;
/// Owners that must grant a claim; any two sets of this size share an owner.
pub const OWNER_QUORUM: usize = 2;

/// Idempotency key of one organisation.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimKey {
    /// Organisation.
    pub organisation: OrganisationId,
    /// SHA-256 of the key.
    pub digest: KeyDigest,
}

/// Who runs a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimHolder {
    /// Host.
    pub host: HostId,
    /// Run of its process.
    pub incarnation: IncarnationId,
    /// Number of the request on that host; tells a retry of the claim from a second request.
    pub request: u64,
}

/// What an owner answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimReply {
    /// No other request holds the key; `is_complete` tells whether the owner remembers the whole window.
    Granted {
        /// Whether the owner would know of an earlier request.
        is_complete: bool,
    },
    /// Another request with this key runs.
    InProgress,
    /// A request with this key ran.
    Ran,
    /// A request with this key may have run.
    Unknown,
}

/// How a claimed request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// It provably did not run; the key is free again.
    NotRun,
    /// It ran.
    Ran,
    /// It may have run.
    Unknown,
}

/// Decision of the host that got the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimDecision {
    /// Send it.
    Run,
    /// Another request with this key runs.
    InProgress,
    /// A request with this key ran.
    Ran,
    /// An earlier run cannot be excluded.
    Unknown,
}

/// Whether to send a request, given the answers of its owners; `None` stands for an owner that did not answer.
pub fn decide_claim(replies: &[Option<ClaimReply>]) -> ClaimDecision {
    let has = |reply| replies.contains(&Some(reply));
    let vouching = Some(ClaimReply::Granted { is_complete: true });
    let has_quorum = replies.iter().filter(|it| **it == vouching).count() >= OWNER_QUORUM;
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

/// Owners of `key` among `hosts`, which are all hosts that were members within the window.
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

/// State of a claimed key.
#[derive(Debug)]
enum ClaimState {
    Running(ClaimHolder),
    Ended(ClaimOutcome),
}

#[derive(Debug)]
struct ClaimRecord {
    state: ClaimState,
    forget_at: MonoTime,
}

/// Limits of a claim table.
#[derive(Debug, Clone, Copy)]
pub struct ClaimLimits {
    /// Time for which the outcome of a request is remembered.
    pub window: Duration,
    /// Keys that are remembered.
    pub max_keys: usize,
}

impl Default for ClaimLimits {
    fn default() -> Self {
        Self { window: Duration::from_secs(120), max_keys: 200_000 }
    }
}

/// Keys that one host owns.
#[derive(Debug)]
pub struct ClaimTable {
    limits: ClaimLimits,
    records: HashMap<ClaimKey, ClaimRecord>,
    complete_at: MonoTime,
    sweep_at: MonoTime,
}

impl ClaimTable {
    /// A table of an owner that starts now.
    ///
    /// `is_first_start` says that no request can have run before, since there was no configuration.
    pub fn new(limits: ClaimLimits, is_first_start: bool, now: MonoTime) -> Self {
        let complete_at = if is_first_start { now } else { now.after(limits.window) };
        Self { limits, records: HashMap::new(), complete_at, sweep_at: now }
    }

    /// Notes that no request can have run before `time`.
    pub fn set_complete_from(&mut self, time: MonoTime) {
        self.complete_at = self.complete_at.min(time);
    }

    /// Claims `key` for `holder`.
    ///
    /// A claim that is retried by its holder gets the same answer, so that a lost answer does no harm.
    pub fn claim(&mut self, key: ClaimKey, holder: ClaimHolder, now: MonoTime) -> ClaimReply {
        self.sweep(now);
        if let Some(record) = self.records.get(&key).filter(|it| now < it.forget_at) {
            return match &record.state {
                ClaimState::Running(other) if *other == holder => self.granted(now),
                ClaimState::Running(_) => ClaimReply::InProgress,
                ClaimState::Ended(ClaimOutcome::Ran) => ClaimReply::Ran,
                ClaimState::Ended(_) => ClaimReply::Unknown,
            };
        }
        // A full table must not forget a key, so it vouches for no new one.
        if self.records.len() >= self.limits.max_keys {
            return ClaimReply::Granted { is_complete: false };
        }
        let forget_at = now.after(self.limits.window);
        self.records.insert(key, ClaimRecord { state: ClaimState::Running(holder), forget_at });
        self.granted(now)
    }

    /// Takes the end of a request from its holder; the window starts anew.
    pub fn finish(
        &mut self,
        key: &ClaimKey,
        holder: &ClaimHolder,
        end: ClaimOutcome,
        now: MonoTime,
    ) {
        let Some(record) = self.records.get_mut(key) else { return };
        if !matches!(&record.state, ClaimState::Running(other) if other == holder) {
            return;
        }
        if end == ClaimOutcome::NotRun {
            self.records.remove(key);
        } else {
            record.state = ClaimState::Ended(end);
            record.forget_at = now.after(self.limits.window);
        }
    }

    fn granted(&self, now: MonoTime) -> ClaimReply {
        ClaimReply::Granted { is_complete: now >= self.complete_at }
    }

    /// Drops forgotten keys, at most once in an eighth of the window.
    fn sweep(&mut self, now: MonoTime) {
        if now >= self.sweep_at {
            self.records.retain(|_, it| now < it.forget_at);
            self.sweep_at = now.after(self.limits.window / 8);
        }
    }

    /// Number of remembered keys.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
