//! Which updates travel with a message.

use std::collections::BTreeMap;

use crate::ids::HostId;

/// Records in one message besides the sender's own, so that a message stays under about 1 KB.
pub const MAX_UPDATES: usize = 6;
/// An update is sent this often per power of two of the number of hosts; with 3 almost every host hears it, and the
/// random records that fill up messages repair the rest.
pub const RETRANSMIT_FACTOR: u32 = 3;

/// Updates that are still to be sent, with the number of messages that carried them.
#[derive(Debug, Default)]
pub(super) struct UpdateQueue {
    sent: BTreeMap<HostId, u32>,
}

impl UpdateQueue {
    /// Queues news of `host`.
    pub(super) fn push(&mut self, host: &HostId) {
        self.sent.insert(host.clone(), 0);
    }

    /// Drops `host`.
    pub(super) fn remove(&mut self, host: &HostId) {
        self.sent.remove(host);
    }

    /// The `count` updates that were sent least often.
    pub(super) fn least_sent(&self, count: usize) -> Vec<HostId> {
        let mut hosts: Vec<_> = self.sent.iter().map(|(host, sent)| (*sent, host)).collect();
        hosts.sort_unstable();
        hosts.into_iter().take(count).map(|(_, host)| host.clone()).collect()
    }

    /// Counts one message that carried news of `host` and drops news that was sent often enough.
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
