//! Rollouts of service versions on this host.
//!
//! [`RolloutTable`] holds the state of every traffic plan: the decided shares, the trips, and the outcomes counted by
//! this host. The request path accesses it under a lock that is never held across a call; the rollout actor and the
//! member actor update it with data from the store and from peers.

mod choice;
mod service;
mod table;

pub use self::{
    choice::choose_version,
    service::{LocalEvidence, ServiceRollout},
    table::{RolloutTable, RolloutUpdates},
};
