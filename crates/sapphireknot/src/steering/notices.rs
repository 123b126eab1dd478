//! Notices that backend servers send in their responses.
//!
//! A server that is leaving, or rejects requests for a while, announces this before its registration does, or instead
//! of it. A notice applies to one start of the server: it outlives a registration that lapses and returns or that still
//! lists the server as ready, and ends with a registration of a later start.

use std::{collections::HashMap, time::Duration};

use crate::{ids::ServerId, time::MonoTime};

/// Time after which the notice of a server that has not registered with a new start is dropped; no server takes that
/// long to leave.
const NOTICE_TTL: Duration = Duration::from_secs(3_600);

/// Notice of one server.
#[derive(Debug, Clone, Copy)]
struct ServerNotice {
    /// Start time of the server.
    started: u64,
    is_leaving: bool,
    /// End of the backoff that the server asked for.
    backoff_until: MonoTime,
    expires_at: MonoTime,
}

/// Notices by server.
#[derive(Debug, Default)]
pub struct ServerNotices {
    by_server: HashMap<ServerId, ServerNotice>,
}

impl ServerNotices {
    /// Records that a server is leaving; returns whether that is new.
    pub fn add_leaving(&mut self, id: &ServerId, started: u64, now: MonoTime) -> bool {
        let Some(notice) = self.notice_mut(id, started, now) else { return false };
        !std::mem::replace(&mut notice.is_leaving, true)
    }

    /// Records that a server asked for no requests until `until`; returns the end of its backoff, or `None` if a later
    /// start is known.
    pub fn add_backoff(
        &mut self,
        id: &ServerId,
        started: u64,
        until: MonoTime,
        now: MonoTime,
    ) -> Option<MonoTime> {
        let notice = self.notice_mut(id, started, now)?;
        notice.backoff_until = notice.backoff_until.max(until);
        notice.expires_at = notice.expires_at.max(until);
        Some(notice.backoff_until)
    }

    /// Whether a registered server announced that it is leaving.
    pub fn is_leaving(&self, id: &ServerId, started: u64) -> bool {
        self.notice(id, started).is_some_and(|it| it.is_leaving)
    }

    /// End of the backoff of a registered server.
    pub fn backoff_until(&self, id: &ServerId, started: u64) -> MonoTime {
        self.notice(id, started).map(|it| it.backoff_until).unwrap_or_default()
    }

    /// Drops expired notices.
    pub fn expire(&mut self, now: MonoTime) {
        self.by_server.retain(|_, it| now < it.expires_at);
    }

    fn notice(&self, id: &ServerId, started: u64) -> Option<&ServerNotice> {
        self.by_server.get(id).filter(|it| it.started == started)
    }

    /// Notice for a start, created if needed; `None` if a later start is known, as a response of the earlier one may be
    /// read late.
    fn notice_mut(
        &mut self,
        id: &ServerId,
        started: u64,
        now: MonoTime,
    ) -> Option<&mut ServerNotice> {
        let expires_at = now.after(NOTICE_TTL);
        let first = ServerNotice {
            started,
            is_leaving: false,
            backoff_until: MonoTime::default(),
            expires_at,
        };
        let notice = self.by_server.entry(id.clone()).or_insert(first);
        if notice.started > started {
            return None;
        }
        if notice.started < started {
            *notice = first;
        }
        notice.expires_at = notice.expires_at.max(expires_at);
        Some(notice)
    }
}
