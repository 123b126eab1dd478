//! Snapshot tests of whole sessions: operator commands, caller requests and the final state of the hosts.
//!
//! `INSTA_UPDATE=always cargo test -p sapphireknot-standin --test golden_sessions` rewrites the snapshots.

#[cfg(test)]
mod change_sessions;
#[cfg(test)]
mod recorder;
#[cfg(test)]
mod request_sessions;
