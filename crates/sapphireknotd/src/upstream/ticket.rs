//! Tickets for slots at backend servers.

use std::{net::SocketAddr, sync::Arc};

use sapphireknot::{
    ids::{ServerId, VersionId},
    picker::ServerOutcome,
    time::MonoTime,
};

use crate::interfaces::ServerTicket;

/// Owner of slots, to which they are released.
pub(super) trait SlotOwner: Send + Sync {
    /// Ends the request at `server` that started at `started`, and makes its slot available to the next request.
    fn release(self: Arc<Self>, server: &ServerId, outcome: ServerOutcome, started: MonoTime);
}

/// Slot at a server; released on drop.
pub(super) struct PoolTicket {
    pub(super) owner: Arc<dyn SlotOwner>,
    pub(super) server: ServerId,
    pub(super) address: SocketAddr,
    pub(super) version: VersionId,
    pub(super) started: MonoTime,
    pub(super) outcome: ServerOutcome,
}

impl ServerTicket for PoolTicket {
    fn server(&self) -> &ServerId {
        &self.server
    }

    fn address(&self) -> SocketAddr {
        self.address
    }

    fn version(&self) -> &VersionId {
        &self.version
    }

    fn finish(mut self: Box<Self>, outcome: ServerOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for PoolTicket {
    fn drop(&mut self) {
        self.owner.clone().release(&self.server, self.outcome, self.started);
    }
}
