//! Waiting requests of several organisations.
//!
//! [`FairQueue`] orders waiting requests by virtual finish time (weighted fair queueing): while the servers are full, each
//! organisation gets room in proportion to its weight, and one with many waiting requests does not delay the others. The
//! queue is bounded for each organisation and as a whole, and every entry has a deadline by which it must start.

use std::collections::{BTreeMap, VecDeque};

use thiserror::Error;

use crate::{ids::OrganisationId, time::MonoTime};

/// Virtual cost of one request for weight 1.
const UNIT_COST: u64 = 1 << 20;

/// Limits of a queue.
#[derive(Debug, Clone, Copy)]
pub struct QueueLimits {
    /// Entries of one organisation.
    pub per_organisation: usize,
    /// Entries of all.
    pub total: usize,
}

/// Refused entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum QueueError {
    /// The queue or the organisation's part of it is full.
    #[error("the queue is full")]
    Full,
    /// The deadline by which the request must start has passed.
    #[error("the request cannot finish in time")]
    DeadlinePassed,
}

/// Entry that waits.
#[derive(Debug)]
struct QueueEntry<T> {
    arrival: u64,
    weight: u32,
    start_by: MonoTime,
    value: T,
}

/// Waiting entries of one organisation, in the order of arrival.
#[derive(Debug)]
struct QueueLane<T> {
    entries: VecDeque<QueueEntry<T>>,
    /// Virtual finish time of the last entry that was served.
    finished: u64,
}

/// What a queue gives out.
#[derive(Debug, PartialEq, Eq)]
pub enum QueueItem<T> {
    /// Its turn has come.
    Ready(T),
    /// It waited until it could no longer finish in time.
    Expired(T),
}

/// Weighted fair queue; `K` tells the competitors apart.
#[derive(Debug)]
pub struct FairQueue<T, K = OrganisationId> {
    limits: QueueLimits,
    lanes: BTreeMap<K, QueueLane<T>>,
    length: usize,
    virtual_time: u64,
    arrivals: u64,
}

impl<T, K> FairQueue<T, K>
where
    K: Ord + Clone,
{
    /// An empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        Self { limits, lanes: BTreeMap::new(), length: 0, virtual_time: 0, arrivals: 0 }
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
        // An organisation that was idle starts at the present virtual time and has not saved up room.
        let finished = self.virtual_time;
        let lane = self
            .lanes
            .entry(organisation)
            .or_insert_with(|| QueueLane { entries: VecDeque::new(), finished });
        lane.entries.push_back(QueueEntry { arrival: self.arrivals, weight, start_by, value });
        Ok(())
    }

    /// Takes the next entry; an expired one has to be refused and does not use the room that is free.
    pub fn pop(&mut self, now: MonoTime) -> Option<QueueItem<T>> {
        self.pop_where(now, |_| true)
    }

    /// Takes the next entry that `fits` or has expired; entries that do not fit keep their place.
    pub fn pop_where<F>(&mut self, now: MonoTime, mut fits: F) -> Option<QueueItem<T>>
    where
        F: FnMut(&mut T) -> bool,
    {
        let mut order: Vec<(u64, u64, K)> = Vec::with_capacity(self.lanes.len());
        for (key, lane) in &self.lanes {
            if let Some(head) = lane.entries.front() {
                order.push((lane.finished + cost(head.weight), head.arrival, key.clone()));
            }
        }
        order.sort_unstable();
        for (_, _, key) in order {
            let lane = self.lanes.get_mut(&key)?;
            let mut entries = lane.entries.iter_mut();
            let position = entries.position(|it| now >= it.start_by || fits(&mut it.value));
            let Some(entry) = position.and_then(|it| lane.entries.remove(it)) else { continue };
            self.length -= 1;
            let is_expired = now >= entry.start_by;
            if !is_expired {
                // Only a served entry is charged: one that expired used no room.
                lane.finished += cost(entry.weight);
                self.virtual_time = self.virtual_time.max(lane.finished);
            }
            if lane.entries.is_empty() {
                self.lanes.remove(&key);
            }
            let item = if is_expired { QueueItem::Expired } else { QueueItem::Ready };
            return Some(item(entry.value));
        }
        None
    }

    /// Drops entries for which `keeps` is false; it gets the value and the deadline by which the request must start.
    pub fn retain<F>(&mut self, mut keeps: F)
    where
        F: FnMut(&T, MonoTime) -> bool,
    {
        self.lanes.retain(|_, lane| {
            lane.entries.retain(|it| keeps(&it.value, it.start_by));
            !lane.entries.is_empty()
        });
        self.length = self.lanes.values().map(|it| it.entries.len()).sum();
    }

    /// Whether a further entry of `organisation` is refused.
    pub fn is_full(&self, organisation: &K) -> bool {
        self.waiting(organisation) >= self.limits.per_organisation
            || self.length >= self.limits.total
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Entries of `organisation`.
    pub fn waiting(&self, organisation: &K) -> usize {
        self.lanes.get(organisation).map_or(0, |it| it.entries.len())
    }
}

/// Virtual time that one request of an organisation of `weight` takes.
fn cost(weight: u32) -> u64 {
    UNIT_COST / u64::from(weight.max(1))
}
