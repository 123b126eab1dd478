//! Queue of the pipelined requests of one connection, which decides the requests to process ahead of their turn.
//!
//! Responses are sent in request order. A request is processed ahead of its turn only if it and all requests before it
//! are safe to run concurrently: a safe method, an idempotent route and no body. Nothing is started behind any other
//! request, because a later request may depend on its effect and because its unread body may close the connection.

use std::collections::VecDeque;

use http::{Method, Request};
use sapphireknot::time::MonoTime;

use super::request_scan::ScannedHead;

/// Unanswered requests of one connection, with the work `W` of those started ahead of their turn.
#[derive(Debug)]
pub struct PipelineQueue<W> {
    entries: VecDeque<PipelineEntry<W>>,
    /// Number of entries at the front whose turn has come.
    active: usize,
    /// Maximum number of requests processed ahead of their turn.
    max_early: usize,
}

#[derive(Debug)]
struct PipelineEntry<W> {
    head: ScannedHead,
    arrived: MonoTime,
    /// Whether it may run concurrently with others; computed on first use.
    is_concurrent: Option<bool>,
    work: Option<W>,
}

/// Request whose turn has come.
#[derive(Debug)]
pub struct ActiveRequest<W> {
    /// Arrival time of its head.
    pub arrived: MonoTime,
    /// Work started ahead of its turn, if any.
    pub work: Option<W>,
}

impl<W> PipelineQueue<W> {
    /// Creates a queue that allows `max_early` requests to be processed ahead of their turn.
    pub fn new(max_early: usize) -> Self {
        Self { entries: VecDeque::new(), active: 0, max_early }
    }

    /// Appends a request whose head has arrived.
    pub fn push(&mut self, head: ScannedHead, arrived: MonoTime) {
        self.entries.push_back(PipelineEntry { head, arrived, is_concurrent: None, work: None });
    }

    /// Whether any request is being processed ahead of its turn.
    pub fn has_early_work(&self) -> bool {
        self.early_count() > 0
    }

    /// Starts the next eligible request ahead of its turn and returns whether one was started. `start` creates the work
    /// from the request and its arrival time, or returns `None` if there is no capacity.
    ///
    /// `is_idempotent` returns whether the route of a request is idempotent.
    pub fn start_early<I, S>(&mut self, is_idempotent: I, start: S) -> bool
    where
        I: Fn(&Request<()>) -> bool,
        S: FnOnce(Request<()>, MonoTime) -> Option<W>,
    {
        if self.entries.len() <= self.active || self.early_count() >= self.max_early {
            return false;
        }
        let active = self.active;
        for (index, entry) in self.entries.iter_mut().enumerate() {
            if !entry.is_concurrent(&is_idempotent) {
                return false;
            }
            if index < active || entry.work.is_some() {
                continue;
            }
            let Some(request) = entry.head.to_request() else { return false };
            entry.work = start(request, entry.arrived);
            return entry.work.is_some();
        }
        false
    }

    /// Takes the next request when its turn has come; `None` if the scanner did not find its head.
    pub fn activate_next(&mut self) -> Option<ActiveRequest<W>> {
        let entry = self.entries.get_mut(self.active)?;
        self.active += 1;
        Some(ActiveRequest { arrived: entry.arrived, work: entry.work.take() })
    }

    /// Removes the oldest active request after its response.
    pub fn complete_oldest(&mut self) {
        if self.active > 0 {
            self.active -= 1;
            self.entries.pop_front();
        }
    }

    fn early_count(&self) -> usize {
        self.entries.iter().skip(self.active).filter(|it| it.work.is_some()).count()
    }
}

impl<W> PipelineEntry<W> {
    fn is_concurrent<I>(&mut self, is_idempotent: &I) -> bool
    where
        I: Fn(&Request<()>) -> bool,
    {
        let head = &self.head;
        *self.is_concurrent.get_or_insert_with(|| {
            let request = head.to_request().filter(|_| !head.has_body);
            request.is_some_and(|it| is_safe(it.method()) && is_idempotent(&it))
        })
    }
}

fn is_safe(method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD)
}
