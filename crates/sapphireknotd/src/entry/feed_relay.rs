//! Relay of store changes from the collector of a region to its other hosts.
//!
//! Each host that watches the store costs it a pending call, and a call for each change, so that the load grows with
//! hosts times changes. Only the collector of a region watches; the other hosts receive the changes with the exchange
//! of load reports. A host watches the store itself as soon as the collector does not answer, does not watch or lacks
//! changes, or if the store has a later revision that the collector did not relay in time.

use std::sync::atomic::{AtomicBool, Ordering};

use sapphireknot::steering::feed_copy::{CopyChanges, CopyRevision, RawEntry};
use sapphireknot_platform::{FeedPage, StoreRevision};
use sapphireknot_wire::entry::{ChangedEntry, FeedChanges};
use tokio::sync::watch;

use super::state::EntryState;

/// Maximum size of relayed changes. The collector sends them to each host of the region, so that larger ones, such as a
/// configuration, are read from the store.
const MAX_RELAYED_BYTES: usize = 32 << 10;

/// Changes received from the collector of the region.
#[derive(Debug)]
pub struct FeedRelay {
    /// Latest changes, starting at the revision that this host knew when it asked; `None` while the collector sends
    /// none.
    latest: watch::Sender<Option<CopyChanges>>,
    /// Whether this host watches the store itself.
    is_watching: AtomicBool,
}

impl Default for FeedRelay {
    fn default() -> Self {
        Self { latest: watch::Sender::new(None), is_watching: AtomicBool::new(true) }
    }
}

impl FeedRelay {
    /// Subscribes to the changes from the collector.
    pub fn subscribe(&self) -> watch::Receiver<Option<CopyChanges>> {
        self.latest.subscribe()
    }

    /// Replaces the latest changes; `None` if the collector sent none.
    pub fn set_changes(&self, changes: Option<FeedChanges>) {
        self.latest.send_if_modified(|latest| {
            let is_changed = latest.is_some() || changes.is_some();
            *latest = changes.map(decode_changes);
            is_changed
        });
    }

    /// Sets whether this host watches the store itself.
    pub fn set_watching(&self, is_watching: bool) {
        self.is_watching.store(is_watching, Ordering::Relaxed);
    }
}

/// Changes for a host that knows everything up to `known`. `None` if they are large, or if this host does not watch the
/// store itself: two hosts that followed each other would never receive a change.
pub fn changes_for(state: &EntryState, known: u64) -> Option<FeedChanges> {
    if known == 0 || !state.relay.is_watching.load(Ordering::Relaxed) {
        return None;
    }
    let changes = state.copy.lock().changes_since(CopyRevision(known))?;
    let bytes = |it: &RawEntry| it.key.len() + it.value.as_ref().map_or(0, |value| value.len());
    let fits = changes.entries.iter().map(bytes).sum::<usize>() <= MAX_RELAYED_BYTES;
    fits.then(|| encode_changes(changes))
}

/// Waits for changes after `known`; `None` once the collector sends none or omits some of them.
pub async fn next_page(
    state: &EntryState,
    latest: &mut watch::Receiver<Option<CopyChanges>>,
    known: StoreRevision,
) -> Option<FeedPage> {
    let known = CopyRevision(known.0);
    loop {
        {
            let latest = latest.borrow_and_update();
            let changes = latest.as_ref()?;
            if let Some(newer) = changes.since(known) {
                return Some(decode_page(state, newer));
            }
            if changes.after > known {
                return None;
            }
        }
        latest.changed().await.ok()?;
    }
}

fn decode_page(state: &EntryState, changes: CopyChanges) -> FeedPage {
    let store = &state.platform.store;
    FeedPage {
        changes: changes.entries.iter().filter_map(|it| store.decode_entry(it)).collect(),
        entries: changes.entries,
        revision: StoreRevision(changes.revision.0),
    }
}

fn encode_changes(changes: CopyChanges) -> FeedChanges {
    let encode = |it: RawEntry| ChangedEntry {
        key: it.key,
        revision: it.revision.0,
        value: it.value.map(|it| it.to_vec()),
    };
    FeedChanges {
        after: changes.after.0,
        revision: changes.revision.0,
        entries: changes.entries.into_iter().map(encode).collect(),
    }
}

fn decode_changes(changes: FeedChanges) -> CopyChanges {
    let decode = |it: ChangedEntry| RawEntry {
        key: it.key,
        revision: CopyRevision(it.revision),
        value: it.value.map(Into::into),
    };
    CopyChanges {
        after: CopyRevision(changes.after),
        revision: CopyRevision(changes.revision),
        entries: changes.entries.into_iter().map(decode).collect(),
    }
}
