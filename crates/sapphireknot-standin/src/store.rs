//! Stand-in for the key-value store of the platform.
//!
//! [`MemoryStore`] holds the entries and the faults and implements [`sapphireknot_platform::KeyValueStore`] without
//! sockets; [`StoreServer`] serves it over gRPC.

mod map;
mod memory;
mod server;

pub use self::{
    memory::{CallCounts, CallFailure, MemoryStore, OutageKind, StoreFaults},
    server::{StoreAddresses, StoreServer},
};
