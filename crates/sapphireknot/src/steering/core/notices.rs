//! Effect on the choice of servers of what backend servers announce in their responses.

use super::SteeringCore;
use crate::{
    ids::{ServerId, ServiceId},
    steering::fleet::ServerRecord,
    time::MonoTime,
};

impl SteeringCore {
    /// Records that a server announced that it is leaving; returns whether that is new.
    pub fn record_leaving(&mut self, id: &ServerId, started: u64, now: MonoTime) -> bool {
        let is_new = self.fleet.record_leaving(id, started, now);
        if is_new {
            self.refresh(now);
        }
        is_new
    }

    /// Records that a server asked for no requests until `until`.
    pub fn record_backoff(&mut self, record: &ServerRecord, until: MonoTime, now: MonoTime) {
        let Some(until) = self.fleet.record_backoff(record, until, now) else { return };
        if let Some(picker) = self.pickers.get_mut(&record.service) {
            picker.set_backoff(&record.id, until);
        }
    }

    /// When the first backoff of a server of `service` ends.
    pub fn next_backoff_end(&self, service: &ServiceId, now: MonoTime) -> Option<MonoTime> {
        self.pickers.get(service)?.next_backoff_end(now)
    }
}
