//! Interfaces to the platform's services, which include a key-value store and a host list.
//!
//! [`store`] and [`hosts`] define the traits that the daemon uses on the project's own platform; [`grpc`] implements
//! them. [`fleet`] and [`dialect`] define the traits for a platform that also stores configuration and registrations; a
//! separate package implements them.

pub mod dialect;
pub mod fleet;
pub mod grpc;
pub mod hosts;
pub mod store;

pub use self::{
    dialect::{
        ConnectionUse, ForwardMetadata, RequestDialect, RequestMetadata, ResolveQuery,
        ResponseKind, ResponseMetadata, ServerHealth,
    },
    fleet::{CallCount, FeedError, FeedPage, FleetStore, ReadRecency, WriteOutcome},
    grpc::{GrpcHosts, GrpcStore},
    hosts::{HostList, ListedHost},
    store::{
        KeyValueStore, LeaseId, StoreError, StoreRevision, StoredEntry, SwapOutcome, SwapWrite,
    },
};
