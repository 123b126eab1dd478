//! Waiting requests of several organisations.
//!
//! [`FairQueue`] orders waiting requests by virtual finish time (weighted fair queueing): while the servers are full, each
//! organisation gets room in proportion to its weight, and one with many waiting requests does not delay the others. The
//! queue is bounded for each organisation and as a whole, and every entry has a deadline by which it must start.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
};

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
pub enum QueueRefusal {
    /// The queue or the organisation's part of it is full.
    #[error("the queue is full")]
    Full,
    /// The deadline by which the request must start has passed.
    #[error("the request cannot finish in time")]
    Late,
}

/// Entry that waits.
#[derive(Debug)]
struct QueueEntry<T> {
    organisation: OrganisationId,
    start_by: MonoTime,
    value: T,
}

/// What a queue gives out.
#[derive(Debug, PartialEq, Eq)]
pub enum QueueItem<T> {
    /// Its turn has come.
    Ready(T),
    /// It waited until it could no longer finish in time.
    Expired(T),
}

/// Weighted fair queue.
#[derive(Debug)]
pub struct FairQueue<T> {
    limits: QueueLimits,
    // Entries by virtual finish time, then arrival.
    order: BinaryHeap<Reverse<(u64, u64)>>,
    entries: HashMap<u64, QueueEntry<T>>,
    waiting: BTreeMap<OrganisationId, usize>,
    // Virtual finish time of the last entry of each organisation.
    finished: BTreeMap<OrganisationId, u64>,
    virtual_time: u64,
    arrivals: u64,
}

impl<T> FairQueue<T> {
    /// An empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            order: BinaryHeap::new(),
            entries: HashMap::new(),
            waiting: BTreeMap::new(),
            finished: BTreeMap::new(),
            virtual_time: 0,
            arrivals: 0,
        }
    }

    /// Adds an entry that must start before `start_by`.
    pub fn push(
        &mut self,
        organisation: OrganisationId,
        weight: u32,
        start_by: MonoTime,
        now: MonoTime,
        value: T,
    ) -> Result<(), QueueRefusal> {
        if now >= start_by {
            return Err(QueueRefusal::Late);
        }
        let waiting = self.waiting.get(&organisation).copied().unwrap_or(0);
        if waiting >= self.limits.per_organisation || self.entries.len() >= self.limits.total {
            return Err(QueueRefusal::Full);
        }
        // An organisation that was idle starts at the present virtual time and has not saved up room.
        let last = self.finished.get(&organisation).copied().unwrap_or(0);
        let finish = last.max(self.virtual_time) + UNIT_COST / u64::from(weight.max(1));
        self.finished.insert(organisation.clone(), finish);
        self.waiting.insert(organisation.clone(), waiting + 1);
        self.arrivals += 1;
        self.order.push(Reverse((finish, self.arrivals)));
        self.entries.insert(self.arrivals, QueueEntry { organisation, start_by, value });
        Ok(())
    }

    /// Takes the next entry; an expired one has to be refused and does not use the room that is free.
    pub fn pop(&mut self, now: MonoTime) -> Option<QueueItem<T>> {
        let Reverse((finish, arrival)) = self.order.pop()?;
        let entry = self.entries.remove(&arrival)?;
        self.forget_waiting(&entry.organisation);
        if now >= entry.start_by {
            return Some(QueueItem::Expired(entry.value));
        }
        self.virtual_time = self.virtual_time.max(finish);
        self.forget_idle();
        Some(QueueItem::Ready(entry.value))
    }

    fn forget_waiting(&mut self, organisation: &OrganisationId) {
        if let Some(count) = self.waiting.get_mut(organisation) {
            *count -= 1;
            if *count == 0 {
                self.waiting.remove(organisation);
            }
        }
    }

    /// Drops finish times that no longer matter, so that the state stays as small as the set of busy organisations.
    fn forget_idle(&mut self) {
        let (time, waiting) = (self.virtual_time, &self.waiting);
        self.finished
            .retain(|organisation, finish| *finish > time || waiting.contains_key(organisation));
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Entries of `organisation`.
    pub fn waiting(&self, organisation: &OrganisationId) -> usize {
        self.waiting.get(organisation).copied().unwrap_or(0)
    }
}
