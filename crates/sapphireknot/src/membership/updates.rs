//! Queue of the updates that are piggybacked on messages.

use std::collections::BTreeMap;

use crate::ids::HostId;

/// Largest number of records in a message besides the sender's own; it keeps a message under about 1 KB.
pub const MAX_UPDATES: usize = 6;
/// An update is sent this many times per binary digit of the number of hosts. With 3, almost every host receives it;
/// the random records that fill up messages reach the others.
pub const RETRANSMIT_FACTOR: u32 = 3;

/// Pending updates, each with the number of messages that carried it.
#[derive(Debug, Default)]
pub(super) struct UpdateQueue {
    sent: BTreeMap<HostId, u32>,
}

impl UpdateQueue {
    /// Queues an update about `host`.
    pub(super) fn push(&mut self, host: &HostId) {
        self.sent.insert(host.clone(), 0);
    }

    /// Removes the update about `host`.
    pub(super) fn remove(&mut self, host: &HostId) {
        self.sent.remove(host);
    }

    /// The `count` updates that were sent least often.
    pub(super) fn least_sent(&self, count: usize) -> Vec<HostId> {
        let mut hosts: Vec<_> = self.sent.iter().map(|(host, sent)| (*sent, host)).collect();
        hosts.sort_unstable();
        hosts.into_iter().take(count).map(|(_, host)| host.clone()).collect()
    }

    /// Counts one message that carried the update about `host`, and removes the update once it was sent often enough.
    pub(super) fn record_sent(&mut self, host: &HostId, host_count: usize) {
        let limit = RETRANSMIT_FACTOR * (usize::BITS - host_count.leading_zeros());
        if let Some(sent) = self.sent.get_mut(host) {
            *sent += 1;
            if *sent >= limit {
                self.sent.remove(host);
            }
        }
    }
}
