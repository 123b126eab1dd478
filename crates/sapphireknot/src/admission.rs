//! Weighted fair queueing of requests across organisations.
//!
//! [`FairQueue`] orders waiting requests by virtual finish time: while the servers are full, each organisation gets
//! capacity in proportion to its weight, and an organisation with many waiting requests does not delay the others. The
//! queue length is bounded per organisation and in total, and every entry has a deadline by which it must start.

use std::collections::{BTreeMap, VecDeque};

use thiserror::Error;

use crate::{ids::OrganisationId, time::MonoTime};

/// Virtual cost of one request for weight 1.
const UNIT_COST: u64 = 1 << 20;

/// Length limits of a queue.
#[derive(Debug, Clone, Copy)]
pub struct QueueLimits {
    /// Maximum number of entries per organisation.
    pub per_organisation: usize,
    /// Maximum number of entries in total.
    pub total: usize,
}

/// Reason why an entry was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum QueueError {
    /// The queue or the organisation's part of it is full.
    #[error("queue is full")]
    Full,
    /// The deadline by which the request must start has passed.
    #[error("start deadline has passed")]
    DeadlinePassed,
}

/// Queued entry.
#[derive(Debug)]
struct QueueEntry<T> {
    arrival: u64,
    weight: u32,
    start_by: MonoTime,
    value: T,
}

/// Queued entries of one organisation, in order of arrival.
#[derive(Debug)]
struct Flow<T> {
    entries: VecDeque<QueueEntry<T>>,
    /// Virtual finish time of the last served entry.
    finish_time: u64,
}

/// Entry removed from a queue.
#[derive(Debug, PartialEq, Eq)]
pub enum QueueItem<T> {
    /// The entry can start.
    Ready(T),
    /// The start deadline of the entry passed while it was queued.
    Expired(T),
}

/// Weighted fair queue; `K` identifies the flows that compete.
#[derive(Debug)]
pub struct FairQueue<T, K = OrganisationId> {
    limits: QueueLimits,
    flows: BTreeMap<K, Flow<T>>,
    length: usize,
    virtual_time: u64,
    arrivals: u64,
}

impl<T, K> FairQueue<T, K>
where
    K: Ord + Clone,
{
    /// Creates an empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        Self { limits, flows: BTreeMap::new(), length: 0, virtual_time: 0, arrivals: 0 }
    }

    /// Adds an entry that must start before `start_by`.
    pub fn push(
        &mut self,
        organisation: K,
        weight: u32,
        start_by: MonoTime,
        now: MonoTime,
        value: T,
    ) -> Result<(), QueueError> {
        if now >= start_by {
            return Err(QueueError::DeadlinePassed);
        }
        if self.is_full(&organisation) {
            return Err(QueueError::Full);
        }
        self.arrivals += 1;
        self.length += 1;
        // An organisation that was idle starts at the current virtual time, so that it accumulates no credit.
        let finish_time = self.virtual_time;
        let flow = self
            .flows
            .entry(organisation)
            .or_insert_with(|| Flow { entries: VecDeque::new(), finish_time });
        flow.entries.push_back(QueueEntry { arrival: self.arrivals, weight, start_by, value });
        Ok(())
    }

    /// Removes the next entry. The caller must reject an expired entry, which uses no capacity.
    pub fn pop(&mut self, now: MonoTime) -> Option<QueueItem<T>> {
        self.pop_where(now, |_| true)
    }

    /// Removes the next entry that `fits` or has expired; entries that do not fit keep their position.
    pub fn pop_where<F>(&mut self, now: MonoTime, mut fits: F) -> Option<QueueItem<T>>
    where
        F: FnMut(&mut T) -> bool,
    {
        let mut order: Vec<(u64, u64, K)> = Vec::with_capacity(self.flows.len());
        for (key, flow) in &self.flows {
            if let Some(head) = flow.entries.front() {
                order.push((flow.finish_time + cost(head.weight), head.arrival, key.clone()));
            }
        }
        order.sort_unstable();
        for (_, _, key) in order {
            let flow = self.flows.get_mut(&key)?;
            let mut entries = flow.entries.iter_mut();
            let position = entries.position(|it| now >= it.start_by || fits(&mut it.value));
            let Some(entry) = position.and_then(|it| flow.entries.remove(it)) else { continue };
            self.length -= 1;
            let is_expired = now >= entry.start_by;
            if !is_expired {
                // Only served entries are charged: an expired entry used no capacity.
                flow.finish_time += cost(entry.weight);
                self.virtual_time = self.virtual_time.max(flow.finish_time);
            }
            if flow.entries.is_empty() {
                self.flows.remove(&key);
            }
            let item = if is_expired { QueueItem::Expired } else { QueueItem::Ready };
            return Some(item(entry.value));
        }
        None
    }

    /// Removes the entries for which `keeps`, called with the value and the start deadline, returns false.
    pub fn retain<F>(&mut self, mut keeps: F)
    where
        F: FnMut(&T, MonoTime) -> bool,
    {
        self.flows.retain(|_, flow| {
            flow.entries.retain(|it| keeps(&it.value, it.start_by));
            !flow.entries.is_empty()
        });
        self.length = self.flows.values().map(|it| it.entries.len()).sum();
    }

    /// Returns whether a further entry of `organisation` would be rejected.
    pub fn is_full(&self, organisation: &K) -> bool {
        self.waiting(organisation) >= self.limits.per_organisation
            || self.length >= self.limits.total
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the number of queued entries of `organisation`.
    pub fn waiting(&self, organisation: &K) -> usize {
        self.flows.get(organisation).map_or(0, |it| it.entries.len())
    }
}

/// Returns the virtual service time of one request at `weight`.
fn cost(weight: u32) -> u64 {
    UNIT_COST / u64::from(weight.max(1))
}
