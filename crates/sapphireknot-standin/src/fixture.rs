//! Process fixture of end-to-end tests.
//!
//! A [`TestBed`] starts the daemon, the store, the host list and backend servers as separate processes on loopback
//! addresses. Tests kill, freeze and terminate them by process id, and cut the connections between them. Everything is
//! stopped when the bed is dropped.

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

/// Failure of the fixture.
#[derive(Debug, Error)]
pub enum FixtureError {
    /// A program was not built.
    #[error("find program: {path} does not exist; build it with `{command}`")]
    MissingProgram {
        /// Where it was looked for.
        path: String,
        /// Command that builds it.
        command: String,
    },
    /// A process could not be started or signalled.
    #[error("{step} of {process}: {source}")]
    Process {
        /// What failed.
        step: &'static str,
        /// Name of the process.
        process: String,
        /// Cause.
        source: io::Error,
    },
    /// A process ended or did not print what was expected.
    #[error("{step} of {process}: {reason}\n{output}")]
    Output {
        /// What failed.
        step: &'static str,
        /// Name of the process.
        process: String,
        /// Why.
        reason: String,
        /// Last lines that it printed.
        output: String,
    },
    /// A relay could not be started.
    #[error("start relay at {address}: {source}")]
    Relay {
        /// Address to bind.
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
        /// Condition.
        condition: String,
        /// Time limit.
        limit: Duration,
    },
}

/// Time in which a process must print its addresses.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Interval of polling.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls `probe` until it returns a value.
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
