//! Calls between hosts.

mod claims;
mod client;
pub mod convert;
mod server;

pub use self::{
    client::{PeerClients, PeerError},
    server::{PeerServer, serve_peers},
};
