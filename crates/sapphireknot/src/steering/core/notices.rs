//! What backend servers tell of themselves in their responses, as far as the choice of servers goes.

use super::SteeringCore;
use crate::{
    ids::{ServerId, ServiceId},
    steering::fleet::ServerRecord,
    time::MonoTime,
};

impl SteeringCore {
    /// Notes that a server told that it leaves; says whether that is new.
    pub fn record_leaving(&mut self, id: &ServerId, started: u64, now: MonoTime) -> bool {
        let is_news = self.fleet.record_leaving(id, started, now);
        if is_news {
            self.refresh(now);
        }
        is_news
    }

    /// Notes that a server told that it wants no requests until `until`.
    pub fn record_backoff(&mut self, record: &ServerRecord, until: MonoTime, now: MonoTime) {
        let Some(until) = self.fleet.record_backoff(record, until, now) else { return };
        if let Some(picker) = self.pickers.get_mut(&record.service) {
            picker.set_away(&record.id, until);
        }
    }

    /// When a server of `service` that wants no requests for now wants some again.
    pub fn next_backoff_end(&self, service: &ServiceId, now: MonoTime) -> Option<MonoTime> {
        self.pickers.get(service)?.next_backoff_end(now)
    }
}
