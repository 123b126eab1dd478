//! Calls between hosts.

mod claims;
mod client;
pub mod convert;
mod quotas;
mod rollouts;
mod server;

pub(crate) use self::rollouts::news_to_wire;
pub use self::{
    client::{PeerClients, PeerError},
    rollouts::PeerCounts,
    server::{PeerServer, serve_peers},
};
