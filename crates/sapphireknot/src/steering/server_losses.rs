//! Classification of attempts without a response, for the evaluation of versions.
//!
//! Attempts without a response at one server are not independent outcomes: a server that is down refuses each of them,
//! and the servers of a data centre fail together. A version is evaluated by how its servers handle requests. An
//! attempt at a server that cannot be reached is therefore no outcome. An attempt that got no response is one outcome
//! per host and [`LOSS_INTERVAL`] until the server responds, or none if another host reported the server as unreachable
//! or if servers of the other version in the same data centre do not respond either. For the old version all attempts
//! that got no response count, as its rate explains the bad outcomes of the new one. A version whose servers cannot be
//! reached must not take over; [`ServicePicker::can_reach`] returns whether they can.

use std::time::Duration;

use super::{choice::ServicePicker, evidence::OutcomeQuality, server_state::ServerState};
use crate::{
    ids::{ServerId, VersionId},
    time::MonoTime,
};

/// Time within which attempts without a response at a server that does not respond in between are a single outcome.
pub(super) const LOSS_INTERVAL: Duration = Duration::from_secs(1);

impl ServicePicker {
    /// Outcome of an attempt at a server that ends now without a response; `None` if it does not count.
    pub fn loss_quality(&self, id: &ServerId, now: MonoTime) -> Option<OutcomeQuality> {
        let Some(server) = self.server(id) else { return Some(OutcomeQuality::Failed) };
        let quality = server.loss_quality(now);
        let is_shared =
            quality == Some(OutcomeQuality::Failed) && self.is_correlated_loss(server, now);
        if is_shared { Some(OutcomeQuality::RepeatedLoss) } else { quality }
    }

    /// Whether servers of another version in the data centre of `server` do not respond either. The version with most
    /// of the requests detects lost servers within a few of them, whereas the other one would still try each of its
    /// own.
    fn is_correlated_loss(&self, server: &ServerState, now: MonoTime) -> bool {
        let record = &server.record;
        self.servers().iter().any(|it| {
            it.record.datacentre == record.datacentre
                && it.record.version != record.version
                && (it.is_lost(now) || it.is_silent(now))
        })
    }

    /// Whether at least half of the servers of a version can be reached.
    pub fn can_reach(&self, version: &VersionId, now: MonoTime) -> bool {
        let may_serve = |it: &&ServerState| it.record.version == *version && !it.record.is_draining;
        let servers = || self.servers().iter().filter(may_serve);
        let reached = servers().filter(|it| !it.is_lost(now)).count();
        reached > 0 && reached * 2 >= servers().count()
    }
}
