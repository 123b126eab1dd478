//! The platform's services: a key-value store and a list of hosts.
//!
//! [`store`] and [`hosts`] are the traits that the daemon works with; [`grpc`] is the adapter that speaks to the
//! platform. Another platform needs another adapter and nothing else.

pub mod grpc;
pub mod hosts;
pub mod store;

pub use self::{
    grpc::{GrpcHosts, GrpcStore},
    hosts::{HostList, ListedHost},
    store::{
        KeyValueStore, LeaseId, StoreError, StoreRevision, StoredEntry, SwapOutcome, SwapWrite,
    },
};
