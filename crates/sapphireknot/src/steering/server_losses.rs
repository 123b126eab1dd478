//! Servers that give no response, as far as that concerns the versions of their service.
//!
//! Attempts without a response at one server are no independent outcomes: a server that is down refuses each of them, and
//! servers of a data centre go down together. A version is judged by what its servers do with requests. An attempt at a
//! server that cannot be reached is therefore no outcome, and one that got no response is one outcome for each host and
//! [`LOSS_INTERVAL`] until the server responds, or none if another host told that the server is silent or if servers of
//! the other version in the same data centre give no response. All of the latter count for the rate of the old version,
//! which explains those of the new one. A version whose servers cannot be reached must not take over;
//! [`ServicePicker::can_reach`] says whether they can.

use std::time::Duration;

use super::{choice::ServicePicker, evidence::OutcomeQuality, server_state::ServerState};
use crate::{
    ids::{ServerId, VersionId},
    time::MonoTime,
};

/// Time in which attempts without a response at a server that does not respond in between are one outcome.
pub(super) const LOSS_INTERVAL: Duration = Duration::from_secs(1);

impl ServicePicker {
    /// Outcome that an attempt at a server without a response is which ends now; `None` if it is none.
    pub fn loss_quality(&self, id: &ServerId, now: MonoTime) -> Option<OutcomeQuality> {
        let Some(server) = self.server(id) else { return Some(OutcomeQuality::Failed) };
        let quality = server.loss_quality(now);
        let is_shared = quality == Some(OutcomeQuality::Failed) && self.shares_loss(server, now);
        if is_shared { Some(OutcomeQuality::RepeatedLoss) } else { quality }
    }

    /// Whether servers of another version in the data centre of `server` give no response either. The version with most
    /// of the requests learns within a few of them which servers are lost; the other one would still try each of its own.
    fn shares_loss(&self, server: &ServerState, now: MonoTime) -> bool {
        let record = &server.record;
        self.servers().iter().any(|it| {
            it.record.datacentre == record.datacentre
                && it.record.version != record.version
                && (it.is_lost(now) || it.is_silent(now))
        })
    }

    /// Whether half or more of the servers of a version can be reached.
    pub fn can_reach(&self, version: &VersionId, now: MonoTime) -> bool {
        let may_serve = |it: &&ServerState| it.record.version == *version && !it.record.is_draining;
        let servers = || self.servers().iter().filter(may_serve);
        let reached = servers().filter(|it| !it.is_lost(now)).count();
        reached > 0 && reached * 2 >= servers().count()
    }
}
