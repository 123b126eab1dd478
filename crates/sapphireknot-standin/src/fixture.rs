//! Process fixture for end-to-end tests.
//!
//! A [`TestBed`] starts hosts, the store, the host list and backend servers as separate processes on loopback addresses.
//! Tests send signals to these processes and partition the network between them. Dropping the test bed kills all of
//! them.

mod bed;
mod binaries;
mod bookings;
mod generations;
mod process;
mod relay;
mod service;
mod standins;

use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use thiserror::Error;

pub use self::{
    bed::{BedPlan, HostProcess, RegionPlan, TestBed},
    binaries::{BinaryKind, BinarySet},
    bookings::{BookingAnswer, BookingLoad, BookingOutcome, find_violations},
    generations::GenerationSampler,
    process::{ChildProcess, CommandOutput, ProcessSignal},
    relay::{PartitionTable, TcpRelay},
    service::{OrganisationPlan, ServerPlacement, ServiceBed, ServicePlan},
    standins::{BackendProcess, StandinProcess},
};
use crate::client::ClientError;

/// Error of the test fixture.
#[derive(Debug, Error)]
pub enum FixtureError {
    /// A program was not built.
    #[error("find program: {path} does not exist; build it with `{command}`")]
    MissingProgram {
        /// Expected path of the program.
        path: String,
        /// Command that builds it.
        command: String,
    },
    /// A process could not be started or signalled.
    #[error("{step} of {process}: {source}")]
    Process {
        /// Operation that failed.
        step: &'static str,
        /// Name of the process.
        process: String,
        /// Cause.
        source: io::Error,
    },
    /// A process exited unexpectedly or did not print the expected line in time.
    #[error("{step} of {process}: {reason}\n{output}")]
    Output {
        /// Operation that failed.
        step: &'static str,
        /// Name of the process.
        process: String,
        /// Cause.
        reason: String,
        /// Last lines of its output.
        output: String,
    },
    /// A relay could not be started.
    #[error("start relay at {address}: {source}")]
    Relay {
        /// Address that could not be bound.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// A control call failed.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// A condition was not met in time.
    #[error("wait until {condition}: not met within {limit:?}")]
    Timeout {
        /// Description of the condition.
        condition: String,
        /// Time limit.
        limit: Duration,
    },
}

/// Time limit for a started process to print its bound addresses.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which conditions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls `probe` until it returns a value; fails with [`FixtureError::Timeout`] after `limit`.
pub async fn wait_until<T, P, F>(
    condition: &str,
    limit: Duration,
    mut probe: P,
) -> Result<T, FixtureError>
where
    P: FnMut() -> F,
    F: Future<Output = Option<T>>,
{
    let deadline = Instant::now() + limit;
    loop {
        if let Some(value) = probe().await {
            return Ok(value);
        }
        if Instant::now() >= deadline {
            return Err(FixtureError::Timeout { condition: condition.to_owned(), limit });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
