//! Order of the requests of one connection, and which of them are worked on ahead of their turn.
//!
//! Responses go out in the order of the requests. A request is worked on before those in front of it are answered only if
//! it and all of these are safe to run beside each other: safe method, idempotent route, no body. Behind any other
//! request nothing is begun, as its effect may matter to the next one, and as its unread body may close the connection.

use std::collections::VecDeque;

use http::{Method, Request};
use sapphireknot::time::MonoTime;

use super::request_scan::ScannedHead;

/// Requests of one connection that are not answered yet, with the work `W` on those that were begun ahead.
#[derive(Debug)]
pub struct PipelineQueue<W> {
    entries: VecDeque<QueueEntry<W>>,
    /// Entries at the front whose turn has come.
    begun: usize,
    /// Most requests that are worked on ahead.
    max_ahead: usize,
}

#[derive(Debug)]
struct QueueEntry<W> {
    head: ScannedHead,
    arrived: MonoTime,
    /// Whether it may run beside others; `None` until that matters.
    is_parallel: Option<bool>,
    work: Option<W>,
}

/// Request whose turn has come.
#[derive(Debug)]
pub struct BegunRequest<W> {
    /// When its head arrived.
    pub arrived: MonoTime,
    /// What was begun ahead.
    pub work: Option<W>,
}

impl<W> PipelineQueue<W> {
    /// A queue that lets `max_ahead` requests be worked on ahead.
    pub fn new(max_ahead: usize) -> Self {
        Self { entries: VecDeque::new(), begun: 0, max_ahead }
    }

    /// Adds a request whose head arrived.
    pub fn push(&mut self, head: ScannedHead, arrived: MonoTime) {
        self.entries.push_back(QueueEntry { head, arrived, is_parallel: None, work: None });
    }

    /// Whether a request is worked on ahead whose turn has not come.
    pub fn has_work(&self) -> bool {
        self.ahead() > 0
    }

    /// Begins the next request ahead of its turn, if there is one: `start` makes the work from the request and the time
    /// of its arrival, or tells that there is no room for it.
    ///
    /// `is_idempotent` tells whether the route of a request is.
    pub fn start_next<I, S>(&mut self, is_idempotent: I, start: S) -> bool
    where
        I: Fn(&Request<()>) -> bool,
        S: FnOnce(Request<()>, MonoTime) -> Option<W>,
    {
        if self.entries.len() <= self.begun || self.ahead() >= self.max_ahead {
            return false;
        }
        let begun = self.begun;
        for (place, entry) in self.entries.iter_mut().enumerate() {
            if !entry.is_parallel(&is_idempotent) {
                return false;
            }
            if place < begun || entry.work.is_some() {
                continue;
            }
            let Some(request) = entry.head.to_request() else { return false };
            entry.work = start(request, entry.arrived);
            return entry.work.is_some();
        }
        false
    }

    /// Takes the next request, whose turn has come; `None` if its head was not found.
    pub fn begin(&mut self) -> Option<BegunRequest<W>> {
        let entry = self.entries.get_mut(self.begun)?;
        self.begun += 1;
        Some(BegunRequest { arrived: entry.arrived, work: entry.work.take() })
    }

    /// Removes the request that was begun first, as it is answered.
    pub fn end(&mut self) {
        if self.begun > 0 {
            self.begun -= 1;
            self.entries.pop_front();
        }
    }

    fn ahead(&self) -> usize {
        self.entries.iter().skip(self.begun).filter(|it| it.work.is_some()).count()
    }
}

impl<W> QueueEntry<W> {
    fn is_parallel<I>(&mut self, is_idempotent: &I) -> bool
    where
        I: Fn(&Request<()>) -> bool,
    {
        let head = &self.head;
        *self.is_parallel.get_or_insert_with(|| {
            let request = head.to_request().filter(|_| !head.has_body);
            request.is_some_and(|it| is_safe(it.method()) && is_idempotent(&it))
        })
    }
}

fn is_safe(method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD)
}
