//! Copy of what the store holds, for hosts that start without it or lose it.
//!
//! The copy keeps keys and values as the store's adapter got them and reads neither. Revisions are those of the store, so
//! that of two copies the one with the higher revision is the newer one. A host offers its copy to others together with
//! the time at which the store last answered; a host that takes it keeps that time, so that the age of a copy that was
//! handed on twice is still counted from the store's last answer.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use crate::time::MonoTime;

/// Changes that are kept for hosts that follow this one; they ask several times a second.
const RECENT_CHANGES: usize = 1_024;

/// Revision of the store at which an entry was written, or up to which a copy is complete.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CopyRevision(pub u64);

/// Who told a host what it works with.
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

/// Change of an entry, which only the store's adapter can read.
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
    /// Value; `None` if the host that asked has it.
    pub value: Option<Arc<[u8]>>,
}

/// Copy that another host offers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CopyOffer {
    /// Revision up to which it is complete.
    pub revision: CopyRevision,
    /// When the store last answered.
    pub confirmed_at: MonoTime,
    /// All entries, or none if the host that asked has this revision.
    pub entries: Vec<OfferedEntry>,
}

impl CopyOffer {
    /// Whether this offer is to be preferred to `other`.
    pub fn is_newer(&self, other: &Self) -> bool {
        (self.revision, self.confirmed_at) > (other.revision, other.confirmed_at)
    }
}

/// What a host has to apply of an offer that it took.
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
    /// Revision up to which they are.
    pub revision: CopyRevision,
    /// Changes in the order of the store.
    pub entries: Vec<RawEntry>,
}

impl CopyChanges {
    /// What a host that knows everything up to `known` has not seen; `None` if something between would be missing, or if
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
struct HeldEntry {
    revision: CopyRevision,
    value: Arc<[u8]>,
}

/// Copy of what the store holds.
#[derive(Debug, Default)]
pub struct FeedCopy {
    entries: BTreeMap<String, HeldEntry>,
    revision: CopyRevision,
    /// Latest changes.
    recent: VecDeque<RawEntry>,
    /// Revision after which `recent` has all changes.
    recent_after: CopyRevision,
    /// When the store last answered; `None` until the copy is complete.
    confirmed_at: Option<MonoTime>,
    source: CopySource,
    /// Whether the store has stopped to tell what changes.
    is_lost: bool,
}

impl FeedCopy {
    /// Whether a state of the store at `revision` is older than this copy.
    pub fn is_after(&self, revision: CopyRevision) -> bool {
        revision < self.revision
    }

    /// Takes a complete read of the store, from which the latest changes may be missing.
    pub fn replace(&mut self, entries: Vec<RawEntry>, revision: CopyRevision) {
        self.entries.clear();
        self.confirmed_at = None;
        self.hold(entries, revision);
        self.forget_changes();
    }

    /// Takes changes of the store up to `revision`.
    pub fn apply_changes(&mut self, entries: Vec<RawEntry>, revision: CopyRevision) {
        self.recent.extend(entries.iter().filter(|it| it.revision > self.revision).cloned());
        while self.recent.len() > RECENT_CHANGES
            && let Some(dropped) = self.recent.pop_front()
        {
            self.recent_after = dropped.revision;
        }
        self.hold(entries, revision);
    }

    fn hold(&mut self, entries: Vec<RawEntry>, revision: CopyRevision) {
        for RawEntry { key, revision, value } in entries {
            // A read is no snapshot: what it found late is told again by the changes after it.
            if self.entries.get(&key).is_some_and(|it| revision < it.revision) {
                continue;
            }
            match value {
                Some(value) => drop(self.entries.insert(key, HeldEntry { revision, value })),
                None => drop(self.entries.remove(&key)),
            }
        }
        self.revision = self.revision.max(revision);
    }

    /// Begins the list of changes anew, as those up to now are not known one by one.
    fn forget_changes(&mut self) {
        self.recent.clear();
        self.recent_after = self.revision;
    }

    /// Changes for a host that knows everything up to `known`; `None` if this copy is not the store's, or if not all of
    /// them are known.
    pub fn changes_since(&self, known: CopyRevision) -> Option<CopyChanges> {
        if !self.follows_store() || known < self.recent_after {
            return None;
        }
        let entries = self.recent.iter().filter(|it| it.revision > known).cloned().collect();
        Some(CopyChanges { after: known, revision: self.revision, entries })
    }

    /// Notes that this is what the store held at `now`.
    pub fn confirm(&mut self, now: MonoTime) {
        self.confirmed_at = Some(now);
        self.source = CopySource::Store;
        self.is_lost = false;
    }

    /// Notes that the store does not answer, so that other hosts may know more from now on.
    pub fn mark_store_lost(&mut self) {
        self.is_lost = true;
    }

    /// Whether the store, rather than another host, told the whole of it and still tells what changes.
    pub fn follows_store(&self) -> bool {
        self.source == CopySource::Store && self.confirmed_at.is_some() && !self.is_lost
    }

    /// Who told it.
    pub fn source(&self) -> CopySource {
        self.source
    }

    /// Revision up to which it is complete; zero before that.
    pub fn known(&self) -> CopyRevision {
        if self.confirmed_at.is_some() { self.revision } else { CopyRevision::default() }
    }

    /// Time since the store last answered; `None` until the copy is complete.
    pub fn age(&self, now: MonoTime) -> Option<Duration> {
        self.confirmed_at.map(|it| now.since(it))
    }

    /// The copy for a host that has everything up to `known`; `None` until it is complete.
    pub fn offer(&self, known: CopyRevision) -> Option<CopyOffer> {
        let confirmed_at = self.confirmed_at?;
        let is_news = self.revision > known;
        let entries = self.entries.iter().filter(|_| is_news).map(|(key, entry)| OfferedEntry {
            key: key.clone(),
            revision: entry.revision,
            value: (entry.revision > known).then(|| entry.value.clone()),
        });
        Some(CopyOffer { revision: self.revision, confirmed_at, entries: entries.collect() })
    }

    /// Takes the offer of another host, and returns what is new in it.
    ///
    /// Nothing is taken while the store tells what changes, nor from an offer that is older than this copy or that
    /// relies on entries which this copy lacks.
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
            let held = self.entries.get(&key).filter(|it| it.revision == revision);
            let value = value.or_else(|| held.map(|it| it.value.clone()))?;
            entries.insert(key, HeldEntry { revision, value });
        }
        let is_complete = self.confirmed_at.is_none();
        let is_known = |key: &String, entry: &HeldEntry| {
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
        let news = CopyUpdate { is_complete, entries: written.chain(removed).collect() };
        self.entries = entries;
        self.revision = offer.revision;
        self.forget_changes();
        self.confirmed_at = Some(offer.confirmed_at);
        self.source = CopySource::Peer;
        Some(news)
    }
}
