//! HTTP API for operators.
//!
//! The calls are documented in [`sapphireknot::operator`]. Every call is authenticated with the operator token, of
//! which the settings hold only the SHA-256 digest.

mod calls;
mod server;
mod state;
mod status;

pub(super) use self::server::{OperatorServer, serve_operators};
