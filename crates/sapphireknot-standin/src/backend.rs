//! Backend servers.
//!
//! A [`BackendServer`] answers any request after a service time drawn from a seed, runs at most as many requests at the
//! same time as it has slots, and sheds the others. It records which requests ran, so that tests can tell a request that
//! ran twice or a key that was forwarded.

mod handler;
mod plan;
mod server;
mod state;

pub use self::{
    plan::{BackendFaults, BackendPlan, DefectEffect, LoadFault, LoadReport, VersionDefect},
    server::{BackendAddresses, BackendServer},
    state::{BackendState, RequestRecord, RunCounts, RunRecord},
};
