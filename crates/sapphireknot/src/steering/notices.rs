//! What backend servers tell of themselves in their responses.
//!
//! A server that leaves, or turns requests away for a while, says so before its registration does, or instead of it. Its
//! word holds for one start of the server: it outlives a registration that lapses and returns or still says that the
//! server is ready, and ends with a registration of a later start.

use std::{collections::HashMap, time::Duration};

use crate::{ids::ServerId, time::MonoTime};

/// Time after which the word of a server is forgotten that has not registered anew; none takes that long to leave.
const MEMORY: Duration = Duration::from_secs(3_600);

/// What one server told.
#[derive(Debug, Clone, Copy)]
struct ServerNotice {
    /// Start of the server.
    started: u64,
    is_leaving: bool,
    /// Until when it wants no requests of this host.
    away_until: MonoTime,
    forgotten_at: MonoTime,
}

/// What servers told of themselves.
#[derive(Debug, Default)]
pub struct ServerNotices {
    by_server: HashMap<ServerId, ServerNotice>,
}

impl ServerNotices {
    /// Notes that a server leaves; says whether that is new.
    pub fn add_leaving(&mut self, id: &ServerId, started: u64, now: MonoTime) -> bool {
        let Some(notice) = self.notice_mut(id, started, now) else { return false };
        !std::mem::replace(&mut notice.is_leaving, true)
    }

    /// Notes that a server wants no requests until `until`; returns the latest such time, if no later start is known.
    pub fn add_away(
        &mut self,
        id: &ServerId,
        started: u64,
        until: MonoTime,
        now: MonoTime,
    ) -> Option<MonoTime> {
        let notice = self.notice_mut(id, started, now)?;
        notice.away_until = notice.away_until.max(until);
        notice.forgotten_at = notice.forgotten_at.max(until);
        Some(notice.away_until)
    }

    /// Whether a server that registered told that it leaves.
    pub fn is_leaving(&self, id: &ServerId, started: u64) -> bool {
        self.notice(id, started).is_some_and(|it| it.is_leaving)
    }

    /// Until when a server that registered wants no requests.
    pub fn away_until(&self, id: &ServerId, started: u64) -> MonoTime {
        self.notice(id, started).map(|it| it.away_until).unwrap_or_default()
    }

    /// Forgets what is old.
    pub fn expire(&mut self, now: MonoTime) {
        self.by_server.retain(|_, it| now < it.forgotten_at);
    }

    fn notice(&self, id: &ServerId, started: u64) -> Option<&ServerNotice> {
        self.by_server.get(id).filter(|it| it.started == started)
    }

    /// Notice of a start; `None` if a later one is known, as a response of the earlier one may be read late.
    fn notice_mut(
        &mut self,
        id: &ServerId,
        started: u64,
        now: MonoTime,
    ) -> Option<&mut ServerNotice> {
        let forgotten_at = now.after(MEMORY);
        let first = ServerNotice {
            started,
            is_leaving: false,
            away_until: MonoTime::default(),
            forgotten_at,
        };
        let notice = self.by_server.entry(id.clone()).or_insert(first);
        if notice.started > started {
            return None;
        }
        if notice.started < started {
            *notice = first;
        }
        notice.forgotten_at = notice.forgotten_at.max(forgotten_at);
        Some(notice)
    }
}
