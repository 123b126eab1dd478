//! HTTP for operators.
//!
//! The calls are documented in [`sapphireknot::operator`]. Every call needs the operators' token, of which the settings
//! hold the SHA-256 only.

mod calls;
mod server;
mod state;
mod status;

pub(super) use self::server::{OperatorServer, serve_operators};
