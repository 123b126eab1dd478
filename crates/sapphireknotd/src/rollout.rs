//! Versions of services on this host.
//!
//! [`RolloutTable`] holds what the host knows of every traffic plan: the decided shares, the trips, and the outcomes that
//! it counted itself. Requests read and write it under a lock that is never held across a call; the rollout actor and the
//! member actor feed it with what the store and peers tell.

mod choice;
mod service;
mod table;

pub use self::{
    choice::choose_usable,
    service::{LocalEvidence, ServiceRollout},
    table::{RolloutNews, RolloutTable},
};
