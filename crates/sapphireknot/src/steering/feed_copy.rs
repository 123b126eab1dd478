//! Copy of the store's contents, for hosts that start without the store or lose it.
//!
//! The copy keeps keys and values as the store's adapter received them and interprets neither. Revisions are those of
//! the store, so that of two copies the one with the higher revision is newer. A host offers its copy to others
//! together with the time of the store's last response, and a host that takes it keeps that time, so that the age of a
//! copy that was forwarded twice is still counted from the store's last response.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use crate::time::MonoTime;

/// Number of changes that are kept for hosts that follow this one; they poll several times a second.
const RECENT_CHANGES: usize = 1_024;

/// Revision of the store at which an entry was written, or up to which a copy is complete.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CopyRevision(pub u64);

/// Source of a host's copy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum CopySource {
    /// The store.
    #[default]
    Store,
    /// Another host.
    Peer,
}

impl CopySource {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}

/// Change of an entry, in the encoding of the store's adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawEntry {
    /// Key.
    pub key: String,
    /// Revision of the change.
    pub revision: CopyRevision,
    /// Value; `None` for an entry that was removed.
    pub value: Option<Arc<[u8]>>,
}

/// Entry of a copy that is offered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OfferedEntry {
    /// Key.
    pub key: String,
    /// Revision of the last write.
    pub revision: CopyRevision,
    /// Value; `None` if the requesting host has it.
    pub value: Option<Arc<[u8]>>,
}

/// Copy that another host offers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CopyOffer {
    /// Revision up to which it is complete.
    pub revision: CopyRevision,
    /// Time of the store's last response.
    pub confirmed_at: MonoTime,
    /// All entries, or none if the requesting host has this revision.
    pub entries: Vec<OfferedEntry>,
}

impl CopyOffer {
    /// Whether this offer is newer than `other`.
    pub fn is_newer(&self, other: &Self) -> bool {
        (self.revision, self.confirmed_at) > (other.revision, other.confirmed_at)
    }
}

/// Entries that a host applies after it took an offer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CopyUpdate {
    /// Whether these are all entries rather than the changes since the last offer.
    pub is_complete: bool,
    /// Entries.
    pub entries: Vec<RawEntry>,
}

/// Changes between two revisions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CopyChanges {
    /// Revision after which these are all changes.
    pub after: CopyRevision,
    /// Revision up to which these are all changes.
    pub revision: CopyRevision,
    /// Changes in the order of the store.
    pub entries: Vec<RawEntry>,
}

impl CopyChanges {
    /// Changes for a host that has everything up to `known`; `None` if changes in between would be missing, or if
    /// nothing is new.
    pub fn since(&self, known: CopyRevision) -> Option<Self> {
        if self.after > known || self.revision <= known {
            return None;
        }
        let entries = self.entries.iter().filter(|it| it.revision > known).cloned().collect();
        Some(Self { after: known, revision: self.revision, entries })
    }
}

#[derive(Debug)]
struct CopyEntry {
    revision: CopyRevision,
    value: Arc<[u8]>,
}

/// Copy of the store's contents.
#[derive(Debug, Default)]
pub struct FeedCopy {
    entries: BTreeMap<String, CopyEntry>,
    revision: CopyRevision,
    /// Latest changes, oldest first.
    recent: VecDeque<RawEntry>,
    /// Revision after which `recent` is complete.
    recent_after: CopyRevision,
    /// Time of the store's last response; `None` until the copy is complete.
    confirmed_at: Option<MonoTime>,
    source: CopySource,
    /// Whether the store no longer reports changes.
    is_store_lost: bool,
}

impl FeedCopy {
    /// Whether a state of the store at `revision` is older than this copy.
    pub fn is_after(&self, revision: CopyRevision) -> bool {
        revision < self.revision
    }

    /// Replaces the copy by a complete read of the store, in which the latest changes may be missing.
    pub fn replace(&mut self, entries: Vec<RawEntry>, revision: CopyRevision) {
        self.entries.clear();
        self.confirmed_at = None;
        self.merge(entries, revision);
        self.reset_changes();
    }

    /// Applies changes of the store up to `revision`.
    pub fn apply_changes(&mut self, entries: Vec<RawEntry>, revision: CopyRevision) {
        self.recent.extend(entries.iter().filter(|it| it.revision > self.revision).cloned());
        while self.recent.len() > RECENT_CHANGES
            && let Some(dropped) = self.recent.pop_front()
        {
            self.recent_after = dropped.revision;
        }
        self.merge(entries, revision);
    }

