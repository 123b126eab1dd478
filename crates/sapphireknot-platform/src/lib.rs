//! The platform's services: a key-value store and a list of hosts.
//!
//! [`store`] and [`hosts`] are the traits that the daemon works with; [`grpc`] is the adapter that speaks to the
//! project's own platform. [`fleet`] and [`dialect`] are the traits towards a platform that also holds configuration and
//! registrations; its adapter is a package of its own.

pub mod dialect;
pub mod fleet;
pub mod grpc;
pub mod hosts;
pub mod store;

pub use self::{
    dialect::{
        AnswerKind, CallerHead, ConnectionUse, NameQuery, RequestDialect, ServerAnswer, ServerHead,
        ServerHealth,
    },
    fleet::{CallCount, FeedError, FeedPage, FleetStore, ReadRecency, WriteOutcome},
    grpc::{GrpcHosts, GrpcStore},
    hosts::{HostList, ListedHost},
    store::{
        KeyValueStore, LeaseId, StoreError, StoreRevision, StoredEntry, SwapOutcome, SwapWrite,
    },
};
