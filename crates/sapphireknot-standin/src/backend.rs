//! Stand-in for a backend server.
//!
//! A [`BackendServer`] answers any request after a pseudo-random service time, runs at most one request per slot
//! concurrently, and sheds the others. It records which requests ran, so that tests can detect a request that ran twice
//! or a key that was forwarded.

mod handler;
mod plan;
mod server;
mod state;

pub use self::{
    plan::{BackendFaults, BackendPlan, DefectEffect, LoadFault, LoadReport, VersionDefect},
    server::{BackendAddresses, BackendServer},
    state::{BackendState, RequestRecord, RunCounts, RunRecord},
};