    fn merge(&mut self, entries: Vec<RawEntry>, revision: CopyRevision) {
        for RawEntry { key, revision, value } in entries {
            // A read is not a snapshot: later entries that it found are repeated by the changes that follow it.
            if self.entries.get(&key).is_some_and(|it| revision < it.revision) {
                continue;
            }
            match value {
                Some(value) => drop(self.entries.insert(key, CopyEntry { revision, value })),
                None => drop(self.entries.remove(&key)),
            }
        }
        self.revision = self.revision.max(revision);
    }

    /// Clears the list of changes, as those up to the current revision are not known individually.
    fn reset_changes(&mut self) {
        self.recent.clear();
        self.recent_after = self.revision;
    }

    /// Changes for a host that has everything up to `known`; `None` if this copy does not follow the store or not all
    /// of the changes are kept.
    pub fn changes_since(&self, known: CopyRevision) -> Option<CopyChanges> {
        if !self.follows_store() || known < self.recent_after {
            return None;
        }
        let entries = self.recent.iter().filter(|it| it.revision > known).cloned().collect();
        Some(CopyChanges { after: known, revision: self.revision, entries })
    }

    /// Records that the copy matched the store at `now`.
    pub fn confirm(&mut self, now: MonoTime) {
        self.confirmed_at = Some(now);
        self.source = CopySource::Store;
        self.is_store_lost = false;
    }

    /// Records that the store does not respond, so that other hosts may have newer copies.
    pub fn mark_store_lost(&mut self) {
        self.is_store_lost = true;
    }

    /// Whether the whole copy came from the store, rather than another host, and the store still reports changes.
    pub fn follows_store(&self) -> bool {
        self.source == CopySource::Store && self.confirmed_at.is_some() && !self.is_store_lost
    }

    /// Source of the copy.
    pub fn source(&self) -> CopySource {
        self.source
    }

    /// Revision up to which the copy is complete; zero while it is incomplete.
    pub fn known(&self) -> CopyRevision {
        if self.confirmed_at.is_some() { self.revision } else { CopyRevision::default() }
    }

    /// Time since the store's last response; `None` until the copy is complete.
    pub fn age(&self, now: MonoTime) -> Option<Duration> {
        self.confirmed_at.map(|it| now.since(it))
    }

    /// Offers the copy to a host that has everything up to `known`; `None` until it is complete.
    pub fn offer(&self, known: CopyRevision) -> Option<CopyOffer> {
        let confirmed_at = self.confirmed_at?;
        let has_changes = self.revision > known;
        let entries =
            self.entries.iter().filter(|_| has_changes).map(|(key, entry)| OfferedEntry {
                key: key.clone(),
                revision: entry.revision,
                value: (entry.revision > known).then(|| entry.value.clone()),
            });
        Some(CopyOffer { revision: self.revision, confirmed_at, entries: entries.collect() })
    }

    /// Adopts the offer of another host and returns the difference.
    ///
    /// Nothing is adopted while the store reports changes, nor from an offer that is older than this copy or that omits
    /// values which this copy lacks.
    pub fn adopt(&mut self, offer: CopyOffer) -> Option<CopyUpdate> {
        if self.follows_store() || self.is_after(offer.revision) {
            return None;
        }
        let known = self.known();
        if offer.revision == known {
            self.confirmed_at = self.confirmed_at.max(Some(offer.confirmed_at));
            return None;
        }
        let mut entries = BTreeMap::new();
        for OfferedEntry { key, revision, value } in offer.entries {
            let known_entry = self.entries.get(&key).filter(|it| it.revision == revision);
            let value = value.or_else(|| known_entry.map(|it| it.value.clone()))?;
            entries.insert(key, CopyEntry { revision, value });
        }
        let is_complete = self.confirmed_at.is_none();
        let is_known = |key: &String, entry: &CopyEntry| {
            !is_complete && self.entries.get(key).is_some_and(|it| it.revision == entry.revision)
        };
        let written = entries.iter().filter(|(key, it)| !is_known(key, it));
        let written = written.map(|(key, it)| RawEntry {
            key: key.clone(),
            revision: it.revision,
            value: Some(it.value.clone()),
        });
        let removed = self.entries.keys().filter(|it| !is_complete && !entries.contains_key(*it));
        let removed =
            removed.map(|key| RawEntry { key: key.clone(), revision: offer.revision, value: None });
        let update = CopyUpdate { is_complete, entries: written.chain(removed).collect() };
        self.entries = entries;
        self.revision = offer.revision;
        self.reset_changes();
        self.confirmed_at = Some(offer.confirmed_at);
        self.source = CopySource::Peer;
        Some(update)
    }
}
